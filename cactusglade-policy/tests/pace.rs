//! Guards against requests that go to slow upstreams while quick ones have room: an engine that is
//! slow for good, a server that turns slow for half a second, an upstream that states a false pace or
//! fails part of its requests, a daemon that starts, and statements that take up the links between
//! daemons.

mod support;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Route;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Pace;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Candidate;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Report;
use cactusglade_policy::broker::Strategy;
use cactusglade_policy::broker::Terms;
use cactusglade_policy::pace::Estimate;

use support::pool;

const GOOD: Report = Report {
    is_good: Some(true),
    is_lost: false,
    is_explained: false,
    latency: Some(Millis(60)),
};

const FAILED: Report = Report {
    is_good: Some(false),
    is_lost: false,
    is_explained: false,
    latency: None,
};

/// The state of one daemon.
struct Fixture {
    broker: Broker<Fastest>,
    route: arena::Route,
    draws: u64,
}

fn route(semantics: Semantics, latency_target: Millis) -> Route {
    Route {
        semantics,
        latency_target,
        ..pool::route()
    }
}

fn options() -> Options {
    Options {
        tight_target: Some(Millis(600)),
        ..pool::options()
    }
}

fn set_up(names: &[&str], rule: Route) -> Fixture {
    let catalog = pool::catalog(pool::draft(rule));
    let route = catalog.routes.find(pool::ROUTE);
    let route = route.expect("the route is known");
    let mut broker = Broker::new(options(), Fastest);
    broker.adopt(Millis(0), catalog);
    let entries = names.iter().map(|name| {
        pool::put(Instance {
            slots: 6,
            ..pool::instance(name)
        })
    });
    broker.apply(Millis(0), entries.collect::<Vec<_>>());
    Fixture {
        broker,
        route,
        draws: 0,
    }
}

/// Application servers, whose requests have no prompt.
fn servers(names: &[&str]) -> Fixture {
    set_up(names, route(Semantics::Idempotent, Millis(300)))
}

impl Fixture {
    fn key(&self, name: &str) -> arena::Upstream {
        let mut all = self.broker.upstreams();
        let found = all.find(|(_, upstream)| upstream.instance.name == name);
        found.expect("the upstream is known").0
    }

    /// Sends one request without a prompt that is answered at once; returns the upstream's name.
    fn serve(&mut self, at: u64) -> String {
        self.serve_with(at, &GOOD)
    }

    fn serve_with(&mut self, at: u64, report: &Report) -> String {
        self.draws += 1;
        let query = Query {
            route: self.route,
            organisation: None,
            prompt: None,
            tried: &[],
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: draw(self.draws),
        };
        let grant = self.broker.place(Millis(at), &query);
        let grant = grant.expect("an upstream is available");
        self.broker.finish(Millis(at), grant.upstream, report, 0.5);
        self.name(grant.upstream)
    }

    /// Sends one request with a prompt of which no part is cached.
    fn place_prompt(&mut self, at: u64, tokens: u64) -> Grant {
        self.place_untried(at, tokens, &[])
    }

    fn place_untried(&mut self, at: u64, tokens: u64, tried: &[arena::Upstream]) -> Grant {
        self.draws += 1;
        let prompt = Prompt {
            input_tokens: tokens,
            max_output_tokens: 400,
            parts: Vec::new(),
        };
        let query = Query {
            route: self.route,
            organisation: None,
            prompt: Some(&prompt),
            tried,
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: draw(self.draws),
        };
        let grant = self.broker.place(Millis(at), &query);
        grant.expect("an upstream is available")
    }

    fn name(&self, key: arena::Upstream) -> String {
        let upstream = self.broker.upstream(key);
        upstream.expect("it is known").instance.name.clone()
    }

    /// Returns how many of a hundred requests go to an upstream.
    fn share(&mut self, at: u64, name: &str) -> usize {
        (0..100).filter(|_| self.serve(at) == name).count()
    }

    fn state(&mut self, at: u64, name: &str, percent: u64) {
        let key = self.key(name);
        self.broker.record_pace(Millis(at), key, percent);
    }

