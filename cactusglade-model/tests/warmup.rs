//! Guards against fleets that together send a cold upstream more than it tolerates, because daemons
//! are cut off, suspended or restarted and disagree on who may send.

use cactusglade_model::warmup;

/// Number of seeds that are played unless [`SEEDS_VARIABLE`] states another one.
const SEEDS: u64 = 40;
/// Environment variable with the number of seeds; the full number is 4,000.
const SEEDS_VARIABLE: &str = "CACTUSGLADE_WARMUP_SEEDS";

/// Daemons each sent a share that others had taken over, and the upstream crashed.
#[test]
fn no_second_exceeds_what_a_cold_upstream_tolerates() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.map_or(SEEDS, |text| text.parse().expect("it is a number"));
    let mut failed = Vec::new();
    let (mut sent, mut largest) = (0, 0);
    for seed in 0..seeds {
        let summary = warmup::play(seed).expect("the catalog is valid");
        #[allow(clippy::cast_precision_loss)]
        if summary.most as f64 > summary.tolerated {
            println!("seed {seed}: {summary:?}");
            failed.push(seed);
        }
        sent += summary.sent;
        largest = largest.max(summary.daemons);
    }
    println!("{seeds} seeds, up to {largest} daemons, {sent} requests");
    assert!(failed.is_empty(), "{} seeds: {failed:?}", failed.len());
    assert!(sent as u64 >= seeds * 20, "{sent} requests");
}
