//! The crashes that a part of a prompt causes over a whole fleet, and the sound requests beside it.

use std::time::Duration;

use test_case::test_case;

use super::fleet_simulation::{Culprit, Outcome, Scene, Storm};

/// What the users allow later than the time in which all nodes must know of the fifth crash.
const MAX_LATE_SENDS: usize = 3;

/// The target for sound requests that are held, in a hundred.
const MAX_SOUND_HELD_PERCENT: usize = 5;

const SEEDS: u64 = 2;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn scene(nodes: usize, batch: usize) -> Scene {
    let servers = match (nodes, batch) {
        (..=6, ..=12) => 36,
        (..=6, _) => 8,
        (_, ..=12) => 400,
        _ => 40,
    };
    Scene {
        nodes,
        servers,
        batch,
        rate: 8.0,
        parts: 2,
        culprits: Vec::new(),
        since: seconds(6),
        storm: None,
    }
}

/// Checks the users' bound and the treatment of sound requests; returns what is wrong.
fn faults(outcome: &Outcome) -> Vec<String> {
    let mut faults = Vec::new();
    for culprit in &outcome.culprits {
        if culprit.late_sends > MAX_LATE_SENDS {
            faults.push(format!("{} sends too late", culprit.late_sends));
        }
    }
    if outcome.sound_held * 100 >= (outcome.sound * MAX_SOUND_HELD_PERCENT).max(1) {
        faults.push(format!("{} sound held", outcome.sound_held));
    }
    faults
}

fn check(name: &str, scene: &Scene, seeds: u64) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..seeds {
        let outcome = scene.run(seed);
        let faults = faults(&outcome);
        let culprits: Vec<_> = outcome
            .culprits
            .iter()
            .map(|culprit| {
                (
                    culprit.crashes_until_held,
                    culprit.crashes,
                    culprit.late_sends,
                )
            })
            .collect();
        println!(
            "{name} seed {seed}: until held, in all, sends late {culprits:?}; of {} sound {} held, {} failed {}",
            outcome.sound, outcome.sound_held, outcome.sound_failed, faults.join(", ")
        );
        all.extend(
            faults
                .into_iter()
                .map(|fault| format!("{name} seed {seed}: {fault}")),
        );
    }
    all
}

#[test_case(6, 1, 2; "six nodes one shared part 2 a second")]
#[test_case(6, 1, 8; "six nodes one shared part 8 a second")]
#[test_case(6, 1, 40; "six nodes one shared part 40 a second")]
#[test_case(6, 2, 2; "six nodes two parts 2 a second")]
#[test_case(6, 2, 8; "six nodes two parts 8 a second")]
#[test_case(6, 2, 40; "six nodes two parts 40 a second")]
#[test_case(6, 11, 2; "six nodes eleven parts 2 a second")]
#[test_case(6, 11, 8; "six nodes eleven parts 8 a second")]
#[test_case(6, 11, 40; "six nodes eleven parts 40 a second")]
#[test_case(295, 1, 2; "295 nodes one shared part 2 a second")]
#[test_case(295, 1, 8; "295 nodes one shared part 8 a second")]
#[test_case(295, 1, 40; "295 nodes one shared part 40 a second")]
#[test_case(295, 2, 2; "295 nodes two parts 2 a second")]
#[test_case(295, 2, 8; "295 nodes two parts 8 a second")]
#[test_case(295, 2, 40; "295 nodes two parts 40 a second")]
#[test_case(295, 11, 2; "295 nodes eleven parts 2 a second")]
#[test_case(295, 11, 8; "295 nodes eleven parts 8 a second")]
#[test_case(295, 11, 40; "295 nodes eleven parts 40 a second")]
fn a_part_that_crashes_servers_is_held_by_the_whole_fleet(nodes: usize, parts: usize, rate: u32) {
    let mut all = Vec::new();
    for batch in [12, 128] {
        for share in [0.05, 0.2, 0.5] {
            let place = (parts - 1).min(3);
            let scene = Scene {
                rate: rate.into(),
                parts,
                culprits: vec![(Culprit::Part { place }, share)],
                ..scene(nodes, batch)
            };
            let name =
                format!("{nodes} nodes, {parts} parts, batch {batch}, rate {rate}, share {share}");
            all.extend(check(&name, &scene, SEEDS));
        }
    }
    assert!(all.is_empty(), "{all:#?}");
}

#[test_case(&[(Culprit::Part { place: 1 }, 0.1), (Culprit::Part { place: 1 }, 0.1)], 6; "two deadly parts")]
#[test_case(&[(Culprit::Part { place: 1 }, 0.2), (Culprit::Part { place: 1 }, 0.02)], 6; "a frequent deadly part and a rare one")]
#[test_case(&[(Culprit::Part { place: 0 }, 0.2)], 6; "the first part is deadly")]
#[test_case(&[(Culprit::Part { place: 1 }, 0.1), (Culprit::Content, 0.05)], 6; "a deadly part beside a deadly content")]
#[test_case(&[(Culprit::Part { place: 1 }, 0.2)], 0; "a fleet that has just started")]
#[test_case(&[(Culprit::Part { place: 1 }, 0.5)], 0; "a fleet that has just started gets many")]
#[test_case(&[(Culprit::Content, 0.1)], 6; "a deadly content alone")]
fn every_culprit_is_held_and_nothing_else(culprits: &[(Culprit, f64)], since: u64) {
    let mut all = Vec::new();
    for (nodes, batch, rate) in [(6, 12, 8.0), (6, 128, 8.0), (6, 128, 40.0), (295, 12, 40.0)] {
        let scene = Scene {
            rate,
            culprits: culprits.to_vec(),
            since: seconds(since),
            ..scene(nodes, batch)
        };
        let name = format!("{nodes} nodes, batch {batch}, rate {rate}");
        all.extend(check(&name, &scene, SEEDS));
    }
    assert!(all.is_empty(), "{all:#?}");
}

/// Crashes that no request causes must not hold a part.
#[test_case(300, 1, 6; "servers crash one after another")]
#[test_case(2000, 1, 6; "servers crash now and then")]
#[test_case(4000, 6, 6; "data centres fail as a whole")]
#[test_case(300, 1, 0; "servers of a fleet that has just started crash one after another")]
#[test_case(3000, 4, 0; "data centres of a fleet that has just started fail")]
fn no_part_is_held_in_storms(every_ms: u64, group: usize, since: u64) {
    let mut all = Vec::new();
    for (nodes, batch, rate) in [(6, 12, 8.0), (6, 128, 40.0), (295, 12, 40.0)] {
        for parts in [1, 2, 11] {
            let every = Duration::from_millis(every_ms);
            let scene = Scene {
                rate,
                parts,
                since: seconds(since),
                storm: Some(Storm { every, group }),
                ..scene(nodes, batch)
            };
            let name = format!("{nodes} nodes, {parts} parts, batch {batch}, rate {rate}");
            all.extend(check(&name, &scene, SEEDS));
        }
    }
    assert!(all.is_empty(), "{all:#?}");
}
