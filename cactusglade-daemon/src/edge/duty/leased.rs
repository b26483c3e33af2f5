//! Wrapper around the parts of a platform through which a holder of the lease acts.
//!
//! What a daemon believed about the lease may be out of date when it acts, since its host can be
//! suspended at any moment, also in the middle of a call. See `docs/incidents/suspended-holder.md`.

use std::collections::BTreeMap;
use std::future::Future;

use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_wire::port::Capacity;
use cactusglade_wire::port::Error;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Provider;
use cactusglade_wire::port::Report;
use cactusglade_wire::port::Result;
use cactusglade_wire::port::Rollout;

/// `Leased` makes calls while the lease is safely held, and abandons a call when it lapses, so that
/// no part of it is delivered later.
#[derive(Clone, Debug)]
pub struct Leased<T> {
    part: T,
    clock: Clock,
    /// Time until which the lease is safely held.
    until: Millis,
}

/// Returns the time for which the daemon may still act, in milliseconds, for the log of what it did.
pub fn left_ms(holder: &Holder) -> u64 {
    let left = holder.until.saturating_sub(clock::uptime());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

impl<T> Leased<T> {
    /// Wraps a part for as long as the lease is held without another renewal.
    pub const fn new(part: T, clock: Clock, until: Millis) -> Self {
        Self { part, clock, until }
    }

    /// Whether the lease is still held.
    pub fn is_held(&self) -> bool {
        self.clock.now() < self.until
    }

    async fn call<R>(&self, call: impl Future<Output = Result<R>>) -> Result<R> {
        if !self.is_held() {
            return Err(Error::Unreached);
        }
        let called = self.clock.timeout_at(self.until, call).await;
        called.unwrap_or(Err(Error::Unknown))
    }
}

impl<P: Provider> Provider for Leased<P> {
    async fn report_usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> Result<()> {
        self.call(self.part.report_usage(holder, window, counts))
            .await
    }

    async fn order_capacity(&self, holder: &Holder, order: &Capacity) -> Result<()> {
        self.call(self.part.order_capacity(holder, order)).await
    }
}

impl<R: Report> Report for Leased<R> {
    async fn rolled_back(&self, rollout: &Rollout) -> Result<()> {
        self.call(self.part.rolled_back(rollout)).await
    }
}
