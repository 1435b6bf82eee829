//! Commands on orders, which are non-idempotent calls, whose outcome is unknown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassiareel::{
    backend::{CallStatus, HttpService, Service},
    hooks::NoHooks,
    kernel::order::{State, Verdict},
    observe::Metrics,
    orders::{OpenOrder, Orders, SettleError},
    runtime::Runtime,
    settings::{units::DurationText, Scope, Tree},
    store::Objects,
};
use serde_json::{json, Value};
use slog::{o, Discard, Logger};

use crate::{
    report::{heading, table},
    Code, Error, Report,
};

/// The time limit for a backend server to answer a query about an order.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after a call's own time limits in which it may still be in progress.
const IN_FLIGHT_MARGIN: Duration = Duration::from_secs(30);

/// The number of digits of an order's name that a list shows. They identify the order as long as no
/// other name has the same prefix.
const SHORT_NAME_DIGITS: usize = 12;

/// The answer of a service to a query about an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServiceAnswer {
    /// The order ran.
    Ran,
    /// The service does not know whether the order ran.
    Inconclusive,
    /// No backend server of the service gave a valid answer.
    NoAnswer,
}

impl ServiceAnswer {
    fn text(self) -> &'static str {
        match self {
            ServiceAnswer::Ran => "the service says that it ran",
            ServiceAnswer::Inconclusive => {
                "the service has no record of it; it may never have arrived, or may still arrive"
            }
            ServiceAnswer::NoAnswer => "no backend server of the service could be queried",
        }
    }
}

/// Lists the open orders, which are in progress or of unknown outcome, oldest first.
///
/// # Errors
///
/// Fails when the object API can't be read.
pub async fn list_orders(objects: Arc<dyn Objects>) -> Result<Report, Error> {
    let open = order_records(objects).list_open().await?;
    let names = [
        "order", "age", "state", "service", "account", "caller", "key",
    ];
    let mut rows = vec![heading(&names)];
    let mut list = Vec::new();
    for order in &open {
        rows.push(vec![
            short_name(&order.name).to_owned(),
            format_age(order),
            state_name(order).to_owned(),
            order.record.service.to_string(),
            order.record.account.to_string(),
            order.record.caller.to_string(),
            order.record.key.to_string(),
        ]);
        list.push(to_json(order));
    }
    let text = match open.is_empty() {
        true => "no order is open".to_owned(),
        false => table(&rows),
    };
    Ok(Report::new(text, json!({"orders": list})))
}

/// Queries the service about the outcome of an order; changes nothing.
///
/// # Errors
///
/// Fails unless exactly one open order has a name with the given prefix.
pub async fn query_order(
    objects: Arc<dyn Objects>,
    tree: &Tree,
    name: &str,
) -> Result<Report, Error> {
    let order = find_order(&order_records(objects), name).await?;
    let answer = query_service(tree, &order).await;
    let next = match answer {
        ServiceAnswer::Ran => "settle it with --ran",
        ServiceAnswer::Inconclusive => {
            "check the service's own records, then settle it with --ran or --not-run"
        }
        ServiceAnswer::NoAnswer => "query it again when the service is reachable",
    };
    let text = format!(
        "order {}: {}\nnext: {next}",
        short_name(&order.name),
        answer.text()
    );
    let json = json!({"order": to_json(&order), "word": answer.text(), "ran": answer == ServiceAnswer::Ran});
    Ok(Report::new(text, json))
}

/// Settles an order for good: a repeat of its key is answered with the verdict and never runs.
///
/// # Errors
///
/// Fails if the order may still be in progress, if its outcome is known, or if it is to be settled as
/// not run while the service reports that it ran.
pub async fn settle_order(
    objects: Arc<dyn Objects>,
    tree: &Tree,
    name: &str,
    verdict: Verdict,
) -> Result<Report, Error> {
    let records = order_records(objects);
    let order = find_order(&records, name).await?;
    if verdict == Verdict::NotRun && query_service(tree, &order).await == ServiceAnswer::Ran {
        return Err(Error::new(
            Code::Refused,
            format!(
                "the service says that order {} ran",
                short_name(&order.name)
            ),
            "settle it with --ran",
        ));
    }
    records
        .settle(&order.name, verdict, min_settle_age(tree, &order))
        .await?;
    let outcome = match verdict {
        Verdict::Ran => "ran",
        Verdict::NotRun => "not run",
    };
    let text = format!(
        "order {} is settled as {outcome}; a repeat of its key gets this answer and does not run",
        short_name(&order.name)
    );
    Ok(Report::new(
        text,
        json!({"order": order.name, "verdict": verdict}),
    ))
}

