//! The task of one request to a plain service.

use std::time::Duration;

use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::row::Outcome;
use cactusglade_core::row::Reply;
use cactusglade_core::set::Target;
use cactusglade_core::set::digest;
use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Submission;
use cactusglade_policy::dispatch::Verdict;
use cactusglade_policy::prefix::Prompt;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::dispatch::Again;
use crate::dispatch::Arrive;
use crate::dispatch::Finish;
use crate::dispatch::Order;
use crate::dispatch::Start;
use crate::gate::answer;
use crate::gate::answer::Whole;
use crate::gate::attempt;
use crate::gate::attempt::Call;
use crate::gate::attempt::Error;
use crate::gate::entry::Entry;
use crate::ledger;
use crate::ledger::Claim;
use cactusglade_link::link::Connection;

/// Cost of a call of a plain service, in tokens.
const COST: u64 = 100;
/// Time after the deadline for which the outcome of a keyed request is still awaited.
const GRACE: Duration = Duration::from_secs(10);
/// Orders that may wait for the task.
const ORDERS: usize = 4;

/// Answers one request through a task of its own, which goes on when the caller goes away.
pub async fn answer(entry: Entry) -> Response<Whole> {
    let id = entry.id.clone();
    let (head, response) = oneshot::channel();
    drop(entry.context.requests.clone().spawn(run(entry, head)));
    // The task drops the sender only when it fails in a way that it can't name.
    let internal = || answer::failure(Kind::Internal, "the request's task failed", &id);
    response.await.unwrap_or_else(|_| internal())
}

