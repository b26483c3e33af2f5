//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Record of a case; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:>7} ms  {text}");
        }
        now
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}
