//! Planned stops cut no request.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::expected_answer,
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};
use serde_json::json;
use smol::lock::RwLock;

const NODES: usize = 6;
const CALLERS: usize = 12;
const TOKENS: u32 = 24;

/// The balancer's list of ready nodes. A caller holds it for reading from its pick until its
/// request is accepted, so that a node off the list has no request on its way to it.
type Balancer = Arc<RwLock<Vec<SocketAddr>>>;

/// Counts of streams over the whole run.
#[derive(Default)]
struct Counts {
    whole: AtomicUsize,
    broken: AtomicUsize,
}

/// Sends streams one after the other until told to stop.
fn call(caller: usize, balancer: &Balancer, counts: &Counts, stop: &AtomicBool) {
    let mut turn = caller;
    while !stop.load(Ordering::SeqCst) {
        turn += 1;
        let prompt = format!("caller {caller} turn {turn}");
        let body = json!({"model": "draft", "prompt": prompt, "max_tokens": TOKENS,
            "ignore_eos": true, "stream": true});
        let (_, text) = expected_answer("draft@v1", &prompt, TOKENS);
        let mut seen = ReceivedStream::default();
        smol::block_on(async {
            let list = balancer.read().await;
            let addr = list[turn % list.len()];
            let caller = Caller::new(CALLER_KEY);
            let sent = caller
                .post(addr, "/v1/completions", &[], body.to_string())
                .await;
            drop(list);
            if let Ok(res) = sent {
                cassiareel_standins::caller::read_events(res, &mut seen, |_| ()).await;
            }
        });
        let count = match seen.done && seen.text == text {
            true => &counts.whole,
            false => &counts.broken,
        };
        count.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn rolling_all_nodes_under_load_cuts_no_request() {
    let mut fleet = Fleet::start(&FleetOptions::new(4, NODES)).expect("loopback has ports");
    let ready = (0..NODES).filter_map(|i| fleet.addr(i)).collect();
    let balancer: Balancer = Arc::new(RwLock::new(ready));
    let counts = Counts::default();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (balancer, counts, stop) = (&balancer, &counts, &stop);
            scope.spawn(move || call(caller, balancer, counts, stop));
        }
        for place in 0..NODES {
            let mut node = fleet.take_node(place).expect("the node runs");
            let addr = node.addr();
            node.begin_leaving();
            let list = |addrs: &mut Vec<SocketAddr>| addrs.retain(|a| Some(*a) != addr);
            list(&mut smol::block_on(balancer.write()));
            let left = smol::block_on(node.stop(Duration::from_secs(60)));
            assert_eq!(left, 0, "requests were left at node {place}");
            drop(node);
            fleet.replace_node(place).expect("loopback has ports");
            let addr = fleet.addr(place).expect("the node serves");
            smol::block_on(balancer.write()).push(addr);
        }
        stop.store(true, Ordering::SeqCst);
    });
    assert_eq!(counts.broken.load(Ordering::SeqCst), 0);
    assert!(counts.whole.load(Ordering::SeqCst) >= CALLERS);
}
