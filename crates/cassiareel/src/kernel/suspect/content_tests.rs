//! The number of servers that one request crashes across six nodes, and the treatment of harmless
//! requests that run beside it or while servers crash for other reasons.

use std::time::Duration;

use test_case::test_case;

use super::{super::ticket::ShortDigest, Loss, Suspects, Time, Verdict};

const NODES: usize = 6;

/// Number of crashes after which a request is held.
const BOUND: u32 = 2;

const SUSPECT: ShortDigest = [1; 16];
const OTHER: ShortDigest = [2; 16];

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);

fn loss(content: ShortDigest, at: Time, process: u64) -> Loss {
    Loss {
        content,
        attempt: process,
        process,
        at,
        early: true,
        parts: [].into(),
    }
}

fn is_held(suspects: &Suspects, content: &ShortDigest, bound: u32, now: Time) -> bool {
    matches!(suspects.verdict(content, bound, now), Verdict::Held { .. })
}

/// Sends every node's losses to every other node.
fn exchange_losses(nodes: &mut [Suspects], now: Time) {
    let reports: Vec<_> = nodes
        .iter()
        .map(|node| node.losses_since(0, now).0)
        .collect();
    for node in nodes.iter_mut() {
        for report in &reports {
            node.merge(report, now);
        }
    }
}

#[derive(Clone, Copy)]
struct Case {
    /// Number of sends between two exchanges of losses; `None` if the nodes never exchange them.
    exchange: Option<usize>,
    servers: u32,
}

#[test_case(Case { exchange: Some(1), servers: 2 }; "each loss is reported before the next send")]
#[test_case(Case { exchange: Some(6), servers: 6 }; "six nodes are affected at the same time")]
#[test_case(Case { exchange: None, servers: 12 }; "nodes can't reach each other")]
fn servers_crashed_by_one_request_are_bounded(case: Case) {
    let mut nodes: Vec<Suspects> = vec![Suspects::default(); NODES];
    let mut servers = 0;
    for send in 0..100 {
        let now = SECOND + Duration::from_millis(send as u64);
        let node = &mut nodes[send % NODES];
        if !is_held(node, &SUSPECT, BOUND, now) {
            node.record_loss(loss(SUSPECT, now, send as u64));
            servers += 1;
        }
        if case.exchange.is_some_and(|every| (send + 1) % every == 0) {
            exchange_losses(&mut nodes, now);
        }
    }
    assert_eq!(servers, case.servers);
}

#[test]
fn harmless_requests_are_cleared_by_survival_and_by_time() {
    let mut node = Suspects::default();
    for (process, request) in [SUSPECT, OTHER].into_iter().enumerate() {
        node.record_loss(loss(request, SECOND, process as u64));
    }
    assert_eq!(node.crash_count(&OTHER, SECOND), 1);
    node.record_survival(OTHER, 2 * SECOND);
    assert_eq!(node.crash_count(&OTHER, 2 * SECOND), 0);
    assert_eq!(node.crash_count(&SUSPECT, 2 * SECOND), 1);
    // A loss soon after the survived run does not count either; one long after it does.
    node.record_loss(loss(OTHER, 3 * SECOND, 9));
    assert_eq!(node.crash_count(&OTHER, 3 * SECOND), 0);
    node.record_loss(loss(OTHER, 2 * MINUTE, 10));
    assert_eq!(node.crash_count(&OTHER, 2 * MINUTE), 1);
    assert_eq!(node.crash_count(&OTHER, 13 * MINUTE), 0);
    assert_eq!(node.crash_count(&SUSPECT, 13 * MINUTE), 0);
}

#[test]
fn losses_merge_in_any_order() {
    let (mut a, mut b) = (Suspects::default(), Suspects::default());
    a.record_loss(loss(SUSPECT, SECOND, 1));
    b.record_loss(loss(SUSPECT, 3 * SECOND, 2));
    let now = 4 * SECOND;
    let mut ab = a.clone();
    ab.merge(&b.losses_since(0, now).0, now);
    let mut ba = b.clone();
    ba.merge(&a.losses_since(0, now).0, now);
    assert_eq!(ab.verdict(&SUSPECT, 2, now), ba.verdict(&SUSPECT, 2, now));
    assert!(is_held(&ab, &SUSPECT, 2, now));
    // Known losses are neither merged nor reported again.
    let known = ab.known_losses();
    assert_eq!(ab.merge(&ba.losses_since(0, now).0, now), []);
    assert_eq!(ab.known_losses(), known);
    assert_eq!(ab.losses_since(known, now).0, []);
}

