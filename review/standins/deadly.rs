//! One request crashes each runner that runs it, and comes again: a while after its first event, or at once while all
//! nodes are killed and started again.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    client::{Client, Outcome},
    engine::{Engine, Trouble, DEADLY_PATH},
    fleet::{Fleet, Size, ZONES},
    record::Record,
    Verdict,
};

/// The deployment.
const SIZE: Size = Size {
    nodes: 3,
    engines: 12,
    memory_mb: 110,
    prompt_tokens: 2000,
};

/// One case.
pub struct Case {
    /// Events that a runner writes for the deadly request before it crashes, 45 ms each, unless `EVENTS` in the
    /// environment says otherwise.
    events: u64,
    /// Whether the disruption is that all nodes are killed once. Otherwise it is the deadly request.
    has_kill: bool,
}

/// The runners crash half a second after the first event.
pub const LATE_CRASH: Case = Case {
    events: 12,
    has_kill: false,
};

/// The runners crash at once, and all nodes are killed after the request was held.
pub const KILLED_NODES: Case = Case {
    events: 1,
    has_kill: true,
};

/// When the nodes are killed, and how long no deadly request comes after that: longer than they need to be in touch.
const KILL_AT: Duration = Duration::from_secs(20);
const QUIET_TIME: Duration = Duration::from_secs(8);

/// How long after a crash the runner is back, as another process.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// How long after a crash its entry is removed: three intervals of its heartbeat.
const LAPSE_TIME: Duration = Duration::from_millis(3600);

/// How long the caller waits before the request comes again.
const REPEAT_DELAY: Duration = Duration::from_secs(1);

/// The bounds of the rule.
const CONTACT: Duration = Duration::from_millis(3000);
const MAX_RETRIES: usize = 3;

/// Callers of sound streams, and how long each waits between them.
const SOUND_CALLERS: usize = 6;
const SOUND_INTERVAL: Duration = Duration::from_millis(500);

/// The time of a run.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Runs the case.
pub fn run(record: Record, case: &Case, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(&SIZE, record) else {
        return Verdict::NotRun;
    };
    let fleet = Arc::new(fleet);
    let events = std::env::var("EVENTS")
        .ok()
        .and_then(|text| text.parse().ok());
    let trouble = match has_trouble || case.has_kill {
        true => Trouble::Deadly {
            events: events.unwrap_or(case.events),
        },
        false => Trouble::None,
    };
    let mut has_killed = !(has_trouble && case.has_kill);
    let engines = Arc::new(Mutex::new(fleet.engines.clone()));
    for engine in fleet.engines.iter() {
        engine.set_trouble(trouble);
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for number in 0..SOUND_CALLERS {
        let (fleet, is_over) = (fleet.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            call_soundly(&fleet, number, &is_over)
        }));
    }
    {
        let (fleet, is_over, engines) = (fleet.clone(), is_over.clone(), engines.clone());
        threads.push(thread::spawn(move || {
            restart_crashed(&fleet, &engines, trouble, &is_over)
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let began = fleet.record.age();
    let mut answers = Vec::new();
    while fleet.record.age() < began + RUN_TIME {
        if !has_killed && fleet.record.age() > began + KILL_AT {
            has_killed = true;
            fleet.nodes.iter().for_each(|node| node.kill());
            thread::sleep(QUIET_TIME);
            if !fleet.nodes.iter().all(|node| node.is_ready()) {
                fleet.record.say("a node is not ready after its restart");
                return Verdict::NotRun;
            }
        }
        let node = answers.len() % fleet.nodes.len();
        let id = fleet.next_id();
        fleet.record.line(&format!(
            "{id}, the deadly request, is sent to front-{}",
            node + 1
        ));
        let mut client = Client::new(fleet.nodes[node].front);
        let outcome = client.call(&fleet.same_stream_request(&id, DEADLY_PATH));
        let ending = match &outcome {
            Outcome::Answer(answer) => format!("status {}", answer.status()),
            Outcome::Stream(events) => format!("whole, {} events", events.len()),
            Outcome::Cut(events) => format!("broken off after {} events", events.len()),
            other => format!("{other:?}"),
        };
        fleet
            .record
            .say(&format!("{id} at front-{}: {ending}", node + 1));
        answers.push(ending);
        thread::sleep(REPEAT_DELAY);
    }
    is_over.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    let engines = engines.lock().unwrap();
    let mut crashes: Vec<Duration> = engines
        .iter()
        .filter_map(|engine| *engine.crashed.lock().unwrap())
        .collect();
    crashes.sort();
    let mut arrivals: Vec<Duration> = engines
        .iter()
        .flat_map(|engine| engine.deadly_arrivals.lock().unwrap().clone())
        .collect();
    arrivals.sort();
    let late = match crashes.get(2) {
        Some(third) => arrivals.iter().filter(|at| **at > *third + CONTACT).count(),
        None => 0,
    };
    fleet.record.say(&format!(
        "the request was sent {} times by its caller, reached runners {} times and crashed {}; {late} of them were \
         sent later than {} ms after the third crash, {MAX_RETRIES} are allowed",
        answers.len(),
        arrivals.len(),
        crashes.len(),
        CONTACT.as_millis()
    ));
    fleet.end();
    if late > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends sound streams, one after another.
fn call_soundly(fleet: &Fleet, number: usize, is_over: &AtomicBool) {
    let mut client = Client::new(fleet.nodes[number % fleet.nodes.len()].front);
    while !is_over.load(Ordering::SeqCst) {
        let id = fleet.next_id();
        fleet.record.line(&format!("{id}, a sound stream, is sent"));
        let ending = match client.call(&fleet.stream_request(&id)) {
            Outcome::Stream(events) => format!("whole, {} events", events.len()),
            Outcome::Answer(answer) => format!("status {}", answer.status()),
            _ => "broken off".to_owned(),
        };
        fleet.record.line(&format!("{id} ended: {ending}"));
        thread::sleep(SOUND_INTERVAL);
    }
}

/// Starts runners again that have crashed, and removes the entries of the old processes.
fn restart_crashed(
    fleet: &Fleet,
    engines: &Mutex<Vec<Arc<Engine>>>,
    trouble: Trouble,
    is_over: &AtomicBool,
) {
    let mut restarted = 0;
    let mut back: Vec<String> = Vec::new();
    let mut gone: Vec<String> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(50));
        let known = engines.lock().unwrap().clone();
        for engine in known {
            let Some(at) = *engine.crashed.lock().unwrap() else {
                continue;
            };
            let age = fleet.record.age().saturating_sub(at);
            if age > RESTART_TIME && !back.contains(&engine.id) {
                back.push(engine.id.clone());
                restarted += 1;
                let id = format!("m-r{restarted}");
                let zone = ZONES[ZONES
                    .iter()
                    .position(|zone| *zone == engine.zone)
                    .unwrap_or(0)];
                let next = Engine::start(&id, zone, &fleet.memory(), &fleet.record);
                next.set_trouble(trouble);
                fleet.store.put("servers", &id, &next.entry("models"));
                engines.lock().unwrap().push(next);
            }
            if age > LAPSE_TIME && !gone.contains(&engine.id) {
                gone.push(engine.id.clone());
                fleet.store.remove("servers", &engine.id);
            }
        }
    }
}
