//! Runs stand-ins and daemons as separate processes for end-to-end tests and benches.

// Each test file uses its own part of this.
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
use cactusglade_standin::process::LOOK;
use cactusglade_standin::service::Run;

pub use cactusglade_standin::link::Link;
pub use cactusglade_standin::process::PATIENCE;
pub use cactusglade_standin::process::Process;
pub use daemon::Daemon;
pub use process::output_text;
pub use process::run_tool;
pub use standin::Standin;

/// Stands in a daemon's log before the lines of each of its processes.
pub const PROCESS_START: &str = "(started)";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The operators' tool.
pub const TOOL: &str = env!("CARGO_BIN_EXE_cactusglade");

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// Zone of each daemon.
    pub daemons: &'a [&'a str],
    /// Zone of each model engine.
    pub engines: &'a [&'a str],
    /// Zone of each booking service.
    pub services: &'a [&'a str],
    /// Further settings of every daemon.
    pub settings: &'a str,
    /// Further arguments of every engine.
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

/// Stand-ins and daemons, each a process.
pub struct Fleet {
    pub platform: Standin,
    pub engines: Vec<Standin>,
    pub services: Vec<Standin>,
    pub daemons: Vec<Daemon>,
    pub upstreams: Vec<Upstream>,
    /// The way of each daemon to the platform.
    pub platform_links: Vec<Link>,
    /// The way of the other daemons to each.
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
        std::fs::create_dir_all(&folder).expect("the folder can be made");
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

    /// Starts a daemon that knows the addresses of those before it.
    pub fn start_daemon(&mut self, name: &str, zone: &str, settings: &str) {
        let seeds = self
            .peer_links
            .iter()
            .map(|peer_link| format!("\"{}\"", peer_link.address));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let link = || Link::try_new().expect("a port is free");
        let (platform_link, peer_link) = (link(), link());
        platform_link.lead_to(self.platform.address);
        // Most tests do not wait for the pace of a real fleet.
        let pace = if settings.contains("poll_ms") {
            ""
        } else {
            "poll_ms = 500\ngossip_ms = 200\nlame_duck_ms = 200\n"
        };
        let more = format!(
            "platform = \"{}\"\nadvertised = \"{}\"\nseeds = [{seeds}]\n{pace}{settings}",
            platform_link.address, peer_link.address
        );
        let ip = loopback_ip(self.daemons.len());
        let daemon = Daemon::start(&self.folder, name, zone, ip, &more);
        peer_link.lead_to(daemon.peers);
        self.daemons.push(daemon);
        self.platform_links.push(platform_link);
        self.peer_links.push(peer_link);
    }

    /// Cuts some daemons off from the platform and from all others.
    pub fn partition(&self, cut: &[usize]) {
        for one in cut {
            self.platform_links[*one].cut(true);
            for other in (0..self.daemons.len()).filter(|other| !cut.contains(other)) {
                self.peer_links[*one].cut_from(loopback_ip(other));
                self.peer_links[other].cut_from(loopback_ip(*one));
            }
        }
    }

    pub fn heal(&self) {
        for link in self.platform_links.iter().chain(&self.peer_links) {
            link.heal();
        }
    }

    /// Writes the object files and gives back their folder.
    pub fn write_objects(&self, rollout: Option<Rollout>) -> PathBuf {
        let folder = self.folder.join("objects");
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        for source in objects::sources(&self.upstreams, rollout) {
            std::fs::write(folder.join(source.file), source.text).expect("it can be written");
        }
        folder
    }

    /// Tells the platform which hosts there are, as its lagging list shows them.
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

    /// Publishes the objects through the operators' tool and waits until they are in force.
    pub async fn publish(&self, rollout: Option<Rollout>) -> String {
        self.list_hosts().await;
        let output = self.try_publish(rollout, &["--wait", &self.daemons[0].operators.to_string()]);
        assert!(output.status.success(), "{}", output_text(&output));
        output_text(&output)
    }

    /// Runs the operators' tool to publish.
    pub fn try_publish(&self, rollout: Option<Rollout>, more: &[&str]) -> Output {
        let objects = self.write_objects(rollout).display().to_string();
        let platform = self.platform.address.to_string();
        let mut arguments = vec!["publish", objects.as_str(), "--platform", platform.as_str()];
        arguments.extend(more);
        run_tool(&arguments)
    }

    pub fn client(&self) -> Platform {
        Platform::new(Client::new(self.platform.address, CALL_TIMEOUT))
    }

    /// Every run of every booking service.
    pub async fn journal(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for service in &self.services {
            runs.extend(service.read::<Vec<Run>>("journal").await);
        }
        runs
    }

    /// Gives the cloud's notice that an upstream's host goes away.
    pub async fn send_reclaim_notice(&self, host: &str, seconds: u64) {
        let gone = unix_ms() + seconds * 1_000;
        let notice = serde_json::json!({ "host": host, "gone_unix_ms": gone });
        self.platform.control("notice", &notice).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // What is left in the folder for temporary files is no matter.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The address that a daemon connects to the others from.
fn loopback_ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        127,
        0,
        0,
        10 + u8::try_from(number).expect("they are few"),
    ))
}

pub fn unix_ms() -> u64 {
    cactusglade_link::clock::unix_time().0
}

/// Waits until something is so.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "it never came about: {what}");
        tokio::time::sleep(LOOK).await;
    }
}
