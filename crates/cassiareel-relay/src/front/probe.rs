//! Asks an engine whether it lives and still works on a request.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{header::HOST, HeaderValue, Uri};
use http_body_util::{BodyExt, Full};
use slog::info;
use smol::Timer;

use super::request::Request;
use crate::{
    clock::{self, Moment},
    dialect::Report,
    fleet::Member,
    state::State,
};

/// How long the answer to a question may take.
const PROBE: Duration = Duration::from_millis(150);

/// Reports without a run, one after the other, that show that it has ended.
const MISSES: u32 = 2;

/// The shortest time between two reports that count, since reports are old when they arrive.
const APART: Duration = Duration::from_millis(300);

/// A silence after which a run that had begun and is not told any more has ended.
const RUN_LOST: Duration = Duration::from_millis(1200);

/// A silence after which a run is given up, though its engine may still work on it.
const STALLED: Duration = Duration::from_secs(6);

/// A silence after which an engine that has made events has lost them on their way.
const EVENTS_LOST: Duration = Duration::from_millis(500);

/// Questions about one run.
#[derive(Debug)]
pub(super) struct Probes {
    asked: Moment,
    misses: u32,
}

impl Probes {
    /// None were asked; the first may come a while after `now`.
    pub(super) fn new(now: Moment) -> Probes {
        Probes {
            asked: now,
            misses: 0,
        }
    }

    /// The time since the last question.
    pub(super) fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.asked)
    }

    /// Asks; tells why the run is lost, where it is. `events` of its events came, and nothing came
    /// for `silent`.
    pub(super) async fn ask(
        &mut self,
        state: &State,
        request: &Request,
        member: &Member,
        events: u64,
        silent: Duration,
    ) -> Option<&'static str> {
        let apart = self.age(clock::now()) >= APART;
        self.asked = clock::now();
        let Some(body) = report(state, member).await else {
            info!(state.log, "engine asked"; "request" => &*request.ask.id,
                "backend" => &*member.entry.id, "lives" => false);
            return Some("silent");
        };
        member.hear(clock::now());
        let report = state.dialect.read_report(&body, &request.ask.id);
        info!(state.log, "engine asked"; "request" => &*request.ask.id,
            "backend" => &*member.entry.id, "lives" => true,
            "runs" => report.map(|r| r.runs), "held" => report.map(|r| r.held),
            "made" => report.map(|r| r.events), "came" => events);
        self.judge(report?, events, silent, apart)
    }

    /// Judges a report.
    fn judge(
        &mut self,
        report: Report,
        events: u64,
        silent: Duration,
        apart: bool,
    ) -> Option<&'static str> {
        if report.runs {
            self.misses = 0;
            let lost = report.events > events && silent > EVENTS_LOST;
            return lost.then_some("events lost");
        }
        // Before its first event, or after it was preempted, a run is among those that are held.
        if report.held > 0 && (events == 0 || silent < RUN_LOST) {
            let stalled = silent > STALLED;
            return stalled.then_some("stalled");
        }
        self.misses += u32::from(apart);
        (self.misses >= MISSES).then_some("run ended")
    }
}

/// Reads an engine's report over a new connection, since a kept one may be dead without notice.
async fn report(state: &State, member: &Member) -> Option<Bytes> {
    let ask = async {
        let mut lease = member.pool.open(PROBE).await.ok()?;
        let mut request = http::Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(state.dialect.report_path());
        let host = HeaderValue::from_str(&member.entry.address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let answer = lease.conn.send(request).await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        Some(answer.into_body().collect().await.ok()?.to_bytes())
    };
    let late = async {
        Timer::after(PROBE).await;
        None
    };
    ask.or(late).await
}
