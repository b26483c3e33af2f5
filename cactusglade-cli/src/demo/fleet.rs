//! The stand-ins and daemons of the demonstration, in one process on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use cactusglade_core::settings::Settings;
use cactusglade_daemon::boot::Daemon;
use cactusglade_daemon::log;
use cactusglade_daemon::platform::Platform;
use cactusglade_link::link::Client;
use cactusglade_standin::engine;
use cactusglade_standin::platform;
use cactusglade_standin::server::Standin;
use cactusglade_standin::service;
use cactusglade_wire::platform::Host;
use serde::Serialize;

use crate::demo::Error;
use crate::demo::Result;
use crate::demo::failed;
use crate::demo::objects::Upstream;

/// Availability zones, each with one daemon.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
const ENGINES_PER_ZONE: usize = 2;
const SERVICE_ZONES: [&str; 2] = ["a", "b"];
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// `Instance` is a running stand-in of an upstream with its object.
pub struct Instance {
    /// The upstream's object.
    pub object: Upstream,
    /// The running stand-in.
    pub standin: Standin,
}

/// `Fleet` holds the running stand-ins and daemons.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: Standin,
    /// The stand-ins of the upstreams.
    pub instances: Vec<Instance>,
    /// The running daemons, one in each zone of [`ZONES`].
    pub daemons: Vec<Daemon>,
}

impl Fleet {
    /// Starts the stand-ins, then one daemon in each zone.
    ///
    /// # Errors
    ///
    /// Fails when a socket can't be bound, a daemon does not start, or the platform stand-in
    /// refuses the list of hosts.
    pub async fn try_new(logs: bool) -> Result<Self> {
        let platform = platform::start(LOOPBACK_ANY_PORT, platform::Options::default()).await;
        let platform = platform.map_err(|error| failed(&error))?;
        let mut instances = Vec::new();
        for zone in ZONES {
            for number in 0..ENGINES_PER_ZONE {
                instances.push(engine(zone, number).await?);
            }
        }
        for zone in SERVICE_ZONES {
            instances.push(booking(zone).await?);
        }
        let mut daemons = Vec::new();
        for zone in ZONES {
            daemons.push(daemon(zone, platform.address, logs).await?);
        }
        let fleet = Self {
            platform,
            instances,
            daemons,
        };
        fleet.list_hosts().await?;
        Ok(fleet)
    }

    /// Returns a client of the platform.
    #[must_use]
    pub fn client(&self) -> Platform {
        Platform::new(Client::new(self.platform.address, CALL_TIMEOUT))
    }

    /// Returns the objects of all upstreams.
    #[must_use]
    pub fn upstreams(&self) -> Vec<Upstream> {
        let objects = self
            .instances
            .iter()
            .map(|instance| instance.object.clone());
        objects.collect()
    }

    /// Registers the daemons' peer addresses at the platform stand-in.
    async fn list_hosts(&self) -> Result<()> {
        let hosts = ZONES.iter().zip(&self.daemons).map(|(zone, daemon)| Host {
            name: format!("entry-{zone}"),
            zone: (*zone).to_owned(),
            leaving: false,
            peers: Some(daemon.peers.to_string()),
        });
        let hosts = hosts.collect::<Vec<_>>();
        control(self.platform.address, "hosts", &hosts).await
    }
}

/// Sends a message to a stand-in's control path, as JSON.
///
/// # Errors
///
/// Fails when the stand-in does not answer with status 200.
pub async fn control(address: SocketAddr, path: &str, message: &impl Serialize) -> Result<()> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let path = format!("/control/{path}");
    let answer = Client::new(address, CALL_TIMEOUT)
        .call("POST", &path, body)
        .await;
    match answer {
        Ok(answer) if answer.status == 200 => Ok(()),
        Ok(answer) => Err(Error(format!(
            "{path}: expected status 200, got {}",
            answer.status
        ))),
        Err(error) => Err(failed(&error)),
    }
}

/// Reads a JSON value from a stand-in's control path.
///
/// # Errors
///
/// Fails when the stand-in does not answer or its answer does not decode to `T`.
pub async fn read<T: for<'a> serde::Deserialize<'a>>(address: SocketAddr, path: &str) -> Result<T> {
    let path = format!("/control/{path}");
    let client = Client::new(address, CALL_TIMEOUT);
    let answer = client.call("GET", &path, Vec::new()).await;
    let answer = answer.map_err(|error| failed(&error))?;
    serde_json::from_slice(&answer.body).map_err(|error| failed(&error))
}

async fn engine(zone: &str, number: usize) -> Result<Instance> {
    let options = engine::Options {
        versions: vec!["chat-v1".to_owned(), "chat-v2".to_owned()],
        token_us: 5_000,
        ..engine::Options::default()
    };
    let standin = engine::start(LOOPBACK_ANY_PORT, options).await;
    instance(format!("engine-{zone}-{number}"), zone, standin, true)
}

async fn booking(zone: &str) -> Result<Instance> {
    instance(
        format!("bookings-{zone}"),
        zone,
        service::start(LOOPBACK_ANY_PORT).await,
        false,
    )
}

fn instance(
    name: String,
    zone: &str,
    standin: std::io::Result<Standin>,
    engine: bool,
) -> Result<Instance> {
    let standin = standin.map_err(|error| failed(&error))?;
    let object = Upstream {
        name,
        zone: zone.to_owned(),
        address: standin.address,
        engine,
    };
    Ok(Instance { object, standin })
}

async fn daemon(zone: &str, platform: SocketAddr, logs: bool) -> Result<Daemon> {
    let text = format!(
        "name = \"entry-{zone}\"\nzone = \"{zone}\"\ncallers = \"127.0.0.1:0\"\n\
         operators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n\
         poll_ms = 500\ngossip_ms = 250\nlame_duck_ms = 200\n"
    );
    let settings = Settings::try_new("(demo)", &text)
        .map_err(|problems| Error(problems.iter().map(ToString::to_string).collect()))?;
    let log = if logs {
        log::logger(std::io::stderr(), &settings.name)
    } else {
        slog::Logger::root(slog::Discard, slog::o!())
    };
    Daemon::try_new(&settings, log)
        .await
        .map_err(|error| failed(&error))
}
