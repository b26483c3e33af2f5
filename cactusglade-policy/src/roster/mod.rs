//! Which daemons there are, which are heard, and what they have told since.
//!
//! Daemons of one zone hear each other. One of them, the one with the least address, speaks for the
//! zone to the others and passes on what it hears from them, so that links between zones carry one
//! conversation whatever the number of daemons. See `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_core::row::Lease;
use cactusglade_core::units::Millis;

/// Time without word after which a daemon counts as cut off, where words come often; until then
/// both sides of a cut spend the whole of each quota.
const SILENT: Millis = Millis(500);
/// Time beyond that for a zone's word, which passes two daemons on its way.
const PASSING: Millis = Millis(200);
/// Words that may be lost before a daemon counts as cut off, where they come rarely.
const LOST: u64 = 4;
/// Time without word after which a daemon is taken as gone for good; a cut lasts some ten seconds.
const FORGOTTEN: Millis = Millis(20_000);
/// Words after which a daemon is not taken to have just started.
const YOUNG: u64 = 20;
/// Time for which a daemon that could not reach the store leaves the ledger of its zone to others;
/// outages for single daemons last some ten seconds.
const CUT: Millis = Millis(15_000);
/// Daemons of a zone that are tried while none is known to speak for it.
const TRIED: usize = 2;

/// `Totals` since the start of a daemon, by the number that stands for a name.
pub type Totals = BTreeMap<u32, u64>;

/// `Word` is what a daemon has told of itself, or of its zone.
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
    /// The lease on the duties, where it is held there.
    pub lease: Option<Lease>,
    /// Whether the daemon could not reach the store lately.
    pub is_cut: bool,
}

/// `Zone` is what a zone has told of itself.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Daemon that speaks for it.
    pub relay: SocketAddr,
    /// Daemons in it.
    pub daemons: u64,
    /// Those of them that hear each other.
    pub heard: u64,
    /// The totals of all of them.
    pub word: Word,
    at: Millis,
}

/// `Since` is what was added to totals since the word before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Since {
    /// Units that each organisation was let use.
    pub spent: Totals,
    /// Work that each service was sent.
    pub work: Totals,
}

#[derive(Debug)]
struct Peer {
    heard: Option<Millis>,
    /// When it was first known of.
    known: Millis,
    word: Word,
}

/// `Roster` holds what is known of the other daemons.
#[derive(Debug)]
pub struct Roster {
    zone: String,
    own: SocketAddr,
    /// Which start of this daemon it is.
    incarnation: u64,
    /// When this daemon last could not reach the store, unless it has since.
    cut: Option<Millis>,
    /// Time between two words.
    pause: Millis,
    /// Daemons of the own zone, and those whose zone is not known.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Zones of daemons that are known.
    places: BTreeMap<SocketAddr, String>,
    zones: BTreeMap<String, Zone>,
    /// What the neighbours have told since this daemon started.
    told: Since,
}

impl Roster {
    /// Starts with nobody known.
    #[must_use]
    pub fn new(zone: &str, own: SocketAddr, incarnation: u64, pause: Millis) -> Self {
        Self {
            zone: zone.to_owned(),
            own,
            incarnation,
            cut: None,
            pause,
            peers: BTreeMap::new(),
            places: BTreeMap::new(),
            zones: BTreeMap::new(),
            told: Since::default(),
        }
    }

    /// Sets the time between two words.
    pub const fn pace(&mut self, pause: Millis) {
        self.pause = pause;
    }

