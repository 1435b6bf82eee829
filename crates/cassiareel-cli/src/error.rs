//! Errors that say what to do next, and exit codes.

use std::{fmt, process::ExitCode};

use cassiareel::{
    settings::{ApplyError, Change, Faults, LoadError},
    store::StoreError,
};
use serde_json::{json, Value};

/// What the command's exit code says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// Done.
    Success = 0,
    /// Refused: what was given is wrong, or is not there. Nothing was changed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Others have edited meanwhile. Nothing was changed.
    Conflict = 3,
    /// The object API or a node was not reached. Nothing was changed.
    Unreachable = 4,
    /// It is not known whether the change was made.
    Unknown = 5,
    /// The change was made, but is not in force everywhere yet.
    Pending = 6,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}

/// Why a command did not do what it was asked to.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// What was wrong.
    pub message: String,
    /// What the operator can do.
    pub next: String,
    /// The exit code.
    pub code: Code,
}

impl Error {
    /// An error with its next step.
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

    /// The error as JSON.
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
            format!("the settings are wrong in {count} places; nothing was changed\n{faults}"),
            "mend the values at these paths and run the command again",
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
                "make the edit again on the file that `cassiareel settings get` writes",
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
                    true => "both touch the same paths: talk to the other author, or make your \
                             edit again on what `cassiareel settings get` writes",
                    false => "the edits touch different paths: give --rebase to make yours on top \
                              of theirs",
                },
            ),
            ApplyError::OutcomeUnknown { revision, nonce } => Error::new(
                Code::Unknown,
                message,
                format!(
                    "when the object API answers again, `cassiareel --json settings history` shows \
                     whether revision {revision} has nonce {nonce}; if it has not, apply again"
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

const UNREACHABLE_HINT: &str =
    "check --object-api and the platform's status, then run the command again; \
                         nodes go on with the settings that they have in force";

/// Changes, one a line.
pub(crate) fn format_changes(changes: &[Change]) -> String {
    let lines: Vec<String> = changes.iter().map(|change| format!("  {change}")).collect();
    lines.join("\n")
}
