//! One attempt of a chat: the events of an engine's answer, taken one by one.

use std::time::Duration;

use bytes::BytesMut;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::stream::Verdict;
use cactusglade_wire::engine;
use cactusglade_wire::engine::Event;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::codec::Decoder;
use tokio_util::codec::LinesCodec;

use crate::dispatch::Order;
use crate::dispatch::Start;
use crate::gate::attempt;
use crate::gate::attempt::Call;
use crate::gate::attempt::Error;
use crate::gate::attempt::Reached;
use crate::gate::chat::Chat;
use crate::gate::chat::Ending;
use crate::gate::chat::Whole;
use crate::gate::chat::gone;

/// Longest silence of an upstream in the middle of an answer.
const SILENCE: Duration = Duration::from_secs(5);

/// `Lines` reads the events of an answer.
struct Lines {
    body: Incoming,
    codec: LinesCodec,
    buffer: BytesMut,
}

impl Lines {
    fn new(body: Incoming) -> Self {
        let codec = LinesCodec::new_with_max_length(engine::MAX_LINE);
        Self {
            body,
            codec,
            buffer: BytesMut::new(),
        }
    }

    /// The next event, nothing where the answer ends or can't be read.
    ///
    /// It may be dropped while it waits; what was read so far is kept.
    async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(line) = self.codec.decode(&mut self.buffer).ok()? {
                return engine::decode(&line).ok();
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Reads the end of a body after its last event, so that the connection can be used again.
    async fn ends(&mut self) -> bool {
        matches!(
            tokio::time::timeout(SILENCE, self.body.frame()).await,
            Ok(None)
        )
    }
}

/// `Wake` is whatever comes first while an attempt waits.
enum Wake<T> {
    Ready(T),
    Move,
    Gone,
    Late,
    Silent,
}

impl Chat {
    /// Sends the chat to an upstream and passes its tokens on.
    pub(super) async fn exchange(&mut self, start: &mut Start) -> Ending {
        let attempt = format!("{}.{}", self.entry.id, self.attempts);
        let version = start.version.clone().unwrap_or_default();
        let Ok(body) = engine::encode(&self.request(&version, &attempt)) else {
            return Ending::Again(Cause::Refused);
        };
        let call = Call {
            method: "POST".to_owned(),
            path: engine::GENERATE.to_owned(),
            content_type: "application/json".to_owned(),
            body: body.into(),
            attempt,
        };
        let entry = &self.entry;
        let deadline = entry.context.clock.instant(entry.deadline);
        let send = attempt::send(entry, start, &call, false);
        let wake = tokio::select! {
            reached = send => Wake::Ready(reached),
            Some(Order::Move) = self.orders.recv() => Wake::Move,
            () = gone(&mut self.head, self.frames.as_ref()) => Wake::Gone,
            () = tokio::time::sleep_until(deadline) => Wake::Late,
        };
        match wake {
            Wake::Ready(Ok(reached)) if reached.response.status() == hyper::StatusCode::OK => {
                self.read(reached, &call.attempt, &version).await
            }
            Wake::Ready(Err(Error::Refused)) => Ending::Again(Cause::Refused),
            Wake::Ready(_) | Wake::Silent => self.lost(),
            Wake::Move => Ending::Again(Cause::Leaving),
            Wake::Gone => Ending::Gone,
            Wake::Late => Ending::Late,
        }
    }

    async fn read(&mut self, reached: Reached, attempt: &str, version: &str) -> Ending {
        let Reached {
            response,
            connection,
        } = reached;
        let before = self.cursor.passed();
        let mut lines = Lines::new(response.into_body());
        loop {
            let event = match self.next(&mut lines).await {
                Wake::Ready(Some(event)) => event,
                Wake::Ready(None) | Wake::Silent => return self.lost(),
                Wake::Move => return Ending::Again(Cause::Leaving),
                Wake::Gone => return Ending::Gone,
                Wake::Late => return Ending::Late,
            };
            if event.attempt() != attempt {
                self.entry.context.metrics.mismatches.inc();
                return self.lost();
            }
            match event {
                Event::Token { index, text, .. } => match self.cursor.accept(index) {
                    Verdict::Pass => self.pass(index, text, version).await,
                    Verdict::Drop => {}
                    Verdict::Gap => return self.lost(),
                },
                Event::Done {
                    total,
                    prompt_tokens,
                    computed_tokens,
                    ..
                } => {
                    if !self.cursor.is_whole(total) || !lines.ends().await {
                        return self.lost();
                    }
                    if self.attempts > 1 {
                        let again = computed_tokens.saturating_sub(total - before);
                        self.entry.context.metrics.recomputed.inc_by(again);
                    }
                    return Ending::Whole(
                        Whole {
                            prompt_tokens,
                            computed_tokens,
                        },
                        connection,
                    );
                }
                Event::Failed { .. } => return self.lost(),
            }
        }
    }

    async fn next(&mut self, lines: &mut Lines) -> Wake<Option<Event>> {
        let deadline = self.entry.context.clock.instant(self.entry.deadline);
        tokio::select! {
            event = lines.next() => Wake::Ready(event),
            Some(Order::Move) = self.orders.recv() => Wake::Move,
            () = gone(&mut self.head, self.frames.as_ref()) => Wake::Gone,
            () = tokio::time::sleep_until(deadline) => Wake::Late,
            () = tokio::time::sleep(SILENCE) => Wake::Silent,
        }
    }

    /// The upstream was lost: another one goes on after the last token that was passed on.
    fn lost(&self) -> Ending {
        Ending::Again(if self.cursor.passed() > 0 {
            Cause::Broken
        } else {
            Cause::Lost
        })
    }
}
