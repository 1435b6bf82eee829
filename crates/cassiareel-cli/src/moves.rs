//! Commands on moves between versions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cassiareel::{
    backend::{Engine, HttpEngine},
    control::{moves, wall_seconds, ChangeError},
    kernel::{
        moves::{Plan, Record, Resources, Scope, State, Status, Verdict},
        ServiceId, VersionId,
    },
    settings::{units::DurationText, ServiceKind, Tree},
    store::Objects,
};
use serde_json::json;
use smol::Timer;

use crate::{
    report::{heading, table},
    status::query_all,
    Code, Error, Report,
};

/// The interval at which `move wait` polls the move.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The time limit for an engine to report which versions it has loaded.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// Options of a new move.
#[derive(Clone, Debug)]
pub struct MoveOptions {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub to: VersionId,
    /// The proven version; by default the one that the traffic uses now.
    pub from: Option<VersionId>,
    /// The time within which the move must be done.
    pub within: Duration,
    /// The time to load the new version on one backend server.
    pub load_time: Duration,
    /// The traffic to move.
    pub scope: Scope,
}

/// Starts a move.
///
/// # Errors
///
/// Fails if the service, the version or its backend servers do not exist, if the time is too short,
/// or if another move of the service is open.
pub async fn start_move(
    objects: &dyn Objects,
    tree: &Tree,
    author: &str,
    options: &MoveOptions,
) -> Result<Report, Error> {
    let record = moves::status(objects, &options.service).await?;
    let from = match &options.from {
        Some(from) => from.clone(),
        None => proven_version(tree, &record, options)?,
    };
    for version in [&from, &options.to] {
        check_version(tree, &options.service, version)?;
    }
    let plan = Plan {
        service: options.service.clone(),
        from,
        to: options.to.clone(),
        scope: options.scope.clone(),
        within_secs: options.within.as_secs(),
    };
    let resources = resources(tree, options).await;
    let status = moves::start(objects, plan, resources, author).await?;
    let text = format!(
        "move {} of {} from {} to {} has started and must be done in {}\nnext: `cassiareel move wait {}`",
        status.id,
        status.plan.service,
        status.plan.from,
        status.plan.to,
        DurationText::format(status.plan.within()),
        status.plan.service
    );
    Ok(Report::new(text, json!({"move": status})))
}

/// Reports the state of the latest move of a service.
///
/// # Errors
///
/// Fails if the object API can't be read.
pub async fn move_status(objects: &dyn Objects, service: &str) -> Result<Report, Error> {
    let record = moves::status(objects, service).await?;
    let Some(status) = &record.latest else {
        let text = format!("no move of {service} has been started");
        return Ok(Report::new(text, json!({"move": null})));
    };
    let verdict = find_verdict(&record, status);
    let mut text = format!(
        "move {} of {service} from {} to {}: {}",
        status.id,
        status.plan.from,
        status.plan.to,
        describe_state(status)
    );
    if let Some(verdict) = verdict {
        text = format!("{text}\n{}", describe_verdict(verdict));
    }
    let json = json!({"move": status, "verdict": verdict, "settled": record.settled});
    Ok(Report::new(text, json))
}

/// Waits until the latest move of a service has ended.
///
/// The exit code is 6 if the move has not ended within the limit, and 1 if it was rolled back or
/// cancelled.
///
/// # Errors
///
/// Fails if the object API can't be read.
pub async fn wait_move(
    objects: &dyn Objects,
    service: &str,
    limit: Duration,
) -> Result<Report, Error> {
    let until = Instant::now() + limit;
    loop {
        let record = moves::status(objects, service).await?;
        let state = record.latest.as_ref().map(|status| status.state);
        let code = match state {
            Some(state) if state.is_open() && Instant::now() < until => {
                Timer::after(POLL_INTERVAL).await;
                continue;
            }
            Some(State::Running | State::Paused) => Code::Pending,
            Some(State::Reversed | State::Cancelled) => Code::Refused,
            Some(State::Done) | None => Code::Success,
        };
        return Ok(move_status(objects, service).await?.with_code(code));
    }
}

