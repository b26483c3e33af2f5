//! The task of one chat: it keeps the stream whole from upstream to upstream.

mod exchange;

use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::meta::Class;
use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Ask;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Verdict;
use cactusglade_policy::prefix::Prompt;
use cactusglade_policy::stream::Cursor;
use cactusglade_wire::caller;
use cactusglade_wire::caller::Chat as Body;
use cactusglade_wire::caller::Failure;
use cactusglade_wire::engine;
use hyper::Response;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::dispatch::Again;
use crate::dispatch::Arrive;
use crate::dispatch::Finish;
use crate::dispatch::Order;
use crate::dispatch::Start;
use crate::gate::answer;
use crate::gate::request::Entry;
use crate::link::Connection;

/// Bytes of text that are taken for one token in estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Orders that may wait for the task.
const ORDERS: usize = 4;

type Head = oneshot::Sender<Response<answer::Body>>;

/// Runs one chat to its end.
pub async fn run(entry: Entry, head: Head) {
    let (sender, orders) = mpsc::channel(ORDERS);
    let body = match Body::try_new(&entry.body) {
        Ok(body) if !body.messages.is_empty() && body.max_tokens > 0 => body,
        _ => {
            let kind = Kind::BadRequest;
            entry.record(kind.answer().code);
            let message = "the body is no chat with messages and max_tokens above zero";
            // The caller may have gone away.
            let _ = head.send(answer::failure(kind, message, &entry.id));
            return;
        }
    };
    let prompt = body.prompt();
    let ask = Ask {
        organisation: entry.organisation,
        route: entry.route,
        prompt: Prompt::new(&prompt),
        cost: count(prompt.len().div_ceil(BYTES_PER_TOKEN)) + body.max_tokens,
        deadline: entry.deadline,
        draw: rand::random(),
    };
    let arrived = entry
        .context
        .dispatch
        .tell(Arrive {
            ask,
            orders: sender,
        })
        .await;
    let mut chat = Chat {
        entry,
        body,
        prompt,
        orders,
        head: Some(head),
        frames: None,
        cursor: Cursor::default(),
        emitted: Vec::new(),
        attempts: 0,
        pace: Pace::default(),
    };
    if arrived.is_err() {
        chat.fail(Kind::Draining).await;
        return;
    }
    chat.follow().await;
}

struct Chat {
    entry: Entry,
    body: Body,
    prompt: String,
    orders: mpsc::Receiver<Order>,
    /// Where the head of the answer goes, until it has gone.
    head: Option<Head>,
    /// Where the events of a streamed answer go, once it has begun.
    frames: Option<mpsc::Sender<Bytes>>,
    cursor: Cursor,
    emitted: Vec<String>,
    attempts: u64,
    pace: Pace,
}

/// `Pace` is how fast the tokens came, over all attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<Millis>,
    last: Millis,
    gaps: u64,
    waited: Millis,
}

/// `Whole` is what is known once an answer is whole.
struct Whole {
    prompt_tokens: u64,
    computed_tokens: u64,
}

/// `Ending` of one attempt.
enum Ending {
    /// The answer is whole; the connection can be used again.
    Whole(Whole, Connection),
    /// Another attempt is needed.
    Again(Cause),
    /// The caller went away.
    Gone,
    /// The deadline passed.
    Late,
}

