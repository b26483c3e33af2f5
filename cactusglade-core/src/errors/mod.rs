//! The closed list of error kinds and the table from kind to answer.
//!
//! The table is the only place that decides what a caller is told; `docs/INTERFACES.md` prints it.

use serde::Deserialize;
use serde::Serialize;

use crate::units::Millis;

/// `Ran` says whether a refused request took effect at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It is proved that the request did not run.
    No,
    /// The request may have run.
    Maybe,
    /// The request did run, at least in part.
    Yes,
}

impl Ran {
    /// The word that stands in answers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
            Self::Yes => "yes",
        }
    }
}

/// `Kind` is the closed list of reasons for which a request gets an error.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The body or a header can't be read as what the route expects.
    BadRequest,
    /// The API key is missing or belongs to no organisation.
    Unauthenticated,
    /// No request or work of the organisation has this name.
    UnknownWork,
    /// No route has this path.
    UnknownRoute,
    /// The route exists but not for this method.
    MethodNotAllowed,
    /// The caller was too slow in sending headers or body.
    SlowRequest,
    /// The body is longer than the settings allow.
    BodyTooLarge,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// An earlier attempt with this idempotency key has no known outcome.
    KeyUnsettled,
    /// The organisation is over its limit.
    LimitExceeded,
    /// The daemon sheds load to keep its latency target.
    Overloaded,
    /// The daemon has no published object set.
    NotReady,
    /// The daemon is shutting down.
    Draining,
    /// No upstream that could serve the route is known or reachable.
    NoUpstream,
    /// The platform's table is needed for at-most-once and does not answer.
    StoreUnavailable,
    /// Work may have been accepted, but the platform's answer was lost.
    Unsettled,
    /// The deadline passed before the request was sent to an upstream.
    Expired,
    /// Every upstream tried refused the request without running it.
    UpstreamRefused,
    /// The upstream was lost after the request may have reached it.
    UpstreamLost,
    /// The deadline passed while an upstream worked on the request.
    DeadlineExceeded,
    /// The upstream answered another request.
    AnswerMismatch,
    /// A stream broke after some of it reached the caller and could not be continued.
    StreamBroken,
    /// The daemon failed in a way that it can't name.
    Internal,
}

/// `Answer` is what a caller is told about one error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable code for programs.
    pub code: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// How long to wait before trying again, where trying again may help.
    pub retry_after: Option<Millis>,
}

const SOON: Option<Millis> = Some(Millis(1_000));
const LATER: Option<Millis> = Some(Millis(5_000));

const fn answer(status: u16, code: &'static str, ran: Ran, retry_after: Option<Millis>) -> Answer {
    Answer {
        status,
        code,
        ran,
        retry_after,
    }
}

impl Kind {
    /// Every kind, in the order of the table in `docs/INTERFACES.md`.
    pub const ALL: [Self; 23] = [
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
        Self::StoreUnavailable,
        Self::Unsettled,
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

    /// The table from kind to answer.
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
            Self::KeyUnsettled => answer(409, "key_unsettled", Ran::Maybe, LATER),
            Self::LimitExceeded => answer(429, "limit_exceeded", Ran::No, SOON),
            Self::Overloaded => answer(503, "overloaded", Ran::No, SOON),
            Self::NotReady => answer(503, "not_ready", Ran::No, SOON),
            Self::Draining => answer(503, "draining", Ran::No, SOON),
            Self::NoUpstream => answer(503, "no_upstream", Ran::No, LATER),
            Self::StoreUnavailable => answer(503, "store_unavailable", Ran::No, LATER),
            Self::Unsettled => answer(503, "unsettled", Ran::Maybe, None),
            Self::Expired => answer(504, "expired", Ran::No, SOON),
            Self::UpstreamRefused => answer(502, "upstream_refused", Ran::No, SOON),
            Self::UpstreamLost => answer(502, "upstream_lost", Ran::Maybe, None),
            Self::DeadlineExceeded => answer(504, "deadline_exceeded", Ran::Maybe, None),
            Self::AnswerMismatch => answer(502, "answer_mismatch", Ran::Maybe, None),
            Self::StreamBroken => answer(502, "stream_broken", Ran::Yes, None),
            Self::Internal => answer(500, "internal", Ran::Maybe, None),
        }
    }
}
