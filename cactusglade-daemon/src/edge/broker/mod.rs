//! The service that owns the broker's decisions and the idle connections to upstreams.

mod idle;
mod messages;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::arena;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_policy::broker as policy;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::usage::Windows;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use slog::Logger;
use slog::info;
use tokio::sync::watch;

use crate::metrics::Metrics;

use idle::Idle;

pub use messages::Adopt;
pub use messages::Begun;
pub use messages::Charge;
pub use messages::Ended;
pub use messages::Heard;
pub use messages::Learn;
pub use messages::Place;
pub use messages::Placed;
pub use messages::Refund;
pub use messages::Refused;
pub use messages::Share;
pub use messages::Spent;
pub use messages::Stand;
pub use messages::Standing;
pub use messages::Store;
pub use messages::Sweep;
pub use messages::Withhold;

/// Name of the service.
pub const NAME: &str = "broker";
/// Time between two sweeps of upstreams and idle connections; both may stay a while longer.
const SWEEP: Duration = Duration::from_secs(2);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Bounds of the decisions.
    pub policy: policy::Options,
    /// Length of the windows in which requests are counted.
    pub window: Millis,
    /// Where the catalog in force is shown.
    pub catalogs: watch::Sender<Arc<Catalog>>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Broker` owns the decisions.
#[derive(Debug)]
pub struct Broker {
    policy: policy::Broker<Fastest>,
    windows: Windows,
    /// Units that each organisation was let use since the start.
    spent: Totals,
    /// Work that each service was sent since the start, in milliseconds of one upstream.
    work: Totals,
    idle: BTreeMap<arena::Upstream, Vec<Idle>>,
    catalogs: watch::Sender<Arc<Catalog>>,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
}

impl Actor for Broker {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(sweep(actor.downgrade()));
        Ok(Self {
            policy: policy::Broker::new(options.policy, Fastest),
            windows: Windows::new(options.window),
            spent: Totals::new(),
            work: Totals::new(),
            idle: BTreeMap::new(),
            catalogs: options.catalogs,
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
        })
    }
}

async fn sweep(actor: WeakActorRef<Broker>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.tell(Sweep).await.is_err() {
            return;
        }
    }
}

impl Broker {
    /// Logs upstreams that are news to leave, and gives up the idle connections to them.
    fn announce(&mut self, keys: &[arena::Upstream]) {
        for key in keys {
            self.idle.remove(key);
            if let Some(upstream) = self.policy.upstream(*key) {
                info!(self.log, "upstream_leaving"; "upstream" => &upstream.instance.name,
                    "service" => &upstream.instance.service, "own" => upstream.in_flight,
                    "unix_ms" => clock::unix_time().0);
            }
        }
    }
}
