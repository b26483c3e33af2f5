//! Guards against short requests that wait behind a long prompt of another daemon, against statements
//! about prompts that take up the links between daemons, and against false ones.

mod support;

use cactusglade_core::arena;
use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Route;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::broker::Basis;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::prefill::Queue;

use support::pool;

/// Tokens that the engines of the tests read per millisecond.
const SPEED: f64 = 56.6;
/// A prompt that takes about 0.9 s to read.
const LONG: u64 = 50_000;

struct Fixture {
    broker: Broker<Fastest>,
    route: arena::Route,
}

/// A daemon before two engines, of a service whose route has the given latency target.
fn set_up(name: &str, target: Millis) -> Fixture {
    let options = Options {
        name: name.to_owned(),
        tight_target: Some(Millis(600)),
        ..pool::options()
    };
    let mut broker = Broker::new(options, Fastest);
    let catalog = pool::catalog(pool::draft(Route {
        latency_target: target,
        ..pool::route()
    }));
    let route = catalog
        .routes
        .find(pool::ROUTE)
        .expect("the route is there");
    broker.adopt(Millis(0), catalog);
    broker.apply(
        Millis(0),
        ["x", "y"].map(|name| pool::put(pool::instance(name))),
    );
    Fixture { broker, route }
}

impl Fixture {
    /// Places a request with a prompt of its own, and returns the name of the engine.
    fn place(&mut self, at: u64, tokens: u64) -> String {
        let prompt = Prompt {
            input_tokens: tokens,
            ..Prompt::default()
        };
        let query = Query {
            route: self.route,
            organisation: None,
            prompt: Some(&prompt),
            tried: &[],
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: 0.5,
        };
        let grant = self.broker.place(Millis(at), &query);
        let key = grant.expect("an engine is available").upstream;
        let upstream = self.broker.upstream(key).expect("the engine is known");
        upstream.instance.name.clone()
    }
}

/// Without the statement the second daemon takes both engines for idle, and every other short request
/// would wait for 0.9 s with a latency target of half a second.
#[test]
fn short_requests_avoid_an_engine_that_reads_a_long_prompt_of_another_daemon() {
    let mut one = set_up("one", Millis(500));
    let mut other = set_up("other", Millis(500));
    let busy = one.place(0, LONG);
    for mut prefill in one.broker.take_prefills(Millis(60)) {
        prefill = prefill.aged(Millis(140));
        other.broker.learn_prefill(Millis(200), &prefill);
    }
    for at in [200, 300, 400, 500] {
        assert_ne!(other.place(at, 800), busy, "at {at} ms");
    }
}

/// An engine that has read the prompt gets its share again, without a further statement.
#[test]
fn an_engine_is_free_when_the_prompt_is_read() {
    let mut queue = Queue::default();
    queue.add(Millis(1_200), Millis(200), LONG, SPEED);
    let left = queue.tokens(Millis(1_200), SPEED);
    assert!((left - (50_000.0 - 200.0 * SPEED)).abs() < 1.0, "{left}");
    assert!(queue.tokens(Millis(1_800), SPEED) > 0.0);
    assert!(queue.tokens(Millis(1_900), SPEED) <= 0.0);
}

/// Prompts that are sent to one engine are read one after the other.
#[test]
fn prompts_add_up() {
    let mut queue = Queue::default();
    queue.add(Millis(1_000), Millis(0), LONG, SPEED);
    queue.add(Millis(1_100), Millis(100), LONG, SPEED);
    let left = queue.tokens(Millis(1_100), SPEED);
    assert!((left - (100_000.0 - 100.0 * SPEED)).abs() < 1.0, "{left}");
}

/// A statement with a wrong number of tokens must not keep requests away from an engine for good.
#[test]
fn a_false_statement_holds_for_seconds_only() {
    let mut fixture = set_up("one", Millis(500));
    let statement = Prefill {
        upstream: affinity::short_hash("x"),
        tokens: u64::MAX,
        age_ms: 0,
    };
    fixture.broker.learn_prefill(Millis(0), &statement);
    assert_eq!(fixture.place(1_000, 100), "y");
    let names = (0..20).map(|at| fixture.place(4_100 + at, 100));
    assert!(names.collect::<Vec<_>>().contains(&"x".to_owned()));
}

/// Deployments with longer latency targets are served as before, without further datagrams.
#[test]
fn a_service_with_longer_latency_targets_tells_nothing() {
    let mut fixture = set_up("one", Millis(800));
    fixture.place(0, LONG);
    assert!(fixture.broker.take_prefills(Millis(10)).is_empty());
}

/// A burst of long prompts must not fill the links between daemons with statements.
#[test]
fn statements_have_a_bound() {
    let mut fixture = set_up("one", Millis(500));
    fixture
        .broker
        .set_membership(Millis(0), 80, 80, Millis(1_200));
    let mut told = 0;
    for at in 0..100 {
        fixture.place(at * 100, LONG);
        told += fixture.broker.take_prefills(Millis(at * 100)).len();
    }
    // Eighty a second over all daemons are one a second for each, after the first eight.
    assert!((10..=19).contains(&told), "{told} in ten seconds");
}

/// Returns the inputs of the selection for a request of a session, and the engine.
fn select(fixture: &mut Fixture, at: u64) -> (arena::Upstream, Basis) {
    let part = |id, tokens| Part { id, tokens };
    let prompt = Prompt {
        input_tokens: LONG,
        max_output_tokens: 10,
        parts: vec![part(1, 500), part(2, 500), part(3, LONG - 1_000)],
    };
    let query = Query {
        route: fixture.route,
        organisation: None,
        prompt: Some(&prompt),
        tried: &[],
        is_retry: false,
        arrived: Millis(0),
        deadline: Millis(15_000),
        draw: 0.5,
    };
    let grant = fixture.broker.place(Millis(at), &query);
    let grant = grant.expect("an engine is available");
    (grant.upstream, grant.basis)
}

/// Whether a session was sent to its own engine, and behind what, could not be seen in the log. An
/// engine of a service that ranks none but the first one has no other rank.
#[test]
fn a_selection_states_the_rank_of_the_engine_and_what_it_has_to_read() {
    for (target, second) in [(500, Some(2)), (800, None)] {
        let mut fixture = set_up("one", Millis(target));
        let (first, basis) = select(&mut fixture, 10);
        assert_eq!((basis.rank, basis.backlog), (Some(1), 0));
        let (same, basis) = select(&mut fixture, 11);
        assert_eq!((same, basis.rank), (first, Some(1)), "its prompt is there");
        assert!(basis.backlog > LONG / 2, "{}", basis.backlog);
        fixture.broker.record_load(Millis(12), first, 500, 500);
        let (other, basis) = select(&mut fixture, 13);
        assert_ne!(other, first, "it is overloaded");
        assert_eq!((basis.rank, basis.backlog), (second, 0));
    }
}

/// A request without a session has no upstreams of its own.
#[test]
fn a_selection_without_a_session_has_no_rank() {
    let mut fixture = set_up("one", Millis(500));
    let query = Query {
        route: fixture.route,
        organisation: None,
        prompt: None,
        tried: &[],
        is_retry: false,
        arrived: Millis(0),
        deadline: Millis(15_000),
        draw: 0.5,
    };
    let grant = fixture.broker.place(Millis(10), &query);
    assert_eq!(grant.map(|grant| grant.basis.rank), Ok(None));
}
