//! Guards against sound upstreams that count as failed because they have too much to do, and against
//! failed ones that count as busy: engines with all slots taken, an engine that goes dark while full, a
//! request lost at an engine with free slots, two daemons that lose requests at a full engine at the
//! same moment, and a false report.

mod support;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Route;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Report;
use cactusglade_policy::silence::Extension;
use cactusglade_policy::silence::Wait;

use support::pool;

const TARGET: Millis = Millis(500);
/// Time without an answer after which a request is given up otherwise: two targets.
const MAX_SILENCE: u64 = 1_000;
/// At this target the service is latency-critical.
const TIGHT: Option<Millis> = Some(Millis(600));
/// Time up to which the wait for a request sent at zero may be extended.
const LATEST: u64 = 6_000;

/// The state of one daemon with one engine.
struct Fixture {
    broker: Broker<Fastest>,
    route: arena::Route,
    key: arena::Upstream,
}

fn set_up(tight_target: Option<Millis>) -> Fixture {
    let catalog = pool::catalog(pool::draft(Route {
        latency_target: TARGET,
        ..pool::route()
    }));
    let route = catalog.routes.find(pool::ROUTE);
    let options = Options {
        tight_target,
        ..pool::options()
    };
    let mut broker = Broker::new(options, Fastest);
    broker.adopt(Millis(0), catalog);
    broker.apply(Millis(0), [pool::put(pool::instance("x"))]);
    let key = broker.upstreams().next().expect("it is known").0;
    Fixture {
        broker,
        route: route.expect("the route is known"),
        key,
    }
}

fn seen(load: Option<u64>, lost_by: Option<u32>) -> Sighting {
    Sighting {
        load,
        lost_by,
        ..Sighting::new(affinity::short_hash("x"))
    }
}

impl Fixture {
    fn place(&mut self, at: u64) -> Grant {
        let prompt = Prompt {
            input_tokens: 800,
            max_output_tokens: 400,
            parts: Vec::new(),
        };
        let query = Query {
            route: self.route,
            organisation: None,
            prompt: Some(&prompt),
            tried: &[],
            is_retry: false,
            arrived: Millis(at),
            deadline: Millis(at) + Millis(10_000),
            draw: 0.5,
        };
        let grant = self.broker.place(Millis(at), &query);
        grant.expect("an upstream is available")
    }

    /// Returns whether a load explains the silence on a request that was sent at a time.
    fn explain(&self, sent_at: u64, now: u64, grant: &Grant) -> Option<Extension> {
        let wait = Wait {
            sent_at: Millis(sent_at),
            target: TARGET,
            latest: Millis(LATEST),
        };
        self.broker.explains_silence(Millis(now), grant, &wait)
    }

    fn is_doubted(&self, now: u64) -> bool {
        let upstream = self.broker.upstream(self.key);
        upstream.expect("it is known").is_doubted(Millis(now))
    }
}

/// An engine with all slots taken answers late. Without the extension its prompt is read twice.
#[test]
fn a_full_engine_is_waited_for() {
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(0);
    for (load, until) in [(8, 1_125), (14, 1_374), (46, 1_900)] {
        fixture
            .broker
            .record_load(Millis(900), fixture.key, load, 0);
        let extension = fixture.explain(0, MAX_SILENCE, &grant);
        let until = Millis(until);
        assert_eq!(extension, Some(Extension { until, load }), "load {load}");
    }
    // Others see it too.
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(0);
    let sighting = seen(Some(20), None);
    fixture.broker.record_sighting(Millis(900), &sighting);
    assert!(fixture.explain(0, MAX_SILENCE, &grant).is_some());
}