/// Guards against wrong ages on a VM that has just started and receives losses that occurred before
/// its clock began.
#[test]
fn losses_older_than_a_nodes_clock_keep_their_ages() {
    let mut old_node = Suspects::default();
    with_others_beside().into_iter().for_each(|loss| {
        old_node.record_loss(loss);
    });
    let apart = loss(OTHER, at(3_100), 90);
    old_node.record_loss(apart);
    let (now, new_now) = (at(60_000), at(10));
    assert!(is_held(&old_node, &SUSPECT, SCENE_BOUND, now));
    let mut new_node = Suspects::default();
    new_node.merge(&old_node.losses_since(0, now).0, new_now);
    let verdict = new_node.verdict(&SUSPECT, SCENE_BOUND, new_now);
    assert_eq!(verdict, old_node.verdict(&SUSPECT, SCENE_BOUND, now));
}

#[test]
fn memory_is_bounded_and_the_newest_losses_are_kept() {
    let mut node = Suspects::default();
    for process in 0..5000 {
        node.record_loss(loss([3; 16], SECOND, process));
        let mut content = [0; 16];
        content[..8].copy_from_slice(&process.to_le_bytes());
        node.record_survival(content, SECOND);
    }
    let (reports, known) = node.losses_since(0, SECOND);
    assert_eq!((reports.len(), known), (512, 5000));
    node.record_loss(loss(SUSPECT, SECOND, 7000));
    let (reports, known) = node.losses_since(known, SECOND);
    assert_eq!((reports.len(), known), (1, 5001));
}

/// The losses of a request and of those around it, and whether the request is held at the end.
struct Scene {
    losses: fn() -> Vec<Loss>,
    held: bool,
}

/// The bound that is used for the scenes.
const SCENE_BOUND: u32 = 3;

const fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// One attempt that crashes three servers in a row, since it is sent again after each crash.
fn one_attempt() -> Vec<Loss> {
    let losses = (0..3).map(|i| loss(SUSPECT, at(1000 + 30 * i), i));
    losses.map(|loss| Loss { attempt: 7, ..loss }).collect()
}

/// Three attempts, one after another.
fn three_attempts() -> Vec<Loss> {
    (0..3)
        .map(|i| loss(SUSPECT, at(1000 + 2000 * i), i))
        .collect()
}

/// Three attempts as above, and with each crash the losses of the requests that ran beside it.
fn with_others_beside() -> Vec<Loss> {
    let beside = |i: u64, other: u8| loss([100 + other; 16], at(1000 + 2000 * i), i);
    let others = (0..3).flat_map(|i| (0..11).map(move |other| beside(i, other)));
    three_attempts().into_iter().chain(others).collect()
}

/// Three attempts at the same time, without any other crash.
fn at_the_same_time() -> Vec<Loss> {
    (0..3).map(|i| loss(SUSPECT, at(1000 + i), i)).collect()
}

/// The same request runs on five servers of a data centre that fails as a whole.
fn data_centre() -> Vec<Loss> {
    let same = (0..5).map(|i| loss(SUSPECT, at(1000 + i), i));
    let others = (5..9).map(|i| loss(OTHER, at(1000 + i), i));
    same.chain(others).collect()
}

/// Servers crash one after another, each with a request of its own, and one request is affected by
/// three of the crashes.
fn crash_series() -> Vec<Loss> {
    let all = (0..9).map(|i| loss([50 + i as u8; 16], at(1000 + 800 * i), i));
    let affected = [1, 4, 7].map(|i| loss(SUSPECT, at(1000 + 800 * i), 20 + i));
    all.chain(affected).collect()
}

/// The same crashes, each of which another request explains that ran on all of these servers.
fn explained_crash_series() -> Vec<Loss> {
    let all = (0..9).map(|i| loss(OTHER, at(1000 + 800 * i), i));
    crash_series().into_iter().chain(all).collect()
}

/// Three attempts whose runs had been going on for a while.
fn late() -> Vec<Loss> {
    let losses = three_attempts().into_iter();
    losses
        .map(|loss| Loss {
            early: false,
            ..loss
        })
        .collect()
}

