//! Checks the messages of the usage meter.

use std::time::Duration;

use crate::{
    clock::Moment,
    kernel::usage::WindowRules,
    usage_meter::{MeterSettings, UsageMeter},
};

const NOW: Moment = Duration::from_secs(100);

fn meter(name: &str, incarnation: u64) -> UsageMeter {
    let settings = MeterSettings {
        rules: WindowRules {
            length: Duration::from_secs(5),
            late: Duration::from_secs(10),
        },
        sends_demand: false,
    };
    let meter = UsageMeter::new(settings, name, incarnation);
    meter.observe(NOW, Duration::from_secs(1_000));
    meter
}

/// Lets a node count requests and send them; returns how many came too late.
fn send(from: &UsageMeter, to: &UsageMeter, requests: u64) -> u64 {
    // Each call counts for another account, so that its counts are not part of later ones.
    let account = format!("x{requests}").into();
    (0..requests).for_each(|_| from.count(&account, NOW));
    from.advance(NOW, Some(0));
    let Some(message) = from.message("to", &[], NOW) else {
        return 0;
    };
    let (reply, late) = to.receive(&message, NOW);
    from.record_reply("to", reply, NOW, NOW);
    late.iter().map(|late| late.requests).sum()
}

fn total(meter: &UsageMeter) -> u64 {
    meter.totals(200).values().sum()
}

/// Guards against messages without news, and against counts that a restarted candidate never gets.
#[test]
fn news_is_sent_once_to_each_process() {
    let (node, candidate) = (meter("node", 1), meter("to", 1));
    send(&node, &candidate, 3);
    assert!(node.message("to", &[], NOW).is_none());
    let restarted = meter("to", 2);
    send(&node, &restarted, 1);
    send(&node, &restarted, 0);
    assert_eq!((total(&candidate), total(&restarted)), (3, 4));
}

/// Guards against counts that are lost without a trace, and against false alarms.
#[test]
fn late_counts_are_noted_once() {
    let (node, candidate) = (meter("node", 1), meter("to", 1));
    assert_eq!(send(&node, &candidate, 3), 0);
    candidate.set_fixed(200);
    assert_eq!(send(&node, &candidate, 2), 2);
    assert_eq!(send(&node, &candidate, 0), 0);
}

/// Guards against a holder without the counts of nodes that have ended.
#[test]
fn a_new_holder_gets_what_others_have() {
    let (node, candidate, holder) = (meter("node", 1), meter("to", 1), meter("new", 1));
    send(&node, &candidate, 3);
    holder.set_holder(true);
    let names = ["to".to_owned(), "new".to_owned()];
    assert_eq!(holder.to_ask(&names), ["to"]);
    holder.merge_history("to", &candidate.history(None), NOW);
    holder.merge_history("to", &candidate.history(None), NOW);
    assert_eq!((total(&holder), holder.to_ask(&names).len()), (3, 0));
}
