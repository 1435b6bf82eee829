/*!
The format of messages between nodes.

Each request and each reply names its format in a header. Builds before this header was introduced
neither send nor read it: they get whole lists, entry by entry, as they expect them.
*/

use http::HeaderMap;

/// The header that names the format of a message.
pub(crate) const FORMAT_HEADER: &str = "news-format";

/// The format that this build sends and reads.
pub(crate) const MESSAGE_FORMAT: u64 = 2;

/// The format of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Format {
    /// That of this build.
    Current,
    /// That of builds that did not name it.
    Unnamed,
    /// One that this build does not know.
    Unknown,
}

impl Format {
    /// Returns the format of the message that has these headers.
    pub(super) fn of(headers: &HeaderMap) -> Format {
        let Some(value) = headers.get(FORMAT_HEADER) else {
            return Format::Unnamed;
        };
        let number = value.to_str().ok().and_then(|text| text.parse().ok());
        match number {
            Some(MESSAGE_FORMAT) => Format::Current,
            _ => Format::Unknown,
        }
    }

    /// Returns the name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Format::Current => "current",
            Format::Unnamed => "earlier",
            Format::Unknown => "unknown",
        }
    }
}