/// A change that an operator makes to an open move.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MoveChange {
    /// Keeps the traffic shares as they are.
    Pause,
    /// Lets the traffic shares rise again.
    Resume,
    /// Returns all traffic to the proven version.
    Cancel,
}

/// Pauses, resumes or cancels the open move of a service.
///
/// # Errors
///
/// Fails if no move is open.
pub async fn change_move(
    objects: &dyn Objects,
    service: &str,
    author: &str,
    change: MoveChange,
) -> Result<Report, Error> {
    match change {
        MoveChange::Pause => moves::pause(objects, service, author).await?,
        MoveChange::Resume => moves::resume(objects, service, author).await?,
        MoveChange::Cancel => moves::cancel(objects, service, author).await?,
    }
    move_status(objects, service).await
}

/// Lists every state change of the moves of a service, latest first.
///
/// # Errors
///
/// Fails if the object API can't be read.
pub async fn move_history(objects: &dyn Objects, service: &str) -> Result<Report, Error> {
    let entries = moves::history(objects, service).await?;
    let now = wall_seconds();
    let mut rows = vec![heading(&["move", "age", "state", "why"])];
    rows.extend(entries.iter().rev().map(|entry| {
        let age = Duration::from_secs(now.saturating_sub(entry.at));
        let state = format!("{:?}", entry.state).to_lowercase();
        vec![
            entry.id.to_string(),
            DurationText::format(age),
            state,
            entry.reason.clone(),
        ]
    }));
    Ok(Report::new(table(&rows), json!({"history": entries})))
}

/// Returns the version that the traffic of a move uses now.
fn proven_version(tree: &Tree, record: &Record, options: &MoveOptions) -> Result<VersionId, Error> {
    let Some(service) = tree.services.get(&options.service) else {
        return Err(service_not_found(tree, &options.service));
    };
    let settled = record.settled.iter().rev();
    let latest = record
        .latest
        .iter()
        .filter(|status| status.state == State::Done);
    let done = latest
        .map(|status| (&status.plan.scope, &status.plan.to))
        .chain(settled.map(|settled| (&settled.scope, &settled.version)));
    let moved = done
        .into_iter()
        .find(|(scope, _)| **scope == options.scope || **scope == Scope::default())
        .map(|(_, version)| version.clone());
    Ok(moved.unwrap_or_else(|| {
        configured_version(tree, options)
            .unwrap_or(&service.version)
            .clone()
    }))
}

/// Returns the version that the tree sets for the caller, client account or data centre of a move, if
/// any.
fn configured_version<'a>(tree: &'a Tree, options: &MoveOptions) -> Option<&'a VersionId> {
    let account = options.scope.account.as_ref();
    let account = account.and_then(|name| tree.accounts.get(name));
    let caller = options.scope.caller.as_ref();
    let caller = caller.and_then(|name| account?.callers.get(name));
    let data_centre = options.scope.data_centre.as_ref().and_then(|name| {
        let mut regions = tree.regions.values();
        regions.find_map(|region| region.data_centres.get(name))
    });
    caller
        .and_then(|caller| caller.versions.get(&options.service))
        .or_else(|| account?.versions.get(&options.service))
        .or_else(|| data_centre?.versions.get(&options.service))
}

/// Checks that a service has a version.
fn check_version(tree: &Tree, service: &str, version: &str) -> Result<(), Error> {
    let Some(node) = tree.services.get(service) else {
        return Err(service_not_found(tree, service));
    };
    if node.versions.contains_key(version) {
        return Ok(());
    }
    let names: Vec<&str> = node.versions.keys().map(|name| &**name).collect();
    Err(Error::new(
        Code::Refused,
        format!("service {service} has no version {version}"),
        format!("the tree has: {}", names.join(", ")),
    ))
}

