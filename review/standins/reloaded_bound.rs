//! The settings of a node get a shorter time for which a key may work after it was taken away. Later the store
//! turns the node away while a key is taken away.

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
    nodes: 1,
    engines: 3,
    memory_mb: 110,
    prompt_tokens: 2000,
};

/// The key that is taken away.
const REVOKED_KEY: &str = "key-2";

/// The bound in the changed settings; it is 5,000 ms before.
const REVOKE_MS: u64 = 2500;

/// How long the store turns the node away, and how long before the key is taken away that begins.
const AWAY_TIME: Duration = Duration::from_millis(8000);
const AWAY_BEFORE: Duration = Duration::from_millis(200);

/// The time between the requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(40);

/// Runs the case.
pub fn run(record: Record, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(&SIZE, record) else {
        return Verdict::NotRun;
    };
    let fleet = Arc::new(fleet);
    let with_key = config_with_keys(2, &[KEY, REVOKED_KEY]);
    fleet.store.put("config", "main", &with_key);
    thread::sleep(Duration::from_secs(5));
    let node = &fleet.nodes[0];
    node.change_settings("revoke_ms = 5000", &format!("revoke_ms = {REVOKE_MS}"));
    thread::sleep(Duration::from_secs(4));
    let is_reloaded = node
        .last_line("\"reloaded\"")
        .is_some_and(|line| line.contains("\"changed\":true"));
    if !is_reloaded {
        fleet.record.say("the node did not read its settings again");
        return Verdict::NotRun;
    }
    fleet.record.say(&format!(
        "the settings are in force: revoke_ms = {REVOKE_MS}"
    ));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let caller = {
        let (fleet, is_over, sent) = (fleet.clone(), is_over.clone(), sent.clone());
        thread::spawn(move || call_repeatedly(&fleet, &is_over, &sent))
    };
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        fleet.store.turn_away();
        fleet.record.say("the store turns the node away");
        thread::sleep(AWAY_BEFORE);
    }
    let without_key = config_with_keys(3, &[KEY]);
    fleet.store.put("config", "main", &without_key);
    let acknowledged = Instant::now();
    fleet
        .record
        .say("the operator takes the key away; the store acknowledges it");
    thread::sleep(AWAY_TIME - AWAY_BEFORE);
    fleet.store.serve_all();
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    caller.join().unwrap();
    let sent = sent.lock().unwrap();
    let ran = |id: &str| {
        let mut services = fleet.services.iter();
        services.any(|service| service.runs.lock().unwrap().contains_key(id))
    };
    let bound = acknowledged + Duration::from_millis(REVOKE_MS);
    let late: Vec<Duration> = sent
        .iter()
        .filter(|(id, at)| *at > bound && ran(id))
        .map(|(_, at)| *at - acknowledged)
        .collect();
    let before = sent.iter().filter(|(id, at)| *at < acknowledged && ran(id));
    let before = before.count();
    fleet.record.say(&format!(
        "{} requests with the key, {before} ran before it was taken away; {} ran that were sent later than \
         {REVOKE_MS} ms after it, the last one {:?} after it",
        sent.len(),
        late.len(),
        late.last()
    ));
    fleet.end();
    match (late.is_empty(), before) {
        (false, _) => Verdict::Broken,
        (true, 0) => Verdict::NotRun,
        (true, _) => Verdict::Held,
    }
}

/// Sends orders with the key that is taken away, one after another.
fn call_repeatedly(fleet: &Fleet, is_over: &AtomicBool, sent: &Mutex<Vec<(String, Instant)>>) {
    let mut client = Client::new(fleet.nodes[0].front);
    while !is_over.load(Ordering::SeqCst) {
        let id = fleet.next_id();
        let at = Instant::now();
        let outcome = client.call(&fleet.order_request_by(&id, REVOKED_KEY));
        let status = match outcome {
            Outcome::Answer(answer) => answer.status(),
            _ => 0,
        };
        fleet
            .record
            .line(&format!("caller sent {id} with the key: status {status}"));
        sent.lock().unwrap().push((id, at));
        thread::sleep(CALL_INTERVAL);
    }
}
