//! The result of a command, and how it is printed.

use serde_json::Value;

use crate::Code;

/// The result of a command, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The result as text, for people.
    pub text: String,
    /// The result as JSON, for programs.
    pub json: Value,
    /// The exit code.
    pub code: Code,
}

impl Report {
    /// Creates the result of a command that succeeded.
    pub fn new<T>(text: T, json: Value) -> Report
    where
        T: Into<String>,
    {
        Report {
            text: text.into(),
            json,
            code: Code::Success,
        }
    }

    /// Returns the same result with another exit code.
    pub fn with_code(self, code: Code) -> Report {
        Report { code, ..self }
    }

    /// Returns the text or the JSON without a trailing newline.
    pub fn render(&self, json: bool) -> String {
        match json {
            true => format!("{:#}", self.json),
            false => self.text.trim_end().to_owned(),
        }
    }
}

/// Formats rows as a table with aligned columns; the first row is the heading.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width_of = |column: usize| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width_of).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Returns the heading row of a table, with the names in capitals.
pub(crate) fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_uppercase()).collect()
}
