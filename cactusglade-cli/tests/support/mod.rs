//! Runs stand-ins and daemons as separate processes for end-to-end tests and benches.

// Each test file and bench uses a different part of this module.
#![allow(dead_code)]

pub mod daemon;
mod process;
mod standin;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use cactusglade_cli::demo::objects;
use cactusglade_cli::demo::objects::Rollout;
use cactusglade_cli::demo::objects::Upstream;
use cactusglade_daemon::platform::Platform;
use cactusglade_link::link::Client;
use cactusglade_standin::process::POLL_INTERVAL;
use cactusglade_standin::service::Run;

pub use cactusglade_standin::link::Link;
pub use cactusglade_standin::process::Process;
pub use cactusglade_standin::process::TIMEOUT;
pub use daemon::Daemon;
pub use process::output_text;
pub use process::run_tool;
pub use standin::Standin;

/// Marker line before the log lines of each process of a daemon.
pub const PROCESS_START: &str = "(started)";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Path of the operators' tool.
pub const TOOL: &str = env!("CARGO_BIN_EXE_cactusglade");

/// Composition of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// Zone of each daemon.
    pub daemons: &'a [&'a str],
    /// Zone of each model engine.
    pub engines: &'a [&'a str],
    /// Zone of each booking service.
    pub services: &'a [&'a str],
    /// Additional settings of every daemon, in TOML.
    pub settings: &'a str,
    /// Additional arguments of every engine.
    pub engine_arguments: &'a [&'a str],
}

impl Default for Plan<'_> {
    fn default() -> Self {
        Self {
            daemons: &["a", "a", "b"],
            engines: &["a", "b"],
            services: &["a", "b"],
            settings: "",
            engine_arguments: &[],
        }
    }
}

/// Stand-ins and daemons, each in its own process.
pub struct Fleet {
    pub platform: Standin,
    pub engines: Vec<Standin>,
    pub services: Vec<Standin>,
    pub daemons: Vec<Daemon>,
    pub upstreams: Vec<Upstream>,
    /// Link from each daemon to the platform.
    pub platform_links: Vec<Link>,
    /// Link from the other daemons to each daemon.
    pub peer_links: Vec<Link>,
    pub folder: PathBuf,
}

