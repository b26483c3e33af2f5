//! The wait for the beginning of an answer, and what follows when it takes too long.

use cactusglade_core::units::Millis;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::silence::Wait;
use cactusglade_wire::port;
use slog::info;

use crate::edge::broker::ExplainSilence;

use super::entry::Entry;

/// `Verdict` on an upstream that has not begun to answer in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Its load explains that, and there is time to wait on.
    Wait,
    /// Its load explains that, but the request has to be given up now.
    Explained,
    /// The request counts as lost there.
    Lost,
}

/// `Timer` limits the wait for the beginning of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Timer {
    /// Time on the daemon's clock by which the answer must begin.
    pub until: Millis,
    wait: Wait,
}

impl Timer {
    /// Starts the wait; [`Wait::latest`] is the time up to which it may be extended.
    pub const fn new(until: Millis, wait: Wait) -> Self {
        Self { until, wait }
    }

    /// Sets the time by which the first event must follow the head of an answer.
    pub fn renew(&mut self, until: Millis) {
        self.until = until;
        self.wait.latest = self.wait.latest.max(until);
    }

    /// Extends the wait where the load of the upstream explains that the answer has not begun.
    ///
    /// The broker decides, since it knows the load.
    pub async fn extend<F: port::Codec>(
        &mut self,
        entry: &Entry<F>,
        grant: Grant,
        upstream: &str,
    ) -> Verdict {
        let context = &entry.context;
        let silence = ExplainSilence {
            grant,
            wait: self.wait,
        };
        // Fails only while the daemon stops.
        let extension = context.broker.ask(silence).await;
        let Some(extension) = extension.ok().flatten() else {
            return Verdict::Lost;
        };
        let now = context.clock.now();
        if extension.until <= now {
            context.metrics.silences.explained.inc();
            return Verdict::Explained;
        }
        self.until = extension.until;
        context.metrics.silences.extended.inc();
        info!(context.log, "answer_awaited"; "id" => &entry.call.id, "upstream" => upstream,
            "load" => extension.load, "for_ms" => (extension.until - now).0);
        Verdict::Wait
    }
}
