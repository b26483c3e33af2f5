//! Wrapper around a platform adapter that records the duration and result of each call in metrics.

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Instant;

use cactusglade_core::units::Millis;
use cactusglade_wire::port::Capacity;
use cactusglade_wire::port::Error;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Provider;
use cactusglade_wire::port::Report;
use cactusglade_wire::port::Result;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Rollout;
use cactusglade_wire::port::Source;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Table;
use cactusglade_wire::port::Update;
use cactusglade_wire::port::Write;

use crate::metrics::Metrics;

/// `Measured` is a part of a platform whose calls are recorded in the daemon's metrics.
#[derive(Clone, Debug)]
pub struct Measured<T> {
    part: T,
    /// Labels of a source's calls to `read` and to `watch`.
    labels: [&'static str; 2],
    metrics: Metrics,
}

impl<T> Measured<T> {
    /// Wraps a part of a platform.
    pub const fn new(part: T, metrics: Metrics) -> Self {
        Self {
            part,
            labels: ["read", "follow"],
            metrics,
        }
    }

    fn wrap<U>(&self, part: U) -> Measured<U> {
        Measured::new(part, self.metrics.clone())
    }
}

/// Awaits a call and records its duration and result.
async fn timed<R>(
    metrics: &Metrics,
    call: &str,
    future: impl Future<Output = Result<R>>,
) -> Result<R> {
    let started = Instant::now();
    let result = future.await;
    let label = match &result {
        Ok(_) => "ok",
        Err(Error::Refused(_)) => "refused",
        Err(Error::Unreached) => "unreached",
        Err(Error::Unknown) => "unknown",
        Err(Error::Compacted) => "compacted",
        Err(Error::Malformed(_)) => "malformed",
    };
    let calls = metrics.platform_calls.with_label_values(&[call, label]);
    calls.observe(started.elapsed().as_secs_f64());
    result
}

impl<P: Platform> Platform for Measured<P> {
    type Codec = P::Codec;
    type Operator = Measured<P::Operator>;
    type Directory = Measured<P::Directory>;
    type Report = Measured<P::Report>;
    type Store = Measured<P::Store>;
    type Provider = Measured<P::Provider>;

    fn codec(&self) -> P::Codec {
        self.part.codec()
    }

    fn operator(&self) -> Measured<P::Operator> {
        let mut operator = self.wrap(self.part.operator());
        operator.labels = ["operator_read", "operator_follow"];
        operator
    }

    fn directory(&self) -> Measured<P::Directory> {
        let mut directory = self.wrap(self.part.directory());
        directory.labels = ["directory_read", "directory_follow"];
        directory
    }

    fn report(&self) -> Measured<P::Report> {
        self.wrap(self.part.report())
    }

    fn store(&self) -> Measured<P::Store> {
        self.wrap(self.part.store())
    }

    fn provider(&self) -> Measured<P::Provider> {
        self.wrap(self.part.provider())
    }
}

impl<S: Source> Source for Measured<S> {
    type Item = S::Item;

    async fn read(&mut self) -> Result<Update<S::Item>> {
        timed(&self.metrics, self.labels[0], self.part.read()).await
    }

    async fn watch(&mut self, after: Revision, wait: Millis) -> Result<Update<S::Item>> {
        let follow = self.part.watch(after, wait);
        timed(&self.metrics, self.labels[1], follow).await
    }
}

impl<R: Report> Report for Measured<R> {
    async fn rolled_back(&self, rollout: &Rollout) -> Result<()> {
        timed(&self.metrics, "report", self.part.rolled_back(rollout)).await
    }
}

impl<S: Store> Store for Measured<S> {
    async fn rows(&self, table: &'static str) -> Result<Table> {
        timed(&self.metrics, "rows", self.part.rows(table)).await
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<Option<Revision>> {
        timed(&self.metrics, "commit", self.part.commit(writes)).await
    }
}

impl<P: Provider> Provider for Measured<P> {
    async fn report_usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<String, u64>,
    ) -> Result<()> {
        let usage = self.part.report_usage(holder, window, counts);
        timed(&self.metrics, "usage", usage).await
    }

    async fn order_capacity(&self, holder: &Holder, order: &Capacity) -> Result<()> {
        let capacity = self.part.order_capacity(holder, order);
        timed(&self.metrics, "capacity", capacity).await
    }
}
