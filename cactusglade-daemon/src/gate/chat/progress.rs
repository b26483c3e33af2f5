//! Runs one chat and continues its answer across attempts at several upstreams.

use std::time::Duration;

use cactusglade_core::errors::Kind;
use cactusglade_core::meta::Class;
use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Submission;
use cactusglade_policy::dispatch::Verdict;
use cactusglade_policy::prefix::Prompt;
use cactusglade_policy::stream;
use cactusglade_policy::stream::Cursor;
use cactusglade_wire::caller;
use cactusglade_wire::engine;
use cactusglade_wire::engine::Event;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::dispatch::Admit;
use crate::dispatch::Assignment;
use crate::dispatch::Finish;
use crate::dispatch::Instruction;
use crate::dispatch::Retry;
use crate::gate::attempt;
use crate::gate::attempt::Call;
use crate::gate::attempt::Error;
use crate::gate::attempt::Received;
use crate::gate::chat::latency::Latency;
use crate::gate::chat::lines::Lines;
use crate::gate::context::Reclaim;
use crate::gate::context::reclaim_imminent;
use crate::gate::inbound::Inbound;
use cactusglade_link::link::Connection;

/// Bytes of prompt text counted as one token in cost estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Capacity of the channel of instructions from the dispatch service.
const INSTRUCTION_CAPACITY: usize = 4;
/// Minimum time without an event after which an upstream counts as lost.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an event after which an upstream counts as lost, as a multiple of the route's
/// target for the first token.
const STALL_TIMEOUT_FACTOR: u64 = 4;

/// `Part` is one step of an answer: a token or the end.
pub enum Part {
    /// One token.
    Token {
        /// Index in the answer over all attempts, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens in the prompt.
        prompt: u64,
        /// Number of tokens in the answer.
        answer: u64,
    },
    /// The chat was handed over; the caller resumes it at another daemon.
    Moved,
    /// The answer can't be completed.
    Failed(Kind),
}

/// `Checkpoint` is the state from which a chat starts: a new request, or one that another daemon
/// handed over.
pub struct Checkpoint {
    /// The chat request as sent by the caller.
    pub body: caller::Chat,
    /// Tokens of the answer that are known already, in order.
    pub emitted: Vec<String>,
    /// Number of tokens that the caller already has.
    pub delivered: u64,
}

impl Checkpoint {
    /// Returns the state of a new chat.
    #[must_use]
    pub const fn new(body: caller::Chat) -> Self {
        Self {
            body,
            emitted: Vec::new(),
            delivered: 0,
        }
    }
}

/// `Chat` owns the state of one chat.
///
/// Dropping it closes the channel of instructions; then the dispatch service frees the
/// upstream's slot.
pub struct Chat {
    pub(super) inbound: Inbound,
    pub(super) body: caller::Chat,
    pub(super) prompt: String,
    pub(super) instructions: mpsc::Receiver<Instruction>,
    pub(super) reclaim: watch::Receiver<Reclaim>,
    pub(super) running: Option<Running>,
    pub(super) cursor: Cursor,
    pub(super) emitted: Vec<String>,
    pub(super) attempts: u64,
    pub(super) latency: Latency,
    pub(super) ended: bool,
    pub(super) version: String,
}

/// `Running` is the current attempt.
pub(super) struct Running {
    pub(super) assignment: Assignment,
    pub(super) attempt: String,
    pub(super) sent_at: Millis,
    /// Number of tokens that the caller had before this attempt.
    pub(super) delivered_before: u64,
    /// The response body and the connection, once the response head has arrived.
    pub(super) answer: Option<(Lines, Connection)>,
}

/// `Wake` is the event that ended a wait of the current attempt.
enum Wake<T> {
    Ready(T),
    Move,
    HandOver,
    Deadline,
    Stall,
}

