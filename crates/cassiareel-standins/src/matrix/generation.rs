//! The fault matrix of streamed generations.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiareel::hooks::Step;
use futures_lite::FutureExt;
use serde_json::{json, Value};
use smol::Timer;

use super::{
    breakpoint::{Breakpoint, BreakpointHandle},
    Cell, Fault, Protocol, Result, Verdict,
};
use crate::{
    caller::{Caller, ReceivedStream},
    engine::{expected_answer, StreamCut},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
};

/// Streamed generations.
#[derive(Clone, Copy, Debug)]
pub struct Generations {
    /// Whether callers that reconnect send the ids of the tokens that they received; standard
    /// clients don't.
    pub with_token_ids: bool,
}

const INVARIANTS: [&str; 3] = [
    "no token is missing or repeated, and no text of another generation is mixed in",
    "an incomplete answer ends with an error that says so",
    "no engine keeps running a request whose answer has ended",
];

const STEPS: [Step; 5] = [
    Step::AttemptChosen,
    Step::AttemptOpened,
    Step::TokensTaken,
    Step::TokensPassed,
    Step::AnswerEnded,
];

const FAULTS: [Fault; 8] = [
    Fault::EngineKilled,
    Fault::EngineFrozen,
    Fault::EnginePaused,
    Fault::StreamCut,
    Fault::NodeKilled,
    Fault::NodePaused,
    Fault::CallerLost,
    Fault::SettingsChanged,
];

/// Number of tokens in the answer.
const TOKENS: u32 = 40;

/// Number of engines in a cell's fleet; with 4, a cell can lose two.
const ENGINES: usize = 4;
/// Number of nodes in a cell's fleet; with 3, a cell can lose two.
const NODES: usize = 3;

/// Longest wait for a step to be reached, and for the engines to become idle.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of times that a cell is run if its answers end before the step.
const MAX_RUNS: usize = 5;

/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of calls that a caller makes before it gives up.
const MAX_CALLS: usize = 12;

/// Delay before a caller calls again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Protocol for Generations {
    fn name(&self) -> &'static str {
        match self.with_token_ids {
            true => "Generations, callers that send the tokens they have",
            false => "Generations, stock callers",
        }
    }

    fn invariants(&self) -> &'static [&'static str] {
        &INVARIANTS
    }

    fn steps(&self) -> &'static [Step] {
        &STEPS
    }

    fn faults(&self) -> &'static [Fault] {
        &FAULTS
    }

    fn skip_reason(&self, cell: &Cell) -> Option<&'static str> {
        if cell.has_several(&[
            Fault::EngineKilled,
            Fault::EngineFrozen,
            Fault::EnginePaused,
        ]) {
            return Some("one engine can't be killed, frozen and paused at the same time");
        }
        if cell.has_several(&[Fault::NodeKilled, Fault::NodePaused]) {
            return Some("one node can't be killed and paused at the same time");
        }
        None
    }

    fn run(&self, cell: &Cell) -> Result {
        for _ in 0..MAX_RUNS {
            if let Some(verdict) = self.run_once(cell)? {
                return Ok(verdict);
            }
        }
        Err("each answer ended before the step".into())
    }
}

impl Generations {
    /// Runs a cell once; returns `None` if the answer ended before the step, so that no fault was
    /// injected. On a slow host all tokens may be forwarded in one chunk, and a step that is to be
    /// reached with the second chunk is never reached.
    fn run_once(&self, cell: &Cell) -> std::result::Result<Option<Verdict>, String> {
        let nth = match cell.step {
            Step::TokensTaken | Step::TokensPassed => 2,
            _ => 1,
        };
        let (breakpoint, handle) = Breakpoint::new(cell.step, nth);
        let options = FleetOptions {
            hooks: Arc::new(breakpoint),
            ..FleetOptions::new(ENGINES, NODES)
        };
        let mut fleet = Fleet::start(&options).map_err(|err| err.to_string())?;
        let addrs = (0..NODES).filter_map(|i| fleet.addr(i)).collect();
        let prompt = format!("{cell:?}");
        let disconnect = async_channel::bounded::<()>(1);
        let calling = {
            let body = body(&prompt);
            let disconnect = disconnect.1.clone();
            let caller = match self.with_token_ids {
                true => Caller::new(CALLER_KEY).with_token_ids(),
                false => Caller::new(CALLER_KEY),
            };
            thread::spawn(move || smol::block_on(call(&caller, addrs, body, disconnect)))
        };
        if !wait_for_step(&handle, || calling.is_finished())? {
            return Ok(None);
        }
        let mut disconnect = Some(disconnect.0);
        let paused = inject_faults(&mut fleet, cell, &mut disconnect);
        drop(handle);
        let received = calling
            .join()
            .map_err(|_| "the caller panicked".to_owned())?;
        resume_paused(&fleet, &paused);
        let verdict = check_answer(&prompt, &received)?;
        wait_until_idle(&fleet, cell)?;
        Ok(Some(verdict))
    }
}

/// The engine and node that were paused and must be resumed.
struct Paused {
    engine: Option<usize>,
    node: bool,
}

