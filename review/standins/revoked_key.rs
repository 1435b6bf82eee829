//! A key is taken away, then the store comes back from a copy that has it, and a node starts meanwhile.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, Outcome},
    fleet::{config_with_keys, Fleet, Size, KEY},
    record::Record,
    Verdict,
};

/// The deployment.
const SIZE: Size = Size {
    nodes: 6,
    engines: 3,
    memory_mb: 110,
    prompt_tokens: 2000,
};

/// The key that is taken away.
const REVOKED_KEY: &str = "key-2";

/// How long a key may work after the acknowledgement of the configuration that took it away.
const REVOKE_BOUND: Duration = Duration::from_millis(5000);

/// The moments of a run, counted from that acknowledgement: the store goes away, a node is killed, the store comes
/// back, the run ends.
const AWAY_AT: Duration = Duration::from_millis(4500);
const KILL_AT: Duration = Duration::from_millis(4700);
const BACK_AT: Duration = Duration::from_millis(6500);
const END_AT: Duration = Duration::from_millis(11_000);

/// The age of the copy at the time of the revocation.
const COPY_AGE: Duration = Duration::from_millis(1500);

/// How long after the store's return the operator writes the lost configuration again, unless `REWRITE_MS` in the
/// environment says otherwise.
const REWRITE_DELAY: Duration = Duration::from_millis(500);

/// The time between the requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// Runs the case.
pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(&SIZE, record) else {
        return Verdict::NotRun;
    };
    let fleet = Arc::new(fleet);
    let rewrite = std::env::var("REWRITE_MS")
        .ok()
        .and_then(|ms| ms.parse().ok());
    let rewrite = rewrite.map_or(REWRITE_DELAY, Duration::from_millis);
    fleet
        .store
        .put("config", "main", &config_with_keys(2, &[KEY, REVOKED_KEY]));
    // Longer than all nodes need to know each other.
    thread::sleep(Duration::from_secs(8));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let callers: Vec<_> = (0..SIZE.nodes)
        .map(|node| {
            let (fleet, is_over, sent) = (fleet.clone(), is_over.clone(), sent.clone());
            thread::spawn(move || call_repeatedly(&fleet, node, &is_over, &sent))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let copy = fleet.store.copy();
    thread::sleep(COPY_AGE);
    fleet
        .store
        .put("config", "main", &config_with_keys(3, &[KEY]));
    let acknowledged = Instant::now();
    fleet
        .record
        .say("the operator takes the key away; the store acknowledges it");
    let wait_until =
        |at: Duration| thread::sleep((acknowledged + at).saturating_duration_since(Instant::now()));
    if has_trouble {
        wait_until(AWAY_AT);
        fleet.record.say("the store is away");
        fleet.store.go_away();
        wait_until(KILL_AT);
        reader(&fleet).map(|node| fleet.nodes[node].kill());
        wait_until(BACK_AT);
        fleet.store.come_back(copy);
        fleet.record.say("the store is back from its copy");
        wait_until(BACK_AT + rewrite);
        fleet
            .store
            .put("config", "main", &config_with_keys(3, &[KEY]));
        fleet
            .record
            .say("the operator has written the configuration again");
    }
    wait_until(END_AT);
    is_over.store(true, Ordering::SeqCst);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    let sent = sent.lock().unwrap();
    let ran = |id: &str| {
        fleet
            .services
            .iter()
            .any(|service| service.runs.lock().unwrap().contains_key(id))
    };
    let late: Vec<Duration> = sent
        .iter()
        .filter(|(id, at)| *at > acknowledged + REVOKE_BOUND && ran(id))
        .map(|(_, at)| *at - acknowledged)
        .collect();
    let before = sent
        .iter()
        .filter(|(id, at)| *at < acknowledged && ran(id))
        .count();
    fleet.record.say(&format!(
        "{} requests with the key, {before} ran before it was taken away; {} ran that were sent later than {} ms after it: {late:?}",
        sent.len(),
        late.len(),
        REVOKE_BOUND.as_millis()
    ));
    fleet.end();
    match (late.is_empty(), before) {
        (false, _) => Verdict::Broken,
        (true, 0) => Verdict::NotRun,
        (true, _) => Verdict::Held,
    }
}

/// Returns the node that reads the store for the others, by its log.
fn reader(fleet: &Fleet) -> Option<usize> {
    fleet.nodes.iter().position(|node| {
        let line = node.last_line("node count changed");
        line.is_some_and(|line| line.contains("\"turn\":0"))
    })
}

/// Sends orders with the key that is taken away, one after another on one connection.
fn call_repeatedly(
    fleet: &Fleet,
    node: usize,
    is_over: &AtomicBool,
    sent: &Mutex<Vec<(String, Instant)>>,
) {
    let mut client = Client::new(fleet.nodes[node].front);
    while !is_over.load(Ordering::SeqCst) {
        let id = fleet.next_id();
        let at = Instant::now();
        let outcome = client.call(&fleet.order_request_by(&id, REVOKED_KEY));
        let status = match outcome {
            Outcome::Answer(answer) => answer.status(),
            _ => 0,
        };
        fleet.record.line(&format!(
            "caller sent {id} with the key to front-{}: status {status}",
            node + 1
        ));
        sent.lock().unwrap().push((id, at));
        thread::sleep(CALL_INTERVAL);
    }
}
