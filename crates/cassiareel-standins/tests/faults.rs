//! The fault matrix: each fault alone at each step. The command runs the pairs too.

use cassiareel_standins::matrix::{run_all, Generations, Orders, Protocol};

/// Cells at one time.
const THREADS: usize = 20;

/// Runs a protocol's table and reports every broken cell at once.
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
