/*!
Differences between two trees, by path.

Trees are compared in their TOML form. A change is a value that differs or that only one side has. A
node that only one side has is a single change, with everything beneath it.
*/

use std::fmt;

use serde::Serialize;
use toml::{Table, Value};

use super::{parse::deserialize_value, Faults, Path, Tree};

/// A value that differs between two trees.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The path of the value.
    pub path: Path,
    /// The value before; `None` if it was added.
    pub old: Option<Value>,
    /// The value after; `None` if it was removed.
    pub new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { path, old, new } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {old} -> {new}"),
            (Some(old), None) => write!(f, "- {path} = {old}"),
            (None, Some(new)) => write!(f, "+ {path} = {new}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

impl Change {
    /// Reports whether two changes conflict: their paths are equal, or one is an ancestor of the
    /// other.
    ///
    /// Equal changes do not conflict.
    pub fn conflicts_with(&self, other: &Change) -> bool {
        let paths_overlap =
            self.path.is_prefix_of(&other.path) || other.path.is_prefix_of(&self.path);
        paths_overlap && self != other
    }
}

/// Lists the changes that turn one tree into another, in the order of their paths.
///
/// # Examples
///
/// ```
/// use cassiareel::settings::{diff, Draft};
///
/// let old = Draft::parse("platform.name = \"a\"").unwrap().tree;
/// let new = Draft::parse("platform.name = \"b\"").unwrap().tree;
/// let changes = diff(&old, &new);
/// assert_eq!(changes[0].to_string(), "~ platform.name: \"a\" -> \"b\"");
/// ```
pub fn diff(old: &Tree, new: &Tree) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(&Path::root(), &to_table(old), &to_table(new), &mut changes);
    changes
}

/// Applies changes to a tree.
///
/// # Errors
///
/// Returns every fault of the changed tree.
pub fn patch(tree: &Tree, changes: &[Change]) -> Result<Tree, Faults> {
    let mut root = Value::Table(to_table(tree));
    for change in changes {
        set_value(&mut root, change.path.segments(), change.new.clone());
    }
    let changed: Tree = match deserialize_value(root) {
        Ok(tree) => tree,
        Err(problem) => {
            let mut faults = Faults::default();
            faults.push(Path::root(), "", problem);
            return Err(faults);
        }
    };
    changed.check()?;
    Ok(changed)
}

fn compare(path: &Path, old: &Table, new: &Table, changes: &mut Vec<Change>) {
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let path = path.child(name);
        match (old.get(name), new.get(name)) {
            (Some(Value::Table(old)), Some(Value::Table(new))) => {
                compare(&path, old, new, changes);
            }
            (old, new) if old != new => changes.push(Change {
                path,
                old: old.cloned(),
                new: new.cloned(),
            }),
            _ => {}
        }
    }
}

/// Sets the value at a path, or removes it if `new` is `None`. Creates missing nodes on the way.
fn set_value(value: &mut Value, names: &[String], new: Option<Value>) {
    let (Value::Table(table), Some((name, rest))) = (value, names.split_first()) else {
        return;
    };
    if !rest.is_empty() {
        let empty = || Value::Table(Table::new());
        set_value(table.entry(name).or_insert_with(empty), rest, new);
        return;
    }
    match new {
        Some(new) => table.insert(name.clone(), new),
        None => table.remove(name),
    };
}

fn to_table(tree: &Tree) -> Table {
    Table::try_from(tree).expect("every value of a tree can be written as TOML")
}
