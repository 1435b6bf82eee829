//! Delivery of a generation to its caller: events with tokens, and the end of the answer.

use std::time::{Duration, Instant};

use futures_lite::AsyncWriteExt;
use slog::info;

use super::{
    answer::Usage,
    generate::{GenerationRun, Signal},
    resume::AnswerPosition,
    suspect, Outcome, Refusal,
};
use crate::{
    hooks::Step,
    kernel::{
        generation::{Ending, Event, FinishReason, Loss},
        health, TokenId,
    },
    observe::{self, Counter},
    runtime::within,
};

/// Longest time that a write to the caller may take before the attempt at the engine is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Value of `Retry-After` in refusals.
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl GenerationRun {
    /// Passes new tokens on to the caller, and returns an event if that failed.
    ///
    /// Tokens that the caller has from another node are checked against its ticket and dropped. An
    /// answer that is not streamed collects its text.
    pub(super) async fn emit(&mut self, ids: Vec<TokenId>, text: &str) -> Option<Event> {
        self.run_hooks(Step::TokensTaken).await;
        if let Some(guard) = &mut self.guard {
            guard.record_first_token();
        }
        self.record_latency();
        let previous = (self.tokens.len(), self.text_bytes);
        self.text_bytes += text.len();
        if !self.append_tokens(&ids) {
            let attempt = self.machine.attempt();
            info!(self.driver.log, "live stream does not match the caller's ticket";
                "attempt" => attempt);
            self.tokens.truncate(self.delivered().0);
            return Some(Event::WrongStream);
        }
        self.record_progress();
        // Tokens and text that the caller has from another node are not sent again.
        let (delivered, delivered_text) = self.delivered();
        let ids = &ids[delivered.saturating_sub(previous.0).min(ids.len())..];
        let skipped_text = delivered_text.saturating_sub(previous.1).min(text.len());
        let Some(text) = text.get(skipped_text..) else {
            let attempt = self.machine.attempt();
            let loss = Loss::Mismatch;
            return Some(Event::Lost { attempt, loss });
        };
        if ids.is_empty() {
            return None;
        }
        let first = !std::mem::replace(&mut self.started, true);
        if first {
            let _ = self.driver.signal.try_send(Signal::Started);
        }
        if self.driver.out.is_none() {
            self.text.push_str(text);
            return None;
        }
        if text.is_empty() && !first && !self.driver.prompt.token_ids {
            return None;
        }
        self.write_event(ids, text, first);
        let gone = self.write().await;
        if gone.is_none() {
            self.run_hooks(Step::TokensPassed).await;
        }
        gone
    }

    /// Appends tokens to the answer.
    ///
    /// Returns false if the tokens up to the position in the caller's ticket are not those that the
    /// caller has from another node.
    fn append_tokens(&mut self, ids: &[TokenId]) -> bool {
        let delivered = self.delivered().0;
        let mut matches = true;
        for id in ids {
            self.tokens.push(*id);
            self.digest.update(&[*id]);
            if let (true, Some(from)) = (self.tokens.len() == delivered, &self.driver.resumed) {
                matches = self.digest.value() == from.ticket.tokens;
            }
        }
        matches
    }

    /// Returns the number of tokens and of bytes of text that the caller has from another node.
    fn delivered(&self) -> (usize, usize) {
        match &self.driver.resumed {
            Some(from) => (from.ticket.position as usize, from.ticket.text as usize),
            None => (0, 0),
        }
    }

    /// Records the time to the first token, and the time from a loss to the next token.
    fn record_latency(&mut self) {
        let tags = [("service", &*self.driver.route.service)];
        let metrics = &self.driver.context.metrics;
        if self.tokens.is_empty() && self.driver.resumed.is_none() {
            metrics.time(observe::Timer::FirstToken, self.now(), &tags);
        }
        if let Some(lost) = self.lost_at.take() {
            metrics.time(observe::Timer::Resume, lost.elapsed(), &tags);
        }
        self.last_token_at = Some(Instant::now());
    }

    /// Encodes an event, with the ticket as its id, into the buffer.
    fn write_event(&mut self, ids: &[TokenId], text: &str, first: bool) {
        self.buf.clear();
        self.written = 0;
        let position = self.guard.as_ref().map(|guard| AnswerPosition {
            generation: &self.driver.id,
            version: &self.driver.route.version,
            backend: guard.addr,
            attempt: self.machine.attempt(),
            tokens: self.tokens.len(),
            text: self.text_bytes,
            digest: &self.digest,
        });
        if let Some(id) = position.and_then(|at| self.driver.tickets.event_id(&at)) {
            self.buf.extend_from_slice(format!("id: {id}\n").as_bytes());
        }
        let token_ids = if self.driver.prompt.token_ids {
            ids
        } else {
            &[]
        };
        let first = first && self.driver.resumed.is_none();
        self.driver
            .format
            .write_text(&mut self.buf, text, token_ids, first);
    }

    /// Writes the buffer to the caller, and returns an event if the caller stalls or disconnects.
    async fn write(&mut self) -> Option<Event> {
        match within(STALL_TIMEOUT, self.drain()).await {
            Some(Event::CallerResumed) => None,
            Some(gone) => Some(gone),
            None => {
                info!(self.driver.log, "write to the caller timed out";
                    "tokens" => self.tokens.len());
                Some(Event::CallerStalled)
            }
        }
    }

    /// Writes the rest of the buffer to the caller, without a timeout.
    pub(super) async fn drain(&mut self) -> Event {
        let Some(out) = &mut self.driver.out else {
            self.written = self.buf.len();
            return Event::CallerResumed;
        };
        while self.written < self.buf.len() {
            match out.write(&self.buf[self.written..]).await {
                Ok(n) if n > 0 => self.written += n,
                _ => {
                    self.written = self.buf.len();
                    self.caller_gone = true;
                    return match self.driver.tickets.is_enabled() {
                        true => Event::CallerDisconnected,
                        false => Event::Abandoned,
                    };
                }
            }
        }
        Event::CallerResumed
    }

    /// Ends the generation: records its outcome, releases what it holds and sends the end of the
    /// answer.
    pub(super) async fn finish(&mut self, ending: Ending) {
        let tokens = self.tokens.len() as u32;
        info!(self.driver.log, "ended"; "ending" => ?ending, "tokens" => tokens,
            "attempts" => self.machine.attempt());
        if matches!(ending, Ending::Complete(_)) {
            self.driver.watch.record_answer(tokens, &self.server_addr());
        }
        if let (Ending::Complete(_), Some(guard)) = (ending, &mut self.guard) {
            guard.set_outcome(health::Outcome::Success);
        }
        self.guard = None;
        let used = u64::from(self.prompt_tokens + tokens);
        let now = self.driver.context.chooser.now();
        self.driver.admitted.permit.settle(now, used);
        self.chunks = None;
        let usage = Usage::new(self.prompt_tokens, tokens);
        self.count_ending(ending, tokens);
        self.run_hooks(Step::AnswerEnded).await;
        let signal = match ending {
            Ending::Complete(reason) => {
                suspect::record_survival(
                    &self.driver.context,
                    &self.driver.tickets.content_digest(),
                );
                suspect::record_part_survival(&self.driver.context, &self.driver.parts);
                self.write_finish(reason, usage).await;
                Signal::Complete {
                    text: std::mem::take(&mut self.text),
                    reason,
                    usage,
                }
            }
            Ending::NotRun | Ending::Abandoned => {
                let busy =
                    || Refusal::busy("no backend server can take the request now", RETRY_AFTER);
                Signal::Refused(self.refusal.take().unwrap_or_else(busy))
            }
            Ending::Partial => {
                let position = (tokens as usize).max(self.delivered().0);
                let message = format!(
                    "the answer is whole up to token {position} and can't go on; ask again for the rest"
                );
                let partial = || Refusal::busy(message, RETRY_AFTER).with_code("partial");
                let refusal = self
                    .refusal
                    .take()
                    .unwrap_or_else(partial)
                    .with_outcome(Outcome::Ran);
                self.write_error(&refusal).await;
                Signal::Refused(refusal)
            }
        };
        let _ = self.driver.signal.try_send(signal);
    }

    /// Counts a generation that ended, and its tokens, in the metrics.
    fn count_ending(&self, ending: Ending, tokens: u32) {
        let service = ("service", &*self.driver.route.service);
        let outcome = match ending {
            Ending::Complete(_) => "complete",
            Ending::NotRun => "not_run",
            Ending::Partial => "partial",
            Ending::Abandoned => "abandoned",
        };
        let metrics = &self.driver.context.metrics;
        metrics.count(Counter::Requests, 1, &[service, ("outcome", outcome)]);
        metrics.count(Counter::Tokens, tokens.into(), &[service]);
    }

    async fn write_finish(&mut self, reason: FinishReason, usage: Usage) {
        let Some(out) = &mut self.driver.out else {
            return;
        };
        // An answer without tokens has not been started yet.
        let _ = self.driver.signal.try_send(Signal::Started);
        self.buf.clear();
        let usage = self.driver.prompt.include_usage.then_some(usage);
        self.driver
            .format
            .write_finish(&mut self.buf, reason, usage);
        let _ = out.write_all(&self.buf).await;
    }

    async fn write_error(&mut self, refusal: &Refusal) {
        if let Some(out) = &mut self.driver.out {
            let event = format!("data: {}\n\n", refusal.body());
            let _ = out.write_all(event.as_bytes()).await;
        }
    }
}
