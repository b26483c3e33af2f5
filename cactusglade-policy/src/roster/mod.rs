//! Which daemons there are, which are heard, and what each has told of itself since.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_core::row::Lease;
use cactusglade_core::units::Millis;

/// Time without word after which a daemon counts as cut off.
const SILENT: Millis = Millis(1_000);
/// Time without word after which a daemon is taken as gone for good; a cut lasts some ten seconds.
const FORGOTTEN: Millis = Millis(20_000);
/// Datagrams after which a daemon is not taken to have just started.
const YOUNG: u64 = 15;

/// `Totals` since the start of a daemon, by name.
pub type Totals = BTreeMap<String, u64>;

/// `Word` is what one daemon has told.
#[derive(Clone, Debug, Default)]
pub struct Word {
    /// Which start of the daemon it is from.
    pub incarnation: u64,
    /// Number of the word.
    pub number: u64,
    /// Units that each organisation was let use.
    pub spent: Totals,
    /// Work that each service was sent, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties, where it holds it.
    pub lease: Option<Lease>,
}

#[derive(Debug)]
struct Peer {
    heard: Option<Millis>,
    /// When it was first known of.
    known: Millis,
    word: Word,
}

/// `Roster` holds what is known of the other daemons.
#[derive(Debug, Default)]
pub struct Roster {
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Roster {
    /// Notes that there may be a daemon at an address.
    pub fn know(&mut self, now: Millis, address: SocketAddr) {
        self.peers.entry(address).or_insert_with(|| Peer {
            heard: None,
            known: now,
            word: Word::default(),
        });
    }

    /// Takes in a word and gives back what was spent and worked since the one before it.
    pub fn hear(&mut self, now: Millis, from: SocketAddr, word: Word) -> (Totals, Totals) {
        self.know(now, from);
        let Some(peer) = self.peers.get_mut(&from) else {
            return (Totals::new(), Totals::new());
        };
        let is_same = word.incarnation == peer.word.incarnation;
        if word.incarnation < peer.word.incarnation || (is_same && word.number <= peer.word.number)
        {
            return (Totals::new(), Totals::new());
        }
        let was_heard = peer.heard.is_some_and(|heard| now - heard < SILENT);
        // What was spent behind a cut was spent from the share of those behind it.
        let since = if is_same && was_heard {
            (
                difference(&peer.word.spent, &word.spent),
                difference(&peer.word.work, &word.work),
            )
        } else if !is_same && word.number < YOUNG {
            (word.spent.clone(), word.work.clone())
        } else {
            (Totals::new(), Totals::new())
        };
        peer.word = word;
        peer.heard = Some(now);
        since
    }

    /// Forgets daemons that were not heard for long.
    ///
    /// A daemon that hears less than half of the others is itself cut off and forgets nobody, so
    /// that it does not take all quotas for its own.
    pub fn expire(&mut self, now: Millis) {
        if self.heard(now) * 2 > self.count() {
            self.peers
                .retain(|_, peer| now - peer.heard.unwrap_or(peer.known) < FORGOTTEN);
        }
    }

    /// How many daemons there are, this one included; addresses that never answered don't count.
    #[must_use]
    pub fn count(&self) -> u64 {
        let others = self.peers.values().filter(|peer| peer.heard.is_some());
        others.count() as u64 + 1
    }

    /// How many of them are in touch with this one, itself included.
    #[must_use]
    pub fn heard(&self, now: Millis) -> u64 {
        let heard = |peer: &&Peer| peer.heard.is_some_and(|heard| now - heard < SILENT);
        self.peers.values().filter(heard).count() as u64 + 1
    }

    /// The lease on the duties as another daemon that is heard holds it.
    #[must_use]
    pub fn lease(&self, now: Millis) -> Option<&Lease> {
        let heard = |peer: &&Peer| peer.heard.is_some_and(|heard| now - heard < SILENT);
        let leases = self.peers.values().filter(heard);
        let leases = leases.filter_map(|peer| peer.word.lease.as_ref());
        leases.max_by_key(|lease| lease.epoch)
    }

    /// Addresses of all daemons that are not forgotten.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Addresses of daemons that were heard.
    pub fn proven(&self) -> impl Iterator<Item = SocketAddr> {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard.is_some());
        heard.map(|(address, _)| *address)
    }
}

fn difference(before: &Totals, after: &Totals) -> Totals {
    let since = after.iter().map(|(name, total)| {
        let before = before.get(name).copied().unwrap_or_default();
        (name.clone(), total.saturating_sub(before))
    });
    since.filter(|(_, count)| *count > 0).collect()
}
