//! One odd entry that another writer left costs that entry and nothing else.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cassiareel::{
    backend::{Engine, HttpEngine},
    engines::{poll, BackendTable, Options, Placement, Request, SubsetConfig},
    kernel::routing::RoutingRequest,
    runtime::Runtime,
    store::{HttpObjects, HttpVms, Objects, StoreVersion, VmList},
};
use cassiareel_standins::engine::{self, EngineOptions};
use test_case::test_case;

/// Depth beyond that which JSON parsers accept.
const DEEP_LEVELS: usize = 300;
/// Time for an engine's answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Serves one body to every request.
fn serve(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            // A client that closes early has read enough.
            let _ = stream.and_then(|stream| answer(stream, &body));
        }
    });
    addr
}

fn answer<S>(mut stream: S, body: &str) -> io::Result<()>
where
    S: Read + Write,
{
    let _ = stream.read(&mut [0; 4096])?;
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())
}

fn deep() -> String {
    "[".repeat(DEEP_LEVELS) + &"]".repeat(DEEP_LEVELS)
}

/// Replaces `DEEP` in an entry.
fn entry(text: &str) -> String {
    text.replace("DEEP", &deep())
}

fn instance(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","zone":"z/d0","status":"RUNNING","networkInterfaces":[{{"networkIP":"10.0.0.1"}}]}}"#
    )
}

