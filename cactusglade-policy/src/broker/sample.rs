//! Samples the upstreams that are compared for one request.
//!
//! All daemons hear of the same loads, some tenths of a second late. If each compared all upstreams,
//! the least loaded one would get the requests of the whole fleet until the next report; among a
//! few at random, requests spread almost as evenly as with exact loads. It also bounds the cost of
//! the choice in a large fleet.

use crate::affinity;

/// Number of upstreams up to which all are compared. The few daemons before them see most of what
/// happens there themselves.
const MAX_COMPARED: usize = 16;
/// Number of upstreams that are drawn at random where there are more.
const SAMPLE_SIZE: usize = 4;

/// Returns distinct indices below `count`: those of the session's upstreams, and some at random.
///
/// `draw` is a random number from 0 to 1.
pub fn indices(count: usize, ranked: Vec<usize>, draw: f64) -> Vec<usize> {
    if count <= MAX_COMPARED {
        return (0..count).collect();
    }
    let compared = ranked.len() + SAMPLE_SIZE;
    let mut indices = ranked;
    let mut number = draw.to_bits();
    while indices.len() < compared {
        number = affinity::weight(number, 1);
        // The modulus is below `count`, which fits.
        let index = usize::try_from(number % count as u64).unwrap_or_default();
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices
}
