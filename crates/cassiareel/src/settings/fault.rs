//! What is wrong with a tree.

use std::fmt;

use serde::Serialize;
use snafu::Snafu;

use super::Path;

/// One thing that is wrong.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Where.
    pub path: Path,
    /// The value there, as TOML; empty where something is missing.
    pub value: String,
    /// What is wrong and what would be right.
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

/// Everything that is wrong with a tree; nothing was changed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{}", lines(faults)))]
pub struct Faults {
    /// The faults, in the order of their paths.
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

    /// Gives `value`, or the faults where there are any.
    ///
    /// # Errors
    ///
    /// Fails where there is a fault.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by(|a, b| a.path.cmp(&b.path));
        Err(self)
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
