//! The subcommand `cactusglade experiment`.

use gumdrop::Options;

use crate::commands::Result;
use crate::commands::failed;
use crate::commands::usage;
use crate::experiment::Run;
use crate::experiment::Settings;

/// Plays the daemons' decisions against modelled engines and callers, without a network.
///
/// With two files it compares them seed by seed; an asterisk marks a difference whose 95% confidence
/// interval excludes zero. Example: cactusglade experiment alone.toml shared.toml --seeds 8
#[derive(Debug, Options)]
pub struct Experiment {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "file that describes the experiment")]
    file: String,
    #[options(free, help = "file to compare it with")]
    other: Option<String>,
    #[options(no_short, help = "number of plays", meta = "N", default = "4")]
    seeds: u64,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Experiment {
    /// Plays the experiments and returns their figures as text.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or is not valid.
    pub fn run(&self) -> Result<String> {
        let run = play(&self.file, self.seeds)?;
        let Some(other) = &self.other else {
            let estimates = run.estimates();
            if self.json {
                return json(&estimates);
            }
            let lines = estimates.iter();
            let lines = lines.map(|(name, estimate)| format!("{name:<24} {estimate}"));
            return Ok(lines.collect::<Vec<_>>().join("\n"));
        };
        let comparison = run.compare(&play(other, self.seeds)?);
        if self.json {
            return json(&comparison);
        }
        let lines = comparison.figures.iter();
        let lines = lines.map(|(name, [first, second, difference])| {
            let mark = if difference.is_significant() {
                " *"
            } else {
                ""
            };
            format!("{name:<24} {first}  {second}  difference {difference}{mark}")
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }
}

fn play(file: &str, seeds: u64) -> Result<Run> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| usage(format!("{file}: {error}")))?;
    let settings = Settings::try_new(&text);
    let settings = settings.map_err(|error| usage(format!("{file}: {error}")))?;
    Run::try_new(&settings, seeds.max(1)).map_err(|error| failed(format!("{file}: {error}")))
}

fn json(figures: &impl serde::Serialize) -> Result<String> {
    serde_json::to_string_pretty(figures).map_err(|error| failed(error.to_string()))
}
