//! Measures the time of one placement by the number of upstreams, with and without estimates.
//!
//! Run with `cargo bench -p cactusglade-policy --bench placement`.

#[path = "../tests/support/pool.rs"]
mod pool;

use std::time::Instant;

use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Route;
use cactusglade_core::fleet::Instance;
use cactusglade_core::units::Millis;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;

const SIZES: [u32; 4] = [5, 90, 770, 7_700];
const REQUESTS: u32 = 2_000;

fn broker(upstreams: u32, tight_target: Option<Millis>) -> Broker<Fastest> {
    let options = Options {
        tight_target,
        ..pool::options()
    };
    let entry = |number| {
        pool::put(Instance {
            slots: 16,
            ..pool::instance(&format!("u{number}"))
        })
    };
    let mut broker = Broker::new(options, Fastest);
    broker.adopt(
        Millis(0),
        pool::catalog(pool::draft(Route {
            latency_target: Millis(500),
            ..pool::route()
        })),
    );
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
    let route = broker.catalog().routes.find(pool::ROUTE);
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
            arrived: Millis(0),
            deadline: Millis(15_000),
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