impl Chat {
    /// Asks the dispatch service to admit the chat.
    ///
    /// A refusal is returned by [`Self::next`].
    pub async fn start(inbound: Inbound, checkpoint: Checkpoint) -> Self {
        let Checkpoint {
            body,
            emitted,
            delivered,
        } = checkpoint;
        let (sender, instructions) = mpsc::channel(INSTRUCTION_CAPACITY);
        let mut reclaim = inbound.context.reclaim.clone();
        if *reclaim.borrow() != Reclaim::Unannounced {
            reclaim.mark_changed();
        }
        let prompt = body.prompt();
        let submission = Submission {
            organisation: inbound.organisation,
            route: inbound.route,
            prompt: Prompt::new(&prompt),
            cost: saturating_u64(prompt.len().div_ceil(BYTES_PER_TOKEN)) + body.max_tokens,
            deadline: inbound.deadline,
            draw: rand::random(),
        };
        // Sending fails only during shutdown; the closed channel of instructions ends the chat.
        let _ = inbound
            .context
            .dispatch
            .tell(Admit {
                submission,
                instructions: sender,
            })
            .await;
        Self {
            inbound,
            body,
            prompt,
            instructions,
            reclaim,
            running: None,
            cursor: Cursor::new(delivered),
            emitted,
            attempts: 0,
            latency: Latency::default(),
            ended: false,
            version: String::new(),
        }
    }

    /// Returns the id of the request.
    pub fn id(&self) -> &str {
        &self.inbound.id
    }

    /// Returns the text of the tokens that the caller already has.
    pub fn delivered_text(&self) -> String {
        let delivered = usize::try_from(self.cursor.passed()).unwrap_or(usize::MAX);
        self.emitted
            .iter()
            .take(delivered)
            .map(String::as_str)
            .collect()
    }

    /// Returns the name of the model version that runs the current attempt.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns whether the last part has been returned.
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the next part of the answer; starts further attempts as needed.
    pub async fn next(&mut self) -> Part {
        loop {
            if self.reclaim.has_changed().unwrap_or(false) && self.hand_over().await {
                return self.end_moved().await;
            }
            let part = match self.running.take() {
                Some(running) => self.advance(running).await,
                None => self.next_instruction().await,
            };
            if let Some(part) = part {
                return part;
            }
        }
    }

    /// Waits for the next instruction of the dispatch service and executes it.
    async fn next_instruction(&mut self) -> Option<Part> {
        let mut reclaim = self.reclaim.clone();
        let instruction = tokio::select! {
            instruction = self.instructions.recv() => instruction,
            () = reclaim_imminent(&mut reclaim) => return None,
        };
        match instruction {
            None => Some(self.fail(Kind::Internal)),
            Some(Instruction::Refuse(kind)) => Some(self.fail(kind)),
            // The instruction concerns an attempt that has already ended.
            Some(Instruction::Move) => None,
            Some(Instruction::Assign(assignment)) => {
                self.attempts += 1;
                self.version = assignment.version.clone().unwrap_or_default();
                self.running = Some(Running {
                    attempt: format!("{}.{}", self.inbound.id, self.attempts),
                    sent_at: self.inbound.context.clock.now(),
                    delivered_before: self.cursor.passed(),
                    assignment: *assignment,
                    answer: None,
                });
                None
            }
        }
    }

    /// Reads the next event of the current attempt, or sends the attempt if it is still to be sent.
    ///
    /// Returns the next part, or `None` if the event yields none.
    async fn advance(&mut self, mut running: Running) -> Option<Part> {
        let Some((mut lines, connection)) = running.answer.take() else {
            return self.send(running).await;
        };
        match self.wait(lines.next()).await {
            Wake::Ready(Some(event)) if event.attempt() == running.attempt => {
                if let Event::Done {
                    total,
                    prompt_tokens,
                    computed_tokens,
                    ..
                } = event
                {
                    if !self.cursor.is_complete(total) {
                        return self.retry(&running, self.loss_cause()).await;
                    }
                    self.count_tokens(&running, total, computed_tokens);
                    // The answer is complete; trailing data only makes the connection unusable.
                    let connection = lines.read_end().await.then_some(connection);
                    return Some(self.complete(&running, prompt_tokens, connection).await);
                }
                running.answer = Some((lines, connection));
                self.handle_token(running, event).await
            }
            Wake::Ready(Some(_)) => {
                self.inbound.context.metrics.mismatches.inc();
                self.retry(&running, self.loss_cause()).await
            }
            Wake::Ready(None) | Wake::Stall => self.retry(&running, self.loss_cause()).await,
            Wake::HandOver => {
                running.answer = Some((lines, connection));
                self.running = Some(running);
                None
            }
            Wake::Move => self.retry(&running, Cause::Leaving).await,
            Wake::Deadline => Some(self.expire(&running).await),
        }
    }

