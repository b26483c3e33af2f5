//! The closed list of error kinds and the answer to each.
//!
//! [`Kind::answer`] alone decides which answer a caller gets; `docs/INTERFACES.md` has the table.

use serde::Deserialize;
use serde::Serialize;

use crate::units::Millis;

/// `Ran` says whether a refused request took effect at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request certainly did not run.
    No,
    /// The request may have run.
    Maybe,
    /// The request ran, at least in part.
    Yes,
}

impl Ran {
    /// Returns the word used in answers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
            Self::Yes => "yes",
        }
    }
}

/// `Kind` is the reason why a request is answered with an error.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The body or a header can't be decoded as the route expects.
    BadRequest,
    /// The API key is missing or belongs to no organisation.
    Unauthenticated,
    /// The organisation has no request or work of this name.
    UnknownWork,
    /// No route has this path.
    UnknownRoute,
    /// The route exists, but not for this method.
    MethodNotAllowed,
    /// The caller did not send the headers or the body within the time limit.
    SlowRequest,
    /// The body exceeds the limit in the settings.
    BodyTooLarge,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// An earlier attempt with this idempotency key has no known outcome.
    KeyUnsettled,
    /// The organisation has exceeded its limit.
    LimitExceeded,
    /// The daemon sheds load to keep its latency target.
    Overloaded,
    /// The daemon has not read a published object set yet.
    NotReady,
    /// The daemon is shutting down.
    Draining,
    /// No upstream that could serve the route is known or reachable.
    NoUpstream,
    /// All upstreams that could serve the route are in availability zones that are evacuated.
    Evacuated,
    /// The platform's table, which at-most-once execution needs, does not answer.
    StoreUnavailable,
    /// Work may have been accepted, but the platform's answer was lost.
    Unsettled,
    /// A part of the prompt crashes the upstreams that answer it.
    Quarantined,
    /// The deadline expired before the request was sent to an upstream.
    Expired,
    /// Every upstream that was tried refused the request without running it.
    UpstreamRefused,
    /// The connection to the upstream was lost after the request may have reached it.
    UpstreamLost,
    /// The deadline expired while an upstream was processing the request.
    DeadlineExceeded,
    /// The answer of the upstream belongs to another request.
    AnswerMismatch,
    /// A stream broke after part of it had reached the caller, and could not be resumed.
    StreamBroken,
    /// The daemon failed for a reason that no other kind covers.
    Internal,
}

/// `Answer` is the error answer for one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable code that programs can match.
    pub code: &'static str,
    /// Whether the request took effect at an upstream.
    pub ran: Ran,
    /// Time after which the caller may retry, where a retry may help.
    pub retry_after: Option<Millis>,
}

const RETRY_AFTER_SHORT: Option<Millis> = Some(Millis(1_000));
const RETRY_AFTER_LONG: Option<Millis> = Some(Millis(5_000));

const fn answer(status: u16, code: &'static str, ran: Ran, retry_after: Option<Millis>) -> Answer {
    Answer {
        status,
        code,
        ran,
        retry_after,
    }
}

impl Kind {
    /// All kinds, in the order of the table in `docs/INTERFACES.md`.
    pub const ALL: [Self; 25] = [
        Self::BadRequest,
        Self::Unauthenticated,
        Self::UnknownWork,
        Self::UnknownRoute,
        Self::MethodNotAllowed,
        Self::SlowRequest,
        Self::BodyTooLarge,
        Self::KeyReused,
        Self::KeyUnsettled,
        Self::LimitExceeded,
        Self::Overloaded,
        Self::NotReady,
        Self::Draining,
        Self::NoUpstream,
        Self::Evacuated,
        Self::StoreUnavailable,
        Self::Unsettled,
        Self::Quarantined,
        Self::Expired,
        Self::UpstreamRefused,
        Self::UpstreamLost,
        Self::DeadlineExceeded,
        Self::AnswerMismatch,
        Self::StreamBroken,
        Self::Internal,
    ];

    /// Whether the caller caused the error, so that it does not count as a failure of the service.
    #[must_use]
    pub const fn is_caller_fault(self) -> bool {
        matches!(
            self,
            Self::BadRequest
                | Self::Unauthenticated
                | Self::UnknownWork
                | Self::UnknownRoute
                | Self::MethodNotAllowed
                | Self::SlowRequest
                | Self::BodyTooLarge
                | Self::KeyReused
                | Self::LimitExceeded
        )
    }

    /// Returns the answer for this kind.
    #[must_use]
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => answer(400, "bad_request", Ran::No, None),
            Self::Unauthenticated => answer(401, "unauthenticated", Ran::No, None),
            Self::UnknownWork => answer(404, "unknown_work", Ran::Maybe, None),
            Self::UnknownRoute => answer(404, "unknown_route", Ran::No, None),
            Self::MethodNotAllowed => answer(405, "method_not_allowed", Ran::No, None),
            Self::SlowRequest => answer(408, "slow_request", Ran::No, None),
            Self::BodyTooLarge => answer(413, "body_too_large", Ran::No, None),
            Self::KeyReused => answer(422, "key_reused", Ran::No, None),
            Self::KeyUnsettled => answer(409, "key_unsettled", Ran::Maybe, RETRY_AFTER_LONG),
            Self::LimitExceeded => answer(429, "limit_exceeded", Ran::No, RETRY_AFTER_SHORT),
            Self::Overloaded => answer(503, "overloaded", Ran::No, RETRY_AFTER_SHORT),
            Self::NotReady => answer(503, "not_ready", Ran::No, RETRY_AFTER_SHORT),
            Self::Draining => answer(503, "draining", Ran::No, RETRY_AFTER_SHORT),
            Self::NoUpstream => answer(503, "no_upstream", Ran::No, RETRY_AFTER_LONG),
            Self::Evacuated => answer(503, "evacuated", Ran::No, RETRY_AFTER_LONG),
            Self::StoreUnavailable => answer(503, "store_unavailable", Ran::No, RETRY_AFTER_LONG),
            Self::Unsettled => answer(503, "unsettled", Ran::Maybe, None),
            Self::Quarantined => answer(503, "quarantined", Ran::No, RETRY_AFTER_LONG),
            Self::Expired => answer(504, "expired", Ran::No, RETRY_AFTER_SHORT),
            Self::UpstreamRefused => answer(502, "upstream_refused", Ran::No, RETRY_AFTER_SHORT),
            Self::UpstreamLost => answer(502, "upstream_lost", Ran::Maybe, None),
            Self::DeadlineExceeded => answer(504, "deadline_exceeded", Ran::Maybe, None),
            Self::AnswerMismatch => answer(502, "answer_mismatch", Ran::Maybe, None),
            Self::StreamBroken => answer(502, "stream_broken", Ran::Yes, None),
            Self::Internal => answer(500, "internal", Ran::Maybe, None),
        }
    }
}
