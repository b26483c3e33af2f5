//! Settings of a daemon, read from one TOML file and validated at the start.
//!
//! `docs/INTERFACES.md` lists them with units and defaults.

use std::net::SocketAddr;

use serde_json::Value;

use crate::fields::Fields;
use crate::fields::Problem;
use crate::io::Reader;
use crate::io::Toml;
use crate::units::Millis;

/// Result of reading settings, with all problems where there are any.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// `Limits` bounds the resources that callers can use in a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum of open connections of callers, 1,024 by default.
    pub connections: usize,
    /// Longest request body in bytes, 1 MiB by default.
    pub body_bytes: usize,
    /// Longest head of a request in bytes, 16 KiB by default.
    pub header_bytes: usize,
    /// Time within which a caller must send its headers, 5 s by default.
    pub header_timeout: Millis,
    /// Time within which a caller must send its body, 10 s by default.
    pub body_timeout: Millis,
    /// Maximum of requests that wait for a slot, 1,024 by default.
    pub queue: usize,
    /// Longest answer of a plain service in bytes, 1 MiB by default.
    pub answer_bytes: usize,
    /// Time for which a stopping daemon reports that it is not ready but still accepts requests,
    /// 2 s by default.
    pub lame_duck: Millis,
    /// Time within which open requests must finish after that, 30 s by default.
    pub drain_timeout: Millis,
}

/// `Settings` configures one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the daemon, unique among all daemons.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Name of the daemon's host, as in the cloud's notices; the daemon's own name by default.
    pub host: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators: readiness, liveness, metrics, status.
    pub operators: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for other daemons that it announces, `peers` by default.
    pub advertised: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses of other daemons, used until the host list is known.
    pub seeds: Vec<SocketAddr>,
    /// Interval at which the platform's head, notices and host list are read, 1 s by default.
    pub poll_interval: Millis,
    /// Interval between two exchanges with a peer, 500 ms by default.
    pub gossip_interval: Millis,
    /// Time limit of one call to the platform, 1 s by default.
    pub platform_timeout: Millis,
    /// Number of threads that run the daemon's tasks, 2 by default.
    pub threads: usize,
    /// Bounds on the resources that callers can use.
    pub limits: Limits,
}

const MAX_THREADS: u64 = 256;
const MAX_DURATION_MS: u64 = 3_600_000;

impl Settings {
    /// Reads and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file.
    pub fn try_new(file: &str, text: &str) -> Result<Self> {
        let problem = |reason: String| {
            vec![Problem {
                file: file.to_owned(),
                path: "(file)".to_owned(),
                reason,
            }]
        };
        let value = Toml::read(text).map_err(|error| problem(error.to_string()))?;
        let Value::Object(table) = value else {
            return Err(problem("must be a table".to_owned()));
        };
        let mut fields = Fields::new(file, String::new(), &table);
        let settings = read(&mut fields);
        let problems = fields.finish();
        if problems.is_empty() {
            settings.ok_or_else(|| problem("incomplete".to_owned()))
        } else {
            Err(problems)
        }
    }
}

fn read(fields: &mut Fields<'_>) -> Option<Settings> {
    let name = fields.text("name");
    let callers = address(fields, "callers");
    let operators = address(fields, "operators");
    let peers = address(fields, "peers");
    let platform = address(fields, "platform");
    let advertised = optional_address(fields, "advertised");
    let seeds = seeds(fields);
    let limits = limits(fields);
    let threads = fields.integer("threads", 1..=MAX_THREADS, Some(2));
    let mut duration =
        |field, default| Millis(fields.integer(field, 1..=MAX_DURATION_MS, Some(default)));
    let poll_interval = duration("poll_ms", 1_000);
    let gossip_interval = duration("gossip_ms", 500);
    let platform_timeout = duration("platform_ms", 1_000);
    Some(Settings {
        host: fields.optional_text("host").unwrap_or_else(|| name.clone()),
        name,
        zone: fields.text("zone"),
        callers: callers?,
        operators: operators?,
        peers: peers?,
        advertised,
        platform: platform?,
        seeds,
        poll_interval,
        gossip_interval,
        platform_timeout,
        threads: usize::try_from(threads).unwrap_or(1),
        limits,
    })
}

fn address(fields: &mut Fields<'_>, field: &'static str) -> Option<SocketAddr> {
    let text = fields.text(field);
    let address = text.parse().ok();
    if address.is_none() && !text.is_empty() {
        fields.reject(field, format!("{text:?} is not of the form IP:port"));
    }
    address
}

fn optional_address(fields: &mut Fields<'_>, field: &'static str) -> Option<SocketAddr> {
    let text = fields.optional_text(field)?;
    let address = text.parse().ok();
    if address.is_none() {
        fields.reject(field, format!("{text:?} is not of the form IP:port"));
    }
    address
}

fn seeds(fields: &mut Fields<'_>) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for text in fields.texts("seeds") {
        match text.parse() {
            Ok(address) => seeds.push(address),
            Err(_) => fields.reject("seeds", format!("{text:?} is not of the form IP:port")),
        }
    }
    seeds
}

fn limits(fields: &mut Fields<'_>) -> Limits {
    const MAX_COUNT: u64 = 1_000_000;
    const MAX_BYTES: u64 = 64 << 20;
    let mut count = |field, range: std::ops::RangeInclusive<u64>, default| {
        usize::try_from(fields.integer(field, range, Some(default))).unwrap_or(usize::MAX)
    };
    let connections = count("max_connections", 1..=MAX_COUNT, 1_024);
    let body_bytes = count("max_body_bytes", 1..=MAX_BYTES, 1 << 20);
    let header_bytes = count("max_header_bytes", 8_192..=1 << 20, 16 << 10);
    let queue = count("max_queue", 1..=MAX_COUNT, 1_024);
    let answer_bytes = count("max_answer_bytes", 1..=MAX_BYTES, 1 << 20);
    let mut duration =
        |field, default| Millis(fields.integer(field, 1..=MAX_DURATION_MS, Some(default)));
    Limits {
        connections,
        body_bytes,
        header_bytes,
        header_timeout: duration("header_timeout_ms", 5_000),
        body_timeout: duration("body_timeout_ms", 10_000),
        queue,
        answer_bytes,
        lame_duck: duration("lame_duck_ms", 2_000),
        drain_timeout: duration("drain_ms", 30_000),
    }
}
