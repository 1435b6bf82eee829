//! A sound server that falls silent for a time costs no answer, no second run and no suspicion.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use cassiareel::hooks::Step;
use cassiareel_standins::{
    caller::{Caller, ReceivedStream},
    engine::{expected_answer, Engine, Failure, Fault, Faults},
    fleet::{Fleet, FleetOptions, CALLER_KEY},
    matrix::breakpoint::Breakpoint,
    service::{self, Ledger, PlainService},
    silence::{fall_silent, Pause},
};
use serde_json::{json, Value};
use slog::{Drain, Logger, Never, OwnedKVList, Record};
use test_case::test_case;

const PROMPT: &str = "To the keeper of the long records";
const TOKENS: u32 = 40;
/// Number of steps until an engine with a long prompt generates its first token.
const PREFILL_STEPS: u32 = 260;
/// Time within which engines end attempts that were cancelled while they were silent.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time that a service takes for an order or a call.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Log messages which state that a server crashed or lost an attempt.
const LOSS_MESSAGES: [&str; 2] = [
    "backend server crashed while it ran a request",
    "attempt lost",
];

/// Keeps the messages of log records.
#[derive(Clone, Default)]
struct Messages(Arc<Mutex<Vec<String>>>);

impl Drain for Messages {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut messages = self.0.lock().expect("no holder panics");
        messages.push(record.msg().to_string());
        Ok(())
    }
}

impl Messages {
    fn logger(&self) -> Logger {
        Logger::root(self.clone(), slog::o!())
    }

    /// Panics if a node has counted anything as lost.
    fn check_no_loss(&self) {
        let messages = self.0.lock().expect("no holder panics").clone();
        let is_loss = |logged: &&String| LOSS_MESSAGES.contains(&logged.as_str());
        assert_eq!(messages.iter().find(is_loss), None);
    }
}

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// A generation with a streamed answer.
    Stream,
    /// A generation with a collected answer.
    Collected,
    /// An idempotent call of a plain service.
    Call,
    /// A non-idempotent call of a plain service.
    Order,
}

/// Which servers fall silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Silent {
    /// The engine that runs the request, or all servers if it doesn't run yet.
    One,
    /// All servers.
    All,
}

/// A silence during a request.
#[derive(Clone, Copy)]
struct Case {
    kind: Kind,
    /// The step of the request at which the silence begins, and how often it is reached; none for
    /// the moment at which the request is sent to the node.
    at: Option<(Step, usize)>,
    /// Time from that moment to the silence.
    later_ms: u64,
    silent: Silent,
    time_ms: u64,
    /// The most attempts at one generation that the settings allow.
    attempts: u32,
    /// Whether the first token takes some seconds, as after a long prompt.
    prefill: bool,
    /// The most runs that the request may have.
    max_runs: u64,
}

const BEFORE_SEND: Option<(Step, usize)> = Some((Step::AttemptChosen, 1));
const BEFORE_TOKEN: Option<(Step, usize)> = Some((Step::AttemptOpened, 1));
const AMID_TOKENS: Option<(Step, usize)> = Some((Step::TokensPassed, 8));
const BEFORE_ORDER: Option<(Step, usize)> = Some((Step::OrderRecorded, 1));

const STREAM: Case = Case {
    kind: Kind::Stream,
    at: AMID_TOKENS,
    later_ms: 0,
    silent: Silent::One,
    time_ms: 1_000,
    attempts: 4,
    prefill: false,
    max_runs: 1,
};
const COLLECTED: Case = Case {
    kind: Kind::Collected,
    at: Some((Step::TokensTaken, 8)),
    ..STREAM
};
const ORDER: Case = Case {
    kind: Kind::Order,
    at: BEFORE_ORDER,
    ..STREAM
};
const CALL: Case = Case {
    kind: Kind::Call,
    at: None,
    ..STREAM
};

/// Nodes, engines and two plain services on one ledger.
struct Setup {
    fleet: Fleet,
    ledger: Ledger,
    services: [PlainService; 2],
    messages: Messages,
}

