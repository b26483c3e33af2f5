//! Service that measures how late the daemon's event loop runs a timer.
//!
//! All tasks of the daemon share one thread, so that work which doesn't yield delays every other
//! task. `docs/OPERATIONS.md` shows how to find its cause.

use std::convert::Infallible;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use slog::Logger;
use slog::warn;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Name of the service.
pub const NAME: &str = "pulse";
/// Interval between two measurements. It bounds the log to four lines a second.
const INTERVAL: Duration = Duration::from_millis(250);
/// Lateness from which on a measurement is logged. Requests have targets from 100 ms on.
const LOGGED_LATENESS: Duration = Duration::from_millis(100);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Log of the daemon.
    pub log: Logger,
}

/// `Pulse` owns the measuring task, which ends when the channel to it is dropped.
#[derive(Debug)]
pub struct Pulse {
    _stop: oneshot::Sender<()>,
}

impl Actor for Pulse {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, Infallible> {
        let (stop, stopped) = oneshot::channel();
        tokio::spawn(measure(options, stopped));
        Ok(Self { _stop: stop })
    }
}

async fn measure(options: Options, mut stopped: oneshot::Receiver<()>) {
    loop {
        let due = Instant::now() + INTERVAL;
        tokio::select! {
            _ = &mut stopped => return,
            () = tokio::time::sleep_until(due) => {}
        }
        let lateness = due.elapsed();
        options
            .metrics
            .loop_lateness
            .observe(lateness.as_secs_f64());
        if lateness >= LOGGED_LATENESS {
            warn!(options.log, "loop_late"; "late_ms" => lateness.as_millis());
        }
    }
}