    fn factor(&self, at: u64, name: &str) -> f64 {
        let upstream = self.broker.upstream(self.key(name));
        upstream.expect("it is known").pace.factor(Millis(at))
    }
}

/// Returns one of a sequence of numbers from 0 to 1 that are spread evenly.
#[allow(clippy::cast_precision_loss)]
fn draw(number: u64) -> f64 {
    (number as f64 * 0.618_033_988_749_895).fract()
}

/// A third of the engines take 1.7 times the usual time for good. One that no daemon has asked for a
/// second counted as one of usual speed again.
#[test]
fn an_engine_that_is_slow_for_good_is_known_to_be_so_between_its_answers() {
    let mut estimate = Estimate::default();
    for at in (0..30_000).step_by(3_000) {
        estimate.record(170, Millis(at));
    }
    let factor = estimate.factor(Millis(37_000));
    assert!((1.6..=1.7).contains(&factor), "{factor}");
}

/// 15% of the servers take 2.5 times the usual time, for 600 ms each. The one that turned slow got
/// its share of the requests until its answers were late, and little for seconds afterwards.
#[test]
fn a_server_that_turns_slow_for_half_a_second_loses_its_share_for_as_long() {
    let mut fixture = servers(&["x", "y", "z"]);
    for at in (0..6_000).step_by(100) {
        for name in ["x", "y", "z"] {
            fixture.state(at, name, 100);
        }
    }
    assert!(fixture.share(6_000, "x") > 20);
    fixture.state(6_050, "x", 250);
    assert_eq!(fixture.share(6_060, "x"), 0);
    assert_eq!(fixture.share(6_250, "x"), 0);
    let factor = fixture.factor(7_050, "x");
    assert!(factor < 1.1, "{factor} a second later");
    fixture.state(7_100, "x", 100);
    assert!(fixture.share(7_110, "x") > 20);
}

/// An upstream that states a quarter of the usual time, and takes the usual time, drew all requests.
#[test]
fn a_false_pace_counts_only_until_the_times_of_answers_are_known() {
    let mut fixture = servers(&["x", "y"]);
    for at in (0..20_000).step_by(50) {
        fixture.state(at, "x", 25);
        fixture.serve(at);
    }
    fixture.state(20_000, "x", 25);
    let share = fixture.share(20_000, "x");
    assert!((30..=70).contains(&share), "{share} of 100");
}

/// Paces beyond the bounds excluded an upstream for good, or drew all requests whatever its load.
#[test]
fn a_stated_pace_counts_within_bounds() {
    let mut estimate = Estimate::default();
    for (at, percent, expected) in [(0, 10_000, 4.0), (1, 10, 0.25)] {
        estimate.record(percent, Millis(at));
        let factor = estimate.factor(Millis(at));
        assert!((factor - expected).abs() < 0.01, "{factor}");
    }
}

/// A daemon that started took all engines for equally fast until it had asked each of them.
#[test]
fn a_daemon_that_starts_learns_lasting_paces_from_one_statement_each() {
    let mut old = servers(&["x"]);
    for at in (0..20_000).step_by(1_000) {
        old.state(at, "x", 170);
        old.broker.take_paces(Millis(at));
    }
    old.state(23_000, "x", 170);
    let told = old.broker.take_paces(Millis(23_100));
    let mut new = servers(&["x", "y"]);
    for pace in &told {
        new.broker.learn_pace(Millis(200), pace);
    }
    let factor = new.factor(2_000, "x");
    assert!((1.55..=1.7).contains(&factor), "{factor}");
    for _ in 0..20 {
        let chosen = new.place_prompt(2_000, 12_000);
        assert_eq!(new.name(chosen.upstream), "y");
        new.end(2_000, &chosen);
    }
}

/// Statements of 77 daemons on each answer of 90 engines filled the links between daemons.
#[test]
fn a_constant_pace_is_told_once_and_every_few_seconds() {
    let mut fixture = servers(&["x"]);
    let mut told = Vec::new();
    for at in (0..30_000).step_by(100) {
        fixture.state(at, "x", 120);
        told.extend(
            fixture
                .broker
                .take_paces(Millis(at))
                .len()
                .gt(&0)
                .then_some(at),
        );
    }
    assert!((5..=11).contains(&told.len()), "{told:?}");
}

