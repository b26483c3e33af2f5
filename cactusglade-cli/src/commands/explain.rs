//! The subcommand `cactusglade explain`.

use std::io::Read;

use gumdrop::Options;

use crate::commands::Result;
use crate::commands::failed;
use crate::commands::usage;
use crate::explain::Line;
use crate::explain::Timeline;

/// File name that stands for standard input.
const STDIN: &str = "-";

/// Explains what happened to a request, from the logs of any number of daemons.
///
/// Example: cactusglade explain 1b2aabe3f7877db3 daemon-a.log daemon-b.log
#[derive(Debug, Options)]
pub struct Explain {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "id of the request")]
    request: String,
    #[options(free, help = "log files; none or - for standard input")]
    logs: Vec<String>,
}

impl Explain {
    /// Reads the logs and returns the timeline of the request as text.
    ///
    /// # Errors
    ///
    /// Fails when a log can't be read or no line has the id of the request.
    pub fn run(self) -> Result<String> {
        let (mut lines, mut unparsed) = (Vec::new(), 0_u64);
        for file in files(self.logs) {
            for text in read(&file)?.lines() {
                match Line::try_new(text) {
                    Ok(line) => lines.push(line),
                    Err(_) => unparsed += 1,
                }
            }
        }
        let Some(timeline) = Timeline::find(&self.request, &lines) else {
            return Err(failed(format!(
                "none of {} log lines has the request id {}; {unparsed} other lines ignored",
                lines.len(),
                self.request
            )));
        };
        let note = format!(
            "(from {} log lines; {unparsed} other lines ignored)",
            lines.len()
        );
        Ok(format!("{}\n{note}", timeline.text()))
    }
}

/// Returns the log files to read: standard input if none is named.
pub(super) fn files(logs: Vec<String>) -> Vec<String> {
    if logs.is_empty() {
        vec![STDIN.to_owned()]
    } else {
        logs
    }
}

/// Reads a log file, or standard input.
pub(super) fn read(file: &str) -> Result<String> {
    let mut bytes = Vec::new();
    let read = if file == STDIN {
        std::io::stdin().read_to_end(&mut bytes).map(drop)
    } else {
        std::fs::read(file).map(|read| bytes = read)
    };
    read.map_err(|error| usage(format!("{file}: {error}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
