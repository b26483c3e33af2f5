//! Answers a request to a plain service, in a task that is independent of the connection.

use std::time::Duration;

use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::row::Outcome;
use cactusglade_core::row::Reply;
use cactusglade_core::set::Target;
use cactusglade_core::set::digest;
use cactusglade_core::units::Millis;
use cactusglade_link::body;
use cactusglade_link::link::Connection;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Submission;
use cactusglade_policy::dispatch::Verdict;
use cactusglade_policy::prefix::Prompt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::dispatch::Admit;
use crate::dispatch::Assignment;
use crate::dispatch::Finish;
use crate::dispatch::Instruction;
use crate::dispatch::Retry;
use crate::gate::answer;
use crate::gate::answer::Buffered;
use crate::gate::attempt;
use crate::gate::attempt::Call;
use crate::gate::attempt::Error;
use crate::gate::inbound::Inbound;
use crate::ledger;
use crate::ledger::Claim;

/// Cost that is charged for one call of a plain service, in tokens.
const COST_TOKENS: u64 = 100;
/// Time after the deadline for which the reply to a request with a claimed idempotency key is still
/// awaited, so that a repeat of the request gets it.
const SETTLE_GRACE: Duration = Duration::from_secs(10);
/// Capacity of the channel of instructions from the dispatch service.
const INSTRUCTION_CAPACITY: usize = 4;

/// Answers one request in its own task, which continues if the caller disconnects.
pub async fn answer(inbound: Inbound) -> Response<Buffered> {
    let id = inbound.id.clone();
    let (responder, response) = oneshot::channel();
    drop(
        inbound
            .context
            .requests
            .clone()
            .spawn(run(inbound, responder)),
    );
    // The sender is dropped without a response only if the task panics or is cancelled.
    let internal = || answer::failure(Kind::Internal, "the request's task failed", &id);
    response.await.unwrap_or_else(|_| internal())
}

/// Runs one request until it has been answered or refused.
async fn run(inbound: Inbound, responder: oneshot::Sender<Response<Buffered>>) {
    let (sender, instructions) = mpsc::channel(INSTRUCTION_CAPACITY);
    let submission = Submission {
        organisation: inbound.organisation,
        route: inbound.route,
        prompt: Prompt::default(),
        cost: COST_TOKENS,
        deadline: inbound.deadline,
        draw: rand::random(),
    };
    let admitted = inbound
        .context
        .dispatch
        .tell(Admit {
            submission,
            instructions: sender,
        })
        .await;
    let object = inbound.route_object();
    let idempotent = object.is_some_and(|route| route.meta.idempotent);
    let deduplicates = object.is_some_and(|route| match route.target {
        Target::Plain(service) => inbound
            .set
            .services
            .get(service)
            .is_some_and(|service| service.meta.deduplicates),
        Target::Chat(_) => false,
    });
    let repeatable = idempotent || (deduplicates && inbound.idempotency_key.is_some());
    let mut plain = Plain {
        inbound,
        instructions,
        responder: Some(responder),
        claim: None,
        attempts: 0,
        repeatable,
    };
    if admitted.is_err() {
        plain.fail(Kind::Draining);
        return;
    }
    plain.run_instructions().await;
}

/// `Plain` is the state of one request to a plain service.
struct Plain {
    inbound: Inbound,
    instructions: mpsc::Receiver<Instruction>,
    responder: Option<oneshot::Sender<Response<Buffered>>>,
    claim: Option<Claim>,
    attempts: u64,
    /// Whether the request may safely run more than once.
    repeatable: bool,
}

/// `Conclusion` is how a request ends: with a reply of the service or with an error.
enum Conclusion {
    Reply(Reply),
    Refuse(Kind),
}

/// Result of a call: the complete reply and the connection for reuse, or an error.
type Exchanged = attempt::Result<(Reply, Connection)>;

