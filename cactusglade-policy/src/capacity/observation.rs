//! Whether what a daemon has observed is of use once it takes the lease.

use cactusglade_core::units::Millis;

/// Time after which a break makes a daemon observe anew, the time for which a lease lasts without a
/// renewal. The need decreases by a ninth in it at most, less than what makes a plan order fewer
/// upstreams.
pub const MAX_GAP: Millis = Millis(2_300);

/// `Sight` is what a daemon can see at the time of a round.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// Whether the registry of upstreams can be read, itself or through the zone's relay.
    pub has_registry: bool,
    /// Whether at least half of the daemons are heard, by which the load is known.
    pub has_fleet: bool,
}

/// `Cause` is why a daemon observes anew.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The daemon did not run.
    Frozen,
    /// The registry of upstreams could not be read, so that the counts are old.
    Registry,
    /// Less than half of the daemons were heard, so that the load is not known.
    Isolated,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 3] = [Self::Frozen, Self::Registry, Self::Isolated];

    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Frozen => "frozen",
            Self::Registry => "registry",
            Self::Isolated => "isolated",
        }
    }
}

/// `Observation` notices breaks in what a daemon observes without the lease.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// When the daemon was last known to run.
    awake: Option<Millis>,
    was_frozen: bool,
    /// Since when the registry could not be read.
    without_registry: Option<Millis>,
    /// Since when less than half of the daemons were heard.
    without_fleet: Option<Millis>,
}

impl Observation {
    /// Records that the daemon runs. It is called after every call that a round waits for: one call
    /// ends within [`MAX_GAP`], a round with several need not.
    pub fn wake(&mut self, now: Millis) {
        self.was_frozen |= self.awake.is_some_and(|awake| now - awake >= MAX_GAP);
        self.awake = Some(now);
    }

    /// Records what the daemon sees; returns why it has to observe anew, if it has to.
    ///
    /// While a break lasts, each call returns its cause, so that nothing is kept of the time in it.
    pub fn record(&mut self, now: Millis, sight: Sight) -> Option<Cause> {
        self.wake(now);
        self.without_registry = since(self.without_registry, now, sight.has_registry);
        self.without_fleet = since(self.without_fleet, now, sight.has_fleet);
        let is_long = |since: Option<Millis>| since.is_some_and(|since| now - since >= MAX_GAP);
        if std::mem::take(&mut self.was_frozen) {
            Some(Cause::Frozen)
        } else if is_long(self.without_registry) {
            Some(Cause::Registry)
        } else if is_long(self.without_fleet) {
            Some(Cause::Isolated)
        } else {
            None
        }
    }
}

/// Returns since when something is missing.
fn since(before: Option<Millis>, now: Millis, is_there: bool) -> Option<Millis> {
    if is_there {
        return None;
    }
    before.or(Some(now))
}
