//! Estimates which upstreams have the head of a prompt in their cache.
//!
//! There are two sources: the requests that this daemon has sent, and rendezvous hashing of the
//! session, by which daemons without communication send a session's requests to one upstream, or to
//! as many as it needs. See `docs/design/affinity.md`.

mod demand;
mod ranks;

use std::collections::BTreeMap;

use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;

pub use demand::Demand;
pub use ranks::Ranks;

/// Maximum number of parts remembered per upstream; a few hundred sessions share all upstreams.
const MAX_PARTS: usize = 256;
/// Time after its last use for which a part is assumed cached. Engines evict the least recently
/// used parts, and the platform charges for reading a part again only within ten seconds.
const CACHE_LIFETIME: Millis = Millis(30_000);

/// Probability that an upstream that has served for a while has the parts that sessions share.
const COMMON_SHARE: f64 = 0.95;

/// `Cache` holds the prompt parts that were recently sent to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    last_used: BTreeMap<u64, Millis>,
}

impl Cache {
    /// Records that the upstream has read these parts, and evicts the older half when full.
    pub fn insert(&mut self, now: Millis, parts: &[Part]) {
        for part in parts {
            self.last_used.insert(part.id, now);
        }
        if self.last_used.len() > MAX_PARTS {
            let mut times = self.last_used.values().copied().collect::<Vec<_>>();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.last_used.retain(|_, last_used| *last_used >= median);
        }
    }

    /// Returns the number of tokens at the head of the prompt that are probably cached.
    #[must_use]
    pub fn cached(&self, now: Millis, parts: &[Part]) -> u64 {
        let known = |part: &&Part| {
            let last_used = self.last_used.get(&part.id);
            last_used.is_some_and(|last_used| now - *last_used < CACHE_LIFETIME)
        };
        parts.iter().take_while(known).map(|part| part.tokens).sum()
    }
}

/// Returns the tokens of a prompt that an upstream is assumed to have cached.
///
/// `share` is the probability that it has the session's part. An upstream that `has_served` other
/// sessions for a while has the parts before it, which these share.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn assumed(prompt: &Prompt, share: f64, has_served: bool) -> f64 {
    let tokens = |parts: &[Part]| parts.iter().map(|part| part.tokens).sum::<u64>() as f64;
    let common = prompt
        .shared()
        .split_last()
        .map_or(&[][..], |(_, common)| common);
    let common_share = if has_served {
        share.max(COMMON_SHARE)
    } else {
        share
    };
    let common = tokens(common);
    common * common_share + (tokens(prompt.shared()) - common) * share
}

/// Returns the rendezvous weight of an upstream for a session.
///
/// The upstream with the greatest weight is the session's preferred one.
#[must_use]
pub const fn weight(session: u64, upstream: u64) -> u64 {
    mix(session ^ mix(upstream))
}

/// Returns the 64-bit FNV-1a hash of a name, as used by [`weight`].
#[must_use]
pub fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = text.bytes();
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Returns the 32-bit hash that identifies a name in messages between daemons.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn short_hash(text: &str) -> u32 {
    mix(hash(text)) as u32
}

/// Mixes the bits of a number, as the finaliser of the `SplitMix64` generator does.
const fn mix(number: u64) -> u64 {
    const FIRST: u64 = 0xbf58_476d_1ce4_e5b9;
    const SECOND: u64 = 0x94d0_49bb_1331_11eb;
    let number = (number ^ (number >> 30)).wrapping_mul(FIRST);
    let number = (number ^ (number >> 27)).wrapping_mul(SECOND);
    number ^ (number >> 31)
}