/// All daemons that saw a change told it, also those that had heard of it meanwhile.
#[test]
fn a_pace_that_another_daemon_has_told_is_not_told_again() {
    let mut fixture = servers(&["x"]);
    fixture.state(1_000, "x", 110);
    let told = Pace::Stated {
        upstream: affinity::short_hash("x"),
        percent: 110,
        age_ms: 10,
        lasting: 100,
        span_ms: 1_000,
    };
    fixture.broker.learn_pace(Millis(1_050), &told);
    assert_eq!(fixture.broker.take_paces(Millis(1_100)), []);
}

/// Upstreams that state another pace with each answer made a daemon exceed its 3 KB per second.
#[test]
fn statements_on_restless_upstreams_are_bounded() {
    let names = (0..40).map(|number| format!("x{number}"));
    let names = names.collect::<Vec<_>>();
    let mut fixture = servers(&names.iter().map(String::as_str).collect::<Vec<_>>());
    fixture
        .broker
        .set_membership(Millis(0), 70, 70, Millis(1_200));
    let mut told = 0;
    for at in (0..20_000).step_by(100) {
        for name in &names {
            fixture.state(at, name, 50 + at % 300);
        }
        told += fixture.broker.take_paces(Millis(at)).len();
    }
    // 20 at once, and 140 / 70 each second.
    assert!((50..=62).contains(&told), "{told}");
}

/// Deployments whose upstreams state no pace are to be served as before.
#[test]
fn without_stated_paces_nothing_is_told_and_the_factor_is_one() {
    let mut fixture = servers(&["x", "y"]);
    for at in (0..10_000).step_by(50) {
        fixture.serve(at);
        assert_eq!(fixture.broker.take_paces(Millis(at)), []);
    }
    for name in ["x", "y"] {
        assert!((fixture.factor(10_000, name) - 1.0).abs() < f64::EPSILON);
    }
}

/// Engines of a service for streams with a latency target of half a second.
fn engines(names: &[&str]) -> Fixture {
    set_up(names, route(Semantics::Resumable, Millis(500)))
}

impl Fixture {
    /// Has requests with prompts answered by three engines in turn that read 112 tokens per
    /// millisecond, `x` in 1.7 times the time; every fourth one waits for another prompt.
    fn read_prompts(&mut self, from: u64, count: u64) {
        for number in 0..count {
            let at = from + number * 100;
            let turn = usize::try_from(self.draws % 3).expect("it is small");
            let mut others = ["x", "y", "z"].map(|name| self.key(name)).to_vec();
            others.remove(turn);
            let tokens = 5_000 + number % 7 * 1_000;
            let grant = self.place_untried(at, tokens, &others);
            let tenths = if turn == 0 { 17 } else { 10 };
            let wait = if self.draws.is_multiple_of(4) { 200 } else { 0 };
            let latency = 20 + grant.uncached * tenths / 1_120 + wait;
            self.broker
                .begin_answer(Millis(at), &grant, Millis(latency));
            self.end(at, &grant);
        }
    }

    fn end(&mut self, at: u64, grant: &Grant) {
        self.broker.finish_prefill(grant);
        self.broker.finish(Millis(at), grant.upstream, &GOOD, 0.5);
    }
}

/// Engines of a third of the service took 1.3 to 2.4 times the time of the others without saying so,
/// and got as many long prompts.
#[test]
fn an_engine_that_states_no_pace_is_found_to_be_slow() {
    let mut fixture = engines(&["x", "y", "z"]);
    fixture.read_prompts(0, 600);
    let (x, y) = (fixture.factor(60_000, "x"), fixture.factor(60_000, "y"));
    assert!((1.4..=2.1).contains(&(x / y)), "{x} {y}");
    let grants = (0..20).map(|_| {
        let grant = fixture.place_prompt(60_000, 20_000);
        fixture.end(60_000, &grant);
        fixture.name(grant.upstream)
    });
    assert!(grants.collect::<Vec<_>>().iter().all(|name| name != "x"));
}

