//! Operators roll a service out to another version, which turns out to be bad.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    client::{Client, Outcome},
    fleet::{config, KEY, ZONES},
    json::string,
    node::Node,
    record::Record,
    store::Store,
    versions::{Runner, Version},
    Verdict,
};

/// The service that is rolled out.
const SERVICE: &str = "desk";

/// Work of a request.
const WORK: Duration = Duration::from_millis(30);

/// Requests a second, from all callers together.
const REQUESTS_PER_S: u64 = 10;

/// The number of callers, each with a connection that it keeps.
const CALLERS: u64 = 6;

/// The time that the operator gives a rollout.
const ROLLOUT_TIME: Duration = Duration::from_secs(15);

/// The bounds of the rule, as in the settings of the nodes.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_TIME: Duration = Duration::from_millis(5000);
const BAD_ANSWERS: usize = 50;

/// The longest time of a run.
const MAX_TIME: Duration = Duration::from_secs(85);

/// One case.
pub struct Case {
    /// Whether an order for a good version was completed before.
    has_earlier: bool,
    /// The percentage of the bad version's answers that are failures.
    bad_percent: u64,
}

/// One order, for a bad version.
pub const BAD_VERSION: Case = Case {
    has_earlier: false,
    bad_percent: 25,
};

/// An order for a bad version after a completed order for a good one.
pub const SECOND_ORDER: Case = Case {
    has_earlier: true,
    bad_percent: 75,
};

/// The running deployment.
struct Deployment {
    record: Arc<Record>,
    store: Store,
    nodes: Vec<Arc<Node>>,
    is_over: AtomicBool,
    next_request: AtomicU64,
    /// When each request was sent.
    sent: Mutex<HashMap<String, Duration>>,
    versions: Mutex<Vec<Arc<Version>>>,
    runners: Mutex<Vec<Arc<Runner>>>,
}

/// Runs a case.
pub fn run(record: Record, case: &Case, has_trouble: bool) -> Verdict {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Arc::new(record);
    let Some(deployment) = Deployment::start(&folder, &record) else {
        return Verdict::NotRun;
    };
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let deployment = deployment.clone();
            thread::spawn(move || deployment.send_requests(number))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    // EARLIER=0 leaves the earlier order out.
    let has_earlier = case.has_earlier && std::env::var("EARLIER").as_deref() != Ok("0");
    let mut old = deployment.runners.lock().unwrap().clone();
    if has_earlier {
        let good = deployment.add_version("v2", 0);
        deployment.order("v2");
        if deployment.wait_end(&old, &good).0 != "completed" {
            record.say("the earlier rollout of a good version was not completed");
            return Verdict::NotRun;
        }
        old = good;
        thread::sleep(Duration::from_secs(4));
    }
    let target = if has_earlier { "v3" } else { "v2" };
    let bad_percent = if has_trouble { case.bad_percent } else { 0 };
    let new = deployment.add_version(target, bad_percent);
    let ordered = deployment.order(target);
    let (state, ended) = deployment.wait_end(&old, &new);
    record.say(&format!(
        "{target}, of whose answers {bad_percent} in 100 are failures: {state} {} ms after its order",
        ended.saturating_sub(ordered).as_millis()
    ));
    let verdict = deployment.check(target, ordered);
    deployment.is_over.store(true, Ordering::SeqCst);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    deployment.nodes.iter().for_each(|node| node.end());
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    verdict
}

impl Deployment {
    fn start(folder: &PathBuf, record: &Arc<Record>) -> Option<Arc<Deployment>> {
        let store = Store::start();
        store.put("config", "main", &config(1));
        let nodes: Vec<_> = (0..3)
            .map(|i| {
                let name = format!("front-{}", i + 1);
                Node::start(&name, ZONES[i], 260, store.address, folder, record)
            })
            .collect();
        let deployment = Arc::new(Deployment {
            record: record.clone(),
            store,
            nodes,
            is_over: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            sent: Mutex::default(),
            versions: Mutex::default(),
            runners: Mutex::default(),
        });
        deployment.add_version("v1", 0);
        let mut nodes = deployment.nodes.iter();
        nodes.all(|node| node.wait_ready()).then_some(deployment)
    }

    /// Starts three runners of a version, which register themselves.
    fn add_version(&self, name: &'static str, bad_percent: u64) -> Vec<Arc<Runner>> {
        let version = Version::new(name, bad_percent);
        let runners: Vec<_> = ZONES
            .iter()
            .map(|zone| {
                Runner::start(
                    &format!("{name}-{zone}"),
                    zone,
                    &version,
                    WORK,
                    &self.record,
                )
            })
            .collect();
        for runner in &runners {
            self.store
                .put("servers", &runner.id, &runner.entry(SERVICE, "ready"));
        }
        self.versions.lock().unwrap().push(version);
        self.runners.lock().unwrap().extend(runners.iter().cloned());
        self.record.say(&format!("runners of {name} started"));
        runners
    }

