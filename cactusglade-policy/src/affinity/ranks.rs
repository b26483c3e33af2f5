//! Ranks upstreams for a session, so that daemons without communication agree on its upstreams.

use cactusglade_core::units::Millis;

use super::mix;
use super::weight;

/// Probability that the session's upstreams have its prompt, by rank. The second and the third have it
/// if the first was too loaded a short time ago.
const CACHED_SHARES: [f64; 3] = [0.95, 0.3, 0.1];
/// Time in milliseconds within which the sessions whose upstream is still there move to one that has
/// appeared, each at a moment of its own. Those that left are known for longer (30 s, less the time
/// of a start), so that no session moves back.
const MOVE_MS: f64 = 20_000.0;
/// Most upstreams of one session.
const MAX_COUNT: usize = 16;

/// `Ranks` keeps the first upstreams of a session by rendezvous weight.
///
/// A session whose upstream is still there moves to one that has just appeared, and has nothing
/// cached, at a time of its own. Sessions whose upstream has left have to be read again anyway, and
/// begin at the new one at once.
#[derive(Clone, Debug)]
pub struct Ranks<K> {
    session: u64,
    needed: usize,
    count: usize,
    /// First upstreams by weight.
    all: Vec<(u64, K)>,
    /// First upstreams by weight among those to which the session has moved.
    settled: Vec<(u64, K)>,
    /// Greatest weight of an upstream that has left.
    departed: u64,
}

impl<K: Copy + Ord> Ranks<K> {
    /// Creates the ranks of a session that needs so many upstreams.
    #[must_use]
    pub fn new(session: u64, needed: usize) -> Self {
        let count = needed.clamp(CACHED_SHARES.len(), MAX_COUNT);
        Self {
            session,
            needed,
            count,
            all: Vec::with_capacity(count + 1),
            settled: Vec::with_capacity(count + 1),
            departed: 0,
        }
    }

    /// Ranks one more upstream by the hash of its name and the time since it appeared, `None` if that
    /// was before this daemon started.
    pub fn insert(&mut self, key: K, hash: u64, age: Option<Millis>) {
        let entry = (weight(self.session, hash), key);
        insert(&mut self.all, self.count, entry);
        if age.is_none_or(|age| has_moved(entry.0, age)) {
            insert(&mut self.settled, self.count, entry);
        }
    }

    /// Notes an upstream that has left a short time ago.
    pub fn insert_departed(&mut self, hash: u64) {
        self.departed = self.departed.max(weight(self.session, hash));
    }

    /// Returns the upstreams in the order of their ranks.
    fn keys(&self) -> impl Iterator<Item = K> {
        let settled = self.settled.first().map(|(weight, _)| *weight);
        let has_home = settled.is_some_and(|weight| weight > self.departed);
        let ranked = if has_home { &self.settled } else { &self.all };
        ranked.iter().map(|(_, key)| *key)
    }

    /// Returns the rank of an upstream, from 1; `None` if it is not one of the session's.
    #[must_use]
    pub fn rank(&self, key: K) -> Option<u64> {
        let mut ranked = (1..).zip(self.keys());
        ranked.find_map(|(rank, one)| (one == key).then_some(rank))
    }

    /// Returns the session's upstream and the probability that it has the prompt.
    pub fn first(&self) -> impl Iterator<Item = (K, f64)> {
        self.keys().zip(CACHED_SHARES).take(1)
    }

    /// Returns the upstreams to compare, and the probability that each has the prompt.
    ///
    /// A session that needs several has its prompt in all of them. Two of these at random are
    /// compared: all daemons hear the same loads, and would choose the same one.
    #[must_use]
    pub fn compared(&self, draw: f64) -> Vec<(K, f64)> {
        let keys = self.keys();
        if self.needed <= 1 {
            return keys.zip(CACHED_SHARES).collect();
        }
        let keys = keys.collect::<Vec<_>>();
        let mut number = draw.to_bits();
        let mut pair = Vec::with_capacity(2);
        while pair.len() < keys.len().min(2) {
            number = weight(number, 2);
            // The modulus is the number of ranks, which fits.
            let index = usize::try_from(number % keys.len() as u64).unwrap_or_default();
            let entry = (keys[index], CACHED_SHARES[0]);
            if !pair.contains(&entry) {
                pair.push(entry);
            }
        }
        pair
    }
}

fn insert<K: Copy + Ord>(ranked: &mut Vec<(u64, K)>, count: usize, entry: (u64, K)) {
    if ranked.len() == count && ranked.last().is_some_and(|last| *last > entry) {
        return;
    }
    let position = ranked.partition_point(|other| *other > entry);
    ranked.insert(position, entry);
    ranked.truncate(count);
}

/// Returns whether a session has moved to an upstream that appeared some time ago.
#[allow(clippy::cast_precision_loss)]
fn has_moved(weight: u64, age: Millis) -> bool {
    let share = (mix(weight) >> 11) as f64 / (1u64 << 53) as f64;
    age.0 as f64 >= share * MOVE_MS
}
