//! Decides when a daemon whose configuration is older than that of another one fetches it there.
//!
//! Each daemon follows the store itself. A call that the store refuses, or whose answer is lost,
//! looks like a configuration that does not change; what other daemons have in force tells the two
//! apart. See `docs/PLATFORM.md`.

use std::net::SocketAddr;

use cactusglade_core::units::Millis;

/// Time that a daemon which is behind leaves to its own call to the store. It is longer than the
/// pause after changes, so that a daemon that reads a storm of changes from the store fetches none.
const GRACE: Millis = Millis(500);
/// Time between two fetches while the daemon stays behind.
const RETRY_INTERVAL: Millis = Millis(500);
/// Age from which a notice no longer counts: its holder states it at least every few seconds.
pub const MAX_AGE: Millis = Millis(6_000);

/// `Notice` says that a daemon has a version of the configuration in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Notice {
    /// Version in force there.
    pub version: u64,
    /// Address at which that daemon serves it to others.
    pub holder: SocketAddr,
    /// When the holder stated it, on this daemon's clock.
    pub stated: Millis,
}

impl Notice {
    /// Returns whether the holder has stated this lately.
    #[must_use]
    pub fn is_fresh(&self, now: Millis) -> bool {
        now - self.stated < MAX_AGE
    }

    /// Returns whether this notice replaces a known one.
    #[must_use]
    pub fn supersedes(&self, known: Option<&Self>, now: Millis) -> bool {
        let known = known.filter(|known| known.is_fresh(now));
        self.is_fresh(now)
            && known.is_none_or(|known| (self.version, self.stated) > (known.version, known.stated))
    }
}

/// `Step` is what a daemon does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing, until another notice arrives: no daemon is known to have a newer version.
    Rest,
    /// Look again at this time.
    Wait(Millis),
    /// Fetch the configuration from the holder.
    Fetch(Notice),
}

/// `Lag` compares the version in force at this daemon with what other daemons state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    in_force: u64,
    notice: Option<Notice>,
    behind_since: Option<Millis>,
    next_fetch: Millis,
}

impl Lag {
    /// Records a notice; returns whether it is the first to say that this daemon is behind.
    pub fn record(&mut self, now: Millis, notice: Notice) -> bool {
        if !notice.supersedes(self.notice.as_ref(), now) {
            return false;
        }
        self.notice = Some(notice);
        let is_first = notice.version > self.in_force && self.behind_since.is_none();
        if is_first {
            self.behind_since = Some(now);
        }
        is_first
    }

    /// Records that a version came into force at this daemon.
    pub fn adopt(&mut self, now: Millis, version: u64) {
        self.in_force = self.in_force.max(version);
        let is_behind = self
            .notice
            .is_some_and(|notice| notice.version > self.in_force);
        self.behind_since = is_behind.then_some(now);
    }

    /// Records that the holder could not be reached or did not have the version.
    pub fn record_failure(&mut self, now: Millis) {
        self.next_fetch = now + RETRY_INTERVAL;
    }

    /// Returns what to do next.
    #[must_use]
    pub fn step(&self, now: Millis) -> Step {
        let notice = self.notice.filter(|notice| notice.is_fresh(now));
        let (Some(since), Some(notice)) = (self.behind_since, notice) else {
            return Step::Rest;
        };
        let at = (since + GRACE).max(self.next_fetch);
        if now < at {
            Step::Wait(at)
        } else {
            Step::Fetch(notice)
        }
    }
}
