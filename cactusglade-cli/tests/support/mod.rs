//! Runs stand-ins and daemons as separate processes for end-to-end tests and benches.

// Each test file uses its own part of this.
#![allow(dead_code)]

mod link;

use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use cactusglade_cli::caller::Caller;
use cactusglade_cli::demo::objects;
use cactusglade_cli::demo::objects::Rollout;
use cactusglade_cli::demo::objects::Upstream;
use cactusglade_daemon::link::Client;
use cactusglade_daemon::platform::Platform;
use cactusglade_standin::service::Run;
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use link::Link;

/// Longest wait for anything that must come about; only a fault takes this long.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Stands in a daemon's log before the lines of each of its processes.
pub const RESTARTED: &str = "(started)";
const LOOK: Duration = Duration::from_millis(20);
const CALL: Duration = Duration::from_secs(5);

/// The operators' tool.
pub const TOOL: &str = env!("CARGO_BIN_EXE_cactusglade");

/// The daemon, which the build puts beside the operators' tool.
fn daemon_binary() -> PathBuf {
    let path = Path::new(TOOL).with_file_name("cactusgladed");
    assert!(path.exists(), "build it first: cargo build --workspace");
    path
}

/// A process that is ended when the test ends.
pub struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    fn start(mut command: Command) -> Self {
        let command = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the process starts");
        let (sender, lines) = mpsc::channel();
        let out = child.stdout.take().expect("it is piped");
        let err = child.stderr.take().expect("it is piped");
        let sender_too = sender.clone();
        std::thread::spawn(move || forward(out, &sender));
        std::thread::spawn(move || forward(err, &sender_too));
        Self {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// Waits for a line with this text.
    pub fn wait_line(&mut self, text: &str) -> String {
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left);
            let line = line.unwrap_or_else(|_| panic!("no {text:?} in {:#?}", self.seen));
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// All lines so far.
    pub fn log(&mut self) -> &[String] {
        self.seen.extend(self.lines.try_iter());
        &self.seen
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for its end and gives back its exit code, nothing where a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
                return status.code();
            }
            std::thread::sleep(LOOK);
        }
        panic!("it does not end: {:#?}", self.log());
    }

    /// Seconds of processor time that it has used.
    pub fn cpu_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.expect("it runs");
        let fields = stat.rsplit(')').next().expect("it has a name");
        let fields = fields.split_whitespace().collect::<Vec<_>>();
        let ticks = |place: usize| fields[place].parse::<f64>().expect("it is a number");
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A frozen process is ended as well; one that has ended is no matter.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn forward(stream: impl std::io::Read, lines: &mpsc::Sender<String>) {
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        if lines.send(line).is_err() {
            return;
        }
    }
}

/// Runs the operators' tool to its end.
pub fn tool(arguments: &[&str]) -> Output {
    Command::new(TOOL)
        .args(arguments)
        .output()
        .expect("the tool runs")
}

/// What the tool printed.
pub fn printed(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text).into_owned()
}

/// A stand-in in a process of its own.
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
}

impl Standin {
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(TOOL);
        command.arg("standin").args(arguments);
        let mut process = Process::start(command);
        let line = process.wait_line("listening on ");
        let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
        Self {
            process,
            address: address.expect("it prints its address"),
        }
    }

    /// Tells it something through its control path.
    pub async fn control(&self, path: &str, message: &impl Serialize) {
        control(self.address, path, message).await;
    }

    /// Reads something from its control path.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> T {
        let client = Client::new(self.address, CALL);
        let answer = client
            .call("GET", &format!("/control/{path}"), Vec::new())
            .await;
        let body = answer.expect("the stand-in answers").body;
        serde_json::from_slice(&body).expect("it is what is asked for")
    }
}

async fn control(address: SocketAddr, path: &str, message: &impl Serialize) {
    let body = serde_json::to_vec(message).expect("it can be written");
    let client = Client::new(address, CALL);
    let answer = client.call("POST", &format!("/control/{path}"), body).await;
    assert_eq!(answer.expect("the stand-in answers").status, 200);
}

/// A daemon in a process of its own.
pub struct Daemon {
    pub process: Process,
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    /// Lines of the processes that were before.
    history: Vec<String>,
}

