//! The matrix of generations.

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
    gate::{Gate, Key},
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
    /// Callers send the tokens that they have when they come back; stock clients don't.
    pub with_tokens: bool,
}

const INVARIANTS: [&str; 3] = [
    "no token is missing or repeated, and no text of another generation is mixed in",
    "an answer that is not whole ends with an error that says so",
    "no engine goes on for nobody",
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

/// Tokens of the answer.
const TOKENS: u32 = 40;

/// Engines and nodes of a cell's fleet: enough to lose two of either.
const ENGINES: usize = 4;
const NODES: usize = 3;

/// Bound on a cell, past which something hangs.
const HANG: Duration = Duration::from_secs(60);

/// How often a cell is played whose answer ends before its step.
const ATTEMPTS: usize = 5;

/// How often waiting for a state looks at it.
const POLL: Duration = Duration::from_millis(5);

/// How often a caller comes back before it gives up.
const CALLER_TRIES: usize = 12;

/// Time before a caller comes back.
const CALLER_PAUSE: Duration = Duration::from_millis(100);

impl Protocol for Generations {
    fn name(&self) -> &'static str {
        match self.with_tokens {
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

    fn skip(&self, cell: &Cell) -> Option<&'static str> {
        if cell.has_several(&[
            Fault::EngineKilled,
            Fault::EngineFrozen,
            Fault::EnginePaused,
        ]) {
            return Some("one engine can't be killed, frozen and paused at one moment");
        }
        if cell.has_several(&[Fault::NodeKilled, Fault::NodePaused]) {
            return Some("one node can't be killed and paused at one moment");
        }
        None
    }

    fn run(&self, cell: &Cell) -> Result {
        for _ in 0..ATTEMPTS {
            if let Some(verdict) = self.attempt(cell)? {
                return Ok(verdict);
            }
        }
        Err("each answer ended before the step".into())
    }
}

impl Generations {
    /// Plays a cell once; `None` where the answer ended before the step, so that no fault was met. Tokens
    /// that wait for a slow machine are passed on in one piece, and the second piece never comes.
    fn attempt(&self, cell: &Cell) -> std::result::Result<Option<Verdict>, String> {
        let nth = match cell.step {
            Step::TokensTaken | Step::TokensPassed => 2,
            _ => 1,
        };
        let (gate, key) = Gate::new(cell.step, nth);
        let options = FleetOptions {
            hooks: Arc::new(gate),
            ..FleetOptions::new(ENGINES, NODES)
        };
        let mut fleet = Fleet::start(&options).map_err(|err| err.to_string())?;
        let addrs = (0..NODES).filter_map(|i| fleet.addr(i)).collect();
        let prompt = format!("{cell:?}");
        let cut = async_channel::bounded::<()>(1);
        let calling = {
            let body = body(&prompt);
            let cut = cut.1.clone();
            let caller = match self.with_tokens {
                true => Caller::new(CALLER_KEY).with_token_ids(),
                false => Caller::new(CALLER_KEY),
            };
            thread::spawn(move || smol::block_on(call(&caller, addrs, body, cut)))
        };
        if !reach(&key, || calling.is_finished())? {
            return Ok(None);
        }
        let mut cut = Some(cut.0);
        let paused = inject(&mut fleet, cell, &mut cut);
        drop(key);
        let seen = calling
            .join()
            .map_err(|_| "the caller panicked".to_owned())?;
        revive(&fleet, &paused);
        let verdict = judge(&prompt, &seen)?;
        idle(&fleet, cell)?;
        Ok(Some(verdict))
    }
}

/// What was paused and must come back.
struct Paused {
    engine: Option<usize>,
    node: bool,
}

fn body(prompt: &str) -> Value {
    json!({"model": "draft", "prompt": prompt, "max_tokens": TOKENS, "ignore_eos": true,
        "stream": true})
}

/// Waits until the driver stands at the gate; `false` where the request was over before.
///
/// # Errors
///
/// Fails when neither comes for [`HANG`].
pub(super) fn reach<F>(key: &Key, is_over: F) -> std::result::Result<bool, String>
where
    F: Fn() -> bool,
{
    let reached = async {
        key.reached().await;
        Ok(true)
    };
    let over = async {
        let began = Instant::now();
        while began.elapsed() < HANG {
            if is_over() {
                return Ok(false);
            }
            Timer::after(POLL).await;
        }
        Err("the step was not reached".into())
    };
    smol::block_on(reached.or(over))
}

/// Brings the cell's faults about.
fn inject(fleet: &mut Fleet, cell: &Cell, cut: &mut Option<async_channel::Sender<()>>) -> Paused {
    let mut paused = Paused {
        engine: None,
        node: false,
    };
    // At the first step the engine is chosen and does not know of the request: any will do.
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
            Fault::CallerLost => drop(cut.take()),
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

/// Lets what was paused come back.
fn revive(fleet: &Fleet, paused: &Paused) {
    if let Some(engine) = paused.engine {
        fleet.engines[engine].resume();
    }
    if let (true, Some(node)) = (paused.node, fleet.node(0)) {
        node.runtime().resume();
    }
}

/// Calls the first node, and after a loss the others in turn; a closed channel is a loss too.
async fn call(
    caller: &Caller,
    addrs: Vec<std::net::SocketAddr>,
    body: Value,
    cut: async_channel::Receiver<()>,
) -> ReceivedStream {
    let mut seen = ReceivedStream::default();
    for i in 0..CALLER_TRIES {
        let addr = addrs[i % addrs.len()];
        let lost = async {
            match i {
                0 => {
                    let _ = cut.recv().await;
                }
                _ => smol::future::pending().await,
            }
            false
        };
        let patience = async {
            Timer::after(CALLER_PATIENCE).await;
            false
        };
        let mut next = seen.clone();
        let ended = caller
            .stream(addr, &body, &mut next, |_| ())
            .or(lost)
            .or(patience)
            .await;
        seen = next;
        let again = seen
            .error
            .as_ref()
            .is_some_and(|err| err["outcome"] == "not_run");
        if ended && !again {
            return seen;
        }
        if again && i + 1 < CALLER_TRIES {
            seen.error = None;
        }
        Timer::after(CALLER_PAUSE).await;
    }
    seen
}

/// Time that a caller waits on one connection before it turns to another node.
const CALLER_PATIENCE: Duration = Duration::from_secs(6);

/// Checks what the caller saw.
fn judge(prompt: &str, seen: &ReceivedStream) -> Result {
    let (_, text) = expected_answer("draft@v1", prompt, TOKENS);
    if !text.starts_with(&seen.text) {
        return Err(format!("{:?} is not a part of {text:?}", seen.text));
    }
    match &seen.error {
        None if seen.done && seen.text == text => Ok(Verdict::Whole),
        None => Err(format!(
            "silence after {} of {} bytes",
            seen.text.len(),
            text.len()
        )),
        Some(err) if err["outcome"] == "not_run" && seen.text.is_empty() => Ok(Verdict::NotRun),
        Some(err) if err["code"] == "partial" => Ok(Verdict::Partial),
        Some(err) => Err(format!("ended with {err}")),
    }
}

/// Checks that the engines that can be asked come to rest.
fn idle(fleet: &Fleet, cell: &Cell) -> std::result::Result<(), String> {
    let frozen = cell.faults.contains(&Fault::EngineFrozen);
    let allowed = usize::from(frozen);
    let until = Instant::now() + HANG;
    loop {
        let busy = fleet
            .engines
            .iter()
            .filter(|engine| !engine.is_dead() && engine.running() > 0)
            .count();
        if busy <= allowed {
            return Ok(());
        }
        if Instant::now() > until {
            return Err(format!("{busy} engines still run"));
        }
        thread::sleep(POLL);
    }
}
