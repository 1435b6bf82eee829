//! What a command prints.

use serde_json::Value;

use crate::Code;

/// A command's result, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// The exit code.
    pub code: Code,
}

impl Report {
    /// A result of a command that was done.
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

    /// The same result with another exit code.
    pub fn with_code(self, code: Code) -> Report {
        Report { code, ..self }
    }

    /// The text or the JSON, without a line end.
    pub fn render(&self, json: bool) -> String {
        match json {
            true => format!("{:#}", self.json),
            false => self.text.trim_end().to_owned(),
        }
    }
}

/// Rows as columns of equal width; the first row is the heading.
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

/// A heading row.
pub(crate) fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_uppercase()).collect()
}
