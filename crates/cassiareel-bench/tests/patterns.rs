//! The benefit of each of the relay's decisions under the load that it addresses, in virtual time.

use cassiareel_bench::relay::{run, NodeConfig, Outcome, Pattern, BASELINES, RELAY};

/// Seeds of the runs of each comparison.
const SEEDS: std::ops::Range<u64> = 1..6;

/// Totals and means over the runs of all seeds.
struct Summary {
    /// Number of streams that were complete and in time.
    in_time: usize,
    /// Mean fraction of complete streams in time, of the accounts with their usual rate.
    others_in_time: f64,
    /// Mean fraction of streams that were complete and in time.
    goodput: f64,
    /// Number of tokens that were prefilled more than once.
    reread_tokens: u64,
    /// Number of refused streams.
    refused: usize,
    /// Mean over the runs of the p95 time to the first event, in milliseconds.
    first_event_ms: f64,
}

fn run_pattern(pattern: &Pattern, config: NodeConfig) -> Summary {
    let outcomes: Vec<Outcome> = SEEDS.map(|seed| run(pattern, config, seed)).collect();
    let count = outcomes.len() as f64;
    Summary {
        in_time: outcomes.iter().map(|o| o.in_time).sum(),
        others_in_time: outcomes.iter().map(|o| o.others_in_time).sum::<f64>() / count,
        goodput: outcomes.iter().map(Outcome::goodput).sum::<f64>() / count,
        reread_tokens: outcomes.iter().map(|o| o.reread_tokens).sum(),
        refused: outcomes.iter().map(|o| o.refused).sum(),
        first_event_ms: outcomes.iter().map(|o| o.first_event_ms(0.95)).sum::<f64>() / count,
    }
}

/// Returns the relay's configuration with a change that turns a decision off.
fn without<F>(change: F) -> NodeConfig
where
    F: FnOnce(&mut NodeConfig),
{
    let mut config = RELAY;
    change(&mut config);
    config
}

#[test]
fn probing_engines_shortens_the_time_to_the_first_event() {
    for pattern in [Pattern::steady(), Pattern::burst()] {
        let relay = run_pattern(&pattern, RELAY);
        for config in BASELINES
            .iter()
            .filter(|config| config.policy != RELAY.policy)
        {
            let other = run_pattern(&pattern, *config);
            assert!(
                relay.first_event_ms < other.first_event_ms * 0.9 && relay.goodput >= other.goodput,
                "{}: {} against {} ms with {}",
                pattern.name,
                relay.first_event_ms,
                other.first_event_ms,
                config.name
            );
        }
    }
}

#[test]
fn three_times_the_load_is_served() {
    assert!(run_pattern(&Pattern::burst(), RELAY).goodput > 0.99);
}

#[test]
fn checked_copies_survive_crashes_of_one_data_centre_after_another() {
    let pattern = Pattern::rolling_crashes();
    let relay = run_pattern(&pattern, RELAY);
    let unchecked = run_pattern(&pattern, without(|config| config.check_copies = false));
    let without_copies = run_pattern(&pattern, without(|config| config.copies = false));
    assert!(
        relay.reread_tokens * 10 < unchecked.reread_tokens,
        "{} {}",
        relay.reread_tokens,
        unchecked.reread_tokens
    );
    assert!(relay.goodput > unchecked.goodput + 0.1 && unchecked.goodput > without_copies.goodput);
    assert!(relay.goodput > 0.98, "{}", relay.goodput);
}

#[test]
fn engines_that_hold_prompts_are_found_after_an_outage_of_all_nodes() {
    let pattern = Pattern::all_nodes_lost();
    let relay = run_pattern(&pattern, RELAY);
    let without_search = run_pattern(&pattern, without(|config| config.find_prompt = false));
    assert_eq!(relay.reread_tokens, 0);
    assert!(
        without_search.reread_tokens > 100_000,
        "{}",
        without_search.reread_tokens
    );
}

#[test]
fn refusing_late_reconnects_saves_prefill_and_refuses_no_other_stream() {
    let pattern = Pattern::late_reconnects();
    let relay = run_pattern(&pattern, RELAY);
    let accepting = run_pattern(&pattern, without(|config| config.refuse_late = false));
    assert!(
        relay.reread_tokens * 4 < accepting.reread_tokens,
        "{} {}",
        relay.reread_tokens,
        accepting.reread_tokens
    );
    assert!(
        relay.goodput >= accepting.goodput,
        "{} {}",
        relay.goodput,
        accepting.goodput
    );
    assert!(
        relay.first_event_ms <= accepting.first_event_ms,
        "{} {}",
        relay.first_event_ms,
        accepting.first_event_ms
    );
    assert!(relay.refused > 0);
    for calm in [
        Pattern::steady(),
        Pattern::burst(),
        Pattern::rolling_crashes(),
        Pattern::all_nodes_lost(),
    ] {
        assert_eq!(run_pattern(&calm, RELAY).refused, 0, "{}", calm.name);
    }
}

/// Beyond capacity, the number of streams served in time does not fall below 95% of the largest
/// number at any lower load.
#[test]
fn streams_in_time_stay_flat_beyond_capacity() {
    let mut max_in_time = 0;
    for factor in [1.0, 2.0, 3.0, 5.0, 10.0] {
        let in_time = run_pattern(&Pattern::overload(factor), RELAY).in_time;
        assert!(
            in_time as f64 >= max_in_time as f64 * 0.95,
            "{factor} times the load: {in_time} after {max_in_time}"
        );
        max_in_time = max_in_time.max(in_time);
    }
    let pattern = Pattern::overload(5.0);
    let (relay, no_admission) = (
        run_pattern(&pattern, RELAY),
        run_pattern(&pattern, without(|config| config.admit = false)),
    );
    assert!(
        relay.in_time > no_admission.in_time * 3 / 2,
        "{} {}",
        relay.in_time,
        no_admission.in_time
    );
    assert!(
        relay.reread_tokens * 4 < no_admission.reread_tokens,
        "{} {}",
        relay.reread_tokens,
        no_admission.reread_tokens
    );
}

/// While one account sends many times its usual rate, the other accounts are served at least 95% as
/// well as without it.
#[test]
fn accounts_at_their_usual_rate_are_served_during_a_flood() {
    let calm = run_pattern(&Pattern::flood(1.0), RELAY).others_in_time;
    for factor in [7.5, 20.0, 40.0] {
        let pattern = Pattern::flood(factor);
        let relay = run_pattern(&pattern, RELAY);
        assert!(
            relay.others_in_time >= calm * 0.95,
            "{factor}: {}",
            relay.others_in_time
        );
        assert!(relay.in_time > 0);
    }
    let no_admission = run_pattern(
        &Pattern::flood(40.0),
        without(|config| config.admit = false),
    );
    assert!(
        no_admission.others_in_time < calm * 0.8,
        "{}",
        no_admission.others_in_time
    );
}