impl Plain {
    /// Executes the instructions of the dispatch service until the request has ended.
    async fn run_instructions(&mut self) {
        loop {
            match self.instructions.recv().await {
                None => return self.fail(Kind::Internal),
                Some(Instruction::Refuse(kind)) => return self.fail(kind),
                // Calls to plain services are short, so they aren't moved.
                Some(Instruction::Move) => {}
                Some(Instruction::Assign(assignment)) => {
                    if self.attempt(*assignment).await {
                        return;
                    }
                }
            }
        }
    }

    /// Makes one attempt; returns whether the request has ended.
    async fn attempt(&mut self, mut assignment: Assignment) -> bool {
        self.attempts += 1;
        let attempt = format!("{}.{}", self.inbound.id, self.attempts);
        if let Some(conclusion) = self.check_before_send(&attempt).await {
            let connection = assignment.connection.take();
            self.finish(&assignment, Verdict::Neutral, None, connection)
                .await;
            self.conclude(conclusion);
            return true;
        }
        let sent = self.inbound.context.clock.now();
        match self.exchange(&mut assignment, attempt).await {
            None => {
                self.finish(&assignment, Verdict::Slow, None, None).await;
                true
            }
            Some(Ok((reply, connection))) => {
                let latency = self.inbound.context.clock.now() - sent;
                self.record_and_reply(reply).await;
                self.finish(
                    &assignment,
                    self.verdict(latency),
                    Some(latency),
                    Some(connection),
                )
                .await;
                true
            }
            Some(Err(error)) => self.handle_error(&assignment, error).await,
        }
    }

    /// Claims the idempotency key where one is needed and checks the deadline.
    ///
    /// Returns how the request ends if it must not be sent.
    async fn check_before_send(&mut self, attempt: &str) -> Option<Conclusion> {
        let inbound = &self.inbound;
        if let Some(key) = inbound.idempotency_key.as_deref()
            && !self.repeatable
            && self.claim.is_none()
        {
            let request = format!("{} {}\n", inbound.method, inbound.path).into_bytes();
            let request = digest(&[request.as_slice(), &inbound.body].concat());
            let organisation = inbound.organisation_name();
            let ledger = &inbound.context.ledger;
            match ledger.claim(organisation, key, attempt, &request).await {
                ledger::Decision::Send(claim) => self.claim = Some(*claim),
                ledger::Decision::Replay(reply) => return Some(Conclusion::Reply(reply)),
                ledger::Decision::Refuse(kind) => return Some(Conclusion::Refuse(kind)),
            }
        }
        // The process may have been suspended since admission: check the deadline before sending.
        let expired = self.inbound.context.clock.now() >= self.inbound.deadline;
        expired.then_some(Conclusion::Refuse(Kind::Expired))
    }

    /// Sends the call and reads the complete reply; `None` if the deadline passed first.
    ///
    /// If the idempotency key is claimed, the reply is awaited for [`SETTLE_GRACE`] longer and
    /// recorded, so that a repeat of the request gets it.
    async fn exchange(
        &mut self,
        assignment: &mut Assignment,
        attempt: String,
    ) -> Option<Exchanged> {
        let call = Call {
            method: self.inbound.method.clone(),
            path: self.inbound.path.clone(),
            content_type: self.inbound.content_type.clone().unwrap_or_default(),
            body: self.inbound.body.clone(),
            attempt,
        };
        let deadline = self.inbound.context.clock.instant(self.inbound.deadline);
        let exchange = exchange(&self.inbound, assignment, &call, !self.repeatable);
        tokio::pin!(exchange);
        if let Ok(exchanged) = tokio::time::timeout_at(deadline, exchange.as_mut()).await {
            return Some(exchanged);
        }
        let kind = Kind::DeadlineExceeded;
        respond(&mut self.responder, failure(&self.inbound, kind));
        self.inbound.record(kind.answer().code);
        if let Some(claim) = self.claim.take()
            && let Ok(Ok((reply, _))) = tokio::time::timeout(SETTLE_GRACE, exchange).await
        {
            claim.settle(Outcome::Answered(reply));
        }
        None
    }

    /// Sends the reply to the caller, after recording it if the idempotency key is claimed.
    async fn record_and_reply(&mut self, reply: Reply) {
        if let Some(claim) = self.claim.take() {
            claim
                .settle_and_wait(Outcome::Answered(reply.clone()))
                .await;
        }
        self.conclude(Conclusion::Reply(reply));
    }