/// Returns access to the stored records of orders.
fn order_records(objects: Arc<dyn Objects>) -> Orders {
    // Listing and settling orders spawn no tasks, so the runtime may end as soon as this returns.
    let spawner = Runtime::new("orders", 1).spawner();
    Orders::new(
        objects,
        spawner,
        Arc::new(NoHooks),
        Arc::new(Metrics::none()),
        Logger::root(Discard, o!()),
    )
}

/// Finds the open order whose name has a prefix that no other open order has.
async fn find_order(records: &Orders, name: &str) -> Result<OpenOrder, Error> {
    if name.is_empty() {
        return Err(Error::new(
            Code::Refused,
            "an empty name matches no order",
            "`cassiareel orders list` lists the open orders",
        ));
    }
    let mut found = records.list_open().await?;
    found.retain(|order| order.name.starts_with(name));
    match found.len() {
        1 => Ok(found.remove(0)),
        0 => Err(Error::new(
            Code::Refused,
            format!("no open order has the name {name}"),
            "`cassiareel orders list` lists the open orders",
        )),
        count => Err(Error::new(
            Code::Refused,
            format!("{count} open orders begin with {name}"),
            "give more digits; `cassiareel --json orders list` shows whole names",
        )),
    }
}

/// Queries the backend servers of the order's service one after another until one answers.
async fn query_service(tree: &Tree, order: &OpenOrder) -> ServiceAnswer {
    for addr in service_addrs(tree, &order.record.service) {
        match HttpService::new(addr, SERVICE_TIMEOUT)
            .query(&order.name)
            .await
        {
            Ok(CallStatus::Ran { .. }) => return ServiceAnswer::Ran,
            Ok(CallStatus::Inconclusive) => return ServiceAnswer::Inconclusive,
            Err(_) => {}
        }
    }
    ServiceAnswer::NoAnswer
}

/// Returns the addresses of all backend servers of a service.
fn service_addrs(tree: &Tree, service: &str) -> Vec<SocketAddr> {
    let versions = tree.services.get(service).map(|node| &node.versions);
    versions
        .into_iter()
        .flat_map(|versions| versions.values())
        .flat_map(|version| version.placements.values())
        .flat_map(|placement| placement.servers.iter().copied())
        .collect()
}

/// Returns the age from which an order can no longer be in progress.
fn min_settle_age(tree: &Tree, order: &OpenOrder) -> Duration {
    let scope = Scope {
        service: Some(&order.record.service),
        account: Some(&order.record.account),
        caller: Some(&order.record.caller),
        ..Scope::default()
    };
    let policy = tree.resolve(&scope);
    let max_call_time = policy.time.queue + policy.time.answer + IN_FLIGHT_MARGIN;
    max_call_time.max(policy.orders.alert)
}

fn short_name(name: &str) -> &str {
    name.get(..SHORT_NAME_DIGITS).unwrap_or(name)
}

fn format_age(order: &OpenOrder) -> String {
    DurationText::format(Duration::from_secs(order.age.as_secs()))
}

fn state_name(order: &OpenOrder) -> &'static str {
    match order.record.state {
        State::Unknown => "unknown",
        _ => "claimed",
    }
}

fn to_json(order: &OpenOrder) -> Value {
    json!({
        "order": order.name, "record": order.record, "state": state_name(order),
        "age_ms": order.age.as_millis() as u64,
    })
}

impl From<SettleError> for Error {
    fn from(err: SettleError) -> Error {
        let message = err.to_string();
        match err {
            SettleError::Store { source } => source.into(),
            SettleError::TooRecent { .. } => Error::new(
                Code::Refused,
                message,
                "wait, then settle the order if it is still open",
            ),
            SettleError::Missing { .. } | SettleError::NotOpen { .. } => Error::new(
                Code::Refused,
                message,
                "`cassiareel orders list` lists the open orders",
            ),
        }
    }
}
