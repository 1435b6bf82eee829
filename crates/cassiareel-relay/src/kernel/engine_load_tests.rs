//! Probing a few engines first makes prompts wait for each other less often, and prompts go only to
//! engines with room.

use std::time::Duration;

use super::{
    choose_least_loaded, choose_with_room, EngineLoad, PromptDemand, RunningRequest, Shortage,
};

/// The number of engines, of which each prompt probes the first few of its own order.
const ENGINES: usize = 96;

/// The number of prompts that arrive while an engine prefills one.
const PROMPTS: usize = 26;

/// Returns the share of prompts that wait for another one if each probes `probed` engines.
fn waiting_share(probed: usize) -> f64 {
    let mut random = fastrand::Rng::with_seed(3);
    let (mut waits, mut all) = (0u32, 0u32);
    for _ in 0..200 {
        let mut prefilling = vec![0u64; ENGINES];
        for _ in 0..PROMPTS {
            let order: Vec<usize> = (0..probed).map(|_| random.usize(0..ENGINES)).collect();
            let loads: Vec<Option<EngineLoad>> = order
                .iter()
                .map(|engine| {
                    Some(EngineLoad {
                        prefilling: prefilling[*engine],
                        ..EngineLoad::default()
                    })
                })
                .collect();
            let chosen = order[choose_least_loaded(&loads).expect("engines were probed")];
            waits += u32::from(prefilling[chosen] > 0);
            prefilling[chosen] += 1;
            all += 1;
        }
    }
    f64::from(waits) / f64::from(all)
}

#[test]
fn probing_three_engines_leaves_few_prompts_waiting() {
    assert!(waiting_share(1) > 0.1);
    assert!(waiting_share(3) < 0.01);
}

#[test]
fn ties_are_broken_by_the_order_of_preference() {
    let idle = Some(EngineLoad::default());
    assert_eq!(
        choose_least_loaded(&[idle.clone(), idle.clone(), idle]),
        Some(0)
    );
    assert_eq!(choose_least_loaded(&[None, None]), Some(0));
    assert_eq!(choose_least_loaded(&[]), None);
}

/// A prompt of average size.
const DEMAND: PromptDemand = PromptDemand {
    input: 5000,
    peak_tokens: 6000,
    reserved_part: 0.0,
    prefill_time: Duration::from_secs(1),
    max_wait: Duration::from_millis(1500),
    priority: 0,
    left_part: 0.0,
    extra_fill: 0.0,
};

/// Returns the load of an engine whose generating requests are half done.
fn engine(prefilling: u64, generating: u64, slots: u64, capacity: u64) -> EngineLoad {
    let run = RunningRequest {
        tokens: 5500,
        generated: 500,
        priority: 0,
    };
    EngineLoad {
        prefilling,
        generating,
        runs: vec![run; generating as usize],
        slots,
        used: run.tokens * generating,
        capacity,
    }
}

/// An engine's load, and its shortage for the average prompt.
struct RoomCase {
    name: &'static str,
    load: EngineLoad,
    reserved_part: f64,
    shortage: Option<Shortage>,
}

#[test]
fn an_engine_has_room_if_slots_memory_and_time_suffice() {
    let cases = [
        RoomCase {
            name: "an idle engine takes any prompt",
            load: engine(0, 0, 1, 100),
            reserved_part: 0.5,
            shortage: None,
        },
        RoomCase {
            name: "all slots are taken",
            load: engine(0, 8, 8, 1_000_000),
            reserved_part: 0.0,
            shortage: Some(Shortage::Place),
        },
        RoomCase {
            name: "memory is exhausted long before slots",
            load: engine(0, 8, 128, 55_000),
            reserved_part: 0.0,
            shortage: Some(Shortage::Memory),
        },
        RoomCase {
            name: "memory suffices for all requests until their ends",
            load: engine(0, 6, 128, 55_000),
            reserved_part: 0.0,
            shortage: None,
        },
        RoomCase {
            name: "a dominant account has to leave part of the memory free",
            load: engine(0, 6, 128, 55_000),
            reserved_part: 0.33,
            shortage: Some(Shortage::Memory),
        },
        RoomCase {
            name: "one prompt ahead",
            load: engine(1, 1, 12, 55_000),
            reserved_part: 0.0,
            shortage: None,
        },
        RoomCase {
            name: "two prompts ahead take longer than the prompt may wait",
            load: engine(2, 1, 12, 55_000),
            reserved_part: 0.0,
            shortage: Some(Shortage::Time),
        },
        RoomCase {
            name: "an engine that does not report its memory",
            load: engine(0, 3, 12, 0),
            reserved_part: 0.0,
            shortage: None,
        },
    ];
    for case in cases {
        let demand = PromptDemand {
            reserved_part: case.reserved_part,
            ..DEMAND
        };
        assert_eq!(case.load.shortage(&demand), case.shortage, "{}", case.name);
    }
}

#[test]
fn the_least_busy_engine_with_room_is_taken() {
    let (full, busy, free) = (
        engine(0, 12, 12, 55_000),
        engine(1, 2, 12, 55_000),
        engine(0, 2, 12, 55_000),
    );
    let loads = [Some(full.clone()), None, Some(busy), Some(free)];
    assert_eq!(choose_with_room(&loads, &DEMAND), Ok(3));
    assert_eq!(
        choose_with_room(&[None, Some(full)], &DEMAND),
        Err(Some(Shortage::Place))
    );
    assert_eq!(choose_with_room(&[None, None], &DEMAND), Err(None));
}

#[test]
fn nearly_full_engines_need_a_reservation() {
    assert!(!engine(0, 0, 12, 55_000).is_tight(&DEMAND));
    assert!(!engine(0, 2, 12, 55_000).is_tight(&DEMAND));
    assert!(engine(0, 5, 12, 55_000).is_tight(&DEMAND));
    assert!(engine(0, 7, 12, 1_000_000).is_tight(&DEMAND));
}