/// Returns the body of a streamed request.
fn body(prompt: &str) -> Value {
    json!({"model": "draft", "prompt": prompt, "max_tokens": TOKENS, "ignore_eos": true,
        "stream": true})
}

/// Waits until a task has stopped at the breakpoint; returns `false` if the request ended before.
///
/// # Errors
///
/// Fails if neither happens within [`WAIT_TIMEOUT`].
pub(super) fn wait_for_step<F>(
    handle: &BreakpointHandle,
    has_ended: F,
) -> std::result::Result<bool, String>
where
    F: Fn() -> bool,
{
    let reached = async {
        handle.wait_until_hit().await;
        Ok(true)
    };
    let ended = async {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if has_ended() {
                return Ok(false);
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err("the step was not reached".into())
    };
    smol::block_on(reached.or(ended))
}

/// Injects the cell's faults.
fn inject_faults(
    fleet: &mut Fleet,
    cell: &Cell,
    disconnect: &mut Option<async_channel::Sender<()>>,
) -> Paused {
    let mut paused = Paused {
        engine: None,
        node: false,
    };
    // At the first step no engine has received the request yet, so that any engine may be hit.
    let engine = fleet.engines.iter().position(|e| e.running() > 0);
    let engine = engine.unwrap_or(0);
    for fault in &cell.faults {
        match fault {
            Fault::EngineKilled => fleet.engines[engine].kill(),
            Fault::EngineFrozen => fleet.engines[engine].pause(),
            Fault::EnginePaused => {
                fleet.engines[engine].pause();
                paused.engine = Some(engine);
            }
            Fault::StreamCut => fleet.engines[engine].cut_streams(StreamCut::Reset),
            Fault::NodeKilled => fleet.kill_node(0),
            Fault::NodePaused => {
                if let Some(node) = fleet.node(0) {
                    node.runtime().pause();
                }
                paused.node = true;
            }
            Fault::CallerLost => drop(disconnect.take()),
            Fault::StoreDown
            | Fault::StoreLosesAnswers
            | Fault::ServiceLosesAnswers
            | Fault::ServiceHangs => {}
            Fault::SettingsChanged => {
                let addr = format!("{:?}", fleet.engines[engine].addr().to_string());
                let tree = fleet.settings_tree().replace(&format!("{addr}, "), "");
                fleet.publish(&tree);
            }
        }
    }
    paused
}

/// Resumes the engine and node that were paused.
fn resume_paused(fleet: &Fleet, paused: &Paused) {
    if let Some(engine) = paused.engine {
        fleet.engines[engine].resume();
    }
    if let (true, Some(node)) = (paused.node, fleet.node(0)) {
        node.runtime().resume();
    }
}

/// Calls the first node, and after each failure the next one in turn. The first call also fails
/// when the channel `disconnected` is closed.
async fn call(
    caller: &Caller,
    addrs: Vec<std::net::SocketAddr>,
    body: Value,
    disconnected: async_channel::Receiver<()>,
) -> ReceivedStream {
    let mut received = ReceivedStream::default();
    for i in 0..MAX_CALLS {
        let addr = addrs[i % addrs.len()];
        let disconnect = async {
            match i {
                0 => {
                    let _ = disconnected.recv().await;
                }
                _ => smol::future::pending().await,
            }
            false
        };
        let timeout = async {
            Timer::after(CALL_TIMEOUT).await;
            false
        };
        let mut next = received.clone();
        let ended = caller
            .stream(addr, &body, &mut next, |_| ())
            .or(disconnect)
            .or(timeout)
            .await;
        received = next;
        let should_retry = received
            .error
            .as_ref()
            .is_some_and(|err| err["outcome"] == "not_run");
        if ended && !should_retry {
            return received;
        }
        if should_retry && i + 1 < MAX_CALLS {
            received.error = None;
        }
        Timer::after(RETRY_DELAY).await;
    }
    received
}

/// Time that a caller waits for the answer of one call before it calls another node.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Checks the answer that the caller received.
fn check_answer(prompt: &str, received: &ReceivedStream) -> Result {
    let (_, text) = expected_answer("draft@v1", prompt, TOKENS);
    if !text.starts_with(&received.text) {
        return Err(format!("{:?} is not a prefix of {text:?}", received.text));
    }
    match &received.error {
        None if received.done && received.text == text => Ok(Verdict::Complete),
        None => Err(format!(
            "the answer stopped after {} of {} bytes without an error",
            received.text.len(),
            text.len()
        )),
        Some(err) if err["outcome"] == "not_run" && received.text.is_empty() => Ok(Verdict::NotRun),
        Some(err) if err["code"] == "partial" => Ok(Verdict::Partial),
        Some(err) => Err(format!("ended with {err}")),
    }
}

/// Waits until no engine runs a request, except a frozen one.
fn wait_until_idle(fleet: &Fleet, cell: &Cell) -> std::result::Result<(), String> {
    let frozen = cell.faults.contains(&Fault::EngineFrozen);
    let allowed = usize::from(frozen);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let busy = fleet
            .engines
            .iter()
            .filter(|engine| !engine.is_dead() && engine.running() > 0)
            .count();
        if busy <= allowed {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(format!("{busy} engines still run requests"));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