    /// Notes that there may be a daemon at an address, and in which zone if that is known.
    pub fn know(&mut self, now: Millis, address: SocketAddr, zone: Option<&str>) {
        if address == self.own {
            return;
        }
        if let Some(zone) = zone {
            self.places.insert(address, zone.to_owned());
        }
        if zone.is_some_and(|zone| zone != self.zone) {
            self.peers.remove(&address);
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            heard: None,
            known: now,
            word: Word::default(),
        });
    }

    /// Takes in the word of a daemon of the own zone, and gives back what is new in it.
    pub fn hear(&mut self, now: Millis, from: SocketAddr, word: Word) -> Since {
        let silent = self.silent();
        let Some(peer) = self.peers.get_mut(&from) else {
            return Since::default();
        };
        let was_heard = peer.heard.is_some_and(|heard| now - heard < silent);
        let Some(since) = since(&peer.word, &word, was_heard) else {
            return Since::default();
        };
        peer.word = word;
        peer.heard = Some(now);
        merge(&mut self.told.spent, &since.spent);
        merge(&mut self.told.work, &since.work);
        since
    }

    /// Takes in what another zone has told, and gives back what is new in it.
    pub fn hear_zone(&mut self, now: Millis, name: &str, told: Zone) -> Since {
        if name == self.zone {
            return Since::default();
        }
        let silent = self.silent_zone();
        let before = self.zones.get(name);
        let was_heard = before.is_some_and(|zone| now - zone.at < silent);
        let word = before.map(|zone| zone.word.clone()).unwrap_or_default();
        let Some(since) = since(&word, &told.word, was_heard) else {
            return Since::default();
        };
        self.places.insert(told.relay, name.to_owned());
        self.zones.insert(name.to_owned(), Zone { at: now, ..told });
        since
    }

    /// Forgets daemons and zones that were not heard for long.
    ///
    /// A daemon that hears less than half of the others is itself cut off and forgets nobody, so
    /// that it does not take all quotas for its own.
    pub fn expire(&mut self, now: Millis) {
        if self.heard(now) * 2 > self.count() {
            self.peers
                .retain(|_, peer| now - peer.heard.unwrap_or(peer.known) < FORGOTTEN);
            self.zones.retain(|_, zone| now - zone.at < FORGOTTEN);
        }
    }

    /// How many daemons there are, this one included; addresses that never answered don't count.
    #[must_use]
    pub fn count(&self) -> u64 {
        let peers = self.peers.values().filter(|peer| peer.heard.is_some());
        let zones = self.zones.values().map(|zone| zone.daemons);
        1 + peers.count() as u64 + zones.sum::<u64>()
    }

    /// How many of them this one hears, itself included.
    #[must_use]
    pub fn heard(&self, now: Millis) -> u64 {
        let silent = self.silent_zone();
        let zones = self.zones.values().filter(|zone| now - zone.at < silent);
        self.near(now) + zones.map(|zone| zone.heard).sum::<u64>()
    }

    /// How many daemons of the own zone this one hears, itself included.
    #[must_use]
    pub fn near(&self, now: Millis) -> u64 {
        1 + self.neighbours(now).count() as u64
    }

    /// Whether this daemon speaks for its zone.
    #[must_use]
    pub fn is_relay(&self, now: Millis) -> bool {
        self.speaker(now).is_none()
    }

    /// The daemon that speaks for this one's zone, where that is another.
    #[must_use]
    pub fn speaker(&self, now: Millis) -> Option<SocketAddr> {
        let least = self.neighbours(now).map(|(address, _)| *address).min();
        least.filter(|address| *address < self.own)
    }

    /// Whether this daemon stores what those of its zone have counted.
    ///
    /// It is one that reaches the store, and of those the one that has run longest, since it has
    /// heard what daemons that are gone have counted.
    #[must_use]
    pub fn is_keeper(&self, now: Millis) -> bool {
        let near = self.neighbours(now);
        let near = near.map(|(address, peer)| {
            let word = &peer.word;
            (word.is_cut, word.incarnation, *address)
        });
        let own = (self.is_cut(now), self.incarnation, self.own);
        near.min().is_none_or(|first| own < first)
    }

    /// Takes in whether this daemon could reach the store.
    pub fn reach(&mut self, now: Millis, is_cut: bool) {
        self.cut = is_cut.then_some(now);
    }

    /// Whether this daemon could not reach the store lately.
    #[must_use]
    pub fn is_cut(&self, now: Millis) -> bool {
        self.cut.is_some_and(|at| now - at < CUT)
    }

    /// The lease on the duties as another daemon that is heard holds it.
    #[must_use]
    pub fn lease(&self, now: Millis) -> Option<&Lease> {
        let silent = self.silent_zone();
        let near = self.neighbours(now).map(|(_, peer)| &peer.word);
        let far = self.zones.values().filter(|zone| now - zone.at < silent);
        let words = near.chain(far.map(|zone| &zone.word));
        words
            .filter_map(|word| word.lease.as_ref())
            .max_by_key(|lease| (lease.epoch, lease.renewal))
    }

    /// What this daemon's zone tells the others, from what this daemon has spent and worked.
    #[must_use]
    pub fn summary(&self, now: Millis, own: &Since, lease: Option<Lease>) -> (u64, u64, Word) {
        let mut told = self.told.clone();
        merge(&mut told.spent, &own.spent);
        merge(&mut told.work, &own.work);
        let near = self.neighbours(now);
        let near = near.filter_map(|(_, peer)| peer.word.lease.clone());
        let lease = near
            .chain(lease)
            .max_by_key(|lease| (lease.epoch, lease.renewal));
        let known = self.peers.values().filter(|peer| peer.heard.is_some());
        let word = Word {
            spent: told.spent,
            work: told.work,
            lease,
            ..Word::default()
        };
        (1 + known.count() as u64, self.near(now), word)
    }

    /// Work of all daemons since this one started, but for its own.
    #[must_use]
    pub const fn work(&self) -> &Totals {
        &self.told.work
    }

    /// What the other zones have told, for the neighbours.
    pub fn zones(&self, now: Millis) -> impl Iterator<Item = (&String, &Zone)> {
        let silent = self.silent_zone();
        self.zones
            .iter()
            .filter(move |(_, zone)| now - zone.at < silent)
    }

    /// Addresses of the own zone, and those whose zone is not known.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Addresses of the own zone that are heard.
    pub fn neighbourhood(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        self.neighbours(now).map(|(address, _)| *address)
    }

    /// Daemons of other zones to tell of this one: those that speak for their zones, or some of a
    /// zone for which nobody does.
    #[must_use]
    pub fn relays(&self, now: Millis) -> Vec<SocketAddr> {
        let mut relays = Vec::new();
        let mut tried: BTreeMap<&String, usize> = BTreeMap::new();
        let silent = self.silent_zone();
        for (address, zone) in self.places.iter().filter(|(_, zone)| **zone != self.zone) {
            match self.zones.get(zone).filter(|zone| now - zone.at < silent) {
                Some(zone) if zone.relay != *address => {}
                Some(_) => relays.push(*address),
                None => {
                    let count = tried.entry(zone).or_default();
                    if *count < TRIED {
                        *count += 1;
                        relays.push(*address);
                    }
                }
            }
        }
        relays
    }

    /// Known daemons with their zones.
    pub fn places(&self) -> impl Iterator<Item = (&SocketAddr, &String)> {
        self.places.iter()
    }

    fn neighbours(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let silent = self.silent();
        let heard = move |peer: &Peer| peer.heard.is_some_and(|heard| now - heard < silent);
        self.peers.iter().filter(move |(_, peer)| heard(peer))
    }

    fn silent(&self) -> Millis {
        SILENT.max(Millis(self.pause.0 * LOST))
    }

    fn silent_zone(&self) -> Millis {
        self.silent() + PASSING
    }
}

