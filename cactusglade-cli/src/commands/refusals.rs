//! The subcommand `cactusglade refusals`.

use gumdrop::Options;

use crate::commands::Result;
use crate::commands::explain;
use crate::commands::failed;
use crate::explain::Line;
use crate::refusals::Tally;

/// Counts refused requests by reason, route and organisation, from the logs of any number of daemons.
///
/// Example: cactusglade refusals daemon-a.log daemon-b.log
#[derive(Debug, Options)]
pub struct Refusals {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "log files; none or - for standard input")]
    logs: Vec<String>,
}

impl Refusals {
    /// Reads the logs and returns the counts as text.
    ///
    /// # Errors
    ///
    /// Fails when a log can't be read or no line is a daemon's.
    pub fn run(self) -> Result<String> {
        let (mut tally, mut parsed, mut unparsed) = (Tally::default(), 0_u64, 0_u64);
        for file in explain::files(self.logs) {
            for text in explain::read(&file)?.lines() {
                match Line::try_new(text) {
                    Ok(line) => {
                        parsed += 1;
                        tally.add(&line);
                    }
                    Err(_) => unparsed += 1,
                }
            }
        }
        if parsed == 0 {
            return Err(failed(format!(
                "no line is from a daemon's log; {unparsed} other lines ignored"
            )));
        }
        let note = format!("(from {parsed} log lines; {unparsed} other lines ignored)");
        Ok(format!("{}\n{note}", tally.text()))
    }
}
