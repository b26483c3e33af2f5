//! Measures how much engine time the sessions need.

use std::collections::BTreeMap;

use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;

/// Time constant of the moving average in milliseconds: about the time for which a prompt stays cached,
/// so that an upstream which the session needs has it.
const WINDOW_MS: f64 = 30_000.0;
/// Maximum number of sessions remembered; those without a recent request are dropped first.
const MAX_SESSIONS: usize = 1_024;

/// `Demand` measures the tokens that each session has this daemon's requests read.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    sessions: BTreeMap<u64, (f64, Millis)>,
}

impl Demand {
    /// Records a request, whose own tokens an upstream has to read wherever it is sent.
    #[allow(clippy::cast_precision_loss)]
    pub fn record(&mut self, now: Millis, prompt: &Prompt) {
        let own = prompt.parts.last().map(|part| part.tokens);
        let Some((session, tokens)) = prompt.session().zip(own) else {
            return;
        };
        if self.sessions.len() >= MAX_SESSIONS {
            let mut times = self
                .sessions
                .values()
                .map(|(_, at)| *at)
                .collect::<Vec<_>>();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.sessions.retain(|_, (_, at)| *at > median);
        }
        let known = self.tokens(now, session);
        self.sessions.insert(session, (known + tokens as f64, now));
    }

    /// Returns the tokens per millisecond that the session needed recently.
    #[must_use]
    pub fn rate(&self, now: Millis, session: u64) -> f64 {
        self.tokens(now, session) / WINDOW_MS
    }

    #[allow(clippy::cast_precision_loss)]
    fn tokens(&self, now: Millis, session: u64) -> f64 {
        let entry = self.sessions.get(&session);
        entry.map_or(0.0, |(tokens, at)| {
            tokens * (-((now - *at).0 as f64) / WINDOW_MS).exp()
        })
    }
}
