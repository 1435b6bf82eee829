//! Faults of a settings tree.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

use super::Path;

/// One fault of a settings tree.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// The path of the value or node at fault.
    pub path: Path,
    /// The value there as TOML; empty if the fault is not about one value.
    pub value: String,
    /// What is wrong, and which values are allowed.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            path,
            value,
            problem,
        } = self;
        if path.segments().is_empty() {
            return write!(f, "{problem}");
        }
        if value.is_empty() {
            return write!(f, "{path}: {problem}");
        }
        write!(f, "{path} = {value}: {problem}")
    }
}

/// All faults of a settings tree.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{}", join_lines(faults)))]
pub struct Faults {
    /// The faults; sorted by path once [`Faults::into_result`] returned them.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// Adds a fault.
    pub fn push<P, V>(&mut self, path: Path, value: V, problem: P)
    where
        P: Into<String>,
        V: Into<String>,
    {
        self.faults.push(Fault {
            path,
            value: value.into(),
            problem: problem.into(),
        });
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// Returns the faults, sorted by path, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by(|a, b| a.path.cmp(&b.path));
        Err(self)
    }
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
