//! Origins: which node of the tree sets each value of a resolved policy.

use serde::Serialize;
use toml::{Table, Value};

use super::{Layer, Path, Policy, ResolvedPolicy, Scope, Tree};

/// A value of a resolved policy and the node that sets it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Origin {
    /// The group and name of the value, such as `time.queue`.
    pub name: Path,
    /// The value as TOML.
    pub value: String,
    /// The path of the policy that sets the value; `None` for the built-in default.
    pub from: Option<Path>,
}

impl Tree {
    /// Lists every policy value that applies to a request, with its origin.
    pub fn origins(&self, scope: &Scope) -> Vec<Origin> {
        let defaults = to_table(&ResolvedPolicy::default().to_policy());
        let layers: Vec<(Path, Table)> = self
            .layers(scope)
            .into_iter()
            .map(|Layer { path, policy }| (path, to_table(policy)))
            .collect();
        let mut origins = Vec::new();
        for (group, values) in &defaults {
            for (name, value) in values.as_table().into_iter().flatten() {
                origins.push(find_origin(group, name, value, &layers));
            }
        }
        origins
    }
}

/// Finds the last layer that sets a value; the later layer takes precedence.
fn find_origin(group: &str, name: &str, default: &Value, layers: &[(Path, Table)]) -> Origin {
    let found = layers.iter().rev().find_map(|(path, table)| {
        let value = table.get(group)?.as_table()?.get(name)?;
        Some((path.clone(), value))
    });
    let (from, value) = match found {
        Some((path, value)) => (Some(path), value),
        None => (None, default),
    };
    Origin {
        name: Path::root().join(&[group, name]),
        value: value.to_string(),
        from,
    }
}

fn to_table(policy: &Policy) -> Table {
    Table::try_from(policy).expect("every value of a policy can be written as TOML")
}