    /// Writes the operator's order, and returns when it was acknowledged.
    fn order(&self, target: &str) -> Duration {
        let spec = format!(
            "{{\"service\":\"{SERVICE}\",\"target\":\"{target}\",\"duration-s\":{}}}",
            ROLLOUT_TIME.as_secs()
        );
        self.store.put("rollouts", SERVICE, &spec);
        self.record.say(&format!("the operator orders {target}"));
        self.record.age()
    }

    /// Waits until the order has ended, and then does what the platform does: stops the old runners of
    /// a completed rollout at once, and drains the new ones of one that was rolled back. Returns the
    /// state and the time.
    fn wait_end(&self, old: &[Arc<Runner>], new: &[Arc<Runner>]) -> (String, Duration) {
        let began = self.record.age();
        while self.record.age() < began + ROLLOUT_TIME + Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(20));
            let status = self.store.status("rollouts", SERVICE);
            let state = string(&status, "state").unwrap_or_default();
            let target = string(&status, "target").unwrap_or_default();
            let is_of_new = new.iter().all(|runner| runner.id.starts_with(&target));
            if !is_of_new || (state != "completed" && state != "rolled_back") {
                continue;
            }
            let now = self.record.age();
            self.record
                .say(&format!("the system says: {target} {state}"));
            if state == "completed" {
                for runner in old {
                    runner.stop();
                    self.store.remove("servers", &runner.id);
                }
            } else {
                thread::sleep(Duration::from_secs(2));
                for runner in new {
                    let entry = runner.entry(SERVICE, "draining");
                    self.store.put("servers", &runner.id, &entry);
                }
            }
            return (state, now);
        }
        ("not ended".to_owned(), self.record.age())
    }

    /// Sends requests of one caller until the end.
    fn send_requests(&self, number: u64) {
        let interval = Duration::from_millis(1000 * CALLERS / REQUESTS_PER_S);
        let node = &self.nodes[number as usize % self.nodes.len()];
        let mut client = Client::new(node.front);
        thread::sleep(interval * number as u32 / CALLERS as u32);
        while !self.is_over.load(Ordering::SeqCst) {
            let began = self.record.age();
            let count = self.next_request.fetch_add(1, Ordering::Relaxed);
            let id = format!("r{count:06}");
            let request = format!(
                "POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Cassiareel-Request-Id: {id}\r\n\
                 X-Cassiareel-Deadline-Ms: 1500\r\nApi-Key: {KEY}\r\nContent-Length: 5\r\n\r\norder"
            );
            self.sent.lock().unwrap().insert(id.clone(), began);
            self.record.line(&format!("{id} is sent to {}", node.name));
            match client.call(request.as_bytes()) {
                Outcome::Answer(answer) => self
                    .record
                    .line(&format!("{id} is answered {}", answer.status())),
                other => self.record.line(&format!("{id}: {other:?}")),
            }
            let spent = self.record.age().saturating_sub(began);
            thread::sleep(interval.saturating_sub(spent));
        }
    }

    /// Checks the rule on the bad version until it is broken or the time is over.
    fn check(&self, target: &str, ordered: Duration) -> Verdict {
        let versions = self.versions.lock().unwrap().clone();
        let version = versions.iter().find(|version| version.name == target);
        let version = version.expect("the version was started");
        let deadline = ordered + ROLLOUT_TIME;
        let mut is_share_checked = false;
        while self.record.age() < MAX_TIME {
            thread::sleep(Duration::from_millis(100));
            if self.record.age() > deadline && !is_share_checked {
                is_share_checked = true;
                let count = |version: &Version| {
                    let arrivals = version.arrivals.lock().unwrap();
                    let is_within = |at: &Duration| ordered <= *at && *at < deadline;
                    arrivals.iter().filter(|(at, _)| is_within(at)).count() as f64
                };
                let all: f64 = versions.iter().map(|version| count(version)).sum();
                let got = count(version);
                let allowed = EXPOSURE_SHARE * all + EXPOSURE_SLACK;
                self.record.say(&format!(
                    "{target} got {got} of {all} requests until its deadline; {allowed:.1} are allowed"
                ));
                if version.bad_percent > 0 && got > allowed {
                    return Verdict::Broken;
                }
            }
            let failures = version.failures.lock().unwrap().clone();
            let Some(last) = failures.get(BAD_ANSWERS - 1) else {
                continue;
            };
            let sent = self.sent.lock().unwrap();
            let arrivals = version.arrivals.lock().unwrap();
            let late = arrivals.iter().find(|(_, id)| {
                sent.get(id)
                    .is_some_and(|sent| *sent > *last + ROLLBACK_TIME)
            });
            if let Some((at, id)) = late {
                self.record.say(&format!(
                    "EXPOSURE: {id} was sent {} ms after the 50th bad answer of {target} and reached it at {} ms; \
                     it has given {} bad answers",
                    sent[id].saturating_sub(*last).as_millis(),
                    at.as_millis(),
                    failures.len()
                ));
                return Verdict::Broken;
            }
        }
        let failures = version.failures.lock().unwrap().len();
        self.record
            .say(&format!("{target} has given {failures} bad answers"));
        Verdict::Held
    }
}
