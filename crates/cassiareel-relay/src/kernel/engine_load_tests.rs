//! Prompts meet less often where a few engines are asked first, and go only where there is room.

use std::time::Duration;

use super::{
    choose_least_loaded, choose_with_room, EngineLoad, PromptDemand, RunningRequest, Shortage,
};

/// Engines, of which each prompt asks the first few of its own order.
const ENGINES: usize = 96;

/// Prompts that come in the time in which an engine reads one.
const PROMPTS: usize = 26;

/// The share of prompts that wait for another, where each asks `asked` engines.
fn waiting(asked: usize) -> f64 {
    let mut random = fastrand::Rng::with_seed(3);
    let (mut waits, mut all) = (0u32, 0u32);
    for _ in 0..200 {
        let mut reading = vec![0u64; ENGINES];
        for _ in 0..PROMPTS {
            let order: Vec<usize> = (0..asked).map(|_| random.usize(0..ENGINES)).collect();
            let told: Vec<Option<EngineLoad>> = order
                .iter()
                .map(|engine| {
                    Some(EngineLoad {
                        prefilling: reading[*engine],
                        ..EngineLoad::default()
                    })
                })
                .collect();
            let chosen = order[choose_least_loaded(&told).expect("some are asked")];
            waits += u32::from(reading[chosen] > 0);
            reading[chosen] += 1;
            all += 1;
        }
    }
    f64::from(waits) / f64::from(all)
}

#[test]
fn asking_three_engines_leaves_few_prompts_waiting() {
    assert!(waiting(1) > 0.1);
    assert!(waiting(3) < 0.01);
}

#[test]
fn equals_are_taken_in_the_order_of_preference() {
    let idle = Some(EngineLoad::default());
    assert_eq!(
        choose_least_loaded(&[idle.clone(), idle.clone(), idle]),
        Some(0)
    );
    assert_eq!(choose_least_loaded(&[None, None]), Some(0));
    assert_eq!(choose_least_loaded(&[]), None);
}

/// A prompt of usual size.
const WANT: PromptDemand = PromptDemand {
    input: 5000,
    peak_tokens: 6000,
    reserved_part: 0.0,
    prefill_time: Duration::from_secs(1),
    max_wait: Duration::from_millis(1500),
};

/// An engine with so many requests, each half done.
fn engine(reading: u64, generating: u64, slots: u64, capacity: u64) -> EngineLoad {
    let run = RunningRequest {
        tokens: 5500,
        generated: 500,
    };
    EngineLoad {
        prefilling: reading,
        generating,
        runs: vec![run; generating as usize],
        slots,
        used: run.tokens * generating,
        capacity,
    }
}

/// An engine's load, and what it lacks for the usual prompt.
struct Room {
    name: &'static str,
    told: EngineLoad,
    reserve: f64,
    lacks: Option<Shortage>,
}

#[test]
fn room_is_where_place_memory_and_time_allow() {
    let cases = [
        Room {
            name: "an idle engine takes any prompt",
            told: engine(0, 0, 1, 100),
            reserve: 0.5,
            lacks: None,
        },
        Room {
            name: "places bind",
            told: engine(0, 8, 8, 1_000_000),
            reserve: 0.0,
            lacks: Some(Shortage::Place),
        },
        Room {
            name: "memory binds long before places",
            told: engine(0, 8, 128, 55_000),
            reserve: 0.0,
            lacks: Some(Shortage::Memory),
        },
        Room {
            name: "memory is enough for all at their ends",
            told: engine(0, 6, 128, 55_000),
            reserve: 0.0,
            lacks: None,
        },
        Room {
            name: "a dominant account leaves some of it",
            told: engine(0, 6, 128, 55_000),
            reserve: 0.33,
            lacks: Some(Shortage::Memory),
        },
        Room {
            name: "one prompt ahead",
            told: engine(1, 1, 12, 55_000),
            reserve: 0.0,
            lacks: None,
        },
        Room {
            name: "two prompts ahead take longer than it may wait",
            told: engine(2, 1, 12, 55_000),
            reserve: 0.0,
            lacks: Some(Shortage::Time),
        },
        Room {
            name: "an engine that tells no memory",
            told: engine(0, 3, 12, 0),
            reserve: 0.0,
            lacks: None,
        },
    ];
    for case in cases {
        let want = PromptDemand {
            reserved_part: case.reserve,
            ..WANT
        };
        assert_eq!(case.told.shortage(&want), case.lacks, "{}", case.name);
    }
}

#[test]
fn the_least_busy_engine_with_room_is_taken() {
    let (full, busy, free) = (
        engine(0, 12, 12, 55_000),
        engine(1, 2, 12, 55_000),
        engine(0, 2, 12, 55_000),
    );
    let told = [Some(full.clone()), None, Some(busy), Some(free)];
    assert_eq!(choose_with_room(&told, &WANT), Ok(3));
    assert_eq!(
        choose_with_room(&[None, Some(full)], &WANT),
        Err(Some(Shortage::Place))
    );
    assert_eq!(choose_with_room(&[None, None], &WANT), Err(None));
}

#[test]
fn nearly_full_engines_are_asked_to_set_room_aside() {
    assert!(!engine(0, 0, 12, 55_000).is_tight(&WANT));
    assert!(!engine(0, 2, 12, 55_000).is_tight(&WANT));
    assert!(engine(0, 5, 12, 55_000).is_tight(&WANT));
    assert!(engine(0, 7, 12, 1_000_000).is_tight(&WANT));
}