/// Returns the error for a service that does not exist, with the names of those that do.
fn service_not_found(tree: &Tree, service: &str) -> Error {
    let names: Vec<&str> = tree.services.keys().map(|name| &**name).collect();
    Error::new(
        Code::Refused,
        format!("there is no service {service}"),
        format!("the tree has: {}", names.join(", ")),
    )
}

/// Returns the resources of a move: the backend servers that the tree places, and how many of them
/// report that they have loaded the new version.
///
/// An engine that does not answer counts as not loaded.
async fn resources(tree: &Tree, options: &MoveOptions) -> Resources {
    let node = tree.services.get(&options.service);
    let version = node.and_then(|node| node.versions.get(&options.to));
    let placements: Vec<_> = version
        .into_iter()
        .flat_map(|version| &version.placements)
        .filter(|(data_centre, _)| {
            let wanted = options.scope.data_centre.as_ref();
            wanted.is_none_or(|wanted| wanted == *data_centre)
        })
        .collect();
    let servers: Vec<SocketAddr> = placements
        .iter()
        .flat_map(|(_, placement)| placement.servers.iter().copied())
        .collect();
    let parallel_loads: u32 = placements.iter().map(|(_, p)| p.surge.unwrap_or(1)).sum();
    let is_model = node.is_some_and(|node| node.kind == ServiceKind::Model);
    let loaded = match is_model {
        true => count_loaded(&servers, &options.service, &options.to).await,
        false => servers.len(),
    };
    Resources {
        servers: servers.len(),
        loaded,
        parallel_loads: parallel_loads as usize,
        load_time: options.load_time,
    }
}

/// Counts the engines that report the version as loaded.
async fn count_loaded(servers: &[SocketAddr], service: &str, version: &str) -> usize {
    let name = format!("{service}@{version}");
    let is_loaded = |addr: SocketAddr| {
        let name = name.clone();
        async move {
            let report = HttpEngine::new(addr, ENGINE_TIMEOUT).load().await;
            report.is_ok_and(|report| report.versions.iter().any(|v| **v == *name))
        }
    };
    let answers = query_all(servers, is_loaded).await;
    answers.into_iter().filter(|is_loaded| *is_loaded).count()
}

/// Returns the verdict on the new version of a move, if there is one.
fn find_verdict<'a>(record: &'a Record, status: &Status) -> Option<&'a Verdict> {
    record
        .verdicts
        .iter()
        .find(|verdict| verdict.id == status.id && verdict.version == status.plan.to)
}

fn describe_state(status: &Status) -> String {
    let end = status.started + status.plan.within_secs;
    let left = end.saturating_sub(wall_seconds());
    let left = DurationText::format(Duration::from_secs(left));
    match status.state {
        State::Running => format!("running, {left} left"),
        State::Paused => format!("paused, {left} left; the judge keeps running"),
        State::Done => "done".to_owned(),
        State::Reversed => "rolled back".to_owned(),
        State::Cancelled => "cancelled by an operator".to_owned(),
    }
}

fn describe_verdict(verdict: &Verdict) -> String {
    let evidence = &verdict.evidence;
    format!(
        "version {} is bad: in {}, {} of {} requests had {}, while {:.1}% were expected",
        verdict.version,
        evidence.scope,
        evidence.faults,
        evidence.requests,
        evidence.fault,
        evidence.expected * 100.0
    )
}

impl From<ChangeError> for Error {
    fn from(err: ChangeError) -> Error {
        let message = err.to_string();
        match err {
            ChangeError::Store { source } => source.into(),
            ChangeError::Refused { .. } => Error::new(
                Code::Refused,
                message,
                "`cassiareel move status SERVICE` shows the state of its latest move",
            ),
            ChangeError::Contended { .. } => {
                Error::new(Code::Conflict, message, "run the command again")
            }
            ChangeError::Malformed { name, .. } => Error::new(
                Code::Refused,
                message,
                format!("inspect the object `{name}` in the object API; another program wrote it"),
            ),
        }
    }
}
