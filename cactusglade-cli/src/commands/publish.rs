//! The subcommand `cactusglade publish`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use cactusglade_core::units::Generation;
use cactusglade_daemon::platform::Platform;
use cactusglade_link::link::Client;
use cactusglade_wire::platform::Host;
use gumdrop::Options;
use serde_json::Value;

use crate::commands::Error;
use crate::commands::Result;
use crate::commands::UNKNOWN;
use crate::commands::address::Address;
use crate::commands::failed;
use crate::commands::invalid_objects;
use crate::commands::status;
use crate::commands::usage;
use crate::objects;
use crate::publish;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Checks and publishes object files as the next generation.
///
/// Example: cactusglade publish objects/ --platform 127.0.0.1:7000 --wait 127.0.0.1:7102
#[derive(Debug, Options)]
pub struct Publish {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder of object files, or one file")]
    objects: String,
    #[options(no_short, required, help = "address of the platform", meta = "IP:PORT")]
    platform: Address,
    #[options(
        no_short,
        help = "publish only if this generation is current",
        meta = "GEN"
    )]
    expect: Option<u64>,
    #[options(
        no_short,
        help = "name of the operator, shown to others who publish at the same time",
        meta = "NAME",
        default = "operator"
    )]
    author: String,
    #[options(
        no_short,
        help = "operators' address of any daemon: wait until the generation is in force everywhere",
        meta = "IP:PORT"
    )]
    wait: Option<Address>,
    #[options(no_short, help = "maximum wait in seconds", meta = "S", default = "10")]
    wait_seconds: u64,
}

impl Publish {
    /// Checks and publishes the object files and, with `--wait`, waits until they are in force.
    ///
    /// # Errors
    ///
    /// Fails with every problem of the files, with the generation and author that won a concurrent
    /// publish, with a platform error, with an unknown outcome, or when the wait times out.
    pub async fn run(self) -> Result<String> {
        let document = objects::load(Path::new(&self.objects))
            .map_err(|problems| invalid_objects(&problems))?;
        let platform = Platform::new(Client::new(self.platform.0, PLATFORM_TIMEOUT));
        let request = publish::Request {
            document,
            author: self.author,
            expect: self.expect.map(Generation),
        };
        let published = publish::publish(&platform, &request).await;
        let generation = published.map_err(|error| match error {
            publish::Error::Unknown(_) => Error {
                message: error.to_string(),
                code: UNKNOWN,
            },
            _ => failed(error.to_string()),
        })?;
        let text = format!("published generation {}", generation.0);
        match self.wait {
            None => Ok(text),
            Some(daemon) => {
                let timeout = Duration::from_secs(self.wait_seconds);
                let waited = wait(&platform, daemon.0, generation, timeout).await?;
                Ok(format!("{text}\n{waited}"))
            }
        }
    }
}

/// Waits until every live or listed daemon reports the generation, and summarises by zone.
async fn wait(
    platform: &Platform,
    daemon: SocketAddr,
    generation: Generation,
    timeout: Duration,
) -> Result<String> {
    // The platform's host list may be stale or unavailable; without it, only the daemons that the
    // queried daemon knows are awaited.
    let hosts = platform.hosts().await.unwrap_or_default();
    let started = Instant::now();
    loop {
        let status = status::fetch(daemon).await.map_err(usage)?;
        let zones = count_by_zone(&status, &hosts, generation);
        let is_complete =
            !zones.is_empty() && zones.values().all(|zone| zone.in_force == zone.total);
        if is_complete || started.elapsed() > timeout {
            let lines = zones.iter().map(|(name, zone)| {
                format!(
                    "zone {name}: in force on {} of {} daemons",
                    zone.in_force, zone.total
                )
            });
            let text = lines.collect::<Vec<_>>().join("\n");
            let seconds = started.elapsed().as_secs_f64();
            return if is_complete {
                Ok(format!("{text}\nin force everywhere after {seconds:.1} s"))
            } else {
                Err(failed(format!(
                    "{text}\nnot in force everywhere after {seconds:.1} s"
                )))
            };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    in_force: u64,
    total: u64,
}

fn count_by_zone(status: &Value, hosts: &[Host], generation: Generation) -> BTreeMap<String, Zone> {
    let alive = status["alive"].as_array().into_iter().flatten();
    let alive = alive.filter_map(Value::as_str).collect::<Vec<_>>();
    let listed = hosts
        .iter()
        .filter(|host| host.peers.is_some() && !host.leaving);
    let mut names = listed
        .map(|host| (host.name.clone(), host.zone.clone()))
        .collect::<BTreeMap<_, _>>();
    let mut updated = Vec::new();
    for (name, daemon) in status["daemons"].as_object().into_iter().flatten() {
        if alive.contains(&name.as_str()) {
            let zone = daemon["zone"].as_str().unwrap_or_default();
            names.insert(name.clone(), zone.to_owned());
            if daemon["generation"].as_u64() >= Some(generation.0) {
                updated.push(name.clone());
            }
        }
    }
    let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
    for (name, zone) in names {
        let zone = zones.entry(zone).or_default();
        zone.in_force += u64::from(updated.contains(&name));
        zone.total += 1;
    }
    zones
}