impl Chat {
    /// Follows the orders of the dispatch until the chat has ended.
    async fn follow(&mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                // Dropping the orders tells the dispatch.
                () = gone(&mut self.head, self.frames.as_ref()) => return self.entry.record("gone"),
            };
            match order {
                None => return self.fail(Kind::Internal).await,
                Some(Order::Refuse(kind)) => return self.fail(kind).await,
                // It came too late: the attempt that it speaks of has ended.
                Some(Order::Move) => {}
                Some(Order::Start(start)) => {
                    if self.attempt(*start).await {
                        return;
                    }
                }
            }
        }
    }

    /// Makes one attempt and says whether the chat has ended.
    async fn attempt(&mut self, mut start: Start) -> bool {
        self.attempts += 1;
        let sent = self.entry.context.clock.now();
        let ending = self.exchange(&mut start).await;
        match ending {
            Ending::Whole(whole, connection) => {
                let (verdict, first) = self.verdict(sent);
                self.count(&whole);
                let tokens = whole.prompt_tokens + self.cursor.passed();
                self.finish(&start, verdict, tokens, first, Some(connection))
                    .await;
                self.complete(start.version.as_deref(), whole.prompt_tokens)
                    .await;
                true
            }
            Ending::Again(cause) => {
                let again = Again {
                    ticket: start.ticket,
                    cause,
                };
                // The dispatch ends before this task only when the daemon does.
                let _ = self.entry.context.dispatch.tell(again).await;
                false
            }
            Ending::Gone => {
                self.entry.record("gone");
                self.finish(&start, Verdict::Neutral, self.cursor.passed(), None, None)
                    .await;
                true
            }
            Ending::Late => {
                self.finish(&start, Verdict::Slow, self.cursor.passed(), None, None)
                    .await;
                self.fail(self.late_kind()).await;
                true
            }
        }
    }

    fn late_kind(&self) -> Kind {
        if self.cursor.passed() > 0 {
            Kind::StreamBroken
        } else {
            Kind::DeadlineExceeded
        }
    }

    /// Judges the answer against the route's targets.
    fn verdict(&self, sent: Millis) -> (Verdict, Option<Millis>) {
        let Some(route) = self.entry.object() else {
            return (Verdict::Neutral, None);
        };
        let first = self.pace.first.map(|first| first - sent);
        let first_late = first.is_some_and(|first| first > route.meta.first_token_ms);
        let gap = self.pace.waited.0 / self.pace.gaps.max(1);
        let slow = first_late || gap > route.meta.between_tokens_ms.0;
        (
            if slow { Verdict::Slow } else { Verdict::Good },
            first.filter(|_| self.attempts == 1),
        )
    }

    fn count(&self, whole: &Whole) {
        let metrics = &self.entry.context.metrics;
        metrics.tokens.inc_by(self.cursor.passed());
        metrics.computed.inc_by(whole.computed_tokens);
    }

    /// The whole answer is there: end the stream, or give all of it at once.
    async fn complete(&mut self, version: Option<&str>, prompt_tokens: u64) {
        let head = self.caller_head(version.unwrap_or_default());
        if self.body.stream {
            self.begin(version.unwrap_or_default());
            let stop = head.stop().unwrap_or_default();
            self.emit(stop + caller::DONE).await;
        } else if let Some(sender) = self.head.take() {
            self.entry.first_byte();
            let body = head.whole(&self.emitted.concat(), prompt_tokens, self.cursor.passed());
            // The caller may have gone away.
            let _ = sender.send(answer::whole(200, "application/json", body, &self.entry.id));
        }
        self.entry.record("ok");
    }

    /// Gives an error: as an answer while none has begun, else as the last event of the stream.
    async fn fail(&mut self, kind: Kind) {
        let message = "the chat could not be answered";
        self.entry.record(kind.answer().code);
        if let Some(head) = self.head.take() {
            // The caller may have gone away.
            let _ = head.send(answer::failure(kind, message, &self.entry.id));
        } else {
            self.emit(Failure::new(kind, message, &self.entry.id).event())
                .await;
        }
    }

    /// Takes one token that is next in line.
    async fn pass(&mut self, index: u64, text: String, version: &str) {
        let now = self.entry.context.clock.now();
        if self.pace.first.is_none() {
            self.pace.first = Some(now);
        } else {
            let gap = now - self.pace.last;
            self.pace.gaps += 1;
            self.pace.waited = self.pace.waited + gap;
            let seconds = Duration::from_millis(gap.0).as_secs_f64();
            self.entry.context.metrics.between_tokens.observe(seconds);
        }
        self.pace.last = now;
        if self.body.stream {
            self.begin(version);
            let event = self
                .caller_head(version)
                .token(index, &text)
                .unwrap_or_default();
            self.emit(event).await;
        }
        self.emitted.push(text);
    }

    /// Sends the head of a streamed answer, if it has not gone yet.
    fn begin(&mut self, version: &str) {
        if let Some(head) = self.head.take() {
            let (response, frames) = answer::streamed(&self.entry.id, version);
            self.entry.first_byte();
            self.frames = Some(frames);
            // The caller may have gone away, which the frames will show.
            let _ = head.send(response);
        }
    }

    async fn emit(&mut self, event: String) {
        if let Some(frames) = &self.frames {
            // A caller that went away is noticed where the next event is awaited.
            let _ = frames.send(Bytes::from(event)).await;
        }
    }

    fn caller_head(&self, version: &str) -> caller::Head {
        caller::Head {
            id: self.entry.id.clone(),
            model: version.to_owned(),
        }
    }

    fn request(&self, version: &str, attempt: &str) -> engine::Request {
        let deferrable = self
            .entry
            .object()
            .is_some_and(|route| route.meta.class == Class::Deferrable);
        engine::Request {
            attempt: attempt.to_owned(),
            version: version.to_owned(),
            prompt: self.prompt.clone(),
            emitted: self.emitted.clone(),
            max_tokens: self.body.max_tokens,
            priority: u8::from(deferrable),
        }
    }

    async fn finish(
        &self,
        start: &Start,
        verdict: Verdict,
        tokens: u64,
        first_token: Option<Millis>,
        connection: Option<Connection>,
    ) {
        let finish = Finish {
            ticket: start.ticket,
            upstream: start.upstream,
            report: Report {
                verdict,
                tokens,
                first_token,
            },
            connection,
        };
        // The dispatch ends before this task only when the daemon does.
        let _ = self.entry.context.dispatch.tell(finish).await;
    }
}

/// Waits until the caller has gone away.
async fn gone(head: &mut Option<Head>, frames: Option<&mpsc::Sender<Bytes>>) {
    match (head, frames) {
        (Some(head), _) => head.closed().await,
        (None, Some(frames)) => frames.closed().await,
        (None, None) => std::future::pending().await,
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