#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING","labels":DEEP}"#; "deeply nested")]
#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING","networkInterfaces":[{"networkIP":"10.0.0.2","mtu":1e999}]}"#; "a number out of range")]
#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING","networkInterfaces":[{"networkIP":"10.0.0.300"}]}"#; "no address")]
#[test_case(r#"{"name":"odd","zone":"z/d0","status":"RUNNING"}"#; "no interface")]
#[test_case(r#"{"name":7,"zone":"z/d0","status":"RUNNING"}"#; "a name of another type")]
#[test_case(r#"{"zone":"z/d0","status":"RUNNING"}"#; "no name")]
#[test_case("[]"; "a list")]
#[test_case("null"; "null")]
fn an_odd_instance_does_not_hide_the_others(odd: &str) {
    let items = [instance("a"), entry(odd), instance("b")].join(",");
    let addr = serve(format!(r#"{{"items":[{items}]}}"#));
    let vms = smol::block_on(HttpVms::new(addr).list()).expect("the list is read");
    let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
    // An instance whose other fields can be read may be listed.
    assert!(
        names == ["a", "b"] || names == ["a", "odd", "b"],
        "{names:?}"
    );
}

fn object(name: &str, version: u64) -> String {
    format!(r#"{{"metadata":{{"name":"{name}","resourceVersion":"{version}"}},"spec":{{}}}}"#)
}

const ODD_OBJECTS: [&str; 6] = [
    r#"{"metadata":{"name":"odd","resourceVersion":"8"},"spec":DEEP}"#,
    r#"{"metadata":{"name":"odd","resourceVersion":"8"},"spec":{"port":1e999}}"#,
    r#"{"metadata":{"name":"odd","resourceVersion":"x"},"spec":{}}"#,
    r#"{"metadata":{"name":["odd"],"resourceVersion":"8"},"spec":{}}"#,
    r#"{"metadata":7}"#,
    "null",
];

#[test_case(0; "deeply nested")]
#[test_case(1; "a number out of range")]
#[test_case(2; "a version that is no number")]
#[test_case(3; "a name of another type")]
#[test_case(4; "metadata of another type")]
#[test_case(5; "null")]
fn an_odd_object_does_not_hide_the_others(odd: usize) {
    let odd = entry(ODD_OBJECTS[odd]);
    let names = |objects: &[cassiareel::store::Object]| -> Vec<String> {
        objects.iter().map(|object| object.name.clone()).collect()
    };
    let items = [object("a", 7), odd.clone(), object("b", 9)].join(",");
    let list = format!(r#"{{"metadata":{{"resourceVersion":"9"}},"items":[{items}]}}"#);
    let listing = smol::block_on(HttpObjects::new(serve(list)).list("settings"));
    let listing = listing.expect("the list is read");
    assert_eq!(
        (names(&listing.objects), listing.version),
        (
            vec!["a".to_owned(), "b".to_owned()],
            StoreVersion::new(0, 9)
        )
    );
    let event = |object: &str| format!("{{\"type\":\"MODIFIED\",\"object\":{object}}}\n");
    let events = event(&object("a", 7)) + &event(&odd) + &event(&object("b", 9));
    let api = HttpObjects::new(serve(events));
    let changes = smol::block_on(async {
        // The events may arrive one after another.
        let mut changes = api
            .watch("settings", StoreVersion::new(0, 6), ANSWER_TIME)
            .await?;
        if changes.len() < 2 {
            changes = api
                .watch("settings", StoreVersion::new(0, 7), ANSWER_TIME)
                .await?;
        }
        Ok::<_, cassiareel::store::StoreError>(changes)
    });
    assert_eq!(names(&changes.expect("the events are read")), ["a", "b"]);
}

/// A value of a load report that can't be read.
#[test_case(r#""running":4294967295,"waiting":4294967295"#; "the largest counts")]
#[test_case(r#""running":5000000000"#; "a count out of range")]
#[test_case(r#""running":-1"#; "a negative count")]
#[test_case(r#""token_ms":1e999"#; "a time out of range")]
#[test_case(r#""request_limit":"many""#; "a limit of another type")]
#[test_case(r#""extra":DEEP"#; "deeply nested")]
#[test_case(r#""age_ms":18446744073709551615"#; "the largest age")]
fn an_odd_value_costs_no_other_of_a_load_report(odd: &str) {
    let fields = [
        r#""sequence":7"#,
        r#""running":1"#,
        r#""waiting":2"#,
        r#""used_tokens":3"#,
        r#""total_tokens":4000"#,
        r#""token_ms":42.5"#,
        r#""age_ms":5"#,
        r#""versions":["draft@v1"]"#,
        r#""leaving":true"#,
    ];
    let is_sound = |field: &&str| {
        let name = field.split(':').next().expect("a field has a name");
        !odd.contains(name)
    };
    let sound: Vec<&str> = fields.iter().copied().filter(is_sound).collect();
    let body = format!("{{{},{}}}", sound.join(","), entry(odd));
    let engine = HttpEngine::new(serve(body), ANSWER_TIME);
    let report = smol::block_on(engine.load()).expect("the report is read");
    assert_eq!(report.total_tokens, 4000);
    assert!(report.leaving);
    assert_eq!(report.versions, ["draft@v1".into()]);
}

/// Time in which an engine that can't be polled is ejected: three polls, a little over a second
/// apart.
const EJECTION_TIME: Duration = Duration::from_secs(6);

/// An engine that is reachable is not ejected because its report can't be read.
#[test_case(&deep(), true; "deeply nested")]
#[test_case("{}", true; "an empty report")]
#[test_case("", false; "no answer at all")]
fn an_unreadable_load_report_does_not_eject_its_engine(body: &str, is_kept: bool) {
    let odd = serve(body.to_owned());
    // Nobody listens at the address of a listener that was dropped.
    let closed = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let odd = match is_kept {
        true => odd,
        false => closed.expect("loopback has ports"),
    };
    let sound = engine::Engine::start(EngineOptions::new("draft@v1")).expect("loopback has ports");
    let servers = [odd, sound.addr()].map(|addr| (addr.to_string().into(), "d0".into()));
    let sound_name = sound.addr().to_string().into();
    let table = BackendTable::new(Options::default()).expect("the default policy is registered");
    let placement = Placement {
        pool: "draft@v1".into(),
        model: true,
        servers: servers.into(),
    };
    let subset = SubsetConfig {
        nodes: vec!["n0".into()],
        local: "n0".into(),
        size: 2,
    };
    table.update(&[placement], &subset);
    let (table, origin) = (Arc::new(table), Instant::now());
    let runtime = Runtime::new("poll", 1);
    let connect = Arc::new(|addr: &str| {
        let addr = addr.parse().ok()?;
        Some(Arc::new(HttpEngine::new(addr, ANSWER_TIME)) as Arc<dyn Engine>)
    });
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let task = poll(table.clone(), connect, origin, runtime.spawner(), log);
    runtime.spawn(task).detach();
    thread::sleep(EJECTION_TIME);
    let routing = RoutingRequest {
        prompt_tokens: 1,
        output_tokens: 1,
        ..RoutingRequest::default()
    };
    let request = Request {
        pool: &"draft@v1".into(),
        route: &"/v1/completions".into(),
        routing: &routing,
        exclude: &[sound_name],
    };
    let (decision, _) = table.choose(origin.elapsed(), &request, 3);
    assert_eq!(decision.chosen.is_some(), is_kept, "{decision:?}");
}
