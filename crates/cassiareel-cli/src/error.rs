//! Errors with a suggested next step, and exit codes.

use std::{fmt, process::ExitCode};

use cassiareel::{
    settings::{ApplyError, Change, Faults, LoadError},
    store::StoreError,
};
use serde_json::{json, Value};

/// An exit code of the command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// The command was refused: its input is invalid or names something that does not exist.
    /// Nothing was changed. `move wait` also returns it for a move that was rolled back or cancelled.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another edit was accepted in the meantime. Nothing was changed.
    Conflict = 3,
    /// The object API or a node could not be reached. Nothing was changed.
    Unreachable = 4,
    /// It is unknown whether the change was made.
    Unknown = 5,
    /// The change was made but is not in force everywhere yet, or a move has not ended in time.
    Pending = 6,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}

/// The reason why a command failed, with a suggested next step.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// What went wrong.
    pub message: String,
    /// What the operator can do next.
    pub next: String,
    /// The exit code.
    pub code: Code,
}

impl Error {
    /// Creates an error.
    pub fn new<M, N>(code: Code, message: M, next: N) -> Error
    where
        M: Into<String>,
        N: Into<String>,
    {
        Error {
            message: message.into(),
            next: next.into(),
            code,
        }
    }

    /// Returns the error as a JSON object.
    pub fn to_json(&self) -> Value {
        json!({"error": self.message, "next": self.next, "code": self.code as u8})
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

impl From<Faults> for Error {
    fn from(faults: Faults) -> Error {
        let count = faults.faults.len();
        Error::new(
            Code::Refused,
            format!("the settings have {count} errors; nothing was changed\n{faults}"),
            "correct the values at these paths and run the command again",
        )
    }
}

impl From<StoreError> for Error {
    fn from(err: StoreError) -> Error {
        Error::new(Code::Unreachable, err.to_string(), UNREACHABLE_HINT)
    }
}

impl From<LoadError> for Error {
    fn from(err: LoadError) -> Error {
        match err {
            LoadError::Store { source } => source.into(),
            damaged => Error::new(
                Code::Refused,
                damaged.to_string(),
                "nodes keep the revision that they have in force; see \"A part of the settings is \
                 damaged\" in docs/OPERATIONS.md",
            ),
        }
    }
}

impl From<ApplyError> for Error {
    fn from(err: ApplyError) -> Error {
        let message = err.to_string();
        match err {
            ApplyError::InvalidTree { source } => source.into(),
            ApplyError::Load { source } => source.into(),
            ApplyError::Store { .. } => Error::new(
                Code::Unreachable,
                format!("{message}; nothing was changed"),
                UNREACHABLE_HINT,
            ),
            ApplyError::MissingBase { accepted } => Error::new(
                Code::Refused,
                message,
                format!(
                    "`cassiareel settings get` writes the accepted tree with its revision; or, if \
                     the file was made from revision {accepted}, give --base {accepted}"
                ),
            ),
            ApplyError::UnknownBase { .. } => Error::new(
                Code::Refused,
                message,
                "repeat the edit on the file that `cassiareel settings get` writes",
            ),
            ApplyError::Conflict {
                base,
                accepted,
                theirs,
                yours,
                overlap,
            } => Error::new(
                Code::Conflict,
                format!(
                    "{message}; nothing was changed\ntheirs, from revision {base} to {}:\n{}\nyours, \
                     from revision {base}:\n{}",
                    accepted.revision,
                    format_changes(&theirs),
                    format_changes(&yours)
                ),
                match overlap {
                    true => "both change the same paths: talk to the other author, or repeat your \
                             edit on the file that `cassiareel settings get` writes",
                    false => "the edits change different paths: give --rebase to apply yours on top \
                              of theirs",
                },
            ),
            ApplyError::OutcomeUnknown { revision, nonce } => Error::new(
                Code::Unknown,
                message,
                format!(
                    "when the object API answers again, `cassiareel --json settings history` shows \
                     whether revision {revision} has nonce {nonce}; if not, apply the file again"
                ),
            ),
            ApplyError::Contended | ApplyError::TimedOut => Error::new(
                Code::Unreachable,
                format!("{message}; nothing was changed"),
                "run the command again in a minute",
            ),
        }
    }
}

/// The next step when the object API can't be reached.
const UNREACHABLE_HINT: &str =
    "check --object-api and the platform's status, then run the command again; \
                         nodes keep the settings that they have in force";

/// Formats changes, one per line.
pub(crate) fn format_changes(changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(|change| format!("  {change}")).collect();
    lines.join("\n")
}