fn late_again() -> Vec<Loss> {
    let again = |loss: Loss| Loss {
        at: loss.at + MINUTE,
        process: loss.process + 10,
        ..loss
    };
    late()
        .into_iter()
        .chain(late().into_iter().map(again))
        .collect()
}

/// Two suspect requests with five attempts each, all at the same times.
fn two_suspects() -> Vec<Loss> {
    let one = (0..5).map(|i| loss(SUSPECT, at(1000 + 2000 * i), i));
    let other = (0..5).map(|i| loss(OTHER, at(1000 + 2000 * i), 10 + i));
    one.chain(other).collect()
}

/// A request that ran three times beside another request with four losses.
fn beside_likelier_suspect() -> Vec<Loss> {
    let other = (0..4).map(|i| loss(OTHER, at(1000 + 2000 * i), i));
    three_attempts().into_iter().chain(other).collect()
}

#[test_case(&Scene { losses: one_attempt, held: true }; "one attempt")]
#[test_case(&Scene { losses: three_attempts, held: true }; "three attempts")]
#[test_case(&Scene { losses: with_others_beside, held: true }; "others ran beside it")]
#[test_case(&Scene { losses: at_the_same_time, held: true }; "at the same time without other crashes")]
#[test_case(&Scene { losses: two_suspects, held: true }; "two requests that crash servers at the same times")]
#[test_case(&Scene { losses: beside_likelier_suspect, held: false }; "it ran beside a request with more crashes")]
#[test_case(&Scene { losses: data_centre, held: false }; "a data centre fails as a whole")]
#[test_case(&Scene { losses: crash_series, held: false }; "servers crash around it")]
#[test_case(&Scene { losses: explained_crash_series, held: true }; "servers crash around it under another request")]
#[test_case(&Scene { losses: late, held: false }; "runs that had been going on")]
#[test_case(&Scene { losses: late_again, held: true }; "twice as many such runs")]
fn a_request_is_held_for_crashes_without_another_explanation(scene: &Scene) {
    let mut losses = (scene.losses)();
    for order in 0..2 {
        let mut node = Suspects::default();
        for loss in &losses {
            node.record_loss(loss.clone());
        }
        let now = losses.iter().map(|loss| loss.at).max().unwrap_or_default();
        let seen = node.verdict(&SUSPECT, SCENE_BOUND, now);
        assert_eq!(
            matches!(seen, Verdict::Held { .. }),
            scene.held,
            "{order}: {seen:?}"
        );
        losses.reverse();
    }
}

/// Requests that each crash the server that runs them, while their callers send them again at the
/// same pace.
struct Simultaneous {
    requests: u64,
    /// The time from the first send of one request to that of the next one.
    offset: Duration,
    /// The time from a crash to the next send.
    pace: Duration,
}

/// The time after the third crash from which sends count, and the most of them that the users allow.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
const MAX_LATER_SENDS: usize = 3;

/// Each request's victims must not be the other's excuse.
#[test_case(&Simultaneous { requests: 2, offset: at(0), pace: at(300) }; "two at the same moment")]
#[test_case(&Simultaneous { requests: 2, offset: at(150), pace: at(300) }; "two by turns")]
#[test_case(&Simultaneous { requests: 2, offset: at(20), pace: at(100) }; "two in quick succession")]
#[test_case(&Simultaneous { requests: 2, offset: at(600), pace: at(1200) }; "two, slowly")]
#[test_case(&Simultaneous { requests: 3, offset: at(0), pace: at(300) }; "three at the same moment")]
#[test_case(&Simultaneous { requests: 3, offset: at(100), pace: at(300) }; "three by turns")]
#[test_case(&Simultaneous { requests: 8, offset: at(40), pace: at(300) }; "eight by turns")]
#[test_case(&Simultaneous { requests: 8, offset: at(0), pace: at(1000) }; "eight at the same moment, slowly")]
fn requests_that_crash_servers_at_the_same_time_are_all_held(case: &Simultaneous) {
    let mut node = Suspects::default();
    let mut sends: Vec<Vec<Time>> = vec![Vec::new(); case.requests as usize];
    let mut process = 0;
    for attempt in 0..40 {
        for request in 0..case.requests {
            let now = SECOND + case.offset * request as u32 + case.pace * attempt;
            if is_held(&node, &content(request), SCENE_BOUND, now) {
                continue;
            }
            process += 1;
            node.record_loss(loss(content(request), now, process));
            sends[request as usize].push(now);
        }
    }
    for times in sends {
        let evident = times[SCENE_BOUND as usize - 1] + PROPAGATION_TIME;
        let later = times.iter().filter(|at| **at > evident).count();
        assert!(
            later <= MAX_LATER_SENDS,
            "{} sends, {later} later",
            times.len()
        );
    }
}

