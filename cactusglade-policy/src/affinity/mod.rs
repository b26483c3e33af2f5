//! Which upstreams have probably cached the head of a prompt.
//!
//! Two sources: the daemon's own sends, and rendezvous hashing of the session, by which daemons
//! that do not talk to each other send a session's requests to the same upstream.

use std::collections::BTreeMap;

use cactusglade_core::call::Part;
use cactusglade_core::units::Millis;

/// Parts that are remembered of one upstream; a few hundred sessions are spread over all of them.
const MAX_PARTS: usize = 256;
/// Time for which an unused part is taken as cached; engines forget the least recently used, and
/// reading again is priced only within ten seconds.
const KEEP: Millis = Millis(30_000);

/// `Cache` holds the prompt parts that one upstream was lately sent.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    used: BTreeMap<u64, Millis>,
}

impl Cache {
    /// Notes that the upstream has read these parts.
    pub fn insert(&mut self, now: Millis, parts: &[Part]) {
        for part in parts {
            self.used.insert(part.id, now);
        }
        if self.used.len() > MAX_PARTS {
            let mut times = self.used.values().copied().collect::<Vec<_>>();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.used.retain(|_, used| *used >= median);
        }
    }

    /// Tokens at the head of the prompt that the upstream has probably cached.
    #[must_use]
    pub fn cached(&self, now: Millis, parts: &[Part]) -> u64 {
        let known = |part: &&Part| {
            let used = self.used.get(&part.id);
            used.is_some_and(|used| now - *used < KEEP)
        };
        parts.iter().take_while(known).map(|part| part.tokens).sum()
    }
}

/// Weight of an upstream for a session: the greatest one is the session's own upstream.
#[must_use]
pub const fn weight(session: u64, upstream: u64) -> u64 {
    mix(session ^ mix(upstream))
}

/// Number that stands for a name in [`weight`].
#[must_use]
pub fn name(name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = name.bytes();
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Short number that stands for a name in what daemons tell each other.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn number(text: &str) -> u32 {
    mix(name(text)) as u32
}

/// Spreads a number over all bits, as the finaliser of the `SplitMix64` generator does.
const fn mix(number: u64) -> u64 {
    const FIRST: u64 = 0xbf58_476d_1ce4_e5b9;
    const SECOND: u64 = 0x94d0_49bb_1331_11eb;
    let number = (number ^ (number >> 30)).wrapping_mul(FIRST);
    let number = (number ^ (number >> 27)).wrapping_mul(SECOND);
    number ^ (number >> 31)
}
