//! One service, `pool`, with a route and a daemon before it, for tests of the broker. Tests change the
//! fields that they are about.

use std::collections::BTreeMap;
use std::sync::Arc;

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
use cactusglade_policy::broker::Options;
use cactusglade_policy::budget::Bounds;
use cactusglade_policy::quota::Tolerance;

/// Name of the route.
pub const ROUTE: &str = "chat";

pub fn route() -> Route {
    Route {
        name: ROUTE.to_owned(),
        semantics: Semantics::Resumable,
        timeout: Millis(15_000),
        latency_target: Millis(1_000),
        max_gap: Millis(500),
        priority: 0,
        max_attempts: 2,
        is_public: false,
        regions: Vec::new(),
        split: Vec::new(),
    }
}

/// Returns a configuration with this route to the service.
pub fn draft(route: Route) -> Draft {
    Draft {
        version: 1,
        services: vec![Service {
            name: "pool".to_owned(),
            tokens_per_event: 5,
            scale: None,
            cold_rate: None,
            cold_time: Millis(0),
        }],
        routes: vec![Rule {
            path: Path {
                host: "h".to_owned(),
                prefix: "/chat/".to_owned(),
            },
            route,
            split: vec![("pool".to_owned(), 1)],
        }],
        ..Draft::default()
    }
}

pub fn catalog(draft: Draft) -> Arc<Catalog> {
    Arc::new(Catalog::try_new(draft, &Catalog::default()).expect("the draft is valid"))
}

pub fn instance(name: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        started_unix_ms: 1,
        service: "pool".to_owned(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        phase: Phase::Ready,
        reclaimable: false,
        cold_left: Millis(0),
    }
}

pub fn put(instance: Instance) -> Change {
    Change::Put(Box::new(instance))
}

pub fn options() -> Options {
    Options {
        name: "entry-1".to_owned(),
        zone: "a".to_owned(),
        retries: Bounds {
            ratio: 0.2,
            window: Millis(10_000),
            slack: 54.0,
        },
        tolerance: Tolerance {
            window: Millis(8_000),
            overshoot: 0.1,
            slack: 0.0,
            detection: Millis(1_200),
        },
        tight_target: None,
        cold: None,
        regions: BTreeMap::new(),
    }
}