/// Random crashes of servers during one minute, each with the requests that run on the server.
struct CrashPattern {
    /// The fraction of all servers that crashes per second.
    rate: f64,
    /// Number of servers that crash at the same time.
    group: usize,
}

/// A stream of a caller that retries once, within its time limit.
#[derive(Clone, Copy)]
struct Stream {
    number: u64,
    server: usize,
    /// When the stream arrived.
    since: Time,
    /// When its current run began.
    began: Time,
    runs: u64,
}

impl Stream {
    fn new(number: u64, server: usize, now: Time) -> Stream {
        Stream {
            number,
            server,
            since: now,
            began: now,
            runs: 1,
        }
    }

    fn has_ended(&self, now: Time) -> bool {
        self.runs > 2 * RUNS_PER_ATTEMPT || now.saturating_sub(self.since) > CALLER_TIMEOUT
    }
}

/// The maximum number of runs of one attempt of a caller.
const RUNS_PER_ATTEMPT: u64 = 4;

const CALLER_TIMEOUT: Duration = Duration::from_secs(25);

/// The time during which a run counts as having just begun.
const EARLY_RUN: Duration = Duration::from_millis(1500);

#[test_case(&CrashPattern { rate: 0.01, group: 1 }; "now and then")]
#[test_case(&CrashPattern { rate: 0.03, group: 1 }; "often")]
#[test_case(&CrashPattern { rate: 0.05, group: 9 }; "in groups")]
#[test_case(&CrashPattern { rate: 0.1, group: 12 }; "in groups and often")]
fn no_harmless_request_is_held_because_servers_crash_around_it(pattern: &CrashPattern) {
    const SERVERS: usize = 36;
    const STREAMS: u64 = 216;
    const STEP: Duration = Duration::from_millis(50);
    let (mut held, mut lost) = (0, 0);
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut node = Suspects::default();
        let mut incarnations = [0u64; SERVERS];
        let mut next = 0;
        let mut stream = |random: &mut fastrand::Rng, now| {
            next += 1;
            Stream::new(next, random.usize(0..SERVERS), now)
        };
        let mut streams: Vec<Stream> = (0..STREAMS)
            .map(|_| stream(&mut random, Time::ZERO))
            .collect();
        let mut now = Time::ZERO;
        while now < MINUTE {
            now += STEP;
            let chance = pattern.rate * STEP.as_secs_f64() * SERVERS as f64 / pattern.group as f64;
            let first = random.usize(0..SERVERS);
            let ends = if random.f64() < chance {
                pattern.group
            } else {
                0
            };
            let ended: Vec<usize> = (first..first + ends).map(|s| s % SERVERS).collect();
            let mut affected = Vec::new();
            for active in streams.iter_mut().filter(|s| ended.contains(&s.server)) {
                node.record_loss(Loss {
                    content: content(active.number),
                    attempt: active.number * 2 + active.runs / RUNS_PER_ATTEMPT,
                    process: (active.server as u64) << 32 | incarnations[active.server],
                    at: now,
                    early: now.saturating_sub(active.began) < EARLY_RUN,
                    parts: [].into(),
                });
                affected.push(active.number);
                while ended.contains(&active.server) {
                    active.server = random.usize(0..SERVERS);
                }
                (active.began, active.runs) = (now, active.runs + 1);
            }
            lost += affected.len();
            for number in affected {
                held += u32::from(is_held(&node, &content(number), SCENE_BOUND, now));
            }
            for server in ended {
                incarnations[server] += 1;
            }
            for active in &mut streams {
                if now.saturating_sub(active.began) > 6 * SECOND {
                    node.record_survival(content(active.number), now);
                    *active = stream(&mut random, now);
                } else if active.has_ended(now) {
                    *active = stream(&mut random, now);
                }
            }
        }
    }
    assert_eq!(held, 0, "of {lost} lost runs");
}

fn content(number: u64) -> ShortDigest {
    let mut content = [0; 16];
    content[..8].copy_from_slice(&number.to_le_bytes());
    content
}
