//! Control-plane cost of an idle daemon and propagation time of a generation, by fleet size.
//!
//! Run with `cargo build --release && cargo bench -p cactusglade-cli --bench fleet`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use support::Fleet;
use support::Plan;
use support::output_text;
use support::wait_until;

const SIZES: [usize; 4] = [5, 10, 20, 40];
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const MEASURE_DURATION: Duration = Duration::from_secs(10);
const WARM_UP: Duration = Duration::from_secs(5);
const PUBLISHES: usize = 5;
const SETTINGS: &str = "poll_ms = 1000\ngossip_ms = 500\n";

/// Resources that a fleet has used since its start: CPU seconds and gossip bytes of all daemons,
/// and reads of the platform.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu: f64,
    bytes: f64,
    reads: f64,
}

async fn usage(fleet: &Fleet) -> Usage {
    let mut sum = Usage::default();
    for daemon in &fleet.daemons {
        sum.cpu += daemon.process.cpu_seconds();
        sum.bytes += daemon.metric("cactusglade_gossip_bytes_total").await;
    }
    let totals: Value = fleet.platform.read("totals").await;
    sum.reads = totals["reads"].as_f64().unwrap_or(0.0);
    sum
}

fn resident_mib(id: u32) -> f64 {
    const KIB_PER_MIB: f64 = 1_024.0;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .expect("the status has a VmRSS line");
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse::<f64>().ok());
    kib.expect("VmRSS is a number") / KIB_PER_MIB
}

/// Publishes, and returns the time from the end of the publish until the generation is in force on
/// the last daemon.
async fn time_to_in_force(fleet: &Fleet, generation: u64) -> Duration {
    let output = fleet.try_publish(None, &[]);
    assert!(output.status.success(), "{}", output_text(&output));
    let started = Instant::now();
    for daemon in &fleet.daemons {
        wait_until("the generation is in force", || async {
            daemon.status().await["generation"].as_u64() >= Some(generation)
        })
        .await;
    }
    started.elapsed()
}

#[tokio::main]
#[allow(clippy::cast_precision_loss)]
async fn main() {
    println!("daemons | CPU % of a core | RSS MiB | rows B/s in and pushed | reads/s | in force s");
    for size in SIZES {
        let daemons = (0..size).map(|number| ZONES[number % ZONES.len()]);
        let daemons = daemons.collect::<Vec<_>>();
        let fleet = Fleet::start(&Plan {
            daemons: &daemons,
            engines: &["a"],
            services: &["a"],
            settings: SETTINGS,
            ..Plan::default()
        });
        fleet.publish(None).await;
        tokio::time::sleep(WARM_UP).await;
        let before = usage(&fleet).await;
        tokio::time::sleep(MEASURE_DURATION).await;
        let after = usage(&fleet).await;
        let each = |amount: f64| amount / size as f64 / MEASURE_DURATION.as_secs_f64();
        let memory = fleet
            .daemons
            .iter()
            .map(|daemon| resident_mib(daemon.process.id()));
        let memory = memory.fold(0.0, f64::max);
        let mut slowest = Duration::ZERO;
        for number in 0..PUBLISHES {
            let generation = u64::try_from(number + 2).expect("the generation fits in 64 bits");
            slowest = slowest.max(time_to_in_force(&fleet, generation).await);
        }
        println!(
            "{size} | {:.2} | {memory:.1} | {:.0} | {:.1} | {:.2}",
            each(after.cpu - before.cpu) * 100.0,
            each(after.bytes - before.bytes),
            (after.reads - before.reads) / MEASURE_DURATION.as_secs_f64(),
            slowest.as_secs_f64(),
        );
    }
}
