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
const ASK: Duration = Duration::from_secs(5);

/// Time beyond a call's own bounds in which it may still be under way.
const MARGIN: Duration = Duration::from_secs(30);

/// Digits of an order's name that a list shows, and that name it as long as no other begins so.
const NAME_DIGITS: usize = 12;

/// What a service says of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Word {
    /// It ran.
    Ran,
    /// The service can't say.
    Unsure,
    /// No backend server of the service could be asked.
    Silent,
}

impl Word {
    fn text(self) -> &'static str {
        match self {
            Word::Ran => "the service says that it ran",
            Word::Unsure => "the service does not know it; it may not have arrived, or may yet",
            Word::Silent => "no backend server of the service could be asked",
        }
    }
}

/// Lists the orders whose outcome is not known, the oldest first.
///
/// # Errors
///
/// Fails when the object API can't be read.
pub async fn list_orders(objects: Arc<dyn Objects>) -> Result<Report, Error> {
    let open = desk(objects).list_open().await?;
    let names = [
        "order", "age", "state", "service", "account", "caller", "key",
    ];
    let mut rows = vec![heading(&names)];
    let mut list = Vec::new();
    for order in &open {
        rows.push(vec![
            short(&order.name).to_owned(),
            age(order),
            state(order).to_owned(),
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
pub async fn ask_order(
    objects: Arc<dyn Objects>,
    tree: &Tree,
    name: &str,
) -> Result<Report, Error> {
    let order = find(&desk(objects), name).await?;
    let word = ask(tree, &order).await;
    let next = match word {
        Word::Ran => "settle it with --ran",
        Word::Unsure => "look in the service's own books, then settle it with --ran or --not-run",
        Word::Silent => "ask again when the service is back",
    };
    let text = format!(
        "order {}: {}\nnext: {next}",
        short(&order.name),
        word.text()
    );
    let json = json!({"order": to_json(&order), "word": word.text(), "ran": word == Word::Ran});
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
    let desk = desk(objects);
    let order = find(&desk, name).await?;
    if verdict == Verdict::NotRun && ask(tree, &order).await == Word::Ran {
        return Err(Error::new(
            Code::Refused,
            format!("the service says that order {} ran", short(&order.name)),
            "settle it with --ran",
        ));
    }
    desk.settle(&order.name, verdict, wait(tree, &order))
        .await?;
    let word = match verdict {
        Verdict::Ran => "ran",
        Verdict::NotRun => "not run",
    };
    let text = format!(
        "order {} is settled as {word}; a repeat of its key is told so and does not run",
        short(&order.name)
    );
    Ok(Report::new(
        text,
        json!({"order": order.name, "verdict": verdict}),
    ))
}

/// The operators' view of the records.
fn desk(objects: Arc<dyn Objects>) -> Orders {
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
async fn find(desk: &Orders, name: &str) -> Result<OpenOrder, Error> {
    if name.is_empty() {
        return Err(Error::new(
            Code::Refused,
            "an empty name is no order's",
            "`cassiareel orders list` names those that are open",
        ));
    }
    let mut found = desk.list_open().await?;
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
async fn ask(tree: &Tree, order: &OpenOrder) -> Word {
    for addr in servers(tree, &order.record.service) {
        match HttpService::new(addr, ASK).query(&order.name).await {
            Ok(CallStatus::Ran { .. }) => return Word::Ran,
            Ok(CallStatus::Inconclusive) => return Word::Unsure,
            Err(_) => {}
        }
    }
    Word::Silent
}

fn servers(tree: &Tree, service: &str) -> Vec<SocketAddr> {
    let versions = tree.services.get(service).map(|node| &node.versions);
    versions
        .into_iter()
        .flat_map(|versions| versions.values())
        .flat_map(|version| version.placements.values())
        .flat_map(|placement| placement.servers.iter().copied())
        .collect()
}

/// The age from which an order can't be under way any more.
fn wait(tree: &Tree, order: &OpenOrder) -> Duration {
    let scope = Scope {
        service: Some(&order.record.service),
        account: Some(&order.record.account),
        caller: Some(&order.record.caller),
        ..Scope::default()
    };
    let policy = tree.resolve(&scope);
    let bound = policy.time.queue + policy.time.answer + MARGIN;
    bound.max(policy.orders.alert)
}

fn short(name: &str) -> &str {
    name.get(..NAME_DIGITS).unwrap_or(name)
}

fn age(order: &OpenOrder) -> String {
    DurationText::format(Duration::from_secs(order.age.as_secs()))
}

fn state(order: &OpenOrder) -> &'static str {
    match order.record.state {
        State::Unknown => "unknown",
        _ => "claimed",
    }
}

fn to_json(order: &OpenOrder) -> Value {
    json!({
        "order": order.name, "record": order.record, "state": state(order),
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
