//! `cactusglade demo`: runs stand-ins and three daemons in one process for about a minute, with a
//! rollout, a zone reclaim and a planned stop under load, and checks the invariants.

mod fleet;
mod load;
pub mod objects;
mod verdict;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cactusglade_core::units::Generation;
use cactusglade_daemon::boot::Daemon;
use cactusglade_link::clock;
use cactusglade_wire::platform::Notice;
use tokio::sync::watch;

use crate::publish;
use fleet::Fleet;
use load::Load;
use objects::Rollout;
use verdict::Verdict;

/// Error of the demonstration: it did not run, or an invariant did not hold.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Error(pub String);

/// Result of a step of the demonstration.
pub type Result<T> = std::result::Result<T, Error>;

const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(4);
const ROLLOUT_DURATION_MS: u64 = 25_000;
const RECLAIM_NOTICE: Duration = Duration::from_secs(3);
/// Time for which the load continues after a zone has been reclaimed.
const POST_RECLAIM_WAIT: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn failed(error: &impl ToString) -> Error {
    Error(error.to_string())
}

/// Runs the demonstration and returns its report.
///
/// # Errors
///
/// Returns the report as an error when an invariant did not hold; fails when a step of the
/// demonstration can't be run.
pub async fn run(seed: u64, logs: bool) -> Result<String> {
    let mut demo = Demo::try_new(seed, logs).await?;
    demo.publish(None).await?;
    let load = Load::start(&demo.addresses.subscribe(), seed);
    tokio::time::sleep(WARM_UP).await;
    demo.roll_out_version().await?;
    demo.reclaim_zone("c").await?;
    demo.replace_daemon().await?;
    let tally = load.stop().await;
    demo.finish(tally).await
}

struct Demo {
    fleet: Fleet,
    addresses: watch::Sender<Vec<SocketAddr>>,
    verdict: Verdict,
    started: Instant,
}

impl Demo {
    async fn try_new(seed: u64, logs: bool) -> Result<Self> {
        let started = Instant::now();
        let fleet = Fleet::try_new(logs).await?;
        let addresses = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
        let verdict = Verdict::new(seed);
        Ok(Self {
            fleet,
            addresses: watch::Sender::new(addresses),
            verdict,
            started,
        })
    }

    fn log_event(&mut self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.verdict.log_event(format!("{seconds:5.1} s  {text}"));
    }

    /// Publishes the object set and waits until it is in force on every daemon.
    async fn publish(&mut self, rollout: Option<Rollout>) -> Result<()> {
        let sources = objects::sources(&self.fleet.upstreams(), rollout);
        let document =
            crate::objects::check(&sources).map_err(|problems| Error(format!("{problems:?}")))?;
        let request = publish::Request {
            document,
            author: "demo".to_owned(),
            expect: None,
        };
        let published = publish::publish(&self.fleet.client(), &request).await;
        let generation = published.map_err(|error| failed(&error))?;
        let published_at = Instant::now();
        let in_force = self.wait_for(generation).await;
        let took = published_at.elapsed().as_secs_f64();
        let (number, count) = (generation.0, self.fleet.daemons.len());
        self.log_event(&format!(
            "generation {number} in force on {count} daemons after {took:.2} s"
        ));
        self.verdict.check(
            in_force,
            "a published generation is in force everywhere within 4 s",
        );
        Ok(())
    }

    async fn wait_for(&self, generation: Generation) -> bool {
        let all = async {
            for daemon in &self.fleet.daemons {
                let mut sets = daemon.sets.clone();
                // The daemons run during this wait, so the channel stays open.
                let _ = sets.wait_for(|set| set.generation >= generation).await;
            }
        };
        tokio::time::timeout(PROPAGATION_TIMEOUT, all).await.is_ok()
    }

    /// Rolls the chat model out to its new version and waits for the outcome.
    async fn roll_out_version(&mut self) -> Result<()> {
        let deadline = clock::unix_time().0 + ROLLOUT_DURATION_MS;
        let rollout = Rollout {
            deadline_unix_ms: deadline,
            step_ms: 2_000,
            evidence: 10,
        };
        self.publish(Some(rollout)).await?;
        let key = format!("move/chat-v2/{deadline}");
        let platform = self.fleet.client();
        let mut status = "missing".to_owned();
        while clock::unix_time().0 < deadline {
            let row = platform.row::<serde_json::Value>(&key).await;
            if let Ok(Some(row)) = row {
                row["status"]
                    .as_str()
                    .unwrap_or_default()
                    .clone_into(&mut status);
                if status != "moving" {
                    break;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.log_event(&format!("rollout of chat-v2, replacing chat-v1: {status}"));
        self.verdict.check(
            status == "done",
            "a rollout of a good version is done by its deadline",
        );
        Ok(())
    }

    /// Reclaims all upstreams of a zone, announced [`RECLAIM_NOTICE`] before.
    async fn reclaim_zone(&mut self, zone: &str) -> Result<()> {
        let gone_unix_ms =
            clock::unix_time().0 + u64::try_from(RECLAIM_NOTICE.as_millis()).unwrap_or(u64::MAX);
        let (leaving, staying) = std::mem::take(&mut self.fleet.instances)
            .into_iter()
            .partition::<Vec<_>, _>(|instance| instance.object.zone == zone);
        self.fleet.instances = staying;
        for instance in &leaving {
            let notice = Notice {
                host: instance.object.name.clone(),
                gone_unix_ms,
            };
            fleet::control(self.fleet.platform.address, "notice", &notice).await?;
        }
        self.log_event(&format!(
            "zone {zone}: {} upstreams are being reclaimed with {} s of notice",
            leaving.len(),
            RECLAIM_NOTICE.as_secs()
        ));
        tokio::time::sleep(RECLAIM_NOTICE).await;
        for instance in leaving {
            instance.standin.stop();
        }
        self.log_event(&format!("zone {zone}: its upstreams have stopped"));
        tokio::time::sleep(POST_RECLAIM_WAIT).await;
        Ok(())
    }

    /// Stops one daemon under load, as in a planned replacement.
    async fn replace_daemon(&mut self) -> Result<()> {
        let Some(daemon) = self.fleet.daemons.pop() else {
            return Ok(());
        };
        // Acts as the balancer, which sends no more requests to a daemon that is not ready.
        let remaining = self
            .fleet
            .daemons
            .iter()
            .map(|daemon| daemon.callers)
            .collect();
        self.addresses.send_replace(remaining);
        tokio::time::sleep(POLL_INTERVAL).await;
        self.verdict.add_counters(&daemon);
        let drained = daemon.stop().await;
        self.log_event("one daemon was stopped under load");
        self.verdict
            .check(drained, "a planned stop lets every request finish");
        Ok(())
    }

    async fn finish(mut self, tally: load::Tally) -> Result<String> {
        let mut runs = Vec::new();
        for instance in self
            .fleet
            .instances
            .iter()
            .filter(|instance| !instance.object.engine)
        {
            let address = instance.standin.address;
            runs.extend(fleet::read::<Vec<_>>(address, "journal").await?);
        }
        for daemon in &self.fleet.daemons {
            self.verdict.add_counters(daemon);
        }
        for daemon in std::mem::take(&mut self.fleet.daemons) {
            let drained = Daemon::stop(daemon).await;
            self.verdict
                .check(drained, "a planned stop lets every request finish");
        }
        self.log_event("all daemons were stopped");
        self.verdict.check_answers(&tally, &runs);
        self.verdict.report()
    }
}
