//! Service that owns the choice of upstreams, the quotas, and the idle connections to upstreams.

mod evacuation;
mod evidence;
mod explain;
mod idle;
mod inventory;
mod messages;
mod silence;
mod statements;
mod waiting;
mod warmups;

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
use waiting::Replies;

pub use evacuation::Evacuate;
pub use evacuation::Origin;
pub use evidence::Heed;
pub use evidence::Proved;
pub use explain::Explain;
pub use explain::Listing;
pub use explain::Unexplained;
pub use inventory::Inventory;
pub use inventory::Survey;
pub use messages::Adopt;
pub use messages::Apply;
pub use messages::Begun;
pub use messages::Charge;
pub use messages::Ended;
pub use messages::Later;
pub use messages::Learn;
pub use messages::Meter;
pub use messages::Outage;
pub use messages::Place;
pub use messages::Placed;
pub use messages::Placement;
pub use messages::Refund;
pub use messages::Refused;
pub use messages::Resize;
pub use messages::Retire;
pub use messages::Span;
pub use messages::Spare;
pub use messages::Sweep;
pub use messages::Withhold;
pub use silence::ExplainSilence;
pub use statements::Curb;
pub use statements::LearnPaces;
pub use statements::LearnPrefills;
pub use statements::Observe;
pub use statements::Rearrange;
pub use waiting::Drain;

/// Name of the service.
pub const NAME: &str = "broker";
/// Interval between two sweeps of removed upstreams and expired idle connections. Neither does harm
/// until the next sweep.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Options of the policy that decides.
    pub policy: policy::Options,
    /// Length of the windows in which requests are counted.
    pub window: Millis,
    /// Publishes the catalog in force.
    pub catalogs: watch::Sender<Arc<Catalog>>,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

/// `Broker` owns the state on which placement and admission are decided.
#[derive(Debug)]
pub struct Broker {
    policy: policy::Broker<Fastest>,
    windows: Windows,
    /// Quota units used by each organisation since the start.
    quota_used: Totals,
    /// Work sent to each service since the start, in milliseconds of one upstream's time.
    work: Totals,
    /// Number of attempts sent to each service since the start.
    sent: Totals,
    idle: BTreeMap<arena::Upstream, Vec<Idle>>,
    replies: Replies,
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
            quota_used: Totals::new(),
            work: Totals::new(),
            sent: Totals::new(),
            idle: BTreeMap::new(),
            replies: Replies::default(),
            catalogs: options.catalogs,
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
        })
    }
}

async fn sweep(actor: WeakActorRef<Broker>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.tell(Sweep).await.is_err() {
            return;
        }
    }
}

impl Broker {
    /// Logs upstreams that have begun to leave, and drops the idle connections to them.
    fn retire(&mut self, keys: &[arena::Upstream]) {
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
