//! Measures the time of one placement by the number of upstreams, with and without estimates.
//!
//! Run with `cargo bench -p cactusglade-policy --bench placement`.

use std::sync::Arc;
use std::time::Instant;

use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
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
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::budget::Bounds;
use cactusglade_policy::quota::Tolerance;

const SIZES: [u32; 4] = [5, 90, 770, 7_700];
const REQUESTS: u32 = 2_000;

fn catalog() -> Arc<Catalog> {
    let path = Path {
        host: "h".to_owned(),
        prefix: "/".to_owned(),
    };
    let route = Route {
        name: "chat".to_owned(),
        semantics: Semantics::Resumable,
        timeout: Millis(15_000),
        latency_target: Millis(500),
        max_gap: Millis(500),
        priority: 0,
        max_attempts: 2,
        is_public: false,
        regions: Vec::new(),
        split: Vec::new(),
    };
    let draft = Draft {
        version: 1,
        services: vec![Service {
            name: "pool".to_owned(),
            tokens_per_event: 5,
            scale: None,
            cold_rate: None,
            cold_time: Millis(0),
        }],
        routes: vec![Rule {
            path,
            route,
            split: vec![("pool".to_owned(), 1)],
        }],
        ..Draft::default()
    };
    Arc::new(Catalog::try_new(draft, &Catalog::default()).expect("the draft is valid"))
}

fn broker(upstreams: u32, tight_target: Option<Millis>) -> Broker<Fastest> {
    let options = Options {
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
        tight_target,
        cold: None,
        regions: std::collections::BTreeMap::new(),
    };
    let entry = |number| {
        Change::Put(Box::new(Instance {
            name: format!("u{number}"),
            started_unix_ms: 1,
            service: "pool".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "a".to_owned(),
            version: "v1".to_owned(),
            slots: 16,
            phase: Phase::Ready,
            reclaimable: false,
            cold_left: Millis(0),
        }))
    };
    let mut broker = Broker::new(options, Fastest);
    broker.adopt(Millis(0), catalog());
    broker.apply(Millis(0), (0..upstreams).map(entry));
    let keys = broker.upstreams().map(|(key, _)| key).collect::<Vec<_>>();
    for (key, load) in keys.into_iter().zip((0..9).cycle()) {
        broker.record_load(Millis(500), key, load, 0);
    }
    broker
}

/// Returns the mean time of a placement in microseconds.
fn measure(upstreams: u32, tight_target: Option<Millis>) -> f64 {
    let mut broker = broker(upstreams, tight_target);
    let route = broker.catalog().routes.find("chat");
    let route = route.expect("the catalog has the route");
    let started = Instant::now();
    for number in 0..REQUESTS {
        let part = |id, tokens| Part { id, tokens };
        let prompt = Prompt {
            input_tokens: 700,
            max_output_tokens: 100,
            parts: vec![part(1, 100), part(u64::from(number % 100), 100)],
        };
        let query = Query {
            route,
            organisation: None,
            prompt: Some(&prompt),
            tried: &[],
            is_retry: false,
            draw: f64::from(number) / f64::from(REQUESTS),
        };
        let now = Millis(1_000 + u64::from(number));
        let placed = broker.place(now, &query);
        placed.expect("an upstream is available");
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

fn main() {
    println!("upstreams | us for a placement without estimates, with estimates");
    for upstreams in SIZES {
        let (without, with) = (
            measure(upstreams, None),
            measure(upstreams, Some(Millis(600))),
        );
        println!("{upstreams} | {without:.1}, {with:.1}");
    }
}
