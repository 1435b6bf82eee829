//! Fairness between accounts and callers, deadlines, limits and exact retry times.

use std::{collections::HashMap, time::Duration};

use test_case::test_case;

use super::{FairQueue, Job, QueueLimits, Refusal, Requester};

const T0: Duration = Duration::ZERO;

fn job(account: &str, caller: &str, cost: u64) -> Job<u64> {
    Job {
        requester: Requester {
            account: account.into(),
            caller: caller.into(),
            account_weight: 1.0,
            caller_weight: 1.0,
        },
        priority: 0,
        cost,
        deadline: Duration::from_secs(1_000),
        item: 0,
    }
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns Jain's fairness index: 1 if all values are equal, 1/n if one value is the whole sum.
fn jain(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let n = values.clone().count() as f64;
    let sum: f64 = values.clone().sum();
    let squares: f64 = values.map(|v| v * v).sum();
    sum * sum / (n * squares)
}

#[test]
fn one_account_at_ten_times_the_demand_does_not_starve_the_others() {
    let mut queue = FairQueue::new(QueueLimits {
        jobs: 100_000,
        account: 100_000,
        caller: 100_000,
    });
    let mut rng = fastrand::Rng::with_seed(7);
    for round in 0..200 {
        for account in 0..10 {
            let count = if account == 0 { 10 } else { 1 };
            for _ in 0..count {
                let cost = rng.u64(50..2_000);
                queue
                    .push(
                        T0,
                        job(&format!("a{account}"), &format!("c{}", round % 5), cost),
                    )
                    .unwrap();
            }
        }
    }
    let mut served: HashMap<String, f64> = HashMap::new();
    for _ in 0..1_500 {
        let job = queue.pop(T0).expect("jobs wait");
        *served.entry(job.requester.account.to_string()).or_default() += job.cost as f64;
    }
    let index = jain(served.values().copied());
    println!("Jain's index over {} accounts: {index:.4}", served.len());
    assert!(served.len() == 10 && index >= 0.95, "{index} {served:?}");
}

#[test]
fn one_caller_of_a_reseller_does_not_starve_the_other_999() {
    let mut queue = FairQueue::new(QueueLimits {
        jobs: 100_000,
        account: 100_000,
        caller: 100_000,
    });
    for caller in 0..1_000 {
        let count = if caller == 0 { 3_000 } else { 3 };
        for _ in 0..count {
            queue
                .push(T0, job("reseller", &format!("c{caller}"), 100))
                .unwrap();
        }
    }
    let mut served: HashMap<String, f64> = HashMap::new();
    for _ in 0..2_500 {
        let job = queue.pop(T0).expect("jobs wait");
        *served.entry(job.requester.caller.to_string()).or_default() += 1.0;
    }
    assert_eq!(served.len(), 1_000);
    assert!(jain(served.values().copied()) >= 0.95);
}

#[test]
fn the_queue_is_work_conserving_and_respects_weights() {
    let mut queue = FairQueue::new(QueueLimits::default());
    let heavy = |weight| {
        let mut job = job("heavy", "c", 100);
        job.requester.account_weight = weight;
        job
    };
    for _ in 0..150 {
        queue.push(T0, heavy(3.0)).unwrap();
        queue.push(T0, job("light", "c", 100)).unwrap();
    }
    let first: Vec<_> = (0..100)
        .map(|_| queue.pop(T0).unwrap().requester.account)
        .collect();
    let count = first.iter().filter(|a| &***a == "heavy").count();
    assert!((74..=76).contains(&count), "{count}");
    assert_eq!((0..200).filter(|_| queue.pop(T0).is_some()).count(), 200);
    assert!(queue.is_empty() && queue.pop(T0).is_none());
}

#[test]
fn an_idle_account_earns_a_bounded_credit() {
    for served in [10, 1_000] {
        let mut queue = FairQueue::new(QueueLimits {
            jobs: 5_000,
            account: 5_000,
            caller: 5_000,
        });
        for _ in 0..4_000 {
            queue.push(T0, job("busy", "c", 1_000)).unwrap();
        }
        for _ in 0..served {
            queue.pop(T0);
        }
        // The account "late" queues one job at a time. It catches up at most 8,192 tokens and then
        // gets half of the turns.
        let (mut late, mut waits) = (0, false);
        for _ in 0..200 {
            if !waits {
                queue.push(T0, job("late", "c", 1_000)).unwrap();
            }
            waits = &*queue.pop(T0).unwrap().requester.account != "late";
            late += u32::from(!waits);
        }
        assert!((100..=106).contains(&late), "{late} of 200 after {served}");
    }
}

#[test]
fn a_caller_with_one_job_at_a_time_gets_its_part_beside_a_busy_one() {
    let mut queue = FairQueue::new(QueueLimits {
        jobs: 5_000,
        account: 5_000,
        caller: 5_000,
    });
    for _ in 0..3_000 {
        queue.push(T0, job("a", "always", 1_000)).unwrap();
    }
    // The caller requests half of the capacity in the long run, with a pause after each job.
    let mut rng = fastrand::Rng::with_seed(9);
    let (mut seldom, mut waits, mut pause) = (0, false, 0);
    for _ in 0..1_000 {
        if !waits && pause == 0 {
            queue.push(T0, job("a", "seldom", 1_000)).unwrap();
            waits = true;
        }
        pause = u32::saturating_sub(pause, 1);
        if &*queue.pop(T0).unwrap().requester.caller == "seldom" {
            (seldom, waits, pause) = (seldom + 1, false, rng.u32(0..=2));
        }
    }
    println!("{seldom} of 1000 for the caller that requests 500");
    assert!(seldom >= 450, "{seldom}");
}

#[test]
fn jobs_of_a_caller_run_by_priority_then_deadline() {
    let mut queue = FairQueue::new(QueueLimits::default());
    for (priority, deadline, item) in [(1, 5, 3), (0, 9, 2), (0, 4, 1), (2, 1, 4)] {
        let mut job = job("a", "c", 10);
        (job.priority, job.deadline, job.item) = (priority, Duration::from_secs(deadline), item);
        queue.push(T0, job).unwrap();
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(T0))
        .map(|job| job.item)
        .collect();
    assert_eq!(order, [1, 2, 3, 4]);
}

#[test]
fn a_full_queue_evicts_the_last_job_of_the_largest_account() {
    let mut queue = FairQueue::new(QueueLimits {
        jobs: 20,
        account: 20,
        caller: 20,
    });
    for i in 0..20 {
        let mut job = job("large", "c", 100);
        job.item = i;
        queue.push(T0, job).unwrap();
    }
    let evicted = queue
        .push(T0, job("large", "d", 100))
        .unwrap()
        .expect("a job of c is evicted for d");
    assert_eq!(
        (&*evicted.job.requester.caller, evicted.job.item),
        ("c", 19)
    );
    assert!(matches!(evicted.reason, Refusal::Full(_)));
    let evicted = queue
        .push(T0, job("small", "c", 100))
        .unwrap()
        .expect("one job is evicted")
        .job;
    assert_eq!(
        (&*evicted.requester.account, evicted.item, queue.len()),
        ("large", 18, 20)
    );
    let back = queue
        .push(T0, job("large", "c", 100))
        .expect_err("its own part is the largest")
        .job;
    assert_eq!((&*back.requester.account, queue.len()), ("large", 20));
}

#[test]
fn jobs_are_removed_at_their_deadline() {
    let mut queue = FairQueue::new(QueueLimits::default());
    for deadline in [3, 1, 2] {
        let mut job = job("a", "c", 10);
        job.deadline = Duration::from_secs(deadline);
        queue.push(T0, job).unwrap();
    }
    assert_eq!(queue.next_deadline(), Some(secs(1.0)));
    assert_eq!(queue.remove_expired(secs(0.9)).len(), 0);
    assert_eq!(queue.remove_expired(secs(2.0)).len(), 2);
    assert_eq!((queue.len(), queue.next_deadline()), (1, Some(secs(3.0))));
}

#[test]
fn a_job_that_would_run_too_late_is_refused_with_a_sufficient_retry_time() {
    let mut queue = FairQueue::new(QueueLimits {
        jobs: 10_000,
        account: 10_000,
        caller: 10_000,
    });
    // The service handles 10 jobs of 100 tokens per second.
    let mut now = T0;
    for _ in 0..150 {
        queue.push(now, job("a", "c", 100)).unwrap();
    }
    for _ in 0..50 {
        now += secs(0.1);
        queue.pop(now).expect("jobs wait");
    }
    let late = |now: Duration| {
        let mut job = job("a", "c", 100);
        job.deadline = now + secs(4.0);
        job
    };
    let refused = queue
        .push(now, late(now))
        .expect_err("100 jobs wait for 10 s");
    let Refusal::Late(retry) = refused.reason else {
        panic!("{:?}", refused.reason);
    };
    assert!((5.0..7.0).contains(&retry.as_secs_f64()), "{retry:?}");
    let mut small = job("b", "c", 100);
    small.deadline = now + secs(0.5);
    queue
        .push(now, small)
        .expect("another account is served at once");
    let until = now + retry;
    while now < until {
        now += secs(0.1);
        queue.pop(now).expect("jobs wait");
    }
    queue
        .push(now, late(now))
        .expect("the retry time was sufficient");
}

#[test]
fn a_large_job_does_not_block_small_ones_and_is_not_starved() {
    let mut queue = FairQueue::new(QueueLimits::default());
    queue.push(T0, job("large", "c", 5_000)).unwrap();
    let mut before = 0;
    loop {
        queue.push(T0, job("small", "c", 100)).unwrap();
        // Capacity for the large job never becomes free while small jobs are taken.
        match queue.pop_fitting(T0, |job| job.cost < 1_000) {
            Some(_) => before += 1,
            None => break,
        }
        assert!(before < 1_000, "the large job starves");
    }
    assert!(before >= 64, "{before}");
    assert_eq!(queue.pop(T0).expect("room at last").cost, 5_000);
}

#[test]
fn cost_above_the_estimate_is_charged() {
    let mut queue = FairQueue::new(QueueLimits::default());
    for _ in 0..50 {
        queue.push(T0, job("a", "c", 100)).unwrap();
        queue.push(T0, job("b", "c", 100)).unwrap();
    }
    let mut a = 0;
    for _ in 0..40 {
        let job = queue.pop(T0).unwrap();
        if &*job.requester.account == "a" {
            a += 1;
            queue.charge(&job.requester, 200);
        }
    }
    assert!(
        (9..=11).contains(&a),
        "{a}: a third of the jobs at three times the cost"
    );
}

#[test_case(1_000, 10)]
#[test_case(10, 1_000)]
fn tracked_accounts_are_bounded(accounts: u64, callers: u64) {
    let mut queue = FairQueue::new(QueueLimits {
        jobs: 500,
        account: 300,
        caller: 100,
    });
    let mut rng = fastrand::Rng::with_seed(11);
    for step in 0..20_000u64 {
        let names = (
            format!("a{}", rng.u64(0..accounts)),
            format!("c{}", rng.u64(0..callers)),
        );
        let _ = queue.push(Duration::from_millis(step), job(&names.0, &names.1, 100));
        if step % 2 == 0 {
            queue.pop(Duration::from_millis(step));
        }
        assert!(queue.len() <= 500);
    }
    println!("{} accounts tracked", queue.account_count());
    assert!(queue.account_count() <= 2 * 500 + 8);
    while queue.pop(Duration::from_secs(30)).is_some() {}
    assert!(queue.account_count() <= 16, "{}", queue.account_count());
}

/// Serves Poisson arrivals of 20 callers with half of the capacity that they request in total, and
/// returns the served tokens of each caller. The first caller requests ten times as much as each of
/// the others.
fn serve_callers(patience: f64, seconds: f64, seed: u64) -> Vec<f64> {
    let mut queue = FairQueue::new(QueueLimits::default());
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut served = vec![0.0; 20];
    let (mut now, mut next_arrival, mut next_turn) = (0.0, 0.0, 0.0);
    while now < seconds {
        if next_arrival <= next_turn {
            now = next_arrival;
            next_arrival += -(1.0 - rng.f64()).ln() / 14.0;
            let drawn = rng.u64(0..29);
            let caller = drawn.saturating_sub(9);
            let mut job = job("a", &format!("c{caller}"), rng.u64(600..1_800));
            job.deadline = secs(now + patience);
            job.item = caller;
            // Refused callers do not retry in this simulation.
            let _ = queue.push(secs(now), job);
            continue;
        }
        now = next_turn;
        next_turn += 0.2;
        queue.remove_expired(secs(now));
        if let Some(job) = queue.pop(secs(now)) {
            served[job.item as usize] += job.cost as f64;
        }
    }
    served
}

#[test]
fn callers_that_rarely_wait_get_their_part() {
    for patience in [2.0, 4.0, 10.0] {
        let served = serve_callers(patience, 400.0, 3);
        let index = jain(served.iter().copied());
        println!("patience {patience} s: Jain's index over 20 callers {index:.4}");
        assert!(index >= 0.95, "{index}");
    }
}
