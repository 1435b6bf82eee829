//! Paths of nodes and values in the tree.

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
    names: Vec<String>,
}

impl Path {
    /// The path of the root.
    pub fn root() -> Path {
        Path::default()
    }

    /// Reads a path; names between double quotes may hold dots.
    pub fn parse(text: &str) -> Path {
        let mut names = Vec::new();
        let mut name = String::new();
        let mut quoted = false;
        for c in text.chars() {
            match c {
                '"' => quoted = !quoted,
                '.' if !quoted => names.push(std::mem::take(&mut name)),
                c => name.push(c),
            }
        }
        names.push(name);
        names.retain(|name| !name.is_empty());
        Path { names }
    }

    /// The path of a child.
    pub fn child(&self, name: &str) -> Path {
        let mut names = self.names.clone();
        names.push(name.to_owned());
        Path { names }
    }

    /// The path of an element of an array, counted from 0.
    pub fn element(&self, index: usize) -> Path {
        self.child(&index.to_string())
    }

    /// The path of a descendant, given name by name.
    pub fn join(&self, names: &[&str]) -> Path {
        names
            .iter()
            .fold(self.clone(), |path, name| path.child(name))
    }

    /// The names from the root.
    pub fn segments(&self) -> &[String] {
        &self.names
    }

    /// Reports whether this path is `other` or above it.
    pub fn is_prefix_of(&self, other: &Path) -> bool {
        other.names.starts_with(&self.names)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, name) in self.names.iter().enumerate() {
            if i > 0 {
                f.write_str(".")?;
            }
            if is_bare(name) {
                f.write_str(name)?;
            } else {
                write!(f, "\"{name}\"")?;
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

fn is_bare(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
