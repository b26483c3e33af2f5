//! Sends one request with held parts when their hold is over, to see whether it still crashes an
//! upstream.
//!
//! If each daemon sent such requests until it heard of a crash, a fleet would crash an upstream a
//! daemon. So a daemon that has one claims the trial, and makes it unless another claim goes before
//! its own. See `docs/PLATFORM.md`.

use cactusglade_core::units::Millis;

/// Time in which claims reach all daemons: they pass through three of them, one heartbeat each.
const CLAIM_TIME: Millis = Millis(1_000);
/// Time after which a claim, or a trial whose outcome is not known, makes room for another.
const TRIAL_TIME: Millis = Millis(10_000);
/// Time after which a caller that is refused during a trial may return.
const RETRY_AFTER: Millis = Millis(1_000);
/// Rank of a trial that has begun: it goes before all claims.
const BEGUN_RANK: u64 = 0;

/// `Admission` says what happens to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is sent: no part of its prompt is held.
    Open,
    /// It is sent to see whether its parts still crash upstreams.
    Trial,
    /// It may be sent as a trial; this is known at this time, at which it is to be asked for again.
    Wait(Millis),
    /// It is refused until this time at least.
    Refused(Millis),
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    rank: u64,
    since: Millis,
}

/// `Trial` is the trial of one hold that is over, as far as one daemon knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    own: Option<Claim>,
    /// Until when the trial is left to another daemon.
    left_until: Millis,
}

impl Trial {
    /// Returns what happens to a request whose parts were held.
    pub fn admission(&self, now: Millis) -> Admission {
        match self.own {
            Some(own) if now < own.since + TRIAL_TIME => {
                let due = own.since + CLAIM_TIME;
                if own.rank == BEGUN_RANK {
                    Admission::Refused(now + RETRY_AFTER)
                } else if now < due {
                    Admission::Refused(due + RETRY_AFTER)
                } else {
                    Admission::Trial
                }
            }
            _ if now < self.left_until => Admission::Refused(now + RETRY_AFTER),
            _ => Admission::Wait(now + CLAIM_TIME),
        }
    }

    /// Claims the trial; of several claims, the one with the lowest rank stands.
    pub fn claim(&mut self, now: Millis, rank: u64) {
        self.own = Some(Claim {
            rank: rank.max(BEGUN_RANK + 1),
            since: now,
        });
    }

    /// Records that this daemon sends the request.
    pub fn begin(&mut self, now: Millis) {
        self.own = Some(Claim {
            rank: BEGUN_RANK,
            since: now,
        });
    }

    /// Records the claim of another daemon, which was made at `since`.
    pub fn record_claim(&mut self, now: Millis, rank: u64, since: Millis) {
        let stands = |own: Claim| now < own.since + TRIAL_TIME && own.rank <= rank;
        if !self.own.is_some_and(stands) {
            self.own = None;
            self.left_until = self.left_until.max(since + TRIAL_TIME);
        }
    }

    /// Returns the rank of this daemon's claim and the time since it was made, while it stands.
    pub fn claimed(&self, now: Millis) -> Option<(u64, Millis)> {
        let own = self.own.filter(|own| now < own.since + TRIAL_TIME)?;
        Some((own.rank, now - own.since))
    }
}