impl Fleet {
    pub fn start(plan: &Plan<'_>) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "cactusglade-test-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let platform = Standin::start(&["platform"]);
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            upstreams: Vec::new(),
            platform_links: Vec::new(),
            peer_links: Vec::new(),
            folder,
        };
        for (number, zone) in plan.engines.iter().enumerate() {
            let mut arguments = vec!["engine", "--versions", "chat-v1,chat-v2"];
            arguments.extend(plan.engine_arguments);
            let engine = Standin::start(&arguments);
            fleet.add_upstream(
                format!("engine-{zone}-{number}"),
                zone,
                engine.address,
                true,
            );
            fleet.engines.push(engine);
        }
        for (number, zone) in plan.services.iter().enumerate() {
            let service = Standin::start(&["service"]);
            fleet.add_upstream(
                format!("bookings-{zone}-{number}"),
                zone,
                service.address,
                false,
            );
            fleet.services.push(service);
        }
        for (number, zone) in plan.daemons.iter().enumerate() {
            fleet.start_daemon(&format!("entry-{zone}-{number}"), zone, plan.settings);
        }
        fleet
    }

    fn add_upstream(&mut self, name: String, zone: &str, address: SocketAddr, engine: bool) {
        self.upstreams.push(Upstream {
            name,
            zone: zone.to_owned(),
            address,
            engine,
        });
    }

    /// Starts a daemon with all daemons started before as seeds.
    pub fn start_daemon(&mut self, name: &str, zone: &str, settings: &str) {
        let seeds = self
            .peer_links
            .iter()
            .map(|peer_link| format!("\"{}\"", peer_link.address));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let link = || Link::try_new().expect("a port is free");
        let (platform_link, peer_link) = (link(), link());
        platform_link.set_target(self.platform.address);
        // Shorter intervals than the defaults keep the tests fast.
        let intervals = if settings.contains("poll_ms") {
            ""
        } else {
            "poll_ms = 500\ngossip_ms = 200\nlame_duck_ms = 200\n"
        };
        let extra = format!(
            "platform = \"{}\"\nadvertised = \"{}\"\nseeds = [{seeds}]\n{intervals}{settings}",
            platform_link.address, peer_link.address
        );
        let ip = loopback_ip(self.daemons.len());
        let daemon = Daemon::start(&self.folder, name, zone, ip, &extra);
        peer_link.set_target(daemon.peers);
        self.daemons.push(daemon);
        self.platform_links.push(platform_link);
        self.peer_links.push(peer_link);
    }

    /// Partitions some daemons from the platform and from all daemons outside their group.
    pub fn partition(&self, group: &[usize]) {
        for member in group {
            self.platform_links[*member].cut(true);
            for other in (0..self.daemons.len()).filter(|other| !group.contains(other)) {
                self.peer_links[*member].cut_from(loopback_ip(other));
                self.peer_links[other].cut_from(loopback_ip(*member));
            }
        }
    }

    pub fn heal(&self) {
        for link in self.platform_links.iter().chain(&self.peer_links) {
            link.heal();
        }
    }

    /// Writes the object files and returns their folder.
    pub fn write_objects(&self, rollout: Option<Rollout>) -> PathBuf {
        let folder = self.folder.join("objects");
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        for source in objects::sources(&self.upstreams, rollout) {
            std::fs::write(folder.join(source.file), source.text)
                .expect("the object file can be written");
        }
        folder
    }

    /// Sets the platform's list of hosts, which a real platform updates with a delay.
    pub async fn list_hosts(&self) {
        let hosts = self
            .daemons
            .iter()
            .zip(&self.peer_links)
            .map(|(daemon, peer_link)| {
                serde_json::json!({
                    "name": daemon.name,
                    "zone": daemon.zone,
                    "leaving": false,
                    "peers": peer_link.address.to_string(),
                })
            });
        let hosts = hosts.collect::<Vec<_>>();
        self.platform.control("hosts", &hosts).await;
    }

    /// Publishes the objects with the operators' tool and waits until they are in force.
    pub async fn publish(&self, rollout: Option<Rollout>) -> String {
        self.list_hosts().await;
        let output = self.try_publish(rollout, &["--wait", &self.daemons[0].operators.to_string()]);
        assert!(output.status.success(), "{}", output_text(&output));
        output_text(&output)
    }

    /// Publishes the objects with the operators' tool, with additional arguments.
    pub fn try_publish(&self, rollout: Option<Rollout>, extra: &[&str]) -> Output {
        let objects = self.write_objects(rollout).display().to_string();
        let platform = self.platform.address.to_string();
        let mut arguments = vec!["publish", objects.as_str(), "--platform", platform.as_str()];
        arguments.extend(extra);
        run_tool(&arguments)
    }

    pub fn client(&self) -> Platform {
        Platform::new(Client::new(self.platform.address, CALL_TIMEOUT))
    }

    /// Returns the runs that all booking services recorded.
    pub async fn journal(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for service in &self.services {
            runs.extend(service.read::<Vec<Run>>("journal").await);
        }
        runs
    }

    /// Makes the platform announce that a host is reclaimed after this time.
    pub async fn send_reclaim_notice(&self, host: &str, seconds: u64) {
        let gone = unix_ms() + seconds * 1_000;
        let notice = serde_json::json!({ "host": host, "gone_unix_ms": gone });
        self.platform.control("notice", &notice).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A leftover temporary folder does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the loopback address from which a daemon connects to its peers.
fn loopback_ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        127,
        0,
        0,
        10 + u8::try_from(number).expect("the daemon number fits in one octet"),
    ))
}

pub fn unix_ms() -> u64 {
    cactusglade_link::clock::unix_time().0
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with the description when the condition does not hold in time.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
