/*!
What changed between two trees, by path.

Trees are compared as their TOML: a change is a value that one side has otherwise or not at all. A
node that only one side has is one change with all that is in it.
*/

use std::fmt;

use serde::Serialize;
use toml::{Table, Value};

use super::{parse::read_value, Faults, Path, Tree};

/// A value that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Where.
    pub path: Path,
    /// The value before; none where there was none.
    pub old: Option<Value>,
    /// The value after; none where there is none.
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
    /// Reports whether two changes can't both be made: one's path is the other's or above it.
    ///
    /// The same change made twice is no clash.
    pub fn conflicts_with(&self, other: &Change) -> bool {
        let touches = self.path.is_prefix_of(&other.path) || other.path.is_prefix_of(&self.path);
        touches && self != other
    }
}

/// Lists what differs between two trees, in the order of paths.
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
    compare(&Path::root(), &table(old), &table(new), &mut changes);
    changes
}

/// Makes changes to a tree.
///
/// # Errors
///
/// Fails with every fault of the changed tree.
pub fn patch(tree: &Tree, changes: &[Change]) -> Result<Tree, Faults> {
    let mut root = Value::Table(table(tree));
    for change in changes {
        set(&mut root, change.path.segments(), change.new.clone());
    }
    let changed: Tree = match read_value(root) {
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

/// Sets or takes out the value at a path; nodes on the way are made where they are missing.
fn set(value: &mut Value, names: &[String], new: Option<Value>) {
    let (Value::Table(table), Some((name, rest))) = (value, names.split_first()) else {
        return;
    };
    if !rest.is_empty() {
        let empty = || Value::Table(Table::new());
        set(table.entry(name).or_insert_with(empty), rest, new);
        return;
    }
    match new {
        Some(new) => table.insert(name.clone(), new),
        None => table.remove(name),
    };
}

fn table(tree: &Tree) -> Table {
    Table::try_from(tree).expect("each value of a tree has a form in TOML")
}
