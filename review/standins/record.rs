//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// A record, written line by line with the time since its start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Record {
            file: Mutex::new(file),
            began: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.age().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {text}");
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Returns the time since the record's start.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }
}