impl Zone {
    /// What a zone has told, before it is heard.
    #[must_use]
    pub const fn new(relay: SocketAddr, daemons: u64, heard: u64, word: Word) -> Self {
        Self {
            relay,
            daemons,
            heard,
            word,
            at: Millis(0),
        }
    }
}

/// What a word adds to the one before it, nothing where it is not newer.
///
/// What was spent behind a cut was spent from the share of those behind it.
fn since(before: &Word, after: &Word, was_heard: bool) -> Option<Since> {
    let is_same = after.incarnation == before.incarnation;
    if is_same && after.number <= before.number {
        return None;
    }
    if is_same && was_heard {
        return Some(Since {
            spent: difference(&before.spent, &after.spent),
            work: difference(&before.work, &after.work),
        });
    }
    if !is_same && after.number < YOUNG {
        return Some(Since {
            spent: after.spent.clone(),
            work: after.work.clone(),
        });
    }
    Some(Since::default())
}

fn merge(sum: &mut Totals, totals: &Totals) {
    for (name, total) in totals {
        *sum.entry(*name).or_default() += total;
    }
}

fn difference(before: &Totals, after: &Totals) -> Totals {
    let since = after.iter().map(|(name, total)| {
        let before = before.get(name).copied().unwrap_or_default();
        (*name, total.saturating_sub(before))
    });
    since.filter(|(_, count)| *count > 0).collect()
}