/// An engine with free slots reads long prompts, which delay the request behind them.
#[test]
fn an_engine_that_reads_long_prompts_is_waited_for() {
    for (tokens, is_explained) in [(150_000, true), (30_000, false)] {
        let mut fixture = set_up(TIGHT);
        let prefill = Prefill {
            upstream: affinity::short_hash("x"),
            tokens,
            age_ms: 0,
        };
        fixture.broker.learn_prefill(Millis(0), &prefill);
        let grant = fixture.place(0);
        fixture.broker.record_load(Millis(900), fixture.key, 3, 0);
        let extension = fixture.explain(0, MAX_SILENCE, &grant);
        assert_eq!(extension.is_some(), is_explained, "{tokens} tokens");
    }
}

/// The engine has failed, and its last reports say that it is full.
#[test]
fn an_engine_that_goes_dark_while_full_is_given_up() {
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(0);
    fixture.broker.record_load(Millis(300), fixture.key, 40, 0);
    let extension = fixture.explain(0, MAX_SILENCE, &grant);
    let until = extension.expect("the report explains it").until;
    assert_eq!(until, Millis(1_300));
    assert_eq!(fixture.explain(0, until.0, &grant), None);
    // Requests that were sent after the last sign of life are given up as before, also where another
    // daemon's report arrives late.
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(500);
    let sighting = seen(Some(40), None);
    fixture.broker.record_sighting(Millis(700), &sighting);
    assert_eq!(fixture.explain(500, 1_500, &grant), None);
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(0);
    assert_eq!(fixture.explain(0, MAX_SILENCE, &grant), None);
}

/// The engine has room, so the request was lost there.
#[test]
fn a_request_lost_at_an_engine_with_free_slots_is_given_up() {
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(0);
    fixture.broker.record_load(Millis(900), fixture.key, 7, 0);
    assert_eq!(fixture.explain(0, MAX_SILENCE, &grant), None);
}

/// Two daemons that give up requests at a full engine ejected it, and the rest got its load.
#[test]
fn explained_losses_of_two_daemons_do_not_eject_an_engine() {
    for (is_explained, is_doubted) in [(false, true), (true, false)] {
        let report = Report {
            is_good: (!is_explained).then_some(false),
            is_lost: true,
            is_explained,
            latency: None,
        };
        let [mut one, mut other] = [set_up(TIGHT), set_up(TIGHT)];
        for fixture in [&mut one, &mut other] {
            fixture.place(0);
            let (broker, key) = (&mut fixture.broker, fixture.key);
            broker.finish(Millis(MAX_SILENCE), key, &report, 1.0);
        }
        for sighting in other.broker.take_sightings() {
            let lost_by = sighting.lost_by.map(|_| 7);
            let sighting = seen(sighting.load, lost_by);
            one.broker.record_sighting(Millis(1_300), &sighting);
        }
        assert_eq!(one.is_doubted(1_301), is_doubted);
        assert_eq!(other.is_doubted(1_001), is_doubted, "backoff");
    }
}

/// A report may be false, or the engine may answer some requests and not others.
#[test]
fn a_false_report_costs_a_bounded_time() {
    let mut fixture = set_up(TIGHT);
    let grant = fixture.place(0);
    let mut now = MAX_SILENCE;
    let mut extensions = 0;
    loop {
        fixture
            .broker
            .record_load(Millis(now), fixture.key, u64::MAX, u64::MAX);
        let extension = fixture.explain(0, now, &grant);
        let until = extension.expect("the load explains it").until;
        assert!(until <= Millis(LATEST));
        if until.0 <= now {
            break;
        }
        now = until.0;
        extensions += 1;
    }
    assert!(
        now == LATEST && extensions <= 20,
        "{extensions} until {now}"
    );
}

/// Services without a latency-critical route keep their rules.
#[test]
fn silence_is_a_loss_for_other_services() {
    for tight_target in [None, Some(Millis(400))] {
        let mut fixture = set_up(tight_target);
        let grant = fixture.place(0);
        fixture.broker.record_load(Millis(900), fixture.key, 46, 0);
        assert_eq!(fixture.explain(0, MAX_SILENCE, &grant), None);
    }
}