    /// Handles an event other than [`Event::Done`]: passes on, skips or rejects a token.
    async fn handle_token(&mut self, running: Running, event: Event) -> Option<Part> {
        let Event::Token { index, text, .. } = event else {
            return self.retry(&running, self.loss_cause()).await;
        };
        match self.cursor.accept(index) {
            stream::Verdict::Pass => {
                self.record_token(index, &text);
                self.running = Some(running);
                Some(Part::Token { index, text })
            }
            stream::Verdict::Drop => {
                if index == saturating_u64(self.emitted.len()) {
                    self.emitted.push(text);
                }
                self.running = Some(running);
                None
            }
            stream::Verdict::Gap => self.retry(&running, self.loss_cause()).await,
        }
    }

    /// Sends the attempt and waits for the response head.
    async fn send(&mut self, mut running: Running) -> Option<Part> {
        let Ok(body) = engine::encode(&self.request(&running.attempt)) else {
            return self.retry(&running, Cause::Refused).await;
        };
        let call = Call {
            method: "POST".to_owned(),
            path: engine::GENERATE_PATH.to_owned(),
            content_type: "application/json".to_owned(),
            body: body.into(),
            attempt: running.attempt.clone(),
        };
        let transport = attempt::Transport::new(&self.inbound, &mut running.assignment);
        match self.wait(transport.send(&call, false)).await {
            Wake::Ready(Ok(received)) if received.response.status() == hyper::StatusCode::OK => {
                let Received {
                    response,
                    connection,
                } = received;
                running.answer = Some((Lines::new(response.into_body()), connection));
                self.running = Some(running);
                None
            }
            Wake::Ready(Err(Error::Refused)) => self.retry(&running, Cause::Refused).await,
            Wake::Ready(_) | Wake::Stall => self.retry(&running, self.loss_cause()).await,
            // If no peer accepts the handover, another attempt is made from this daemon.
            Wake::HandOver | Wake::Move => self.retry(&running, Cause::Leaving).await,
            Wake::Deadline => Some(self.expire(&running).await),
        }
    }

    /// Waits for `operation`, and ends early on an instruction to move, an imminent reclaim of the
    /// host, the deadline, or a stalled upstream.
    async fn wait<T>(&mut self, operation: impl Future<Output = T>) -> Wake<T> {
        let deadline = self.inbound.context.clock.instant(self.inbound.deadline);
        let stall_at = tokio::time::Instant::now() + self.stall_timeout();
        let mut reclaim = self.reclaim.clone();
        tokio::select! {
            ready = operation => Wake::Ready(ready),
            Some(Instruction::Move) = self.instructions.recv() => Wake::Move,
            () = reclaim_imminent(&mut reclaim) => Wake::HandOver,
            () = tokio::time::sleep_until(deadline.min(stall_at)) => {
                if deadline <= stall_at { Wake::Deadline } else { Wake::Stall }
            }
        }
    }

    /// Returns the time without an event after which the upstream counts as lost.
    ///
    /// It is longer on routes whose target for the first token is long.
    fn stall_timeout(&self) -> Duration {
        let target = self
            .inbound
            .route_object()
            .map_or(0, |route| route.meta.first_token_ms.0);
        Duration::from_millis(target.saturating_mul(STALL_TIMEOUT_FACTOR)).max(MIN_STALL_TIMEOUT)
    }

    /// Asks the dispatch service for another attempt; always returns `None`.
    async fn retry(&mut self, running: &Running, cause: Cause) -> Option<Part> {
        let retry = Retry {
            ticket: running.assignment.ticket,
            cause,
        };
        // Sending fails only during shutdown; the closed channel of instructions ends the chat.
        let _ = self.inbound.context.dispatch.tell(retry).await;
        None
    }

