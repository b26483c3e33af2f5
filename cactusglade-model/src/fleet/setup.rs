//! Builds the daemons' brokers with a catalog and a registry.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::catalog::Path;
use cactusglade_core::catalog::Route;
use cactusglade_core::catalog::Rule;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::catalog::Service;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Phase;
use cactusglade_core::units::Millis;
use cactusglade_policy::broker;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Strategy;
use cactusglade_policy::budget::Bounds;
use cactusglade_policy::quota::Tolerance;

use super::Error;
use super::Options;
use super::Result;
use super::millis;

const SERVICE: &str = "pool";
const ROUTE: &str = "chat";
/// Time after which a request fails.
pub const TIMEOUT: Millis = Millis(12_000);
const ENGINE_PREFIX: &str = "engine-";
/// Time within which a partition is detected.
const DETECTION_TIME: Millis = Millis(1_200);
/// Retries allowed in a window beyond the ratio, for the whole fleet.
const RETRY_SLACK: f64 = 430.0;

/// Returns the name of an engine in the registry.
pub fn engine_name(index: usize) -> String {
    format!("{ENGINE_PREFIX}{index}")
}

/// Returns the index of an engine from its name.
pub fn engine_index(name: &str) -> Option<usize> {
    name.strip_prefix(ENGINE_PREFIX)?.parse().ok()
}

/// Returns a catalog with one route, and one for each class where each has its own.
fn catalog(options: &Options) -> Result<Arc<Catalog>> {
    let classes = options.scarcity.map(|_| options.classes.iter());
    let classes = classes.into_iter().flatten();
    let routes = classes.map(|class| rule(&class.name, millis(class.target_ms)));
    let draft = Draft {
        version: 1,
        services: vec![Service {
            name: SERVICE.to_owned(),
            tokens_per_event: 6,
            scale: None,
            cold_rate: None,
            cold_time: Millis(0),
        }],
        routes: routes.chain([rule(ROUTE, Millis(1_000))]).collect(),
        ..Draft::default()
    };
    let catalog = Catalog::try_new(draft, &Catalog::default());
    Ok(Arc::new(
        catalog.map_err(|reason| Error::Catalog(reason.to_string()))?,
    ))
}

fn rule(name: &str, latency_target: Millis) -> Rule {
    Rule {
        path: Path {
            host: "model".to_owned(),
            prefix: format!("/{name}/"),
        },
        route: Route {
            name: name.to_owned(),
            semantics: Semantics::Resumable,
            timeout: TIMEOUT,
            latency_target,
            max_gap: Millis(500),
            priority: 0,
            max_attempts: 2,
            is_public: false,
            regions: Vec::new(),
            split: Vec::new(),
        },
        split: vec![(SERVICE.to_owned(), 1)],
    }
}

fn zone(options: &Options, index: usize) -> String {
    format!("zone-{}", index % options.zones.max(1))
}

/// Returns the registry entry of an engine.
pub fn entry(options: &Options, index: usize) -> Change {
    Change::Put(Box::new(Instance {
        name: engine_name(index),
        started_unix_ms: 1,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone(options, index),
        version: "v1".to_owned(),
        slots: options.profile.slots as u64,
        phase: Phase::Ready,
        reclaimable: false,
        cold_left: Millis(0),
    }))
}

/// Returns one broker for each daemon, all with the same catalog and registry, with the route and those
/// of the classes.
pub fn brokers<R: Strategy>(
    options: &Options,
    strategy: impl Fn() -> R,
) -> Result<(arena::Route, Vec<arena::Route>, Vec<Broker<R>>)> {
    let catalog = catalog(options)?;
    let classes = options.classes.iter();
    let routes = classes.filter_map(|class| catalog.routes.find(&class.name));
    let routes = routes.collect();
    let route = catalog.routes.find(ROUTE);
    let route = route.ok_or_else(|| Error::Catalog("it has no route".to_owned()))?;
    let instances = (0..options.engines).map(|index| entry(options, index));
    let instances = instances.collect::<Vec<_>>();
    let brokers = (0..options.daemons).map(|index| {
        let policy = broker::Options {
            name: format!("daemon-{index}"),
            zone: zone(options, index),
            retries: Bounds {
                ratio: 0.2,
                window: Millis(10_000),
                slack: RETRY_SLACK,
            },
            tolerance: Tolerance {
                window: Millis(8_000),
                overshoot: 0.1,
                slack: 0.0,
                detection: DETECTION_TIME,
            },
            tight_target: options.tight_target,
            cold: None,
            regions: BTreeMap::new(),
        };
        let mut broker = Broker::new(policy, strategy());
        broker.tune(options.spread.tuning);
        broker.adopt(Millis(0), catalog.clone());
        let daemons = options.daemons as u64;
        broker.set_membership(Millis(0), daemons, daemons, DETECTION_TIME);
        broker.apply(Millis(0), instances.clone());
        broker
    });
    Ok((route, routes, brokers.collect()))
}
