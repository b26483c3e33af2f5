//! The file that describes an experiment.

use cactusglade_model::engine::Profile;
use cactusglade_model::fleet::Options;
use cactusglade_model::fleet::Placement;
use cactusglade_model::fleet::Spread;
use cactusglade_model::load::Class;
use serde::Deserialize;

/// Error of reading an experiment.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is no TOML, or a field is unknown, missing or of another type.
    #[error("{0}")]
    Format(String),
    /// A value is out of its range.
    #[error("{field} is {found}, expected {expected}")]
    Range {
        /// Name of the field.
        field: String,
        /// Value that was found.
        found: String,
        /// Range that was expected.
        expected: &'static str,
    },
}

/// Result of reading an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// `Settings` describes a fleet, its callers and its faults; see `docs/INTERFACES.md`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    daemons: usize,
    zones: usize,
    engines: usize,
    slots: usize,
    prefill_tokens_per_ms: f64,
    cache_tokens: u64,
    /// Interval and delay of shared sightings; absent if daemons share none.
    gossip: Option<Gossip>,
    dark: Option<Dark>,
    span_ms: f64,
    #[serde(default)]
    warm_up_ms: f64,
    class: Vec<Callers>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Gossip {
    interval_ms: f64,
    delay_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Dark {
    engines: usize,
    at_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Callers {
    name: String,
    per_s: f64,
    common_tokens: u64,
    session_tokens: u64,
    own_tokens: u64,
    sessions: u64,
    #[serde(default)]
    hot_share: f64,
    answer_tokens: u64,
    target_ms: f64,
}

impl Settings {
    /// Reads and checks the text of a file.
    ///
    /// # Errors
    ///
    /// Says what was found and what was expected.
    pub fn try_new(text: &str) -> Result<Self> {
        let settings = toml::from_str::<Self>(text);
        let settings = settings.map_err(|error| Error::Format(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let counts = [
            ("daemons", self.daemons),
            ("zones", self.zones),
            ("engines", self.engines),
            ("slots", self.slots),
            ("class", self.class.len()),
        ];
        for (field, count) in counts {
            check(field, count, count > 0, "at least 1")?;
        }
        let rate = self.prefill_tokens_per_ms;
        check("prefill_tokens_per_ms", rate, rate > 0.0, "more than 0")?;
        let span = self.span_ms;
        check(
            "span_ms",
            span,
            span > self.warm_up_ms,
            "more than warm_up_ms",
        )?;
        if let Some(gossip) = &self.gossip {
            let interval = gossip.interval_ms;
            check(
                "gossip.interval_ms",
                interval,
                interval > 0.0,
                "more than 0",
            )?;
        }
        for class in &self.class {
            let name = |field: &str| format!("{field} of class {}", class.name);
            let (rate, hot) = (class.per_s, class.hot_share);
            check(&name("per_s"), rate, rate > 0.0, "more than 0")?;
            check(
                &name("hot_share"),
                hot,
                (0.0..=1.0).contains(&hot),
                "0 to 1",
            )?;
            let sessions = class.sessions;
            check(&name("sessions"), sessions, sessions > 0, "at least 1")?;
        }
        Ok(())
    }

    /// Returns the options of a run with this seed.
    #[must_use]
    pub fn options(&self, seed: u64) -> Options {
        let classes = self.class.iter().map(|class| Class {
            name: class.name.clone(),
            per_s: class.per_s,
            common_tokens: class.common_tokens,
            session_tokens: class.session_tokens,
            own_tokens: class.own_tokens,
            sessions: class.sessions,
            own_sigma: 0.0,
            hot_share: class.hot_share,
            answer_tokens: class.answer_tokens,
            target_ms: class.target_ms,
        });
        let gossip = self.gossip.as_ref();
        let dark = self.dark.as_ref();
        Options {
            seed,
            daemons: self.daemons,
            engines: self.engines,
            zones: self.zones,
            profile: Profile {
                interleaves: false,
                slots: self.slots,
                prefill_per_ms: self.prefill_tokens_per_ms,
                cache_tokens: self.cache_tokens,
            },
            classes: classes.collect(),
            span_ms: self.span_ms,
            warm_up_ms: self.warm_up_ms,
            gossip_ms: gossip.map(|gossip| (gossip.interval_ms, gossip.delay_ms)),
            dark: dark.map(|dark| (dark.engines.min(self.engines), dark.at_ms)),
            churn: None,
            tight_target: None,
            scarcity: None,
            placement: Placement::Product,
            spread: Spread::default(),
        }
    }
}

fn check(
    field: &str,
    found: impl std::fmt::Display,
    is_valid: bool,
    expected: &'static str,
) -> Result<()> {
    if is_valid {
        return Ok(());
    }
    Err(Error::Range {
        field: field.to_owned(),
        found: found.to_string(),
        expected,
    })
}