    /// Returns the cause for a lost upstream: [`Cause::Broken`] if the caller already has tokens,
    /// after which the next upstream continues, else [`Cause::Lost`].
    fn loss_cause(&self) -> Cause {
        if self.cursor.passed() > 0 {
            Cause::Broken
        } else {
            Cause::Lost
        }
    }

    async fn expire(&mut self, running: &Running) -> Part {
        let kind = if self.cursor.passed() > 0 {
            Kind::StreamBroken
        } else {
            Kind::DeadlineExceeded
        };
        let report = Report {
            verdict: Verdict::Slow,
            tokens: self.cursor.passed(),
            first_token: None,
        };
        self.finish(running, report, None).await;
        self.fail(kind)
    }

    async fn complete(
        &mut self,
        running: &Running,
        prompt: u64,
        connection: Option<Connection>,
    ) -> Part {
        let answer = self.cursor.passed();
        let (verdict, first_token) = self.verdict(running.sent_at);
        let report = Report {
            verdict,
            tokens: prompt + answer,
            first_token,
        };
        self.finish(running, report, connection).await;
        self.ended = true;
        self.inbound.record("ok");
        Part::Done { prompt, answer }
    }

    fn fail(&mut self, kind: Kind) -> Part {
        self.ended = true;
        self.inbound.record(kind.answer().code);
        Part::Failed(kind)
    }

    /// Compares the latency with the route's targets.
    ///
    /// The time to the first token is returned only for an answer of a single attempt.
    fn verdict(&self, sent_at: Millis) -> (Verdict, Option<Millis>) {
        let Some(route) = self.inbound.route_object() else {
            return (Verdict::Neutral, None);
        };
        let (first_token, between_tokens) =
            (route.meta.first_token_ms, route.meta.between_tokens_ms);
        let verdict = self.latency.verdict(sent_at, first_token, between_tokens);
        let first = self.latency.time_to_first(sent_at);
        (verdict, first.filter(|_| self.attempts == 1))
    }

    fn count_tokens(&self, running: &Running, total: u64, computed: u64) {
        let metrics = &self.inbound.context.metrics;
        metrics.tokens.inc_by(self.cursor.passed());
        metrics.computed.inc_by(computed);
        if self.attempts > 1 {
            metrics
                .recomputed
                .inc_by(computed.saturating_sub(total - running.delivered_before));
        }
    }

    /// Records the latency and the text of a token for the caller.
    fn record_token(&mut self, index: u64, text: &str) {
        match self.latency.record(self.inbound.context.clock.now()) {
            None => self.inbound.observe_first_byte(),
            Some(gap) => {
                let seconds = Duration::from_millis(gap.0).as_secs_f64();
                self.inbound.context.metrics.between_tokens.observe(seconds);
            }
        }
        // After a resume, fewer tokens may be known than the caller has.
        if index == saturating_u64(self.emitted.len()) {
            self.emitted.push(text.to_owned());
        }
    }

    fn request(&self, attempt: &str) -> engine::Request {
        let deferrable = self
            .inbound
            .route_object()
            .is_some_and(|route| route.meta.class == Class::Deferrable);
        engine::Request {
            attempt: attempt.to_owned(),
            version: self.version.clone(),
            prompt: self.prompt.clone(),
            emitted: self.emitted.clone(),
            max_tokens: self.body.max_tokens,
            priority: u8::from(deferrable),
        }
    }

    pub(super) async fn finish(
        &self,
        running: &Running,
        report: Report,
        connection: Option<Connection>,
    ) {
        let (ticket, upstream) = (running.assignment.ticket, running.assignment.upstream);
        let finish = Finish {
            ticket,
            upstream,
            report,
            connection,
        };
        // Sending fails only during shutdown, when the slot no longer matters.
        let _ = self.inbound.context.dispatch.tell(finish).await;
    }
}

impl Drop for Chat {
    fn drop(&mut self) {
        if !self.ended {
            // The caller disconnected; closing the channel of instructions closes the ticket.
            self.inbound.record("gone");
        }
    }
}

fn saturating_u64(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
