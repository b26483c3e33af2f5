//! One chat: it keeps the answer whole from upstream to upstream.

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

use crate::dispatch::Again;
use crate::dispatch::Arrive;
use crate::dispatch::Finish;
use crate::dispatch::Order;
use crate::dispatch::Start;
use crate::gate::attempt;
use crate::gate::attempt::Call;
use crate::gate::attempt::Error;
use crate::gate::attempt::Reached;
use crate::gate::chat::lines::Lines;
use crate::gate::chat::pace::Pace;
use crate::gate::context::Leaving;
use crate::gate::context::soon;
use crate::gate::entry::Entry;
use cactusglade_link::link::Connection;

/// Bytes of text that are taken for one token in estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Orders that may wait for the chat.
const ORDERS: usize = 4;
/// Longest silence of an upstream on a route with the usual targets.
const SILENCE: Duration = Duration::from_secs(5);
/// Longest silence as a multiple of the route's target for the first token.
const SILENT_TARGETS: u64 = 4;

/// `Part` is what comes next of an answer.
pub enum Part {
    /// One token.
    Token {
        /// Number over the whole answer, from zero.
        index: u64,
        /// Text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Tokens of the prompt.
        prompt: u64,
        /// Tokens of the answer.
        answer: u64,
    },
    /// The answer is resumed through another daemon.
    Moved,
    /// The answer can't be finished.
    Failed(Kind),
}

/// `Seed` is where a chat begins: with nothing, or where another daemon left it.
pub struct Seed {
    /// What the caller asked for.
    pub body: caller::Chat,
    /// Tokens that are known.
    pub emitted: Vec<String>,
    /// How many of them the caller has.
    pub passed: u64,
}

impl Seed {
    /// A chat that begins here.
    #[must_use]
    pub const fn new(body: caller::Chat) -> Self {
        Self {
            body,
            emitted: Vec::new(),
            passed: 0,
        }
    }
}

/// `Chat` holds all that is known of one chat; dropping it gives its upstream back.
pub struct Chat {
    pub(super) entry: Entry,
    pub(super) body: caller::Chat,
    pub(super) prompt: String,
    pub(super) orders: mpsc::Receiver<Order>,
    pub(super) leaving: watch::Receiver<Leaving>,
    pub(super) running: Option<Running>,
    pub(super) cursor: Cursor,
    pub(super) emitted: Vec<String>,
    pub(super) attempts: u64,
    pub(super) pace: Pace,
    pub(super) ended: bool,
    pub(super) version: String,
}

/// `Running` is the attempt under way.
pub(super) struct Running {
    pub(super) start: Start,
    pub(super) attempt: String,
    pub(super) sent: Millis,
    /// Tokens that the caller had before it.
    pub(super) before: u64,
    /// The answer, once it has begun.
    pub(super) answer: Option<(Lines, Connection)>,
}

/// `Wake` is whatever comes first while an attempt waits.
enum Wake<T> {
    Ready(T),
    Move,
    HandOver,
    Late,
    Silent,
}

impl Chat {
    /// Asks the dispatch for admission.
    pub async fn start(entry: Entry, seed: Seed) -> Self {
        let Seed {
            body,
            emitted,
            passed,
        } = seed;
        let (sender, orders) = mpsc::channel(ORDERS);
        let mut leaving = entry.context.leaving.clone();
        if *leaving.borrow() != Leaving::No {
            leaving.mark_changed();
        }
        let prompt = body.prompt();
        let ask = Submission {
            organisation: entry.organisation,
            route: entry.route,
            prompt: Prompt::new(&prompt),
            cost: count(prompt.len().div_ceil(BYTES_PER_TOKEN)) + body.max_tokens,
            deadline: entry.deadline,
            draw: rand::random(),
        };
        // Where the dispatch has ended the orders end too, which shows below.
        let _ = entry
            .context
            .dispatch
            .tell(Arrive {
                ask,
                orders: sender,
            })
            .await;
        Self {
            entry,
            body,
            prompt,
            orders,
            leaving,
            running: None,
            cursor: Cursor::new(passed),
            emitted,
            attempts: 0,
            pace: Pace::default(),
            ended: false,
            version: String::new(),
        }
    }

    /// Names the request.
    pub fn id(&self) -> &str {
        &self.entry.id
    }

