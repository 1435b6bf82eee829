/*!
Reading of the tree, with every fault at once.

The types of the tree stop at the first value that does not fit. An operator wants all of them, so
each such value is noted with its path, taken out, and the rest read again; then the checks that
need the whole tree run on what is left.
*/

use serde::Deserialize;
use serde_path_to_error::Segment;
use toml::{Table, Value};

use super::{check::check, Fault, Faults, Path, Tree};
use crate::kernel::Revision;

/// Faults after which reading stops.
const FAULT_LIMIT: usize = 100;

/// The key of a file that names the revision it was edited from.
const REVISION_KEY: &str = "revision";

/// A tree that an operator has written, and the revision that it was edited from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The revision; none where the file does not say.
    pub base: Option<Revision>,
    /// The tree.
    pub tree: Tree,
}

impl Draft {
    /// Reads and checks a tree in TOML.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the text, each with its path, its value and what would be right.
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
        let mut table = read_text(text)?;
        let base = take_revision(&mut table, &mut faults);
        let mut removed = Vec::new();
        let tree: Tree = read(Value::Table(table), &mut removed, &mut faults);
        let mut rest = Faults::default();
        check(&tree, &mut rest);
        for fault in rest.faults {
            let path = original_path(&fault.path, &removed);
            faults.faults.push(Fault { path, ..fault });
        }
        faults.into_result(Draft { base, tree })
    }

    /// Writes the tree with the revision that it is edited from.
    pub fn to_toml(&self) -> String {
        let tree = self.tree.to_toml();
        match self.base {
            Some(base) => format!("{REVISION_KEY} = {base}\n\n{tree}"),
            None => tree,
        }
    }
}

impl Tree {
    /// Writes the tree in TOML, the same text for the same tree.
    ///
    /// # Panics
    ///
    /// Never for a tree that was parsed: each of its values has a form in TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("each value of a tree has a form in TOML")
    }

    /// Reports the faults of a tree that was built or changed in memory.
    ///
    /// # Errors
    ///
    /// Fails with every fault.
    pub fn check(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();
        check(self, &mut faults);
        faults.into_result(())
    }
}

fn take_revision(table: &mut Table, faults: &mut Faults) -> Option<Revision> {
    let value = table.remove(REVISION_KEY)?;
    let revision = value.as_integer().and_then(|n| Revision::try_from(n).ok());
    if revision.is_none() {
        let problem = "not a revision: write the whole number that `cassiareel settings get` gave";
        faults.push(Path::root().child(REVISION_KEY), value.to_string(), problem);
    }
    revision
}

/// Reads a value of any type in TOML, adding every part that does not fit to `faults`.
///
/// # Errors
///
/// Fails where the text is not TOML at all.
pub fn parse_collecting_faults<T>(text: &str, faults: &mut Faults) -> Result<T, Faults>
where
    T: Default + for<'de> Deserialize<'de>,
{
    let table = read_text(text)?;
    Ok(read(Value::Table(table), &mut Vec::new(), faults))
}

fn read_text(text: &str) -> Result<Table, Faults> {
    text.parse::<Table>().map_err(|err| {
        let mut faults = Faults::default();
        faults.push(Path::root(), "", err.to_string().trim_end());
        faults
    })
}

/// Reads a value, noting and taking out what does not fit.
fn read<T>(mut root: Value, removed: &mut Vec<Path>, faults: &mut Faults) -> T
where
    T: Default + for<'de> Deserialize<'de>,
{
    loop {
        let err = match serde_path_to_error::deserialize::<_, T>(root.clone()) {
            Ok(tree) => return tree,
            Err(err) => err,
        };
        let found: Vec<Segment> = err.path().iter().cloned().collect();
        let taken = take(&mut root, &found);
        let path = original_path(&to_path(&found), removed);
        removed.push(path.clone());
        faults.faults.push(Fault {
            path,
            value: taken.as_ref().map(Value::to_string).unwrap_or_default(),
            problem: err.inner().message().to_owned(),
        });
        if taken.is_none() || faults.faults.len() >= FAULT_LIMIT {
            return T::default();
        }
    }
}

/// Takes a value out of a tree of values.
fn take(value: &mut Value, path: &[Segment]) -> Option<Value> {
    let (segment, rest) = path.split_first()?;
    match (segment, value) {
        (Segment::Map { key }, Value::Table(table)) if rest.is_empty() => table.remove(key),
        (Segment::Map { key }, Value::Table(table)) => take(table.get_mut(key)?, rest),
        (Segment::Seq { index }, Value::Array(array)) if rest.is_empty() => {
            (*index < array.len()).then(|| array.remove(*index))
        }
        (Segment::Seq { index }, Value::Array(array)) => take(array.get_mut(*index)?, rest),
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

/// The path in the operator's text, where elements that were taken out still count.
fn original_path(found: &Path, removed: &[Path]) -> Path {
    found
        .segments()
        .iter()
        .fold(Path::root(), |path, name| match name.parse() {
            Ok(index) => original_element(&path, index, removed),
            Err(_) => path.child(name),
        })
}

fn original_element(array: &Path, index: usize, removed: &[Path]) -> Path {
    let mut taken: Vec<usize> = removed
        .iter()
        .filter(|path| {
            array.is_prefix_of(path) && path.segments().len() == array.segments().len() + 1
        })
        .filter_map(|path| path.segments().last()?.parse().ok())
        .collect();
    taken.sort_unstable();
    let index = taken.into_iter().fold(
        index,
        |index, gone| {
            if gone <= index {
                index + 1
            } else {
                index
            }
        },
    );
    array.element(index)
}

/// Reads one node or value of a tree, for tests and tools.
pub(super) fn read_value<T>(value: Value) -> Result<T, String>
where
    T: for<'de> Deserialize<'de>,
{
    value
        .try_into()
        .map_err(|err: toml::de::Error| err.message().to_owned())
}