/// Runs one request to its end.
async fn run(entry: Entry, head: oneshot::Sender<Response<Whole>>) {
    let (sender, orders) = mpsc::channel(ORDERS);
    let ask = Submission {
        organisation: entry.organisation,
        route: entry.route,
        prompt: Prompt::default(),
        cost: COST,
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
    let object = entry.object();
    let idempotent = object.is_some_and(|route| route.meta.idempotent);
    let deduplicates = object.is_some_and(|route| match route.target {
        Target::Plain(service) => entry
            .set
            .services
            .get(service)
            .is_some_and(|service| service.meta.deduplicates),
        Target::Chat(_) => false,
    });
    let repeatable = idempotent || (deduplicates && entry.idempotency_key.is_some());
    let mut plain = Plain {
        entry,
        orders,
        head: Some(head),
        claim: None,
        attempts: 0,
        repeatable,
    };
    if arrived.is_err() {
        plain.fail(Kind::Draining);
        return;
    }
    plain.follow().await;
}

struct Plain {
    entry: Entry,
    orders: mpsc::Receiver<Order>,
    head: Option<oneshot::Sender<Response<Whole>>>,
    claim: Option<Claim>,
    attempts: u64,
    /// Whether the request may be run again.
    repeatable: bool,
}

/// `Stop` is how a request ends without another attempt.
enum Stop {
    Replay(Reply),
    Refuse(Kind),
}

/// What came of sending the call: a whole answer and the connection, or an error.
type Exchanged = attempt::Result<(Reply, Connection)>;

impl Plain {
    /// Follows the orders of the dispatch until the request has ended.
    async fn follow(&mut self) {
        loop {
            match self.orders.recv().await {
                None => return self.fail(Kind::Internal),
                Some(Order::Refuse(kind)) => return self.fail(kind),
                // A call to a plain service is short; it stays where it is.
                Some(Order::Move) => {}
                Some(Order::Start(start)) => {
                    if self.attempt(*start).await {
                        return;
                    }
                }
            }
        }
    }

    /// Makes one attempt and says whether the request has ended.
    async fn attempt(&mut self, mut start: Start) -> bool {
        self.attempts += 1;
        let attempt = format!("{}.{}", self.entry.id, self.attempts);
        if let Some(stop) = self.check(&attempt).await {
            let connection = start.connection.take();
            self.finish(&start, Verdict::Neutral, None, connection)
                .await;
            self.stop(stop);
            return true;
        }
        let sent = self.entry.context.clock.now();
        match self.exchange(&mut start, attempt).await {
            None => {
                self.finish(&start, Verdict::Slow, None, None).await;
                true
            }
            Some(Ok((reply, connection))) => {
                let took = self.entry.context.clock.now() - sent;
                self.answered(reply).await;
                self.finish(&start, self.verdict(took), Some(took), Some(connection))
                    .await;
                true
            }
            Some(Err(error)) => self.failed(&start, error).await,
        }
    }

    /// Makes sure that the request may be sent; says how it ends where it may not.
    async fn check(&mut self, attempt: &str) -> Option<Stop> {
        let entry = &self.entry;
        if let Some(key) = entry.idempotency_key.as_deref()
            && !self.repeatable
            && self.claim.is_none()
        {
            let request = format!("{} {}\n", entry.method, entry.path).into_bytes();
            let request = digest(&[request.as_slice(), &entry.body].concat());
            let organisation = entry.organisation_name();
            let ledger = &entry.context.ledger;
            match ledger.claim(organisation, key, attempt, &request).await {
                ledger::Verdict::Send(claim) => self.claim = Some(*claim),
                ledger::Verdict::Replay(reply) => return Some(Stop::Replay(reply)),
                ledger::Verdict::Refuse(kind) => return Some(Stop::Refuse(kind)),
            }
        }
        // A daemon that was frozen on the way here finds out before it sends.
        let late = self.entry.context.clock.now() >= self.entry.deadline;
        late.then_some(Stop::Refuse(Kind::Expired))
    }

    /// Sends the call and reads the whole answer; nothing where the deadline came first.
    ///
    /// The outcome of a keyed request is awaited a while longer, so that a repeat gets it.
    async fn exchange(&mut self, start: &mut Start, attempt: String) -> Option<Exchanged> {
        let call = Call {
            method: self.entry.method.clone(),
            path: self.entry.path.clone(),
            content_type: self.entry.content_type.clone().unwrap_or_default(),
            body: self.entry.body.clone(),
            attempt,
        };
        let deadline = self.entry.context.clock.instant(self.entry.deadline);
        let exchange = exchange(&self.entry, start, &call, !self.repeatable);
        tokio::pin!(exchange);
        if let Ok(exchanged) = tokio::time::timeout_at(deadline, exchange.as_mut()).await {
            return Some(exchanged);
        }
        let kind = Kind::DeadlineExceeded;
        respond(&mut self.head, failure(&self.entry, kind));
        self.entry.record(kind.answer().code);
        if let Some(claim) = self.claim.take()
            && let Ok(Ok((reply, _))) = tokio::time::timeout(GRACE, exchange).await
        {
            claim.settle(Outcome::Answered(reply));
        }
        None
    }

    /// Gives the answer, and records it first where a repeat must find it.
    async fn answered(&mut self, reply: Reply) {
        if let Some(claim) = self.claim.take() {
            claim.settle_now(Outcome::Answered(reply.clone())).await;
        }
        self.stop(Stop::Replay(reply));
    }

    /// Tries again where that can do no harm, else ends the request.
    async fn failed(&mut self, start: &Start, error: Error) -> bool {
        let cause = match error {
            Error::Refused => Cause::Refused,
            Error::Lost | Error::Mismatch if self.repeatable => Cause::Lost,
            Error::Lost => return self.lost(start, Kind::UpstreamLost).await,
            Error::Mismatch => return self.lost(start, Kind::AnswerMismatch).await,
        };
        let again = Again {
            ticket: start.ticket,
            cause,
        };
        // The dispatch ends before this task only when the daemon does; the orders then end too.
        let _ = self.entry.context.dispatch.tell(again).await;
        false
    }

    async fn lost(&mut self, start: &Start, kind: Kind) -> bool {
        // The row stays open: the request may have run and is never sent again.
        drop(self.claim.take());
        self.finish(start, Verdict::Fault, None, None).await;
        self.fail(kind);
        true
    }

    fn stop(&mut self, stop: Stop) {
        match stop {
            Stop::Refuse(kind) => self.fail(kind),
            Stop::Replay(reply) => {
                self.entry.first_byte();
                self.entry.record("ok");
                respond(&mut self.head, answer::reply(reply, &self.entry.id));
            }
        }
    }

    /// Gives an error; an attempt that was proved not to have run frees its key.
    fn fail(&mut self, kind: Kind) {
        if let Some(claim) = self.claim.take()
            && kind.answer().ran == Ran::No
        {
            claim.settle(Outcome::NotRun);
        }
        self.entry.record(kind.answer().code);
        respond(&mut self.head, failure(&self.entry, kind));
    }

    fn verdict(&self, took: Millis) -> Verdict {
        let target = self
            .entry
            .object()
            .map_or(Millis(0), |route| route.meta.first_token_ms);
        if took <= target {
            Verdict::Good
        } else {
            Verdict::Slow
        }
    }

    async fn finish(
        &self,
        start: &Start,
        verdict: Verdict,
        first_token: Option<Millis>,
        connection: Option<Connection>,
    ) {
        let finish = Finish {
            ticket: start.ticket,
            upstream: start.upstream,
            report: Report {
                verdict,
                tokens: COST,
                first_token,
            },
            connection,
        };
        // The dispatch ends before this task only when the daemon does.
        let _ = self.entry.context.dispatch.tell(finish).await;
    }
}

/// Sends the call and reads the whole answer.
async fn exchange(entry: &Entry, start: &mut Start, call: &Call, fresh: bool) -> Exchanged {
    let reached = attempt::Link::new(entry, start).send(call, fresh).await?;
    let (parts, body) = reached.response.into_parts();
    // A body that ends with its connection can't be told from one that was cut off.
    let framed =
        parts.headers.contains_key(CONTENT_LENGTH) || parts.headers.contains_key(TRANSFER_ENCODING);
    if !framed {
        return Err(Error::Lost);
    }
    let body = Limited::new(body, entry.context.limits.answer_bytes);
    let body = body.collect().await.map_err(|_| Error::Lost)?.to_bytes();
    let content_type = parts
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    let reply = Reply {
        status: parts.status.as_u16(),
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    Ok((reply, reached.connection))
}

fn failure(entry: &Entry, kind: Kind) -> Response<Whole> {
    answer::failure(kind, "the request could not be answered", &entry.id)
}

/// Answers the caller, who may have gone away.
fn respond(head: &mut Option<oneshot::Sender<Response<Whole>>>, response: Response<Whole>) {
    if let Some(head) = head.take() {
        let _ = head.send(response);
    }
}