impl Setup {
    fn new(options: FleetOptions) -> Setup {
        let messages = Messages::default();
        let options = FleetOptions {
            log: messages.logger(),
            ..options
        };
        let ledger = Ledger::default();
        let start = || PlainService::start("orders@v1", &ledger).expect("loopback has ports");
        let services = [start(), start()];
        let faults = service::Faults {
            delay_ms: SERVICE_TIME.as_millis() as u64,
            ..service::Faults::default()
        };
        services.iter().for_each(|s| s.set_faults(faults));
        Setup {
            fleet: Fleet::start(&options).expect("loopback has ports"),
            ledger,
            services,
            messages,
        }
    }

    /// Returns settings with the services, and with a policy of the platform.
    fn tree(&self, policy: &str) -> String {
        let addrs = self.services.iter().map(|s| format!("\"{}\"", s.addr()));
        let servers = addrs.collect::<Vec<_>>().join(", ");
        let mut tree = self
            .fleet
            .settings_tree()
            .replace(
                "services = [\"draft\"]",
                "services = [\"draft\", \"lookup\", \"orders\"]",
            )
            .replace("[platform]", &format!("[platform]\n{policy}"));
        for (name, idempotent) in [("lookup", true), ("orders", false)] {
            tree += &format!(
                r#"
[services.{name}]
kind = "plain"
version = "v1"
idempotent = {idempotent}
[services.{name}.versions.v1.placements.d0]
servers = [{servers}]
"#
            );
        }
        tree
    }

    fn addr(&self, node: usize) -> SocketAddr {
        self.fleet.addr(node).expect("the node serves")
    }

    /// Returns the servers that may run a kind of request.
    fn servers(&self, kind: Kind) -> Vec<&dyn Pause> {
        match kind {
            Kind::Stream | Kind::Collected => {
                let engines = self.fleet.engines.iter();
                engines.map(|engine| engine as &dyn Pause).collect()
            }
            Kind::Call | Kind::Order => {
                let services = self.services.iter();
                services.map(|service| service as &dyn Pause).collect()
            }
        }
    }

    /// Returns how often requests were started at engines.
    fn starts(&self) -> u64 {
        let engines = self.fleet.engines.iter();
        engines.map(|engine| engine.stats().starts).sum()
    }

