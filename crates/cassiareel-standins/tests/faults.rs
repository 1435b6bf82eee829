//! The fault matrix with one fault at each step. The command `cassiareel-faults` also runs pairs of
//! faults.

use cassiareel_standins::matrix::{run_all, Generations, Orders, Protocol};

/// Number of cells that run at the same time.
const THREADS: usize = 20;

/// Runs a protocol's cells and panics with all that break an invariant.
fn check<P>(protocol: &P)
where
    P: Protocol,
{
    let broken: Vec<String> = run_all(protocol, false, THREADS)
        .into_iter()
        .filter_map(|(cell, result)| Some(format!("{cell:?}: {}", result.err()?)))
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn generations_survive_each_fault_at_each_step() {
    check(&Generations {
        with_token_ids: false,
    });
}

#[test]
fn generations_with_tokens_survive_each_fault_at_each_step() {
    check(&Generations {
        with_token_ids: true,
    });
}

#[test]
fn orders_survive_each_fault_at_each_step() {
    check(&Orders);
}
