//! The subcommand `cactusglade report`.

use std::fs;
use std::time::Duration;

use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::link::Client;
use gumdrop::Options;

use crate::burn;
use crate::burn::Objective;
use crate::burn::Sample;
use crate::burn::Series;
use crate::commands::Error;
use crate::commands::Result;
use crate::commands::address::Address;
use crate::commands::failed;
use crate::commands::usage;

/// Timeout of reading a daemon's metrics.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reports on the quality of service.
#[derive(Debug, Options)]
pub struct Report {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Kind>,
}

#[derive(Debug, Options)]
enum Kind {
    #[options(help = "burn rates of the routes' error budgets")]
    Burn(Burn),
}

/// Shows error-budget burn rates by route and organisation, over all daemons.
///
/// Example: cactusglade report burn 127.0.0.1:7102 127.0.0.1:7202 --for 60 --page burn.svg
#[derive(Debug, Options)]
struct Burn {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "operators' addresses of all daemons")]
    daemons: Vec<Address>,
    #[options(no_short, help = "seconds between two samples", default = "1")]
    every: u64,
    #[options(
        no_short,
        long = "for",
        help = "duration of the sampling in seconds",
        default = "60"
    )]
    length: u64,
    #[options(
        no_short,
        help = "read samples from this file instead of daemons",
        meta = "FILE"
    )]
    samples: Option<String>,
    #[options(no_short, help = "write the samples to this file", meta = "FILE")]
    save: Option<String>,
    #[options(
        no_short,
        help = "fraction of requests that must meet their goal",
        default = "0.99"
    )]
    target: f64,
    #[options(no_short, help = "seconds of the short window", default = "300")]
    fast: u64,
    #[options(no_short, help = "seconds of the long window", default = "3600")]
    slow: u64,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "draw a chart into this SVG file", meta = "FILE")]
    page: Option<String>,
}

impl Report {
    /// Produces the requested report.
    ///
    /// # Errors
    ///
    /// Fails when the arguments are invalid, the samples contain no requests, or a file can't be
    /// read or written.
    pub async fn run(self) -> Result<String> {
        match self.command {
            Some(Kind::Burn(burn)) => burn.run().await,
            None => Err(usage("no report was named; available: burn")),
        }
    }
}

impl Burn {
    async fn run(self) -> Result<String> {
        if !(0.0..1.0).contains(&self.target) {
            return Err(usage(
                "--target must be at least 0 and below 1, such as 0.99",
            ));
        }
        let samples = match &self.samples {
            Some(file) => load(file)?,
            None => self.collect_samples().await?,
        };
        if let Some(file) = &self.save {
            save(file, &samples)?;
        }
        let mut series = Series::default();
        for sample in &samples {
            series.push(sample);
        }
        let objective = Objective {
            target: self.target,
            fast: Millis(self.fast * 1_000),
            slow: Millis(self.slow * 1_000),
        };
        let report = burn::Report::try_new(&series, objective).map_err(to_failure)?;
        if let Some(file) = &self.page {
            let page = burn::draw(&series, &report).map_err(to_failure)?;
            fs::write(file, page).map_err(|error| usage(format!("{file}: {error}")))?;
        }
        if self.json {
            return serde_json::to_string_pretty(&report).map_err(to_failure);
        }
        Ok(report.text())
    }

    /// Samples the metrics of all daemons at intervals; skips a daemon that does not answer.
    async fn collect_samples(&self) -> Result<Vec<Sample>> {
        if self.daemons.is_empty() {
            return Err(usage(
                "either operators' addresses of daemons or --samples is required",
            ));
        }
        let every = Duration::from_secs(self.every.max(1));
        let mut samples = Vec::new();
        for round in 0..=self.length / self.every.max(1) {
            if round > 0 {
                tokio::time::sleep(every).await;
            }
            for daemon in &self.daemons {
                let client = Client::new(daemon.0, CALL_TIMEOUT);
                match client.call("GET", "/metrics", Vec::new()).await {
                    Ok(answer) => {
                        let text = String::from_utf8_lossy(&answer.body);
                        let name = daemon.0.to_string();
                        let sample = Sample::try_new(clock::unix_time(), &name, &text);
                        samples.push(sample.map_err(to_failure)?);
                    }
                    Err(error) => eprintln!("{} does not answer: {error}", daemon.0),
                }
            }
            eprint!("\r{} of {} s", round * self.every, self.length);
        }
        eprintln!();
        Ok(samples)
    }
}

#[allow(clippy::needless_pass_by_value, reason = "passed to `map_err`")]
fn to_failure<E: ToString>(error: E) -> Error {
    failed(error.to_string())
}

fn load(file: &str) -> Result<Vec<Sample>> {
    let text = fs::read_to_string(file).map_err(|error| usage(format!("{file}: {error}")))?;
    let samples = text.lines().enumerate().map(|(index, line)| {
        let sample = serde_json::from_str(line);
        sample.map_err(|error| usage(format!("{file}, line {}: {error}", index + 1)))
    });
    samples.collect()
}

fn save(file: &str, samples: &[Sample]) -> Result<()> {
    let lines = samples.iter().map(serde_json::to_string);
    let lines = lines.collect::<std::result::Result<Vec<_>, _>>();
    let lines = lines.map_err(to_failure)?.join("\n");
    fs::write(file, lines + "\n").map_err(|error| usage(format!("{file}: {error}")))
}
