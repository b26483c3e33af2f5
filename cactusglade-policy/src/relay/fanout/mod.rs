//! Decides which neighbours pass on what the relay of a large zone forwards, and to whom.
//!
//! The relay sends each datagram to a few forwarding neighbours, each with a list of neighbours to
//! which it sends the datagram. So the number of datagrams that the relay sends grows with the
//! square root of the size of the zone. See `docs/design/fanout.md`.

mod guard;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_core::units::Millis;

use crate::affinity;

pub use guard::Guard;

/// Number of daemons of a zone that reach each other up to which the relay sends to each itself.
pub const MAX_DIRECT_DAEMONS: u64 = 40;
/// Time after which the forwarding neighbours are chosen anew, which bounds how long a slow one
/// delays the datagrams of its list.
const CHOICE_PERIOD: Millis = Millis(2_000);
/// Number of heartbeat intervals within which a forwarding neighbour must have been heard of.
///
/// With the time of a heartbeat this is less than the time after which a zone without summaries
/// counts as unreachable, so that the end of a forwarding neighbour doesn't change quotas.
const MAX_SILENT_INTERVALS: u64 = 2;

/// Number of daemons to which a daemon states that it passes datagrams on: the relay and its
/// successor, which would else send everything itself at first.
const RELAYS_TOLD: usize = 2;
/// Time to wait for forwarded changes of the registry before the store is read instead.
const FORWARD_TIMEOUT: Millis = Millis(300);
/// Longest random time that is added in a large zone, where the end of a forwarding neighbour leaves
/// its whole list without the same changes.
const MAX_FORWARD_SPREAD: Millis = Millis(300);

/// Returns whether the relay of a zone with this number of reachable daemons uses a fan-out tree.
#[must_use]
pub const fn is_large(reachable: u64) -> bool {
    reachable > MAX_DIRECT_DAEMONS
}

/// Returns the neighbours to which a daemon states that it passes datagrams on, of all `neighbours`
/// in the order of their addresses.
pub fn relays(
    own: SocketAddr,
    neighbours: impl Iterator<Item = SocketAddr>,
) -> impl Iterator<Item = SocketAddr> {
    neighbours
        .take(RELAYS_TOLD)
        .filter(move |address| *address < own)
}

/// Returns the time for which a daemon that lacks changes of the registry waits for them before it
/// reads the store; `draw` from 0 to 1 is the random part.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub fn forward_timeout(is_zone_large: bool, draw: f64) -> Millis {
    if is_zone_large {
        let spread = MAX_FORWARD_SPREAD.0 as f64 * draw.clamp(0.0, 1.0);
        FORWARD_TIMEOUT + Millis(spread as u64)
    } else {
        FORWARD_TIMEOUT
    }
}

/// `Branch` is a forwarding neighbour with the neighbours to which it passes datagrams on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Branch {
    /// Address of the forwarding neighbour.
    pub forwarder: SocketAddr,
    /// Addresses of the others.
    pub list: Vec<SocketAddr>,
}

/// `Plan` states how a datagram reaches each neighbour exactly once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Forwarding neighbours.
    pub branches: Vec<Branch>,
    /// Neighbours to which the relay sends itself.
    pub direct: Vec<SocketAddr>,
}

impl Plan {
    /// Returns the number of neighbours to which forwarding neighbours pass datagrams on.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.branches.iter().map(|branch| branch.list.len()).sum()
    }
}

/// `Planner` keeps the plan of a relay until it must change.
#[derive(Debug, Default)]
pub struct Planner {
    /// When each daemon last stated that it passes datagrams on.
    ready: BTreeMap<SocketAddr, Millis>,
    /// Neighbours for which the plan was made.
    neighbours: Vec<SocketAddr>,
    plan: Plan,
    chosen: Option<Millis>,
}

impl Planner {
    /// Records that a daemon has stated that it passes datagrams on.
    pub fn record_ready(&mut self, now: Millis, from: SocketAddr) {
        self.ready.insert(from, now);
    }

    /// Returns the plan for the reachable neighbours; `interval` is the interval between
    /// heartbeats, `draw` random bits.
    ///
    /// The plan is made anew after [`CHOICE_PERIOD`], and at once where neighbours come or leave, a
    /// forwarding neighbour falls silent, or a neighbour states that it passes datagrams on: a new
    /// relay knows of none yet.
    pub fn plan(
        &mut self,
        now: Millis,
        interval: Millis,
        neighbours: &[SocketAddr],
        draw: u64,
    ) -> &Plan {
        let max_silence = Millis(interval.0 * MAX_SILENT_INTERVALS);
        self.ready.retain(|_, stated| now - *stated < max_silence);
        if !self.holds(now, neighbours) {
            self.neighbours = neighbours.to_vec();
            self.chosen = Some(now);
            self.plan = if is_large(1 + neighbours.len() as u64) {
                self.choose(draw)
            } else {
                Plan {
                    branches: Vec::new(),
                    direct: neighbours.to_vec(),
                }
            };
        }
        &self.plan
    }

    fn holds(&self, now: Millis, neighbours: &[SocketAddr]) -> bool {
        let is_ready = |address: &SocketAddr| self.ready.contains_key(address);
        let mut branches = self.plan.branches.iter();
        self.chosen
            .is_some_and(|chosen| now - chosen < CHOICE_PERIOD)
            && self.neighbours == neighbours
            && branches.all(|branch| is_ready(&branch.forwarder))
            && !self.plan.direct.iter().any(is_ready)
    }

    /// Chooses the forwarding neighbours among those that pass datagrams on, and divides the others
    /// of these into lists that differ in length by at most one.
    fn choose(&self, draw: u64) -> Plan {
        let neighbours = self.neighbours.iter().copied();
        let (ready, direct): (Vec<_>, Vec<_>) =
            neighbours.partition(|address| self.ready.contains_key(address));
        let mut ready = ready.into_iter().zip(0..).collect::<Vec<_>>();
        ready.sort_by_key(|(_, number)| affinity::weight(draw, *number));
        let mut ready = ready.into_iter().map(|(address, _)| address);
        let count = square_root(ready.len());
        let forwarders = ready.by_ref().take(count);
        let mut branches = forwarders
            .map(|forwarder| Branch {
                forwarder,
                list: Vec::new(),
            })
            .collect::<Vec<_>>();
        for (number, address) in ready.enumerate() {
            branches[number % count].list.push(address);
        }
        Plan { branches, direct }
    }
}

/// Returns the square root, rounded up.
const fn square_root(number: usize) -> usize {
    let root = number.isqrt();
    if root * root < number { root + 1 } else { root }
}
