//! Commands on keys of callers and operators.

use std::collections::btree_map::Entry;

use cassiareel::{
    settings::{key_digest, units::Digest, KeyDigests, Tree},
    store::Objects,
};
use serde_json::json;

use crate::{
    accounts::account_not_found,
    report::{heading, table},
    settings::{applied_report, edit_accepted},
    Code, Error, Report,
};

/// The number of random bytes in a key, which come from the operating system.
const KEY_LENGTH: usize = 32;

/// The prefix of every key, by which scanners for leaked secrets recognise it.
const KEY_PREFIX: &str = "crk-";

/// The number of hexadecimal digits of a digest that `keys list` shows.
const SHORT_DIGEST_DIGITS: usize = 12;

/// The owner of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyOwner<'a> {
    /// A caller.
    Caller {
        /// The client account.
        account: &'a str,
        /// The caller in the client account.
        caller: &'a str,
    },
    /// An operator.
    Operator(&'a str),
}

impl KeyOwner<'_> {
    /// Returns a description of the owner.
    fn describe(&self) -> String {
        match self {
            KeyOwner::Caller { account, caller } => format!("caller {caller} of {account}"),
            KeyOwner::Operator(name) => format!("operator {name}"),
        }
    }

    /// Returns the keys of the owner, which is added if it does not exist.
    fn keys_mut<'t>(&self, tree: &'t mut Tree) -> Result<&'t mut KeyDigests, Error> {
        match *self {
            KeyOwner::Operator(name) => {
                let node = tree.platform.operators.entry(name.to_owned()).or_default();
                Ok(&mut node.keys)
            }
            KeyOwner::Caller { account, caller } => {
                if !tree.accounts.contains_key(account) {
                    return Err(account_not_found(tree, account));
                }
                let node = tree.accounts.entry(account.into()).or_default();
                Ok(&mut node.callers.entry(caller.into()).or_default().keys)
            }
        }
    }
}

/// Lists the names and digests of all keys.
pub fn list_keys(tree: &Tree) -> Report {
    let mut rows = vec![heading(&["owner", "key", "digest"])];
    let mut list = Vec::new();
    let mut add = |owner: KeyOwner<'_>, keys: &KeyDigests| {
        for (name, digest) in keys {
            let digest = digest.to_string();
            let short_digest = digest[..SHORT_DIGEST_DIGITS].to_owned();
            rows.push(vec![owner.describe(), name.clone(), short_digest]);
            list.push(json!({"owner": owner.describe(), "key": name, "digest": digest}));
        }
    };
    for (name, operator) in &tree.platform.operators {
        add(KeyOwner::Operator(name), &operator.keys);
    }
    for (account, node) in &tree.accounts {
        for (caller, caller_node) in &node.callers {
            add(KeyOwner::Caller { account, caller }, &caller_node.keys);
        }
    }
    Report::new(table(&rows), json!({"keys": list}))
}

/// Generates a key, stores its digest, and returns the key, which is not stored anywhere.
///
/// # Errors
///
/// Fails if the owner already has a key of that name, and as [`cassiareel::settings::apply`] does.
pub async fn add_key(
    objects: &dyn Objects,
    author: &str,
    owner: KeyOwner<'_>,
    name: &str,
) -> Result<Report, Error> {
    let key = generate_key()?;
    let add = |tree: &mut Tree| match owner.keys_mut(tree)?.entry(name.to_owned()) {
        Entry::Vacant(entry) => {
            entry.insert(Digest(key_digest(&key)));
            Ok(())
        }
        Entry::Occupied(_) => Err(Error::new(
            Code::Refused,
            format!("{} already has a key {name}", owner.describe()),
            "give the new key another --name, and remove the old one when it is no longer used",
        )),
    };
    let note = format!("add key {name} of {}", owner.describe());
    let applied = edit_accepted(objects, author, &note, add).await?;
    let revision = applied.revision;
    let text = format!(
        "key {name} of {}, in force with revision {revision}; it is not stored anywhere, so save it now:\n{key}",
        owner.describe()
    );
    let json = json!({"owner": owner.describe(), "name": name, "key": key, "revision": revision});
    Ok(Report::new(text, json))
}

/// Removes a key.
///
/// # Errors
///
/// Fails if the owner has no key of that name, and as [`cassiareel::settings::apply`] does.
pub async fn remove_key(
    objects: &dyn Objects,
    author: &str,
    owner: KeyOwner<'_>,
    name: &str,
) -> Result<Report, Error> {
    let remove = |tree: &mut Tree| match owner.keys_mut(tree)?.remove(name) {
        Some(_) => Ok(()),
        None => Err(Error::new(
            Code::Refused,
            format!("{} has no key {name}", owner.describe()),
            "`cassiareel keys list` lists its keys",
        )),
    };
    let note = format!("remove key {name} of {}", owner.describe());
    let applied = edit_accepted(objects, author, &note, remove).await?;
    Ok(applied_report(&applied))
}

/// Generates a random key.
fn generate_key() -> Result<String, Error> {
    let mut bytes = [0; KEY_LENGTH];
    getrandom::fill(&mut bytes).map_err(|err| {
        Error::new(
            Code::Refused,
            format!("the operating system provided no random bytes: {err}"),
            "run the command on another machine",
        )
    })?;
    Ok(format!("{KEY_PREFIX}{}", hex::encode(bytes)))
}
