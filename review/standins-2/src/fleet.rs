//! The project's daemons as processes of their own, started as the deploy file says.

use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A daemon on a machine with an address of its own.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

/// Where a daemon runs.
pub struct Machine {
    name: String,
    zone: String,
    callers: SocketAddr,
    ready: SocketAddr,
    pub peers: SocketAddr,
    operators: SocketAddr,
}

/// Settings that all daemons of a case share.
pub struct Common<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub zones: &'a [&'a str],
    pub seeds: Vec<SocketAddr>,
    /// Address of the store and of the API for duties.
    pub store: SocketAddr,
    pub record: &'a Record,
}

impl Machine {
    /// Describes a machine whose daemon has ports that are free there.
    pub fn new(name: String, zone: String, ip: IpAddr) -> io::Result<Self> {
        // All are bound before the first is released, so that they differ.
        let listeners = [0; 4].map(|port| TcpListener::bind((ip, port)));
        let mut addresses = Vec::new();
        for listener in &listeners {
            match listener {
                Ok(listener) => addresses.push(listener.local_addr()?),
                Err(reason) => return Err(io::Error::new(reason.kind(), reason.to_string())),
            }
        }
        Ok(Self {
            name,
            zone,
            callers: addresses[0],
            ready: addresses[1],
            peers: addresses[2],
            operators: addresses[3],
        })
    }
}

impl Daemon {
    /// Starts a daemon with the settings that `platform/settings.toml` renders, with the bounds of
    /// the users' small deployments.
    pub fn start(common: &Common<'_>, machine: &Machine) -> io::Result<Self> {
        let (callers, ready) = (machine.callers, machine.ready);
        let (peers, operators) = (machine.peers, machine.operators);
        let quoted = |words: &mut dyn Iterator<Item = String>| {
            words
                .map(|word| format!("\"{word}\""))
                .collect::<Vec<_>>()
                .join(",")
        };
        let zones = quoted(&mut common.zones.iter().map(|zone| (*zone).to_owned()));
        let seeds = quoted(&mut common.seeds.iter().map(SocketAddr::to_string));
        let regions = common
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\" = \"kivu\"\n"));
        let regions = regions.collect::<String>();
        let (name, zone, store) = (&machine.name, &machine.zone, common.store);
        let text = format!(
            "adapter = \"platform\"\nname = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{callers}\"\n\
             ready = \"{ready}\"\npeers = \"{peers}\"\noperators = \"{operators}\"\nseeds = [{seeds}]\n\
             store = \"{store}\"\nprovider = \"{store}\"\nzones = [{zones}]\ngrace_s = 8\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 54\nquota_window_s = 8\n\
             quota_overshoot = 0.1\nquota_slack = 140000\nusage_window_s = 5\nusage_late_s = 10\n\
             tight_target_ms = 600\n[regions]\n{regions}"
        );
        let file = common.folder.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let log = File::create(common.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(common.program);
        command.arg("--settings").arg(&file).env_clear();
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The daemon ends with this process, whatever ends it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let process = command.spawn()?;
        common
            .record
            .line(&format!("{name} starts as process {}", process.id()));
        Ok(Self {
            name: name.clone(),
            callers,
            ready,
            process,
        })
    }

    pub fn is_ready(&self) -> bool {
        let Some(mut connection) = Connection::open(self.ready) else {
            return false;
        };
        connection
            .send("GET", "/ready", &[], b"", Duration::from_secs(1))
            .status
            == 200
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Waits until all daemons are ready; returns whether they are.
pub fn await_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A temporary folder that is removed with the value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
