use std::{sync::Arc, time::Duration};

use super::{
    batch::{Batch, Capacity, Job, Outcome, Speed},
    model::Model,
    stream::Stream,
    text::TextDecoder,
};

const SPEED: Speed = Speed {
    step: Duration::from_millis(10),
    per_request: Duration::from_millis(1),
    per_prefill_token: Duration::from_micros(100),
    tokens_per_step: 1,
};

const CAPACITY: Capacity = Capacity {
    max_running: 2,
    max_waiting: 3,
    memory_tokens: 1_000,
    max_prefill_tokens: 30,
    unread_grace: Duration::from_secs(3600),
};

fn job(id: &str, priority: i32, prompt: u32, limit: u32) -> Job {
    let text = TextDecoder::new(Vec::new(), 0);
    Job {
        stream: Arc::new(Stream::new(id.to_owned(), prompt, Vec::new(), text)),
        model: Model::new("v", id),
        position: 0,
        limit,
        ignore_eos: true,
        unread_tokens: prompt,
        blocks: Vec::new(),
        priority,
        failure: None,
        steps: 0,
    }
}

/// Runs steps until no request is left, and returns the duration and the tokens of each.
fn run(batch: &mut Batch) -> Vec<(Duration, u64)> {
    let mut steps = Vec::new();
    while let Some(time) = batch.plan_step(&SPEED, &CAPACITY) {
        let result = batch.run_step(&SPEED, &CAPACITY);
        assert_eq!(result.outcome, Outcome::Ran);
        steps.push((time, result.tokens));
    }
    steps
}

#[test]
fn a_step_takes_longer_with_each_request_and_each_token_read() {
    let mut batch = Batch::default();
    assert!(batch.submit(job("a", 0, 20, 3), &CAPACITY));
    assert!(batch.submit(job("b", 0, 20, 1), &CAPACITY));
    let ms = Duration::from_millis;
    // The first step reads 30 of the 40 prompt tokens, so that only the first request generates.
    let expected = [(ms(14), 1), (ms(12), 2), (ms(10), 1)];
    assert_eq!(run(&mut batch), expected);
}

#[test]
fn waiting_requests_run_by_priority_and_then_by_arrival() {
    let mut batch = Batch::default();
    for (id, priority) in [("late", 5), ("first", 0), ("second", 0)] {
        assert!(batch.submit(job(id, priority, 1, 1), &CAPACITY));
    }
    assert!(!batch.submit(job("more", 0, 1, 1), &CAPACITY));
    batch.plan_step(&SPEED, &CAPACITY);
    assert_eq!((batch.running(), batch.waiting()), (2, 1));
    batch.remove("late");
    assert_eq!((batch.running(), batch.waiting()), (2, 0));
}

#[test]
fn requests_that_exceed_the_memory_crash_the_engine() {
    let mut batch = Batch::default();
    assert!(batch.submit(job("a", 0, 499, 1_000), &CAPACITY));
    assert!(batch.submit(job("b", 0, 499, 1_000), &CAPACITY));
    let steps = std::iter::from_fn(|| {
        batch.plan_step(&SPEED, &CAPACITY)?;
        let result = batch.run_step(&SPEED, &CAPACITY);
        (result.outcome == Outcome::Ran).then_some(result.tokens)
    });
    // The memory holds both prompts of 499 tokens and two generated tokens.
    assert_eq!(steps.sum::<u64>(), 2);
}
