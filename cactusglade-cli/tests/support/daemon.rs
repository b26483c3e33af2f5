//! Daemons in separate processes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use cactusglade_cli::caller::Caller;
use cactusglade_cli::demo::objects;
use cactusglade_link::link::Client;
use cactusglade_standin::process::program_path;

use super::CALL_TIMEOUT;
use super::PROCESS_START;
use super::Process;

/// A daemon in its own process.
pub struct Daemon {
    pub process: Process,
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    /// Log lines of its earlier processes.
    history: Vec<String>,
}

impl Daemon {
    pub fn start(folder: &Path, name: &str, zone: &str, ip: IpAddr, extra: &str) -> Self {
        let any = "127.0.0.1:0";
        let text = format!(
            "name = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{any}\"\n\
             operators = \"{any}\"\npeers = \"{ip}:0\"\n{extra}\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings file can be written");
        Self::run(settings, name, zone)
    }

    fn run(settings: PathBuf, name: &str, zone: &str) -> Self {
        let mut command = Command::new(program_path("cactusgladed"));
        command.arg("--settings").arg(&settings);
        let mut process = Process::start(command);
        let line = process.wait_line("event=daemon_started");
        let address = |key: &str| {
            let field = line
                .split_whitespace()
                .find_map(|word| word.strip_prefix(key));
            let field = field
                .expect("the log line has the address")
                .trim_matches('"');
            field.parse().expect("the field is a socket address")
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

    /// Kills the process if it still runs, and restarts the daemon at the same addresses.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process.wait();
        self.history.push(PROCESS_START.to_owned());
        self.history.extend_from_slice(self.process.log());
        let text = std::fs::read_to_string(&self.settings).expect("the settings file can be read");
        let fixed = text.lines().map(|line| match line.split(" = ").next() {
            Some("callers") => format!("callers = \"{}\"", self.callers),
            Some("operators") => format!("operators = \"{}\"", self.operators),
            Some("peers") => format!("peers = \"{}\"", self.peers),
            _ => line.to_owned(),
        });
        let fixed = fixed.collect::<Vec<_>>().join("\n");
        std::fs::write(&self.settings, fixed).expect("the settings file can be written");
        let next = Self::run(self.settings.clone(), &self.name, &self.zone);
        self.process = next.process;
    }

    /// Returns the log lines of all its processes, with [`PROCESS_START`] before those of each.
    pub fn full_log(&mut self) -> Vec<String> {
        let mut lines = self.history.clone();
        lines.push(PROCESS_START.to_owned());
        lines.extend_from_slice(self.process.log());
        lines
    }

    pub fn caller(&self, organisation: &str) -> Caller {
        Caller {
            daemon: self.callers,
            key: objects::api_key(organisation),
        }
    }

    /// Returns the daemon's status.
    pub async fn status(&self) -> serde_json::Value {
        let client = Client::new(self.operators, CALL_TIMEOUT);
        let answer = client.call("GET", "/status", Vec::new()).await;
        // The state tells a daemon that has ended from one that does not accept the connection.
        let answer = answer.unwrap_or_else(|error| {
            let state = self.process.state();
            panic!(
                "{} does not answer: {error:?}; process state {state}",
                self.name
            )
        });
        serde_json::from_slice(&answer.body).expect("the body is JSON")
    }

    /// Returns the sum of all metrics whose name begins with `name`, over all labels.
    pub async fn metric(&self, name: &str) -> f64 {
        let client = Client::new(self.operators, CALL_TIMEOUT);
        let answer = client.call("GET", "/metrics", Vec::new()).await;
        let text = String::from_utf8_lossy(&answer.expect("the daemon answers").body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    pub async fn is_ready(&self) -> bool {
        is_ready(self.operators).await
    }
}

/// Returns whether a daemon reports ready; one that does not answer is not ready.
pub async fn is_ready(operators: SocketAddr) -> bool {
    let client = Client::new(operators, CALL_TIMEOUT);
    let answer = client.call("GET", "/ready", Vec::new()).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
