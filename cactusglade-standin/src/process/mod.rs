//! Processes that tests run, and that end with the test.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

/// Longest wait for anything that must come about; only a fault takes this long.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A program of the workspace, which the build of the tests has put beside them.
///
/// # Panics
///
/// Fails when it was not built.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test knows its own file");
    let folder = test.parent().and_then(|folder| folder.parent());
    let path = folder
        .expect("tests lie in a folder of the build")
        .join(name);
    assert!(path.exists(), "build it first: cargo build --workspace");
    path
}

/// `Process` is a running program; it is ended when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    /// Starts a program and gathers what it prints.
    ///
    /// # Panics
    ///
    /// Fails when it does not start.
    #[must_use]
    pub fn start(mut command: Command) -> Self {
        let command = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the process starts");
        let (sender, lines) = mpsc::channel();
        let stdout = child.stdout.take().expect("it is piped");
        let stderr = child.stderr.take().expect("it is piped");
        let stderr_sender = sender.clone();
        std::thread::spawn(move || forward(stdout, &sender));
        std::thread::spawn(move || forward(stderr, &stderr_sender));
        Self {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// Waits for a line with this text.
    ///
    /// # Panics
    ///
    /// Fails when none comes in time.
    pub fn wait_line(&mut self, text: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(remaining);
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

    /// Its number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP`, `CONT`, `HUP` or `KILL`.
    ///
    /// # Panics
    ///
    /// Fails when the process is gone.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills it if it still runs.
    pub fn kill(&mut self) {
        // One that has ended already is no matter.
        let _ = self.child.kill();
    }

    /// Its end, if it has come: the exit code, nothing where a signal ended it.
    ///
    /// # Panics
    ///
    /// Fails when the system can't tell.
    pub fn try_wait(&mut self) -> Option<Option<i32>> {
        let status = self.child.try_wait().expect("it can be waited for");
        status.map(|status| status.code())
    }

    /// Waits for its end and gives back its exit code, nothing where a signal ended it.
    ///
    /// # Panics
    ///
    /// Fails when it does not end in time.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if let Some(code) = self.try_wait() {
                return code;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("it does not end: {:#?}", self.log());
    }

    /// Seconds of processor time that it has used.
    ///
    /// # Panics
    ///
    /// Fails when it does not run any more.
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.expect("it runs");
        let fields = stat.rsplit(')').next().expect("it has a name");
        let fields = fields.split_whitespace().collect::<Vec<_>>();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("it is a number");
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
