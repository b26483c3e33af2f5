//! `cactusglade publish`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use cactusglade_core::units::Generation;
use cactusglade_daemon::link::Client;
use cactusglade_daemon::platform::Platform;
use gumdrop::Options;

use crate::commands::Error;
use crate::commands::Result;
use crate::commands::UNKNOWN;
use crate::commands::address::Address;
use crate::commands::failed;
use crate::commands::listed;
use crate::commands::status;
use crate::commands::usage;
use crate::objects;
use crate::publish;

const PLATFORM_WAIT: Duration = Duration::from_secs(2);
const LOOK_PAUSE: Duration = Duration::from_millis(200);

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
        help = "publish only on top of this generation",
        meta = "GEN"
    )]
    expect: Option<u64>,
    #[options(
        no_short,
        help = "who publishes, as a rival operator is told",
        meta = "NAME",
        default = "operator"
    )]
    author: String,
    #[options(
        no_short,
        help = "operators' address of any daemon: wait until it is in force everywhere",
        meta = "IP:PORT"
    )]
    wait: Option<Address>,
    #[options(no_short, help = "longest wait in seconds", meta = "S", default = "10")]
    wait_seconds: u64,
}

impl Publish {
    /// Checks, publishes and, where asked to, waits.
    ///
    /// # Errors
    ///
    /// Says every problem of the files, who won a race, or that nobody knows.
    pub async fn run(self) -> Result<String> {
        let document =
            objects::load(Path::new(&self.objects)).map_err(|problems| listed(&problems))?;
        let platform = Platform::new(Client::new(self.platform.0, PLATFORM_WAIT));
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
                let within = Duration::from_secs(self.wait_seconds);
                let waited = wait(daemon.0, generation, within).await?;
                Ok(format!("{text}\n{waited}"))
            }
        }
    }
}

/// Waits until every daemon that one knows of reports the generation, zone by zone.
async fn wait(daemon: SocketAddr, generation: Generation, within: Duration) -> Result<String> {
    let started = Instant::now();
    loop {
        let status = status::fetch(daemon).await.map_err(usage)?;
        let zones = zones(&status, generation);
        let done = !zones.is_empty() && zones.values().all(|(there, all)| there == all);
        if done || started.elapsed() > within {
            let lines = zones.iter().map(|(zone, (there, all))| {
                format!("zone {zone}: in force on {there} of {all} daemons")
            });
            let text = lines.collect::<Vec<_>>().join("\n");
            let seconds = started.elapsed().as_secs_f64();
            return if done {
                Ok(format!("{text}\nin force everywhere after {seconds:.1} s"))
            } else {
                Err(failed(format!(
                    "{text}\nnot everywhere after {seconds:.1} s"
                )))
            };
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

fn zones(status: &serde_json::Value, generation: Generation) -> BTreeMap<String, (u64, u64)> {
    let mut zones: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for daemon in status["daemons"].as_object().into_iter().flatten() {
        let zone = daemon.1["zone"].as_str().unwrap_or_default().to_owned();
        let there = daemon.1["generation"].as_u64() >= Some(generation.0);
        let counts = zones.entry(zone).or_default();
        counts.0 += u64::from(there);
        counts.1 += 1;
    }
    zones
}
