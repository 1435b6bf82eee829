//! Checks of client accounts, callers and keys.

use std::collections::BTreeMap;

use super::{check_name, check_version, no_service, quote};
use crate::settings::{
    units::{Digest, Share},
    Account, Faults, Path, Reserve, Scope, Tree,
};

/// Adds the faults of all client accounts, callers and keys to `faults`.
pub(super) fn check(tree: &Tree, faults: &mut Faults) {
    let root = Path::root().child("accounts");
    let limit = tree.resolve(&Scope::default()).limits.open_requests;
    let reserves = tree.accounts.values().map(|account| &account.reserve);
    check_sums(
        &root,
        "client accounts",
        "the platform",
        limit,
        reserves,
        faults,
    );
    for (name, account) in &tree.accounts {
        let path = root.child(name);
        check_name(&path, name, faults);
        check_services(tree, &path, account, faults);
        check_callers(tree, &path, name, account, faults);
    }
    check_keys(tree, faults);
}

fn check_services(tree: &Tree, path: &Path, account: &Account, faults: &mut Faults) {
    for (i, service) in account.services.iter().enumerate() {
        let path = path.child("services").element(i);
        if !tree.services.contains_key(service) {
            faults.push(path, quote(service), no_service(tree, service));
        } else if account.services[..i].contains(service) {
            faults.push(path, quote(service), "listed twice: remove one");
        }
    }
    for (service, version) in &account.versions {
        let path = path.join(&["versions", service]);
        check_use(&path, account, service, faults);
        check_version(tree, &path, service, version, faults);
    }
    for service in account.uses.keys() {
        check_use(&path.join(&["uses", service]), account, service, faults);
    }
}

/// Checks that an account may use a service that it or its caller has settings for.
fn check_use(path: &Path, account: &Account, service: &str, faults: &mut Faults) {
    if !account.services.iter().any(|name| &**name == service) {
        let problem =
            format!("the account may not use {service}: add it to the account's services");
        faults.push(path.clone(), "", problem);
    }
}

fn check_callers(tree: &Tree, path: &Path, name: &str, account: &Account, faults: &mut Faults) {
    let scope = Scope {
        account: Some(name),
        ..Scope::default()
    };
    let limit = tree.resolve(&scope).limits.open_requests;
    let path = path.child("callers");
    let reserves = account.callers.values().map(|caller| &caller.reserve);
    check_sums(&path, "callers", "the account", limit, reserves, faults);
    for (label, caller) in &account.callers {
        let path = path.child(label);
        check_name(&path, label, faults);
        for (service, version) in &caller.versions {
            let path = path.join(&["versions", service]);
            check_use(&path, account, service, faults);
            check_version(tree, &path, service, version, faults);
        }
    }
}

/// Rejects reserves whose sum exceeds the capacity of their parent.
fn check_sums<'a, I>(
    path: &Path,
    children: &str,
    parent: &str,
    limit: Option<u32>,
    reserves: I,
    faults: &mut Faults,
) where
    I: Iterator<Item = &'a Reserve>,
{
    let (mut ppm, mut requests) = (0, 0);
    for reserve in reserves {
        ppm += u64::from(reserve.share.unwrap_or_default().ppm());
        requests += u64::from(reserve.open_requests.unwrap_or_default());
    }
    if ppm > u64::from(Share::WHOLE.ppm()) {
        let sum = ppm as f64 / 1e4;
        let problem =
            format!("reserve.share of all {children} adds up to {sum}%: lower it to at most 100%");
        faults.push(path.clone(), "", problem);
    }
    if let Some(limit) = limit.filter(|limit| requests > u64::from(*limit)) {
        let problem = format!(
            "reserve.open_requests of all {children} adds up to {requests}, but {parent} has \
             limits.open_requests = {limit}: lower it to at most {limit}, or raise the limit"
        );
        faults.push(path.clone(), "", problem);
    }
}

/// Rejects a key that belongs to more than one caller or operator.
fn check_keys(tree: &Tree, faults: &mut Faults) {
    let mut owners: BTreeMap<Digest, Path> = BTreeMap::new();
    let mut record = |path: Path, digest: &Digest| {
        if let Some(owner) = owners.get(digest) {
            let problem =
                format!("the same key as {owner}: make a new one with `cassiareel keys add`");
            faults.push(path, quote(&digest.to_string()), problem);
        } else {
            owners.insert(*digest, path);
        }
    };
    for (name, operator) in &tree.platform.operators {
        let path = Path::root().join(&["platform", "operators", name, "keys"]);
        for (key, digest) in &operator.keys {
            record(path.child(key), digest);
        }
    }
    for (name, account) in &tree.accounts {
        for (label, caller) in &account.callers {
            let path = Path::root().join(&["accounts", name, "callers", label, "keys"]);
            for (key, digest) in &caller.keys {
                record(path.child(key), digest);
            }
        }
    }
}