    /// Waits until no engine runs anything.
    fn wait_until_idle(&self) {
        let until = Instant::now() + SETTLE_TIME;
        while let Some(engine) = self.fleet.busy_engine() {
            let running = engine.running();
            assert!(
                Instant::now() < until,
                "{running} cancelled attempts run on"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn generation(stream: bool, tokens: u32) -> Value {
    json!({"model": "draft", "prompt": PROMPT, "max_tokens": tokens, "ignore_eos": true,
        "stream": stream})
}

/// Sends a request and checks that its answer is complete.
fn check_answer(addr: SocketAddr, kind: Kind, tokens: u32) {
    let caller = Caller::new(CALLER_KEY);
    let (_, text) = expected_answer("draft@v1", PROMPT, tokens);
    smol::block_on(async {
        match kind {
            Kind::Stream => {
                let mut received = ReceivedStream::default();
                let body = generation(true, tokens);
                caller.stream(addr, &body, &mut received, |_| ()).await;
                assert!(received.done, "{received:?}");
                assert_eq!(received.text, text);
            }
            Kind::Collected => {
                let body = generation(false, tokens).to_string();
                let sent = caller.post(addr, "/v1/completions", &[], body).await;
                let mut res = sent.expect("the node answers");
                let body = res.body_string().await.expect("the body is complete");
                assert_eq!(res.status(), 200, "{body}");
                let answer: Value = serde_json::from_str(&body).expect("the answer is JSON");
                assert_eq!(answer["choices"][0]["text"], text);
            }
            Kind::Call | Kind::Order => {
                let path = match kind {
                    Kind::Order => "/services/orders/engrave",
                    _ => "/services/lookup/engrave",
                };
                let headers = [("idempotency-key", "k")];
                let body = json!({"order": "81"}).to_string();
                let sent = caller.post(addr, path, &headers, body).await;
                let mut res = sent.expect("the node answers");
                let body = res.body_string().await.expect("the body is complete");
                assert_eq!(res.status(), 200, "{body}");
            }
        }
    });
}

#[test_case(Case { at: BEFORE_SEND, ..STREAM }; "before a stream is sent")]
#[test_case(Case { at: BEFORE_TOKEN, ..STREAM }; "before the first token of a stream")]
#[test_case(STREAM; "amid a stream")]
#[test_case(Case { time_ms: 300, ..STREAM }; "shortly amid a stream")]
#[test_case(Case { silent: Silent::All, ..STREAM }; "all engines amid a stream")]
#[test_case(Case { at: BEFORE_TOKEN, later_ms: 760, time_ms: 1_150, prefill: true, ..STREAM }; "while an engine reads a long prompt")]
#[test_case(Case { time_ms: 3_000, max_runs: 4, ..STREAM }; "three seconds amid a stream")]
#[test_case(Case { time_ms: 3_000, silent: Silent::All, max_runs: 4, ..STREAM }; "all engines for three seconds amid a stream")]
#[test_case(Case { time_ms: 3_000, silent: Silent::All, at: BEFORE_SEND, max_runs: 4, ..STREAM }; "all engines for three seconds before a stream is sent")]
#[test_case(Case { time_ms: 3_000, attempts: 1, ..STREAM }; "amid a stream with one attempt")]
#[test_case(Case { time_ms: 3_000, attempts: 1, at: BEFORE_SEND, ..STREAM }; "before a stream with one attempt is sent")]
#[test_case(Case { time_ms: 3_000, attempts: 1, at: BEFORE_TOKEN, ..STREAM }; "before the first token of a stream with one attempt")]
#[test_case(Case { time_ms: 3_000, attempts: 2, silent: Silent::All, max_runs: 2, ..STREAM }; "all engines amid a stream with two attempts")]
#[test_case(Case { at: BEFORE_SEND, ..COLLECTED }; "before a collected generation is sent")]
#[test_case(COLLECTED; "amid a collected generation")]
#[test_case(Case { time_ms: 3_000, attempts: 1, ..COLLECTED }; "amid a collected generation with one attempt")]
#[test_case(CALL; "before a call is sent")]
#[test_case(Case { time_ms: 3_000, later_ms: 100, ..CALL }; "three seconds while a call runs")]
#[test_case(ORDER; "before an order is sent")]
#[test_case(Case { later_ms: 100, ..ORDER }; "while an order runs")]
#[test_case(Case { time_ms: 3_000, ..ORDER }; "three seconds before an order is sent")]
#[test_case(Case { time_ms: 3_000, later_ms: 100, ..ORDER }; "three seconds while an order runs")]
#[test_case(Case { time_ms: 3_000, silent: Silent::All, later_ms: 100, ..ORDER }; "all services while an order runs")]
#[test_case(Case { time_ms: 3_000, silent: Silent::All, ..ORDER }; "all services before an order is sent")]
fn a_silent_server_answers_beside_a_settings_change(case: Case) {
    // A call of a plain service doesn't reach this step.
    let (step, nth) = case.at.unwrap_or((Step::AnswerEnded, 1));
    let (breakpoint, handle) = Breakpoint::new(step, nth);
    let mut setup = Setup::new(FleetOptions {
        hooks: Arc::new(breakpoint),
        ..FleetOptions::new(2, 1)
    });
    let policy = format!("policy.retries.attempts = {}", case.attempts);
    let tree = setup.tree(&policy);
    setup.fleet.apply(&tree);
    let tokens = if case.prefill { 1 } else { TOKENS };
    if case.prefill {
        let slow = Fault {
            failure: Failure::Slow(PREFILL_STEPS),
            ..Fault::default()
        };
        for engine in &setup.fleet.engines {
            engine.set_faults(Faults {
                versions: [("draft@v1".to_owned(), slow.clone())].into(),
                ..Faults::default()
            });
        }
    }
    let addr = setup.addr(0);
    let send = || thread::spawn(move || check_answer(addr, case.kind, tokens));
    let begun = case.at.map(|_| {
        let request = send();
        smol::block_on(handle.wait_until_hit());
        request
    });
    let changed = setup.tree(&format!("{policy}\npolicy.retries.pause = \"60ms\""));
    setup.fleet.publish(&changed);
    let servers = setup.servers(case.kind);
    let silent = match (case.silent, setup.fleet.busy_engine()) {
        (Silent::One, Some(engine)) => vec![engine as &dyn Pause],
        _ => servers,
    };
    let go_on = || {
        drop(handle);
        begun.unwrap_or_else(send)
    };
    let (time, later) = (case.time_ms, case.later_ms);
    let (time, later) = (Duration::from_millis(time), Duration::from_millis(later));
    let request = match later.is_zero() {
        true => fall_silent(&silent, time, go_on),
        false => {
            let request = go_on();
            thread::sleep(later);
            fall_silent(&silent, time, || request)
        }
    };
    request.join().expect("the answer is complete");
    match case.kind {
        Kind::Stream | Kind::Collected => {
            let starts = setup.starts();
            assert!(starts <= case.max_runs, "sent {starts} times");
            setup.wait_until_idle();
        }
        Kind::Call | Kind::Order => {
            assert_eq!(setup.ledger.runs_of_number("81"), 1);
        }
    }
    setup.messages.check_no_loss();
}

/// A caller that reconnects to another node while the engine is silent.
#[derive(Clone, Copy)]
struct ResumeCase {
    /// Whether the caller gives its tokens back, so that another attempt can continue them.
    token_ids: bool,
    time_ms: u64,
    max_runs: u64,
}

const RESUMED: ResumeCase = ResumeCase {
    token_ids: false,
    time_ms: 1_000,
    max_runs: 1,
};

#[test_case(RESUMED; "one second")]
#[test_case(ResumeCase { time_ms: 300, ..RESUMED }; "shortly")]
#[test_case(ResumeCase { time_ms: 3_000, ..RESUMED }; "three seconds")]
#[test_case(ResumeCase { token_ids: true, ..RESUMED }; "one second, with the caller's tokens")]
#[test_case(ResumeCase { token_ids: true, time_ms: 3_000, max_runs: 3 }; "three seconds, with the caller's tokens")]
fn a_stream_whose_engine_is_silent_goes_on_at_another_node(case: ResumeCase) {
    let (breakpoint, handle) = Breakpoint::new(Step::TokensPassed, 12);
    let mut setup = Setup::new(FleetOptions {
        hooks: Arc::new(breakpoint),
        ..FleetOptions::new(2, 2)
    });
    let tree = setup.tree("");
    setup.fleet.apply(&tree);
    let caller = match case.token_ids {
        true => Caller::new(CALLER_KEY).with_token_ids(),
        false => Caller::new(CALLER_KEY),
    };
    let body = generation(true, TOKENS);
    let (first, second) = (setup.addr(0), setup.addr(1));
    let (disconnected, on_disconnect) = async_channel::bounded(1);
    let request = {
        let (caller, body) = (caller.clone(), body.clone());
        thread::spawn(move || {
            let mut received = ReceivedStream::default();
            smol::block_on(caller.stream(first, &body, &mut received, |_| ()));
            let _ = disconnected.try_send(());
            smol::block_on(caller.stream(second, &body, &mut received, |_| ()));
            received
        })
    };
    smol::block_on(handle.wait_until_hit());
    setup.fleet.engines.iter().for_each(Engine::pause);
    drop(handle);
    setup.fleet.kill_node(0);
    // The caller's connection is lost with its node.
    let _ = on_disconnect.recv_blocking();
    thread::sleep(Duration::from_millis(case.time_ms));
    setup.fleet.engines.iter().for_each(Engine::resume);
    let received = request.join().expect("the caller reads the answer");
    let (_, text) = expected_answer("draft@v1", PROMPT, TOKENS);
    assert!(received.done, "{received:?}");
    assert_eq!(received.text, text);
    let starts = setup.starts();
    assert!(starts <= case.max_runs, "sent {starts} times");
    setup.wait_until_idle();
    setup.messages.check_no_loss();
}

/// A plain service that answers a call with a head and half of its body, and the rest later.
struct SlowBody {
    listener: TcpListener,
    pause: Duration,
}

impl SlowBody {
    const BODY: &'static [u8] = b"{\"order\":\"81\"}";

    fn start(pause: Duration) -> SlowBody {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
        SlowBody { listener, pause }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("the listener is bound")
    }

    /// Answers one call.
    fn answer(&self) -> io::Result<()> {
        let (mut stream, _) = self.listener.accept()?;
        let _ = stream.read(&mut [0; 4096])?;
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            Self::BODY.len()
        );
        stream.write_all(head.as_bytes())?;
        let (begin, rest) = Self::BODY.split_at(Self::BODY.len() / 2);
        stream.write_all(begin)?;
        thread::sleep(self.pause);
        stream.write_all(rest)
    }
}

/// How long a call's service is silent, and for how long its caller waits for the answer.
#[derive(Clone, Copy)]
struct DeadlineCase {
    /// Whether the silence begins amid the body.
    amid_body: bool,
    silent_ms: u64,
    answer_ms: u64,
    status: u16,
    /// The longest time until the caller has its answer.
    max_ms: u64,
}

const ANSWERED: DeadlineCase = DeadlineCase {
    amid_body: false,
    silent_ms: 1_000,
    answer_ms: 5_000,
    status: 200,
    max_ms: 3_000,
};
const LATE: DeadlineCase = DeadlineCase {
    silent_ms: 4_000,
    answer_ms: 600,
    status: 502,
    ..ANSWERED
};

#[test_case(ANSWERED; "one second")]
#[test_case(DeadlineCase { amid_body: true, ..ANSWERED }; "one second amid the body")]
#[test_case(DeadlineCase { silent_ms: 10_500, answer_ms: 30_000, max_ms: 14_000, ..ANSWERED }; "for long")]
#[test_case(LATE; "beyond the deadline")]
#[test_case(DeadlineCase { amid_body: true, ..LATE }; "beyond the deadline amid the body")]
fn a_call_is_waited_for_until_its_deadline(case: DeadlineCase) {
    let mut setup = Setup::new(FleetOptions::new(1, 1));
    let silent = Duration::from_millis(case.silent_ms);
    let slow = SlowBody::start(silent);
    let mut tree = setup.tree(&format!("policy.time.answer = \"{}ms\"", case.answer_ms));
    if case.amid_body {
        for service in &setup.services {
            tree = tree.replace(&service.addr().to_string(), &slow.addr().to_string());
        }
    }
    setup.fleet.apply(&tree);
    let addr = setup.addr(0);
    thread::scope(|scope| {
        let began = Instant::now();
        let call = scope.spawn(move || {
            let caller = Caller::new(CALLER_KEY);
            let sent = caller.post(addr, "/services/lookup/engrave", &[], "{}".to_owned());
            let mut res = smol::block_on(sent).expect("the node answers");
            let body = smol::block_on(res.body_string()).expect("the body is complete");
            (res.status(), body, began.elapsed())
        });
        match case.amid_body {
            // A caller that gave up closes its connection.
            true => drop(slow.answer()),
            false => fall_silent(&setup.servers(Kind::Call), silent, || ()),
        }
        let (status, body, took) = call.join().expect("the caller has its answer");
        assert_eq!(u16::from(status), case.status, "{body}");
        assert!(took < Duration::from_millis(case.max_ms), "{took:?}");
    });
}
