//! What the cases share: a small deployment as on the users' sheets, its configuration and clients.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::fleet;
use crate::fleet::Common;
use crate::fleet::Daemon;
use crate::fleet::Folder;
use crate::fleet::Machine;
use crate::http::Answer;
use crate::http::Connection;
use crate::json::Json;
use crate::record::Record;
use crate::server::Log;
use crate::server::Options;
use crate::server::Server;
use crate::store::Store;

pub const HOST: &str = "lake.example";
pub const KEY: &str = "key-of-north";
pub const ZONES: [&str; 4] = ["rubavu", "karongi", "rusizi", "nyamasheke"];

/// A running deployment.
pub struct Scene {
    pub record: Record,
    pub store: Store,
    pub log: Log,
    pub daemons: Vec<Daemon>,
    network: u8,
    next: u8,
    _folder: Folder,
}

/// How a case ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub goal_ms: u64,
    pub attempts: u64,
    pub is_resumable: bool,
}

/// Returns a configuration with one tenant.
pub fn config(version: u64, routes: &[Route<'_>], max_header_bytes: u64) -> Json {
    let services = routes.iter().map(|route| route.service);
    let services = services.collect::<std::collections::BTreeSet<_>>();
    let services = services.into_iter().map(|name| {
        Json::object(&[
            ("Name", Json::text(name)),
            ("HealthPath", Json::text("/health")),
            ("MaxConns", Json::number(360)),
        ])
    });
    let routes = routes.iter().map(|route| {
        Json::object(&[
            ("Name", Json::text(route.name)),
            ("Host", Json::text(HOST)),
            ("Prefix", Json::text(&format!("/{}/", route.name))),
            ("RouteType", Json::text(route.kind)),
            ("TimeoutMs", Json::number(route.timeout_ms)),
            ("GoalMs", Json::number(route.goal_ms)),
            ("Priority", Json::number(1)),
            ("Service", Json::text(route.service)),
            ("MaxAttempts", Json::number(route.attempts)),
            ("Public", Json::Bool(false)),
            ("Sticky", Json::Bool(route.kind == "streaming")),
            ("Resumable", Json::Bool(route.is_resumable)),
            ("TargetGapMs", Json::number(500)),
        ])
    });
    let tenant = Json::object(&[
        ("Name", Json::text("north")),
        ("ApiKeys", Json::List(vec![Json::text(KEY)])),
        ("Unit", Json::text("tokens")),
        ("UncachedTokens", Json::number(200)),
        ("RatePerS", Json::number(10_000_000)),
        ("Burst", Json::number(10_000_000)),
    ]);
    Json::object(&[
        ("Version", Json::number(version)),
        ("Routes", Json::List(routes.collect())),
        ("Services", Json::List(services.collect())),
        (
            "Limits",
            Json::object(&[
                ("MaxHeaderBytes", Json::number(max_header_bytes)),
                ("MaxBodyBytes", Json::number(4 << 20)),
                ("HeaderTimeoutMs", Json::number(3_000)),
                ("IdleTimeoutMs", Json::number(15_000)),
            ]),
        ),
        ("Tenants", Json::List(vec![tenant])),
    ])
}

impl Scene {
    /// Starts an empty deployment whose record is written into a folder.
    pub fn new(out: &Path) -> io::Result<Self> {
        let record = Record::create(&out.join("record.txt"))?;
        Ok(Self {
            store: Store::new(&record),
            record,
            log: Log::default(),
            daemons: Vec::new(),
            // Loopback networks of their own keep two runs apart.
            network: 32 + u8::try_from(std::process::id() % 192).unwrap_or(0),
            next: 1,
            _folder: Folder::create()?,
        })
    }

    /// Returns the address of another machine.
    pub fn next_ip(&mut self) -> IpAddr {
        let ip = Ipv4Addr::new(127, self.network, 7, self.next);
        self.next += 1;
        IpAddr::V4(ip)
    }

    /// Starts a server.
    pub fn add_server(&self, options: Options) -> io::Result<()> {
        Server::start(options, &self.store, &self.record, &self.log)
    }

    /// Starts a daemon in each of these zones, and waits until all are ready and know their servers.
    pub fn start_daemons(&mut self, program: &Path, zones: &[&str]) -> io::Result<bool> {
        let mut machines = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-{index}");
            machines.push(Machine::new(name, (*zone).to_owned(), self.next_ip())?);
        }
        let ip = self.next_ip();
        let store = self.store.listen(ip)?;
        let common = Common {
            program,
            folder: &self._folder.0,
            zones: &ZONES,
            seeds: machines.iter().take(3).map(|one| one.peers).collect(),
            store,
            record: &self.record,
        };
        for machine in &machines {
            self.daemons.push(Daemon::start(&common, machine)?);
        }
        let is_ready = fleet::await_ready(&self.daemons, Duration::from_secs(15));
        let state = if is_ready { "all" } else { "not all" };
        self.record.say(&format!("{state} daemons are ready"));
        std::thread::sleep(Duration::from_secs(4));
        Ok(is_ready)
    }
}

/// What clients sent and what they got; clones share it.
#[derive(Clone, Default)]
pub struct Outcomes {
    pub sent: Arc<Mutex<Vec<Outcome>>>,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub attempt: String,
    pub kind: &'static str,
    pub at: u64,
    pub status: u16,
    pub is_whole: bool,
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns the id of another attempt.
pub fn next_attempt() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 + NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst)
    )
}

/// Returns the headers of a request.
pub fn headers(attempt: &str, deadline_ms: u64) -> Vec<(String, String)> {
    [
        ("Host", HOST.to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", deadline_ms.to_string()),
        ("Authorization", format!("Bearer {KEY}")),
    ]
    .map(|(name, value)| (name.to_owned(), value))
    .to_vec()
}

impl Outcomes {
    /// Sends a request on a connection of its own, and records its answer.
    pub fn send(
        &self,
        record: &Record,
        daemon: (&str, std::net::SocketAddr),
        kind: &'static str,
        path: &str,
        further: &[(String, String)],
        deadline_ms: u64,
    ) -> Answer {
        let attempt = next_attempt();
        let mut all = headers(&attempt, deadline_ms);
        all.extend_from_slice(further);
        let at = record.line(&format!("client sends {attempt} ({kind}) to {}", daemon.0));
        // Clients leave a stream after a gap of four seconds.
        let limit = Duration::from_millis(deadline_ms.min(4_000));
        let answer = Connection::open(daemon.1)
            .map(|mut connection| connection.send("POST", path, &all, b"{}", limit))
            .unwrap_or_default();
        let whole = if answer.is_whole {
            "whole"
        } else {
            "not whole"
        };
        record.line(&format!(
            "client gets {} for {attempt} ({kind}), body {whole}",
            answer.status
        ));
        self.sent.lock().expect("no panic").push(Outcome {
            attempt,
            kind,
            at,
            status: answer.status,
            is_whole: answer.is_whole,
        });
        answer
    }
}
