//! A planned stop of a node interrupts no request.

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

/// The load balancer's list of ready nodes. A caller holds the read lock from choosing a node until
/// its request is accepted, so that no request is on its way to a node that was removed.
type Balancer = Arc<RwLock<Vec<SocketAddr>>>;

/// Counts of streams over the whole test.
#[derive(Default)]
struct Counts {
    complete: AtomicUsize,
    failed: AtomicUsize,
}

/// Sends streams one after the other until `stop` is set.
fn call(caller: usize, balancer: &Balancer, counts: &Counts, stop: &AtomicBool) {
    let mut round = caller;
    while !stop.load(Ordering::SeqCst) {
        round += 1;
        let prompt = format!("caller {caller} turn {round}");
        let body = json!({"model": "draft", "prompt": prompt, "max_tokens": TOKENS,
            "ignore_eos": true, "stream": true});
        let (_, text) = expected_answer("draft@v1", &prompt, TOKENS);
        let mut received = ReceivedStream::default();
        smol::block_on(async {
            let list = balancer.read().await;
            let addr = list[round % list.len()];
            let caller = Caller::new(CALLER_KEY);
            let sent = caller
                .post(addr, "/v1/completions", &[], body.to_string())
                .await;
            drop(list);
            if let Ok(res) = sent {
                cassiareel_standins::caller::read_events(res, &mut received, |_| ()).await;
            }
        });
        let count = match received.done && received.text == text {
            true => &counts.complete,
            false => &counts.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn replacing_all_nodes_under_load_interrupts_no_request() {
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
        for slot in 0..NODES {
            let mut node = fleet.take_node(slot).expect("the node runs");
            let addr = node.addr();
            node.begin_leaving();
            let remove_node = |addrs: &mut Vec<SocketAddr>| addrs.retain(|a| Some(*a) != addr);
            remove_node(&mut smol::block_on(balancer.write()));
            let remaining = smol::block_on(node.stop(Duration::from_secs(60)));
            assert_eq!(remaining, 0, "node {slot} stopped with open requests");
            drop(node);
            fleet.replace_node(slot).expect("loopback has ports");
            let addr = fleet.addr(slot).expect("the node serves");
            smol::block_on(balancer.write()).push(addr);
        }
        stop.store(true, Ordering::SeqCst);
    });
    assert_eq!(counts.failed.load(Ordering::SeqCst), 0);
    assert!(counts.complete.load(Ordering::SeqCst) >= CALLERS);
}