impl Daemon {
    pub fn start(folder: &Path, name: &str, zone: &str, ip: IpAddr, more: &str) -> Self {
        let any = "127.0.0.1:0";
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{any}\"\n\
             operators = \"{any}\"\npeers = \"{ip}:0\"\n{more}\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the folder can be written");
        Self::run(settings, name, zone)
    }

    fn run(settings: PathBuf, name: &str, zone: &str) -> Self {
        let mut command = Command::new(daemon_binary());
        command.arg("--settings").arg(&settings);
        let mut process = Process::start(command);
        let line = process.wait_line("event=daemon_started");
        let address = |key: &str| {
            let field = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix(key));
            let field = field.expect("it logs its addresses").trim_matches('"');
            field.parse().expect("it is an address")
        };
        Self {
            callers: address("callers="),
            operators: address("operators="),
            peers: address("peers="),
            name: name.to_owned(),
            zone: zone.to_owned(),
            process,
            settings,
            history: Vec::new(),
        }
    }

    /// Ends it if it still runs and starts it again at the same addresses.
    pub fn restart(&mut self) {
        self.process.signal_quietly();
        self.process.wait();
        self.history.push(RESTARTED.to_owned());
        self.history.extend_from_slice(self.process.log());
        let text = std::fs::read_to_string(&self.settings).expect("it was written");
        let fixed = text.lines().map(|line| match line.split(" = ").next() {
            Some("callers") => format!("callers = \"{}\"", self.callers),
            Some("operators") => format!("operators = \"{}\"", self.operators),
            Some("peers") => format!("peers = \"{}\"", self.peers),
            _ => line.to_owned(),
        });
        let fixed = fixed.collect::<Vec<_>>().join("\n");
        std::fs::write(&self.settings, fixed).expect("the folder can be written");
        let next = Self::run(self.settings.clone(), &self.name, &self.zone);
        self.process = next.process;
    }

    /// Every line of all its processes, each after a line that says [`RESTARTED`].
    pub fn whole_log(&mut self) -> Vec<String> {
        let mut lines = self.history.clone();
        lines.push(RESTARTED.to_owned());
        lines.extend_from_slice(self.process.log());
        lines
    }

    pub fn caller(&self, organisation: &str) -> Caller {
        Caller {
            daemon: self.callers,
            key: objects::api_key(organisation),
        }
    }

    /// The daemon's own status.
    pub async fn status(&self) -> serde_json::Value {
        let client = Client::new(self.operators, CALL);
        let answer = client.call("GET", "/status", Vec::new()).await;
        serde_json::from_slice(&answer.expect("it answers").body).expect("it is JSON")
    }

    /// A metric's value, summed over its labels.
    pub async fn metric(&self, name: &str) -> f64 {
        let client = Client::new(self.operators, CALL);
        let answer = client.call("GET", "/metrics", Vec::new()).await;
        let text = String::from_utf8_lossy(&answer.expect("it answers").body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    pub async fn is_ready(&self) -> bool {
        is_ready(self.operators).await
    }
}

/// Whether a daemon says that it is ready; one that does not answer is not.
pub async fn is_ready(operators: SocketAddr) -> bool {
    let client = Client::new(operators, CALL);
    let answer = client.call("GET", "/ready", Vec::new()).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

impl Process {
    fn signal_quietly(&mut self) {
        // One that has ended already is no matter.
        let _ = self.child.kill();
    }
}

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
    pub ways: Vec<Link>,
    /// The way of the other daemons to each.
    pub doors: Vec<Link>,
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
            ways: Vec::new(),
            doors: Vec::new(),
            folder,
        };
        for (number, zone) in plan.engines.iter().enumerate() {
            let mut arguments = vec!["engine", "--versions", "chat-v1,chat-v2"];
            arguments.extend(plan.engine_arguments);
            let engine = Standin::start(&arguments);
            fleet.upstream(
                format!("engine-{zone}-{number}"),
                zone,
                engine.address,
                true,
            );
            fleet.engines.push(engine);
        }
        for (number, zone) in plan.services.iter().enumerate() {
            let service = Standin::start(&["service"]);
            fleet.upstream(
                format!("bookings-{zone}-{number}"),
                zone,
                service.address,
                false,
            );
            fleet.services.push(service);
        }
        for (number, zone) in plan.daemons.iter().enumerate() {
            fleet.daemon(&format!("entry-{zone}-{number}"), zone, plan.settings);
        }
        fleet
    }

    fn upstream(&mut self, name: String, zone: &str, address: SocketAddr, engine: bool) {
        self.upstreams.push(Upstream {
            name,
            zone: zone.to_owned(),
            address,
            engine,
        });
    }

    /// Starts a daemon that knows the addresses of those before it.
    pub fn daemon(&mut self, name: &str, zone: &str, settings: &str) {
        let seeds = self
            .doors
            .iter()
            .map(|door| format!("\"{}\"", door.address));
        let seeds = seeds.collect::<Vec<_>>().join(", ");
        let (way, door) = (Link::start(), Link::start());
        way.lead_to(self.platform.address);
        // Most tests do not wait for the pace of a real fleet.
        let pace = if settings.contains("poll_ms") {
            ""
        } else {
            "poll_ms = 500\ngossip_ms = 200\nlame_duck_ms = 200\n"
        };
        let more = format!(
            "platform = \"{}\"\nadvertised = \"{}\"\nseeds = [{seeds}]\n{pace}{settings}",
            way.address, door.address
        );
        let ip = ip(self.daemons.len());
        let daemon = Daemon::start(&self.folder, name, zone, ip, &more);
        door.lead_to(daemon.peers);
        self.daemons.push(daemon);
        self.ways.push(way);
        self.doors.push(door);
    }

    /// Cuts some daemons off from the platform and from all others.
    pub fn cut_off(&self, cut: &[usize]) {
        for one in cut {
            self.ways[*one].cut(true);
            for other in (0..self.daemons.len()).filter(|other| !cut.contains(other)) {
                self.doors[*one].cut_from(ip(other));
                self.doors[other].cut_from(ip(*one));
            }
        }
    }

    pub fn heal(&self) {
        for link in self.ways.iter().chain(&self.doors) {
            link.heal();
        }
    }

    /// Writes the object files and gives back their folder.
    pub fn objects(&self, rollout: Option<Rollout>) -> PathBuf {
        let folder = self.folder.join("objects");
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        for source in objects::sources(&self.upstreams, rollout) {
            std::fs::write(folder.join(source.file), source.text).expect("it can be written");
        }
        folder
    }

    /// Tells the platform which hosts there are, as its lagging list shows them.
    pub async fn list_hosts(&self) {
        let hosts = self.daemons.iter().zip(&self.doors).map(|(daemon, door)| {
            serde_json::json!({
                "name": daemon.name,
                "zone": daemon.zone,
                "leaving": false,
                "peers": door.address.to_string(),
            })
        });
        let hosts = hosts.collect::<Vec<_>>();
        self.platform.control("hosts", &hosts).await;
    }

    /// Publishes the objects through the operators' tool and waits until they are in force.
    pub async fn publish(&self, rollout: Option<Rollout>) -> String {
        self.list_hosts().await;
        let output = self.try_publish(rollout, &["--wait", &self.daemons[0].operators.to_string()]);
        assert!(output.status.success(), "{}", printed(&output));
        printed(&output)
    }

    /// Runs the operators' tool to publish.
    pub fn try_publish(&self, rollout: Option<Rollout>, more: &[&str]) -> Output {
        let objects = self.objects(rollout).display().to_string();
        let platform = self.platform.address.to_string();
        let mut arguments = vec!["publish", objects.as_str(), "--platform", platform.as_str()];
        arguments.extend(more);
        tool(&arguments)
    }

    pub fn client(&self) -> Platform {
        Platform::new(Client::new(self.platform.address, CALL))
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
    pub async fn notice(&self, host: &str, seconds: u64) {
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
fn ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(
        127,
        0,
        0,
        10 + u8::try_from(number).expect("they are few"),
    ))
}

pub fn unix_ms() -> u64 {
    cactusglade_daemon::clock::unix().0
}

/// Waits until something is so.
pub async fn until<F: Future<Output = bool>>(what: &str, mut is_so: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !is_so().await {
        assert!(Instant::now() < end, "it never came about: {what}");
        tokio::time::sleep(LOOK).await;
    }
}
