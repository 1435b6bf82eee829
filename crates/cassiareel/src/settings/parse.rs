/*!
Parsing of the tree, reporting every fault at once.

Deserialization stops at the first value that does not fit its type. To report all of them, each
such value is recorded with its path and removed, and the rest is deserialized again. The checks
that need the whole tree then run on what is left.
*/

use serde::Deserialize;
use serde_path_to_error::Segment;
use toml::{Table, Value};

use super::{check::check, Fault, Faults, Path, Tree};
use crate::kernel::Revision;

/// Parsing stops after this many faults, and returns the default value.
const MAX_FAULTS: usize = 100;

/// The top-level key of a file that holds the revision it was edited from.
const REVISION_KEY: &str = "revision";

/// A tree that an operator edited, and the revision that it was edited from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The revision; `None` if the file does not name one.
    pub base: Option<Revision>,
    /// The tree.
    pub tree: Tree,
}

impl Draft {
    /// Parses and checks a tree in TOML.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, each with its path, its value and what is allowed there.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel::settings::Draft;
    ///
    /// let text = "[platform]\nnome = \"x\"\npolicy.time.queue = 5\n";
    /// let faults = Draft::parse(text).unwrap_err().faults;
    /// assert_eq!(faults.len(), 2);
    /// assert_eq!(faults[0].path.to_string(), "platform.nome");
    /// assert_eq!(faults[1].path.to_string(), "platform.policy.time.queue");
    /// ```
    pub fn parse(text: &str) -> Result<Draft, Faults> {
        let mut faults = Faults::default();
        let mut table = parse_table(text)?;
        let base = remove_revision(&mut table, &mut faults);
        let mut removed = Vec::new();
        let tree: Tree = deserialize_partial(Value::Table(table), &mut removed, &mut faults);
        let mut tree_faults = Faults::default();
        check(&tree, &mut tree_faults);
        for fault in tree_faults.faults {
            let path = original_path(&fault.path, &removed);
            faults.faults.push(Fault { path, ..fault });
        }
        faults.into_result(Draft { base, tree })
    }

    /// Formats the tree as TOML, with the revision that it was edited from.
    pub fn to_toml(&self) -> String {
        let tree = self.tree.to_toml();
        match self.base {
            Some(base) => format!("{REVISION_KEY} = {base}\n\n{tree}"),
            None => tree,
        }
    }
}

impl Tree {
    /// Formats the tree as TOML. Equal trees give the same text.
    ///
    /// # Panics
    ///
    /// Panics if a value can't be written as TOML, which never happens for a parsed tree.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("every value of a tree can be written as TOML")
    }

    /// Checks a tree that was built or changed in memory.
    ///
    /// # Errors
    ///
    /// Returns every fault of the tree.
    pub fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();
        check(self, &mut faults);
        faults.into_result(())
    }
}

/// Removes the revision from a parsed file and returns it.
fn remove_revision(table: &mut Table, faults: &mut Faults) -> Option<Revision> {
    let value = table.remove(REVISION_KEY)?;
    let revision = value.as_integer().and_then(|n| Revision::try_from(n).ok());
    if revision.is_none() {
        let problem =
            "not a revision: write the whole number that `cassiareel settings get` printed";
        faults.push(Path::root().child(REVISION_KEY), value.to_string(), problem);
    }
    revision
}

/// Parses TOML into a value of any type, adding a fault for every part that does not fit.
///
/// The parts that do not fit are left out of the returned value.
///
/// # Errors
///
/// Fails if the text is not valid TOML.
pub fn parse_collecting_faults<T>(text: &str, faults: &mut Faults) -> Result<T, Faults>
where
    T: Default + for<'de> Deserialize<'de>,
{
    let table = parse_table(text)?;
    Ok(deserialize_partial(
        Value::Table(table),
        &mut Vec::new(),
        faults,
    ))
}

fn parse_table(text: &str) -> Result<Table, Faults> {
    text.parse::<Table>().map_err(|err| {
        let mut faults = Faults::default();
        faults.push(Path::root(), "", err.to_string().trim_end());
        faults
    })
}

/// Deserializes a value; records what does not fit as faults, and removes it.
fn deserialize_partial<T>(mut root: Value, removed: &mut Vec<Path>, faults: &mut Faults) -> T
where
    T: Default + for<'de> Deserialize<'de>,
{
    loop {
        let err = match serde_path_to_error::deserialize::<_, T>(root.clone()) {
            Ok(tree) => return tree,
            Err(err) => err,
        };
        let segments: Vec<Segment> = err.path().iter().cloned().collect();
        let removed_value = remove_at(&mut root, &segments);
        let path = original_path(&to_path(&segments), removed);
        removed.push(path.clone());
        faults.faults.push(Fault {
            path,
            value: removed_value
                .as_ref()
                .map(Value::to_string)
                .unwrap_or_default(),
            problem: err.inner().message().to_owned(),
        });
        if removed_value.is_none() || faults.faults.len() >= MAX_FAULTS {
            return T::default();
        }
    }
}

/// Removes the value at a path, and returns it.
fn remove_at(value: &mut Value, path: &[Segment]) -> Option<Value> {
    let (segment, rest) = path.split_first()?;
    match (segment, value) {
        (Segment::Map { key }, Value::Table(table)) if rest.is_empty() => table.remove(key),
        (Segment::Map { key }, Value::Table(table)) => remove_at(table.get_mut(key)?, rest),
        (Segment::Seq { index }, Value::Array(array)) if rest.is_empty() => {
            (*index < array.len()).then(|| array.remove(*index))
        }
        (Segment::Seq { index }, Value::Array(array)) => remove_at(array.get_mut(*index)?, rest),
        _ => None,
    }
}

fn to_path(segments: &[Segment]) -> Path {
    segments
        .iter()
        .fold(Path::root(), |path, segment| match segment {
            Segment::Map { key } => path.child(key),
            Segment::Seq { index } => path.element(*index),
            _ => path,
        })
}

/// Returns the path in the operator's text for a path in the partly removed value.
///
/// Removed array elements shift the indices after them; the operator's text still has them.
fn original_path(current: &Path, removed: &[Path]) -> Path {
    current
        .segments()
        .iter()
        .fold(Path::root(), |path, segment| match segment.parse() {
            Ok(index) => original_element(&path, index, removed),
            Err(_) => path.child(segment),
        })
}

/// Returns the original path of the element that is now at `index` of an array.
fn original_element(array: &Path, index: usize, removed: &[Path]) -> Path {
    let mut removed_indices: Vec<usize> = removed
        .iter()
        .filter(|path| {
            array.is_prefix_of(path) && path.segments().len() == array.segments().len() + 1
        })
        .filter_map(|path| path.segments().last()?.parse().ok())
        .collect();
    removed_indices.sort_unstable();
    let index = removed_indices
        .into_iter()
        .fold(index, |index, removed_index| {
            if removed_index <= index {
                index + 1
            } else {
                index
            }
        });
    array.element(index)
}

/// Deserializes a node or value of a tree; stops at the first value that does not fit.
pub(super) fn deserialize_value<T>(value: Value) -> Result<T, String>
where
    T: for<'de> Deserialize<'de>,
{
    value
        .try_into()
        .map_err(|err: toml::de::Error| err.message().to_owned())
}
