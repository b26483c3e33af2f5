//! Guards against selecting upstreams that are leaving, removed or already tried, also around an
//! outage of the store and after a restart of an upstream.

use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::catalog::Path;
use cactusglade_core::catalog::Route;
use cactusglade_core::catalog::Rule;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::catalog::Service;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Phase;
use cactusglade_core::units::Millis;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Report;
use cactusglade_policy::budget::Bounds;
use cactusglade_policy::quota::Tolerance;

fn catalog() -> Arc<Catalog> {
    let draft = Draft {
        version: 1,
        services: vec![Service {
            name: "pool".to_owned(),
            tokens_per_event: 5,
            scale: None,
        }],
        routes: vec![Rule {
            path: Path {
                host: "h".to_owned(),
                prefix: "/chat/".to_owned(),
            },
            route: Route {
                name: "chat".to_owned(),
                semantics: Semantics::Resumable,
                timeout: Millis(15_000),
                latency_target: Millis(1_000),
                max_gap: Millis(500),
                priority: 0,
                max_attempts: 2,
                is_public: false,
                split: Vec::new(),
            },
            split: vec![("pool".to_owned(), 1)],
        }],
        ..Draft::default()
    };
    Arc::new(Catalog::try_new(draft, &Catalog::default()).expect("the draft is valid"))
}

fn instance(name: &str, born: u64, phase: Phase) -> Instance {
    Instance {
        name: name.to_owned(),
        started_unix_ms: born,
        service: "pool".to_owned(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        phase,
        reclaimable: false,
    }
}

fn put(name: &str, born: u64, phase: Phase) -> Change {
    Change::Put(Box::new(instance(name, born, phase)))
}

struct World {
    broker: Broker<Fastest>,
    route: arena::Route,
}

fn world(names: &[&str]) -> World {
    let options = Options {
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
        },
    };
    let mut broker = Broker::new(options, Fastest);
    let catalog = catalog();
    let route = catalog
        .routes
        .find("chat")
        .expect("the catalog has the route");
    broker.adopt(Millis(0), catalog);
    broker.apply(
        Millis(0),
        names.iter().map(|name| put(name, 1, Phase::Ready)),
    );
    World { broker, route }
}

impl World {
    fn place(&mut self, at: u64, tried: &[arena::Upstream]) -> Result<String, Kind> {
        self.place_prompt(at, tried, None)
    }

    fn place_prompt(
        &mut self,
        at: u64,
        tried: &[arena::Upstream],
        prompt: Option<&Prompt>,
    ) -> Result<String, Kind> {
        let ask = Query {
            route: self.route,
            prompt,
            tried,
            is_retry: false,
            draw: 0.5,
        };
        let grant = self.broker.place(Millis(at), &ask)?;
        let upstream = self
            .broker
            .upstream(grant.upstream)
            .expect("the selected upstream is known");
        Ok(upstream.instance.name.clone())
    }

    fn key(&self, name: &str) -> arena::Upstream {
        let mut all = self.broker.upstreams();
        let found = all.find(|(_, upstream)| upstream.instance.name == name);
        found.expect("the upstream is known").0
    }
}

#[test]
fn one_that_leaves_gets_nothing_even_if_its_entry_says_ready_again() {
    let mut world = world(&["x"]);
    world
        .broker
        .apply(Millis(10), [put("x", 1, Phase::Leaving)]);
    assert_eq!(world.place(20, &[]), Err(Kind::NoUpstream));
    world.broker.apply(Millis(30), [put("x", 1, Phase::Ready)]);
    assert_eq!(world.place(40, &[]), Err(Kind::NoUpstream));
}

#[test]
fn one_that_is_born_again_is_another_upstream() {
    let mut world = world(&["x"]);
    let before = world.key("x");
    world
        .broker
        .apply(Millis(10), [put("x", 1, Phase::Leaving)]);
    world.broker.apply(Millis(20), [put("x", 2, Phase::Ready)]);
    assert_eq!(world.place(30, &[]), Ok("x".to_owned()));
    assert!(world.broker.upstream(before).is_none());
}

#[test]
fn an_entry_that_is_removed_ends_new_work_at_once() {
    let mut world = world(&["x", "y"]);
    world
        .broker
        .apply(Millis(10), [Change::Removed("x".to_owned())]);
    for at in 11..20 {
        assert_eq!(world.place(at, &[]), Ok("y".to_owned()));
    }
}

#[test]
fn an_entry_that_lapsed_while_the_store_was_away_is_doubted_for_two_seconds() {
    let mut world = world(&["x"]);
    world.broker.set_store_unreachable(Millis(1_000), true);
    world.broker.set_store_unreachable(Millis(5_000), false);
    world.broker.apply_snapshot(Millis(5_100), Vec::new());
    assert_eq!(world.place(5_200, &[]), Ok("x".to_owned()));
    assert_eq!(world.place(7_100, &[]), Err(Kind::NoUpstream));
    world
        .broker
        .apply(Millis(7_200), [put("x", 1, Phase::Ready)]);
    assert_eq!(world.place(7_300, &[]), Ok("x".to_owned()));
}

#[test]
fn none_is_tried_twice_for_one_request() {
    let mut world = world(&["x", "y"]);
    let tried = [world.key("x")];
    for at in 0..20 {
        assert_eq!(world.place(at, &tried), Ok("y".to_owned()));
    }
}

#[test]
fn one_that_was_lost_is_asked_only_if_no_other_is_there() {
    let mut world = world(&["x", "y"]);
    let lost = Report {
        is_good: Some(false),
        is_lost: true,
        took: None,
    };
    let key = world.key("x");
    world.broker.finish(Millis(0), key, &lost, 1.0);
    assert_eq!(world.place(1, &[]), Ok("y".to_owned()));
    world
        .broker
        .apply(Millis(2), [Change::Removed("y".to_owned())]);
    assert_eq!(world.place(3, &[]), Ok("x".to_owned()));
}

#[test]
fn daemons_that_know_nothing_of_each_other_send_a_session_to_one_upstream() {
    let names = ["p", "q", "r", "s", "t", "u"];
    for session in 1..40 {
        let part = |id, tokens| Part { id, tokens };
        let prompt = Prompt {
            input_tokens: 6_000,
            max_output_tokens: 400,
            parts: vec![part(session, 5_000), part(session + 1_000, 1_000)],
        };
        let mut chosen = (0..5).map(|_| {
            let mut world = world(&names);
            world.place_prompt(0, &[], Some(&prompt))
        });
        let first = chosen.next().expect("five daemons select an upstream");
        assert!(chosen.all(|other| other == first));
    }
}

#[test]
fn an_older_catalog_is_not_adopted() {
    let mut world = world(&["x"]);
    assert!(!world.broker.adopt(Millis(1), catalog()));
}

#[test]
fn a_doubted_entry_ends_within_the_time_that_a_leaving_upstream_has() {
    let mut world = world(&["x"]);
    world.broker.set_store_unreachable(Millis(1_000), true);
    world
        .broker
        .apply(Millis(2_000), [Change::Removed("x".to_owned())]);
    assert_eq!(world.place(3_600, &[]), Ok("x".to_owned()));
    assert_eq!(world.place(3_900, &[]), Err(Kind::NoUpstream));
}
