//! Paths of nodes and values in the settings tree.

use std::fmt;

/// A path from the root, such as `accounts.mira.callers."till 3".policy`.
///
/// # Examples
///
/// ```
/// use cassiareel::settings::Path;
///
/// let path = Path::parse("services.desk.routes.\"/v1.2\"");
/// assert_eq!(path.segments(), ["services", "desk", "routes", "/v1.2"]);
/// assert_eq!(path.to_string(), "services.desk.routes.\"/v1.2\"");
/// ```
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Path {
    segments: Vec<String>,
}

impl Path {
    /// Returns the path of the root.
    pub fn root() -> Path {
        Path::default()
    }

    /// Parses a path. A segment in double quotes may contain dots; empty segments are dropped.
    pub fn parse(text: &str) -> Path {
        let mut segments = Vec::new();
        let mut segment = String::new();
        let mut quoted = false;
        for c in text.chars() {
            match c {
                '"' => quoted = !quoted,
                '.' if !quoted => segments.push(std::mem::take(&mut segment)),
                c => segment.push(c),
            }
        }
        segments.push(segment);
        segments.retain(|segment| !segment.is_empty());
        Path { segments }
    }

    /// Returns the path of a child.
    pub fn child(&self, segment: &str) -> Path {
        let mut segments = self.segments.clone();
        segments.push(segment.to_owned());
        Path { segments }
    }

    /// Returns the path of an array element; `index` counts from 0.
    pub fn element(&self, index: usize) -> Path {
        self.child(&index.to_string())
    }

    /// Returns the path of the descendant that `segments` lead to from here.
    pub fn join(&self, segments: &[&str]) -> Path {
        segments
            .iter()
            .fold(self.clone(), |path, segment| path.child(segment))
    }

    /// Returns the segments, from the root down.
    pub fn segments(&self) -> &[String] {
        &self.segments
    }

    /// Reports whether this path equals `other` or is an ancestor of it.
    pub fn is_prefix_of(&self, other: &Path) -> bool {
        other.segments.starts_with(&self.segments)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, segment) in self.segments.iter().enumerate() {
            if i > 0 {
                f.write_str(".")?;
            }
            if is_bare(segment) {
                f.write_str(segment)?;
            } else {
                write!(f, "\"{segment}\"")?;
            }
        }
        Ok(())
    }
}

impl serde::Serialize for Path {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        serializer.collect_str(self)
    }
}

/// Reports whether a segment can be written without quotes, as a TOML bare key.
fn is_bare(segment: &str) -> bool {
    !segment.is_empty()
        && segment
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
