//! The closed list of reasons for which the system refuses a request itself.
//!
//! A [`Kind`] decides what the caller gets, and several reasons share one; a reason tells operators
//! what to change. `docs/OPERATIONS.md` has the table.

use crate::errors::Kind;

/// `Reason` is why the system refused a request, or a further attempt to send it, itself.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The organisation's quota is used up.
    Quota,
    /// The service's retry budget is used up.
    RetryBudget,
    /// Some of the available upstreams are cold and take no more requests now.
    Cold,
    /// Some of the available upstreams have stated a limit that is used up, and none is cold.
    Limit,
    /// All available upstreams have asked for no requests for some time.
    Spared,
    /// The requests that wait at this daemon use up the time for which the caller can wait.
    Room,
    /// No upstream is expected to begin an answer in time.
    Late,
    /// All upstreams that are left are in availability zones that are evacuated.
    Evacuated,
    /// All upstreams that are left are in regions in which the request may not run.
    Region,
    /// No upstream is left that is known and can be reached.
    NoUpstream,
    /// A part of the prompt crashes upstreams.
    Quarantine,
    /// The deadline was over before the request was sent.
    Deadline,
    /// The daemon is shutting down.
    Draining,
    /// No route matches the request.
    UnknownRoute,
    /// The key is missing or belongs to no organisation.
    Authentication,
    /// The head can't be decoded, or the body is invalid, too long or too slow.
    Request,
    /// Other bodies use up the memory for bodies.
    Memory,
    /// The daemon has no configuration yet.
    NotReady,
}

impl Reason {
    /// All reasons, in the order of the table in `docs/OPERATIONS.md`.
    pub const ALL: [Self; 18] = [
        Self::Quota,
        Self::RetryBudget,
        Self::Cold,
        Self::Limit,
        Self::Spared,
        Self::Room,
        Self::Late,
        Self::Evacuated,
        Self::Region,
        Self::NoUpstream,
        Self::Quarantine,
        Self::Deadline,
        Self::Draining,
        Self::UnknownRoute,
        Self::Authentication,
        Self::Request,
        Self::Memory,
        Self::NotReady,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::RetryBudget => "retry_budget",
            Self::Cold => "cold",
            Self::Limit => "limit",
            Self::Spared => "spared",
            Self::Room => "room",
            Self::Late => "late",
            Self::Evacuated => "evacuated",
            Self::Region => "region",
            Self::NoUpstream => "no_upstream",
            Self::Quarantine => "quarantine",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::UnknownRoute => "unknown_route",
            Self::Authentication => "authentication",
            Self::Request => "request",
            Self::Memory => "memory",
            Self::NotReady => "not_ready",
        }
    }

    /// Returns the reason that a kind of error implies.
    ///
    /// `None` where the kind has several reasons, which the refusing code states
    /// ([`Kind::Overloaded`]), where an upstream had the request, or where the kind occurs on the
    /// product's own interfaces only.
    #[must_use]
    pub const fn implied(kind: Kind) -> Option<Self> {
        Some(match kind {
            Kind::LimitExceeded => Self::Quota,
            Kind::Evacuated => Self::Evacuated,
            Kind::NoUpstream => Self::NoUpstream,
            Kind::Quarantined => Self::Quarantine,
            Kind::Expired => Self::Deadline,
            Kind::Draining => Self::Draining,
            Kind::UnknownRoute => Self::UnknownRoute,
            Kind::Unauthenticated => Self::Authentication,
            Kind::BadRequest | Kind::BodyTooLarge | Kind::SlowRequest => Self::Request,
            Kind::NotReady => Self::NotReady,
            Kind::Overloaded
            | Kind::UpstreamRefused
            | Kind::UpstreamLost
            | Kind::DeadlineExceeded
            | Kind::AnswerMismatch
            | Kind::StreamBroken
            | Kind::Internal
            | Kind::UnknownWork
            | Kind::MethodNotAllowed
            | Kind::KeyReused
            | Kind::KeyUnsettled
            | Kind::StoreUnavailable
            | Kind::Unsettled => return None,
        })
    }
}