    /// The text that the caller has of the answer so far.
    pub fn known(&self) -> String {
        let passed = usize::try_from(self.cursor.passed()).unwrap_or(usize::MAX);
        self.emitted
            .iter()
            .take(passed)
            .map(String::as_str)
            .collect()
    }

    /// Name of the version that answers.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Whether the last part has come.
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// The next part of the answer, from whichever upstream it takes.
    pub async fn next(&mut self) -> Part {
        loop {
            if self.leaving.has_changed().unwrap_or(false) && self.leave().await {
                return self.moved().await;
            }
            let part = match self.running.take() {
                Some(running) => self.run(running).await,
                None => self.follow().await,
            };
            if let Some(part) = part {
                return part;
            }
        }
    }

    /// Follows the next order of the dispatch.
    async fn follow(&mut self) -> Option<Part> {
        let mut leaving = self.leaving.clone();
        let order = tokio::select! {
            order = self.orders.recv() => order,
            () = soon(&mut leaving) => return None,
        };
        match order {
            None => Some(self.fail(Kind::Internal)),
            Some(Order::Refuse(kind)) => Some(self.fail(kind)),
            // It came too late: the attempt that it speaks of has ended.
            Some(Order::Move) => None,
            Some(Order::Start(start)) => {
                self.attempts += 1;
                self.version = start.version.clone().unwrap_or_default();
                self.running = Some(Running {
                    attempt: format!("{}.{}", self.entry.id, self.attempts),
                    sent: self.entry.context.clock.now(),
                    before: self.cursor.passed(),
                    start: *start,
                    answer: None,
                });
                None
            }
        }
    }

