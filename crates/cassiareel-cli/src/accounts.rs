//! Commands on client accounts.

use cassiareel::{
    settings::{Account, Tree},
    store::Objects,
};
use serde_json::json;

use crate::{
    report::{heading, table},
    settings::{applied_report, edit_accepted},
    Code, Error, Report,
};

/// Lists client accounts.
pub fn accounts(tree: &Tree) -> Report {
    let mut rows = vec![heading(&["account", "callers", "keys", "services"])];
    let mut list = Vec::new();
    for (name, account) in &tree.accounts {
        let keys: usize = account.callers.values().map(|c| c.keys.len()).sum();
        let callers: Vec<&str> = account.callers.keys().map(|name| &**name).collect();
        rows.push(vec![
            name.to_string(),
            callers.len().to_string(),
            keys.to_string(),
            account.services.join(", "),
        ]);
        list.push(json!({
            "account": name, "callers": callers, "keys": keys, "services": account.services,
        }));
    }
    Report::new(table(&rows), json!({"accounts": list}))
}

/// Adds a client account.
///
/// # Errors
///
/// Fails if there is already one of that name, and as [`cassiareel::settings::apply`] does.
pub async fn add_account(
    objects: &dyn Objects,
    author: &str,
    name: &str,
    services: &[&str],
) -> Result<Report, Error> {
    let add = |tree: &mut Tree| {
        if tree.accounts.contains_key(name) {
            return Err(Error::new(
                Code::Refused,
                format!("there is already a client account {name}"),
                "to change it, edit it in the file that `cassiareel settings get` writes",
            ));
        }
        let account = Account {
            services: services.iter().map(|&service| service.into()).collect(),
            ..Account::default()
        };
        tree.accounts.insert(name.into(), account);
        Ok(())
    };
    let note = format!("add client account {name}");
    let applied = edit_accepted(objects, author, &note, add).await?;
    Ok(applied_report(&applied))
}

/// Removes a client account with its callers and keys.
///
/// # Errors
///
/// Fails if there is none of that name, and as [`cassiareel::settings::apply`] does.
pub async fn remove_account(
    objects: &dyn Objects,
    author: &str,
    name: &str,
) -> Result<Report, Error> {
    let remove = |tree: &mut Tree| match tree.accounts.remove(name) {
        Some(_) => Ok(()),
        None => Err(account_not_found(tree, name)),
    };
    let note = format!("remove client account {name}");
    let applied = edit_accepted(objects, author, &note, remove).await?;
    Ok(applied_report(&applied))
}

/// Returns the error for a client account that does not exist, with the names of those that do.
pub(crate) fn account_not_found(tree: &Tree, name: &str) -> Error {
    let names: Vec<&str> = tree.accounts.keys().map(|name| &**name).collect();
    Error::new(
        Code::Refused,
        format!("there is no client account {name}"),
        format!("the tree has: {}", names.join(", ")),
    )
}
