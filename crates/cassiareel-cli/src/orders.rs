//! Commands on non-idempotent calls whose outcome is not known.

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

/// Time to a service's word on an order.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time beyond a call's own bounds in which it may still be under way.
const IN_FLIGHT_MARGIN: Duration = Duration::from_secs(30);

/// Digits of an order's name that a list shows, and that name it as long as no other begins so.
const SHORT_NAME_DIGITS: usize = 12;

/// What a service says of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServiceAnswer {
    /// It ran.
    Ran,
    /// The service can't say.
    Inconclusive,
    /// No backend server of the service could be asked.
    Unreachable,
}

impl ServiceAnswer {
    fn text(self) -> &'static str {
        match self {
            ServiceAnswer::Ran => "the service says that it ran",
            ServiceAnswer::Inconclusive => {
                "the service does not know it; it may not have arrived, or may yet"
            }
            ServiceAnswer::Unreachable => "no backend server of the service could be asked",
        }
    }
}

/// Lists the orders whose outcome is not known, the oldest first.
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

/// Asks the service what became of an order; changes nothing.
///
/// # Errors
///
/// Fails where no open order has the name.
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
            "look in the service's own books, then settle it with --ran or --not-run"
        }
        ServiceAnswer::Unreachable => "ask again when the service is back",
    };
    let text = format!(
        "order {}: {}\nnext: {next}",
        short_name(&order.name),
        answer.text()
    );
    let json = json!({"order": to_json(&order), "word": answer.text(), "ran": answer == ServiceAnswer::Ran});
    Ok(Report::new(text, json))
}

/// Settles an order for good: a repeat of its key is told the verdict and never runs.
///
/// # Errors
///
/// Fails where the order may still be under way, where its outcome is known, and where the service
/// says that an order ran which is to be settled as not run.
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
        "order {} is settled as {outcome}; a repeat of its key is told so and does not run",
        short_name(&order.name)
    );
    Ok(Report::new(
        text,
        json!({"order": order.name, "verdict": verdict}),
    ))
}

/// The operators' view of the records.
fn order_records(objects: Arc<dyn Objects>) -> Orders {
    // What operators do spawns nothing, so that the runtime may end at once.
    let spawner = Runtime::new("orders", 1).spawner();
    Orders::new(
        objects,
        spawner,
        Arc::new(NoHooks),
        Arc::new(Metrics::none()),
        Logger::root(Discard, o!()),
    )
}

/// Finds the one open order whose name begins so.
async fn find_order(records: &Orders, name: &str) -> Result<OpenOrder, Error> {
    if name.is_empty() {
        return Err(Error::new(
            Code::Refused,
            "an empty name is no order's",
            "`cassiareel orders list` names those that are open",
        ));
    }
    let mut found = records.list_open().await?;
    found.retain(|order| order.name.starts_with(name));
    match found.len() {
        1 => Ok(found.remove(0)),
        0 => Err(Error::new(
            Code::Refused,
            format!("no open order has the name {name}"),
            "`cassiareel orders list` names those that are open",
        )),
        count => Err(Error::new(
            Code::Refused,
            format!("{count} open orders begin with {name}"),
            "write more digits; `cassiareel --json orders list` has them all",
        )),
    }
}

/// Asks the backend servers of the order's service, one after the other until one answers.
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
    ServiceAnswer::Unreachable
}

fn service_addrs(tree: &Tree, service: &str) -> Vec<SocketAddr> {
    let versions = tree.services.get(service).map(|node| &node.versions);
    versions
        .into_iter()
        .flat_map(|versions| versions.values())
        .flat_map(|version| version.placements.values())
        .flat_map(|placement| placement.servers.iter().copied())
        .collect()
}

/// The age from which an order can't be under way any more.
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
                "wait, then settle it if it is still open",
            ),
            SettleError::Missing { .. } | SettleError::NotOpen { .. } => Error::new(
                Code::Refused,
                message,
                "`cassiareel orders list` names those that are open",
            ),
        }
    }
}