/// A daemon that starts measured for a minute what the others knew.
#[test]
fn measured_times_are_shared_once_a_second() {
    let (mut old, mut new) = (engines(&["x", "y", "z"]), engines(&["x", "y", "z"]));
    let mut told = 0;
    for second in 0..120 {
        old.read_prompts(second * 1_000, 10);
        let now = Millis(second * 1_000 + 950);
        let paces = old.broker.take_paces(now);
        told += paces.len();
        for pace in &paces {
            new.broker.learn_pace(now, pace);
        }
    }
    assert!((100..=120).contains(&told), "{told}");
    let ratio = new.factor(120_000, "x") / new.factor(120_000, "y");
    assert!(ratio > 1.2, "{ratio}");
}

/// A false statement of one time to read a prompt, or waits behind other prompts, made an engine a
/// quarter or four times as fast.
#[test]
fn single_samples_move_an_estimate_little() {
    let mut fixture = engines(&["x", "y", "z"]);
    fixture.read_prompts(0, 600);
    let before = fixture.factor(60_000, "y");
    for token_ns in [1, u64::MAX] {
        let pace = Pace::Measured {
            upstream: affinity::short_hash("y"),
            token_ns,
        };
        fixture.broker.learn_pace(Millis(60_000), &pace);
    }
    let after = fixture.factor(60_000, "y");
    assert!((0.9..=1.1).contains(&(after / before)), "{before} {after}");
}

/// Services whose routes have longer targets are to be served as before.
#[test]
fn nothing_is_measured_for_services_that_are_not_latency_critical() {
    let mut fixture = set_up(&["x", "y", "z"], route(Semantics::Resumable, Millis(800)));
    fixture.read_prompts(0, 600);
    assert_eq!(fixture.broker.take_paces(Millis(60_000)), []);
    for name in ["x", "y", "z"] {
        assert!((fixture.factor(60_000, name) - 1.0).abs() < f64::EPSILON);
    }
}

/// Long prompts went to an engine where they waited behind others for longer than their target,
/// since one that could read them in time was a bit busier.
#[test]
fn a_request_goes_to_an_upstream_that_can_serve_it_in_time() {
    let fixture = engines(&["x", "y"]);
    let candidate = |name, backlog, uncached, load| Candidate {
        rank: None,
        upstream: fixture.key(name),
        is_same_zone: true,
        load,
        slots: 16.0,
        backlog,
        uncached,
        pace: 1.0,
        failures: 0.0,
        latency: 0.0,
    };
    // 377 ms to the first event at x, and 300 ms at y.
    let candidates = [
        candidate("x", 30_000.0, 10_000.0, 0.0),
        candidate("y", 0.0, 30_000.0, 8.0),
    ];
    let mut terms = Terms {
        tokens_per_ms: 112.0,
        target: None,
    };
    assert_eq!(Fastest.choose(&candidates, &terms, 0.5), Some(0));
    terms.target = Some(Millis(330));
    assert_eq!(Fastest.choose(&candidates, &terms, 0.5), Some(1));
}

/// Servers that fail every second request got their share of them until the registry dropped them.
#[test]
fn an_upstream_that_fails_half_of_its_requests_loses_its_share_and_gets_it_back_slowly() {
    let mut fixture = servers(&["x", "y", "z"]);
    for at in (0..1_000).step_by(50) {
        fixture.serve(at);
    }
    let x = fixture.key("x");
    for at in [1_100, 1_500] {
        fixture.broker.finish(Millis(at), x, &FAILED, 0.5);
        fixture.broker.finish(Millis(at + 50), x, &GOOD, 0.5);
    }
    assert_eq!(fixture.share(2_000, "x"), 0);
    assert_eq!(fixture.share(4_000, "x"), 0);
    assert!(fixture.share(30_000, "x") > 20);
}

/// Where all upstreams of a service failed, requests were refused although each could be served.
#[test]
fn upstreams_that_all_fail_are_still_sent_requests() {
    let mut fixture = servers(&["x", "y"]);
    let names = (0..200).map(|number| fixture.serve_with(number * 20, &FAILED));
    let names = names.collect::<Vec<_>>();
    for name in ["x", "y"] {
        assert!(names.iter().any(|one| one == name), "{name}");
    }
}