    /// Asks for another attempt if the request did not run or may safely run again; else ends the
    /// request.
    ///
    /// Returns whether the request has ended.
    async fn handle_error(&mut self, assignment: &Assignment, error: Error) -> bool {
        let cause = match error {
            Error::Refused => Cause::Refused,
            Error::Lost | Error::Mismatch if self.repeatable => Cause::Lost,
            Error::Lost => return self.fail_unsettled(assignment, Kind::UpstreamLost).await,
            Error::Mismatch => return self.fail_unsettled(assignment, Kind::AnswerMismatch).await,
        };
        let retry = Retry {
            ticket: assignment.ticket,
            cause,
        };
        // Sending fails only during shutdown, when the channel of instructions closes too.
        let _ = self.inbound.context.dispatch.tell(retry).await;
        false
    }

    async fn fail_unsettled(&mut self, assignment: &Assignment, kind: Kind) -> bool {
        // The row stays open: the request may have run and must never be sent again.
        drop(self.claim.take());
        self.finish(assignment, Verdict::Fault, None, None).await;
        self.fail(kind);
        true
    }

    fn conclude(&mut self, conclusion: Conclusion) {
        match conclusion {
            Conclusion::Refuse(kind) => self.fail(kind),
            Conclusion::Reply(reply) => {
                self.inbound.observe_first_byte();
                self.inbound.record("ok");
                respond(&mut self.responder, answer::reply(reply, &self.inbound.id));
            }
        }
    }

    /// Sends an error to the caller; frees the claimed key if the request did not run.
    fn fail(&mut self, kind: Kind) {
        if let Some(claim) = self.claim.take()
            && kind.answer().ran == Ran::No
        {
            claim.settle(Outcome::NotRun);
        }
        self.inbound.record(kind.answer().code);
        respond(&mut self.responder, failure(&self.inbound, kind));
    }

    fn verdict(&self, latency: Millis) -> Verdict {
        let target = self
            .inbound
            .route_object()
            .map_or(Millis(0), |route| route.meta.first_token_ms);
        if latency <= target {
            Verdict::Good
        } else {
            Verdict::Slow
        }
    }

    async fn finish(
        &self,
        assignment: &Assignment,
        verdict: Verdict,
        first_token: Option<Millis>,
        connection: Option<Connection>,
    ) {
        let finish = Finish {
            ticket: assignment.ticket,
            upstream: assignment.upstream,
            report: Report {
                verdict,
                tokens: COST_TOKENS,
                first_token,
            },
            connection,
        };
        // Sending fails only during shutdown.
        let _ = self.inbound.context.dispatch.tell(finish).await;
    }
}

/// Sends the call and reads the complete reply.
async fn exchange(
    inbound: &Inbound,
    assignment: &mut Assignment,
    call: &Call,
    fresh: bool,
) -> Exchanged {
    let received = attempt::Transport::new(inbound, assignment)
        .send(call, fresh)
        .await?;
    let (parts, body) = received.response.into_parts();
    // Without a length or chunks, a complete body can't be told from a truncated one.
    let is_framed =
        parts.headers.contains_key(CONTENT_LENGTH) || parts.headers.contains_key(TRANSFER_ENCODING);
    if !is_framed {
        return Err(Error::Lost);
    }
    let context = &inbound.context;
    let body = body::collect(body, context.limits.answer_bytes, &context.answers).await;
    let body = body.map_err(|_| Error::Lost)?;
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
    Ok((reply, received.connection))
}

fn failure(inbound: &Inbound, kind: Kind) -> Response<Buffered> {
    answer::failure(kind, "the request could not be answered", &inbound.id)
}

/// Sends the response, once; the caller may have disconnected.
fn respond(
    responder: &mut Option<oneshot::Sender<Response<Buffered>>>,
    response: Response<Buffered>,
) {
    if let Some(responder) = responder.take() {
        let _ = responder.send(response);
    }
}