    /// Goes on with the attempt under way until it gives a part or ends.
    async fn run(&mut self, mut running: Running) -> Option<Part> {
        let Some((mut lines, connection)) = running.answer.take() else {
            return self.open(running).await;
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
                        return self.again(&running, self.lost()).await;
                    }
                    self.count(&running, total, computed_tokens);
                    // The answer is whole; whatever follows it only spoils the connection.
                    let connection = lines.ends().await.then_some(connection);
                    return Some(self.complete(&running, prompt_tokens, connection).await);
                }
                running.answer = Some((lines, connection));
                self.take(running, event).await
            }
            Wake::Ready(Some(_)) => {
                self.entry.context.metrics.mismatches.inc();
                self.again(&running, self.lost()).await
            }
            Wake::Ready(None) | Wake::Silent => self.again(&running, self.lost()).await,
            Wake::HandOver => {
                running.answer = Some((lines, connection));
                self.running = Some(running);
                None
            }
            Wake::Move => self.again(&running, Cause::Leaving).await,
            Wake::Late => Some(self.late(&running).await),
        }
    }

    /// Takes an event of an answer that goes on.
    async fn take(&mut self, running: Running, event: Event) -> Option<Part> {
        let Event::Token { index, text, .. } = event else {
            return self.again(&running, self.lost()).await;
        };
        match self.cursor.accept(index) {
            stream::Verdict::Pass => {
                self.pass(index, &text);
                self.running = Some(running);
                Some(Part::Token { index, text })
            }
            stream::Verdict::Drop => {
                if index == count(self.emitted.len()) {
                    self.emitted.push(text);
                }
                self.running = Some(running);
                None
            }
            stream::Verdict::Gap => self.again(&running, self.lost()).await,
        }
    }

    /// Sends the attempt and waits until its answer begins.
    async fn open(&mut self, mut running: Running) -> Option<Part> {
        let Ok(body) = engine::encode(&self.request(&running.attempt)) else {
            return self.again(&running, Cause::Refused).await;
        };
        let call = Call {
            method: "POST".to_owned(),
            path: engine::GENERATE_PATH.to_owned(),
            content_type: "application/json".to_owned(),
            body: body.into(),
            attempt: running.attempt.clone(),
        };
        let link = attempt::Link::new(&self.entry, &mut running.start);
        match self.wait(link.send(&call, false)).await {
            Wake::Ready(Ok(reached)) if reached.response.status() == hyper::StatusCode::OK => {
                let Reached {
                    response,
                    connection,
                } = reached;
                running.answer = Some((Lines::new(response.into_body()), connection));
                self.running = Some(running);
                None
            }
            Wake::Ready(Err(Error::Refused)) => self.again(&running, Cause::Refused).await,
            Wake::Ready(_) | Wake::Silent => self.again(&running, self.lost()).await,
            // Should no peer take it, it is tried here once more.
            Wake::HandOver | Wake::Move => self.again(&running, Cause::Leaving).await,
            Wake::Late => Some(self.late(&running).await),
        }
    }

    /// Waits for something, an order to move, the deadline, or too long a silence.
    async fn wait<T>(&mut self, something: impl Future<Output = T>) -> Wake<T> {
        let deadline = self.entry.context.clock.instant(self.entry.deadline);
        let silence = tokio::time::Instant::now() + self.silence();
        let mut leaving = self.leaving.clone();
        tokio::select! {
            ready = something => Wake::Ready(ready),
            Some(Order::Move) = self.orders.recv() => Wake::Move,
            () = soon(&mut leaving) => Wake::HandOver,
            () = tokio::time::sleep_until(deadline.min(silence)) => {
                if deadline <= silence { Wake::Late } else { Wake::Silent }
            }
        }
    }

    /// Longest silence that is waited for; a route with a slow first token has more patience.
    fn silence(&self) -> Duration {
        let target = self
            .entry
            .object()
            .map_or(0, |route| route.meta.first_token_ms.0);
        Duration::from_millis(target.saturating_mul(SILENT_TARGETS)).max(SILENCE)
    }

    /// Asks the dispatch for another attempt.
    async fn again(&mut self, running: &Running, cause: Cause) -> Option<Part> {
        let again = Again {
            ticket: running.start.ticket,
            cause,
        };
        // Where the dispatch has ended the orders end too, which shows next.
        let _ = self.entry.context.dispatch.tell(again).await;
        None
    }

    /// The upstream was lost: another one goes on after the last token that was passed on.
    fn lost(&self) -> Cause {
        if self.cursor.passed() > 0 {
            Cause::Broken
        } else {
            Cause::Lost
        }
    }

    async fn late(&mut self, running: &Running) -> Part {
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
        let (verdict, first_token) = self.verdict(running.sent);
        let report = Report {
            verdict,
            tokens: prompt + answer,
            first_token,
        };
        self.finish(running, report, connection).await;
        self.ended = true;
        self.entry.record("ok");
        Part::Done { prompt, answer }
    }

    fn fail(&mut self, kind: Kind) -> Part {
        self.ended = true;
        self.entry.record(kind.answer().code);
        Part::Failed(kind)
    }

    /// Judges the answer against the route's targets.
    fn verdict(&self, sent: Millis) -> (Verdict, Option<Millis>) {
        let Some(route) = self.entry.object() else {
            return (Verdict::Neutral, None);
        };
        let (first_token, between_tokens) =
            (route.meta.first_token_ms, route.meta.between_tokens_ms);
        let verdict = self.pace.verdict(sent, first_token, between_tokens);
        let first = self.pace.first_since(sent);
        (verdict, first.filter(|_| self.attempts == 1))
    }

    fn count(&self, running: &Running, total: u64, computed: u64) {
        let metrics = &self.entry.context.metrics;
        metrics.tokens.inc_by(self.cursor.passed());
        metrics.computed.inc_by(computed);
        if self.attempts > 1 {
            metrics
                .recomputed
                .inc_by(computed.saturating_sub(total - running.before));
        }
    }

    /// Notes a token that is passed on.
    fn pass(&mut self, index: u64, text: &str) {
        match self.pace.note(self.entry.context.clock.now()) {
            None => self.entry.first_byte(),
            Some(gap) => {
                let seconds = Duration::from_millis(gap.0).as_secs_f64();
                self.entry.context.metrics.between_tokens.observe(seconds);
            }
        }
        // A resumed chat may know fewer tokens than its caller has.
        if index == count(self.emitted.len()) {
            self.emitted.push(text.to_owned());
        }
    }

    fn request(&self, attempt: &str) -> engine::Request {
        let deferrable = self
            .entry
            .object()
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
        let (ticket, upstream) = (running.start.ticket, running.start.upstream);
        let finish = Finish {
            ticket,
            upstream,
            report,
            connection,
        };
        // Where the dispatch has ended there is nothing left to give back.
        let _ = self.entry.context.dispatch.tell(finish).await;
    }
}

impl Drop for Chat {
    fn drop(&mut self) {
        if !self.ended {
            // The caller went away; the end of the orders tells the dispatch.
            self.entry.record("gone");
        }
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
