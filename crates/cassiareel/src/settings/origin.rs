//! Where each value of a resolved policy comes from.

use serde::Serialize;
use toml::{Table, Value};

use super::{Layer, Path, Policy, ResolvedPolicy, Scope, Tree};

/// A value with the node that says it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Origin {
    /// The value's name, such as `time.queue`.
    pub name: Path,
    /// The value, as TOML.
    pub value: String,
    /// The policy that says it; none for the built-in value.
    pub from: Option<Path>,
}

impl Tree {
    /// Lists every value along the path of a request with its origin.
    pub fn origins(&self, scope: &Scope) -> Vec<Origin> {
        let defaults = table(&ResolvedPolicy::default().to_policy());
        let layers: Vec<(Path, Table)> = self
            .layers(scope)
            .into_iter()
            .map(|Layer { path, policy }| (path, table(policy)))
            .collect();
        let mut origins = Vec::new();
        for (group, values) in &defaults {
            for (name, value) in values.as_table().into_iter().flatten() {
                origins.push(origin(group, name, value, &layers));
            }
        }
        origins
    }
}

fn origin(group: &str, name: &str, default: &Value, layers: &[(Path, Table)]) -> Origin {
    let said = layers.iter().rev().find_map(|(path, table)| {
        let value = table.get(group)?.as_table()?.get(name)?;
        Some((path.clone(), value))
    });
    let (from, value) = match said {
        Some((path, value)) => (Some(path), value),
        None => (None, default),
    };
    Origin {
        name: Path::root().join(&[group, name]),
        value: value.to_string(),
        from,
    }
}

fn table(policy: &Policy) -> Table {
    Table::try_from(policy).expect("each value of a policy has a form in TOML")
}
