//! Child processes of tests, which are killed when the test ends.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

/// Limit on each wait for an expected event; only a failing test waits this long.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the path of a program of the workspace in the build folder of the running test.
///
/// # Panics
///
/// Panics if the program has not been built.
#[must_use]
pub fn program_path(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the path of the test executable is known");
    let folder = test.parent().and_then(|folder| folder.parent());
    let path = folder
        .expect("the test executable lies in a subfolder of the build folder")
        .join(name);
    assert!(
        path.exists(),
        "{name} is not in the build folder; run cargo build --workspace first"
    );
    path
}

/// `Process` is a running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
    seen: Vec<String>,
}

impl Process {
    /// Starts a program and collects the lines of its standard output and standard error.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    #[must_use]
    pub fn start(mut command: Command) -> Self {
        let command = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program can be started");
        let (sender, lines) = mpsc::channel();
        let stdout = child.stdout.take().expect("standard output is piped");
        let stderr = child.stderr.take().expect("standard error is piped");
        let stderr_sender = sender.clone();
        std::thread::spawn(move || forward(stdout, &sender));
        std::thread::spawn(move || forward(stderr, &stderr_sender));
        Self {
            child,
            lines,
            seen: Vec::new(),
        }
    }

    /// Waits for the next line that contains a text, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if there is no such line within [`TIMEOUT`], or if the process closes its output
    /// before.
    pub fn wait_line(&mut self, text: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(remaining);
            let line = line.unwrap_or_else(|_| {
                panic!("expected a line with {text:?}, found {:#?}", self.seen)
            });
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns all lines printed so far.
    pub fn log(&mut self) -> &[String] {
        self.seen.extend(self.lines.try_iter());
        &self.seen
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP`, `CONT`, `HUP` or `KILL`.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended or `kill` can't be run.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status();
        assert!(sent.expect("the kill command can be run").success());
    }

    /// Kills the process if it is still running.
    pub fn kill(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
    }

    /// Returns `None` while the process runs, then its exit code, which is `None` if a signal ended
    /// the process.
    ///
    /// # Panics
    ///
    /// Panics if the status of the process can't be read.
    pub fn try_wait(&mut self) -> Option<Option<i32>> {
        let status = self
            .child
            .try_wait()
            .expect("the status of the process can be read");
        status.map(|status| status.code())
    }

    /// Waits for the process to end, and returns its exit code, `None` if a signal ended it.
    ///
    /// # Panics
    ///
    /// Panics if the process does not end within [`TIMEOUT`].
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            if let Some(code) = self.try_wait() {
                return code;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the process has not ended; its output is {:#?}", self.log());
    }

    /// Returns the processor time that the process has used in user and kernel mode, in seconds.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended and been waited for.
    #[must_use]
    pub fn cpu_seconds(&self) -> f64 {
        // USER_HZ, the unit of times in /proc, is 100 per second on Linux.
        const TICKS_PER_SECOND: f64 = 100.0;
        let fields = self.stat_fields();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("the field is a number");
        // The fields utime and stime.
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Returns the state of the process as the system shows it: `T` while it is suspended, `Z` once
    /// it has ended, another letter while it runs.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended and been waited for.
    #[must_use]
    pub fn state(&self) -> String {
        self.stat_fields().swap_remove(0)
    }

    /// Returns the fields after the process name, from the state on.
    fn stat_fields(&self) -> Vec<String> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.expect("the process has an entry in /proc");
        let fields = stat.rsplit(')').next();
        let fields = fields.expect("the stat line contains the process name");
        fields.split_whitespace().map(str::to_owned).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process; both calls fail harmlessly if it has ended.
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
