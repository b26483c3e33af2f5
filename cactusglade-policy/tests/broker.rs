//! Guards against selecting upstreams that are leaving, removed or already tried, also around an
//! outage of the store and after a restart of an upstream.

mod support;

use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::catalog::Organisation;
use cactusglade_core::catalog::Quota;
use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Evacuation;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Phase;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Exclusion;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Report;

use support::pool;

fn catalog() -> Arc<Catalog> {
    pool::catalog(draft())
}

fn draft() -> Draft {
    pool::draft(pool::route())
}

fn instance(name: &str, started_unix_ms: u64, phase: Phase) -> Instance {
    Instance {
        started_unix_ms,
        phase,
        ..pool::instance(name)
    }
}

fn put(name: &str, started_unix_ms: u64, phase: Phase) -> Change {
    pool::put(instance(name, started_unix_ms, phase))
}

struct Fixture {
    broker: Broker<Fastest>,
    route: arena::Route,
}

fn new_broker() -> Broker<Fastest> {
    Broker::new(new_options(&[]), Fastest)
}

/// Creates a broker that knows the regions of some zones.
fn new_broker_in(regions: &[(&str, &str)]) -> Broker<Fastest> {
    Broker::new(new_options(regions), Fastest)
}

fn new_options(regions: &[(&str, &str)]) -> Options {
    let regions = regions.iter();
    let regions = regions.map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()));
    Options {
        regions: regions.collect(),
        ..pool::options()
    }
}

/// Returns a fixture in which routes up to a latency target are latency-critical.
fn set_up_tight(target: u64, names: &[&str]) -> Fixture {
    let mut fixture = set_up(&[]);
    let options = Options {
        tight_target: Some(Millis(target)),
        ..new_options(&[])
    };
    fixture.broker = Broker::new(options, Fastest);
    fixture.broker.adopt(Millis(0), catalog());
    let entries = names.iter().map(|name| put(name, 1, Phase::Ready));
    fixture.broker.apply(Millis(0), entries);
    fixture
}

fn set_up(names: &[&str]) -> Fixture {
    let mut broker = new_broker();
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
    Fixture { broker, route }
}

impl Fixture {
    fn place(&mut self, at: u64, tried: &[arena::Upstream]) -> Result<String, Kind> {
        self.place_prompt(at, tried, None)
    }

    fn place_prompt(
        &mut self,
        at: u64,
        tried: &[arena::Upstream],
        prompt: Option<&Prompt>,
    ) -> Result<String, Kind> {
        let query = Query {
            route: self.route,
            organisation: None,
            prompt,
            tried,
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: 0.5,
        };
        let placed = self.broker.place(Millis(at), &query);
        let grant = placed.map_err(|denied| denied.kind)?;
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

/// An explanation that charged the request, or drew another upstream than the request itself, would
/// mislead the operator and change what it explains.
#[test]
fn an_explanation_names_the_upstream_that_the_request_then_gets() {
    let mut fixture = set_up(&["w", "x", "y", "z"]);
    fixture
        .broker
        .apply(Millis(5), [put("w", 1, Phase::Leaving)]);
    let spared = fixture.key("z");
    fixture.broker.spare(Millis(5), spared, Millis(1_000));
    for (at, draw) in (10..60).map(|at: u32| (at.into(), f64::from(at - 10) / 50.0)) {
        let query = Query {
            route: fixture.route,
            organisation: None,
            prompt: None,
            tried: &[],
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw,
        };
        let explained = |broker: &Broker<Fastest>| {
            let explanation = broker
                .explain(Millis(at), &query)
                .expect("the route is known");
            let index = explanation.selected.expect("an upstream is available");
            let excluded = explanation.excluded.iter().map(|(_, reason)| *reason);
            let excluded = excluded.collect::<Vec<_>>();
            assert_eq!(excluded, [Exclusion::Leaving, Exclusion::Spared]);
            explanation.compared[index].0.upstream
        };
        let first = explained(&fixture.broker);
        assert_eq!(first, explained(&fixture.broker), "asking changes nothing");
        let grant = fixture.broker.place(Millis(at), &query);
        assert_eq!(grant.map(|grant| grant.upstream), Ok(first));
    }
}

#[test]
fn a_leaving_upstream_gets_no_requests_even_if_its_entry_becomes_ready() {
    let mut fixture = set_up(&["x"]);
    fixture
        .broker
        .apply(Millis(10), [put("x", 1, Phase::Leaving)]);
    assert_eq!(fixture.place(20, &[]), Err(Kind::NoUpstream));
    fixture
        .broker
        .apply(Millis(30), [put("x", 1, Phase::Ready)]);
    assert_eq!(fixture.place(40, &[]), Err(Kind::NoUpstream));
}

#[test]
fn a_restarted_upstream_is_a_new_upstream() {
    let mut fixture = set_up(&["x"]);
    let before = fixture.key("x");
    fixture
        .broker
        .apply(Millis(10), [put("x", 1, Phase::Leaving)]);
    fixture
        .broker
        .apply(Millis(20), [put("x", 2, Phase::Ready)]);
    assert_eq!(fixture.place(30, &[]), Ok("x".to_owned()));
    assert!(fixture.broker.upstream(before).is_none());
}

#[test]
fn a_removed_upstream_gets_no_requests() {
    let mut fixture = set_up(&["x", "y"]);
    fixture
        .broker
        .apply(Millis(10), [Change::Removed("x".to_owned())]);
    for at in 11..20 {
        assert_eq!(fixture.place(at, &[]), Ok("y".to_owned()));
    }
}

#[test]
fn an_entry_that_expired_in_a_store_outage_is_removed_two_seconds_later() {
    let mut fixture = set_up(&["x"]);
    fixture.broker.set_store_unreachable(Millis(1_000), true);
    fixture.broker.set_store_unreachable(Millis(5_000), false);
    fixture.broker.apply_snapshot(Millis(5_100), Vec::new());
    assert_eq!(fixture.place(5_200, &[]), Ok("x".to_owned()));
    assert_eq!(fixture.place(7_100, &[]), Err(Kind::NoUpstream));
    fixture
        .broker
        .apply(Millis(7_200), [put("x", 1, Phase::Ready)]);
    assert_eq!(fixture.place(7_300, &[]), Ok("x".to_owned()));
}

#[test]
fn no_upstream_is_tried_twice_for_a_request() {
    let mut fixture = set_up(&["x", "y"]);
    let tried = [fixture.key("x")];
    for at in 0..20 {
        assert_eq!(fixture.place(at, &tried), Ok("y".to_owned()));
    }
}

#[test]
fn an_upstream_in_backoff_is_selected_only_if_there_is_no_other() {
    let mut fixture = set_up(&["x", "y"]);
    let lost = Report {
        is_good: Some(false),
        is_lost: true,
        is_explained: false,
        latency: None,
    };
    let key = fixture.key("x");
    fixture.broker.finish(Millis(0), key, &lost, 1.0);
    assert_eq!(fixture.place(1, &[]), Ok("y".to_owned()));
    fixture
        .broker
        .apply(Millis(2), [Change::Removed("y".to_owned())]);
    assert_eq!(fixture.place(3, &[]), Ok("x".to_owned()));
}

#[test]
fn daemons_without_communication_send_a_session_to_one_upstream() {
    let names = ["p", "q", "r", "s", "t", "u"];
    for session in 1..40 {
        let part = |id, tokens| Part { id, tokens };
        let prompt = Prompt {
            input_tokens: 6_000,
            max_output_tokens: 400,
            parts: vec![part(session, 5_000), part(session + 1_000, 1_000)],
        };
        let mut chosen = (0..5).map(|_| {
            let mut fixture = set_up(&names);
            fixture.place_prompt(0, &[], Some(&prompt))
        });
        let first = chosen.next().expect("five daemons select an upstream");
        assert!(chosen.all(|other| other == first));
    }
}

#[test]
fn an_older_catalog_is_not_adopted() {
    let mut fixture = set_up(&["x"]);
    assert!(!fixture.broker.adopt(Millis(1), catalog()));
}

/// Requests went to the version of a rollout that was rolled back where all other upstreams were
/// tried already, or wanted no requests for a while.
#[test]
fn a_withheld_version_gets_no_requests_while_another_serves() {
    let mut fixture = set_up(&["x"]);
    let mut next = instance("y", 1, Phase::Ready);
    next.version = "v2".to_owned();
    let broker = &mut fixture.broker;
    broker.apply(Millis(10), [Change::Put(Box::new(next))]);
    broker.withhold("pool", Some("v2".to_owned()));
    let x = fixture.key("x");
    assert_eq!(fixture.place(10, &[]), Ok("x".to_owned()));
    assert_eq!(fixture.place(10, &[x]), Err(Kind::NoUpstream));
    fixture.broker.spare(Millis(10), x, Millis(2_000));
    assert_eq!(fixture.place(20, &[]), Err(Kind::Overloaded));
    fixture
        .broker
        .apply(Millis(30), [put("x", 1, Phase::Leaving)]);
    assert_eq!(fixture.place(40, &[]), Ok("y".to_owned()));
}

#[test]
fn a_delayed_removal_ends_within_the_time_of_a_leaving_upstream() {
    let mut fixture = set_up(&["x"]);
    fixture.broker.set_store_unreachable(Millis(1_000), true);
    fixture
        .broker
        .apply(Millis(2_000), [Change::Removed("x".to_owned())]);
    assert_eq!(fixture.place(3_600, &[]), Ok("x".to_owned()));
    assert_eq!(fixture.place(3_900, &[]), Err(Kind::NoUpstream));
}

fn loss(upstream: &str, daemon: u32) -> Sighting {
    let hash = affinity::short_hash(upstream);
    Sighting {
        lost_by: Some(daemon),
        ..Sighting::new(hash)
    }
}

#[test]
fn an_upstream_at_which_two_daemons_lost_requests_gets_none() {
    let mut fixture = set_up(&["x", "y"]);
    let key = fixture.key("x");
    for (daemon, taken_out) in [(1, None), (2, Some(key)), (1, None)] {
        let sighting = loss("x", daemon);
        let result = fixture.broker.record_sighting(Millis(100), &sighting);
        assert_eq!(result, taken_out);
    }
    for at in 101..140 {
        assert_eq!(fixture.place(at, &[]), Ok("y".to_owned()));
    }
    let later = (2_200..2_240).map(|at| fixture.place(at, &[]));
    assert!(later.collect::<Vec<_>>().contains(&Ok("x".to_owned())));
}

#[test]
fn the_losses_of_one_daemon_take_no_upstream_out() {
    let mut fixture = set_up(&["x"]);
    for at in [100, 200, 300] {
        fixture.broker.record_sighting(Millis(at), &loss("x", 1));
    }
    let key = fixture.key("x");
    let upstream = fixture.broker.upstream(key);
    let upstream = upstream.expect("the upstream is known");
    assert!(!upstream.is_doubted(Millis(301)));
}

#[test]
fn a_daemon_shares_the_loads_and_losses_that_it_has_seen_once() {
    let mut fixture = set_up(&["x"]);
    let key = fixture.key("x");
    fixture.broker.record_load(Millis(5), key, 3, 1);
    let lost = Report {
        is_good: Some(false),
        is_lost: true,
        is_explained: false,
        latency: None,
    };
    fixture.broker.finish(Millis(6), key, &lost, 1.0);
    let own = affinity::short_hash("entry-1");
    let seen = Sighting {
        load: Some(4),
        lost_by: Some(own),
        ..Sighting::new(affinity::short_hash("x"))
    };
    assert_eq!(fixture.broker.take_sightings(), [seen]);
    assert_eq!(fixture.broker.take_sightings(), []);
}

/// What an organisation has used before a start of the daemon is not known; one that a later
/// catalog adds has used nothing.
#[test]
fn quotas_begin_empty_at_a_start_and_full_for_a_new_organisation() {
    let organisation = |name: &str| Organisation {
        name: name.to_owned(),
        priority: None,
        quota: Some(Quota {
            rate: 1_000.0,
            burst: 1_000.0,
            counts_tokens: false,
            default_units: 1,
        }),
        regions: Vec::new(),
    };
    let mut broker = new_broker();
    let mut catalog = Catalog::default();
    for (version, names) in [(2, vec!["first"]), (3, vec!["first", "second"])] {
        let organisations = names.iter().map(|name| (organisation(name), Vec::new()));
        let draft = Draft {
            version,
            organisations: organisations.collect(),
            ..Draft::default()
        };
        catalog = Catalog::try_new(draft, &catalog).expect("the draft is valid");
        broker.adopt(Millis(0), Arc::new(catalog.clone()));
    }
    let key = |name| catalog.organisations.find(name).expect("it is known");
    let mut charge = |name| broker.charge(Millis(0), key(name), 1.0, false);
    assert!(charge("first").is_err());
    assert!(charge("second").is_ok());
}

/// A registry that was restored from a copy brought back upstreams that had left, and took the place
/// of those that had registered since.
#[test]
fn a_copy_of_the_registry_is_older_than_what_is_known() {
    let mut fixture = set_up(&["left", "stays", "restarted", "new"]);
    let broker = &mut fixture.broker;
    broker.apply(Millis(1_000), [Change::Removed("left".to_owned())]);
    broker.apply(Millis(1_000), [put("restarted", 5, Phase::Ready)]);
    broker.apply(Millis(1_000), [put("stays", 1, Phase::Leaving)]);
    let copy = ["left", "stays", "restarted"].map(|name| put(name, 1, Phase::Ready));
    broker.apply_copy(Millis(5_000), copy.to_vec());
    let serving = |broker: &Broker<Fastest>, now: u64| {
        let upstreams = broker.upstreams();
        let serving = upstreams.filter(|(_, one)| one.is_available(Millis(now)));
        let names =
            serving.map(|(_, one)| (one.instance.name.clone(), one.instance.started_unix_ms));
        names.collect::<Vec<_>>()
    };
    let restarted = ("restarted".to_owned(), 5);
    let new = ("new".to_owned(), 1);
    assert_eq!(serving(broker, 6_500), [new.clone(), restarted.clone()]);
    broker.apply(Millis(6_600), [put("left", 1, Phase::Ready)]);
    let left = ("left".to_owned(), 1);
    let again = [left, restarted];
    assert_eq!(
        serving(broker, 8_000),
        again,
        "one registered again, one did not"
    );
}

fn order(zone: &str, number: u64, is_ordered: bool) -> Evacuation {
    Evacuation {
        zone: zone.to_owned(),
        revision: number.into(),
        is_ordered,
    }
}

fn put_in(name: &str, zone: &str) -> Change {
    Change::Put(Box::new(Instance {
        zone: zone.to_owned(),
        ..instance(name, 1, Phase::Ready)
    }))
}

/// Requests went on into a zone that was about to lose its power: first attempts, retries, and
/// requests for upstreams that registered there meanwhile.
#[test]
fn an_evacuated_zone_gets_neither_first_attempts_nor_retries() {
    let mut fixture = set_up(&["x"]);
    fixture.broker.apply(Millis(0), [put_in("y", "b")]);
    let changes = fixture
        .broker
        .learn_evacuations(Millis(5), &[order("a", 1, true)]);
    assert_eq!(changes, [order("a", 1, true)]);
    fixture.broker.apply(Millis(6), [put_in("z", "a")]);
    for at in 10..30 {
        assert_eq!(fixture.place(at, &[]), Ok("y".to_owned()));
    }
    let tried = [fixture.key("y")];
    assert_eq!(fixture.place(40, &tried), Err(Kind::NoUpstream));
    fixture
        .broker
        .learn_evacuations(Millis(50), &[order("a", 2, false)]);
    assert!(fixture.place(60, &tried).is_ok(), "the evacuation is over");
}

/// Operators took a failure of the zones that serve for an effect of their evacuation, since the refusals
/// named only that.
#[test]
fn a_request_that_was_tried_in_an_open_zone_is_not_refused_as_evacuated() {
    let mut fixture = set_up(&["x"]);
    fixture.broker.apply(Millis(0), [put_in("y", "b")]);
    let broker = &mut fixture.broker;
    broker.learn_evacuations(Millis(5), &[order("a", 1, true)]);
    let tried = [fixture.key("y")];
    assert_eq!(fixture.place(10, &tried), Err(Kind::NoUpstream));
    let broker = &mut fixture.broker;
    broker.learn_evacuations(Millis(20), &[order("b", 1, true)]);
    assert_eq!(fixture.place(30, &tried), Err(Kind::Evacuated));
    assert_eq!(fixture.place(40, &[]), Err(Kind::Evacuated));
}

/// Where all zones are evacuated, callers waited or were told that their requests may have run.
#[test]
fn a_request_is_refused_truthfully_where_all_zones_are_evacuated() {
    let mut fixture = set_up(&["x"]);
    fixture.broker.apply(Millis(0), [put_in("y", "b")]);
    let orders = [order("a", 1, true), order("b", 1, true)];
    fixture
        .broker
        .read_evacuations(Millis(5), 1.into(), &orders);
    assert_eq!(fixture.place(10, &[]), Err(Kind::Evacuated));
    let answer = Kind::Evacuated.answer();
    assert_eq!((answer.status, answer.ran), (503, Ran::No));
    fixture.broker.read_evacuations(Millis(20), 2.into(), &[]);
    assert!(fixture.place(30, &[]).is_ok());
}

/// To a daemon that had just started all upstreams were new, and it sent sessions elsewhere than the
/// others until it had run for a while.
#[test]
fn upstreams_that_a_daemon_finds_as_it_has_started_are_not_new() {
    let mut fixture = set_up(&["x"]);
    let broker = &mut fixture.broker;
    broker.apply(Millis(1_000), [put("y", 1, Phase::Ready)]);
    broker.apply(Millis(2_000), [put("y", 1, Phase::Ready)]);
    let age = |name| {
        let key = fixture.key(name);
        let upstream = fixture.broker.upstream(key);
        upstream.expect("it is known").age(Millis(3_000))
    };
    assert_eq!(age("x"), None);
    assert_eq!(age("y"), Some(Millis(2_000)));
}

/// What is ranked for latency-critical services changes nothing for others: their sessions begin at a
/// new upstream at once.
#[test]
fn sessions_of_other_services_begin_at_a_new_upstream_at_once() {
    let names = (0..40).map(|index| format!("u-{index}"));
    let names = names.collect::<Vec<_>>();
    let old = names.iter().map(String::as_str).collect::<Vec<_>>();
    let part = |id, tokens| Part { id, tokens };
    let moved = (1..200).filter(|session| {
        let prompt = Prompt {
            input_tokens: 6_000,
            max_output_tokens: 400,
            parts: vec![part(*session, 5_000), part(session + 1_000, 1_000)],
        };
        let mut fixture = set_up(&old);
        fixture
            .broker
            .apply(Millis(10), [put("new", 1, Phase::Ready)]);
        fixture.place_prompt(20, &[], Some(&prompt)) == Ok("new".to_owned())
    });
    assert!(moved.count() > 0);
}

/// Requests that must stay in some regions ran in others, in first attempts, retries, or where no
/// upstream of their regions was left.
#[test]
fn a_request_runs_in_regions_that_both_its_route_and_its_organisation_allow() {
    let names = |regions: &[&str]| regions.iter().map(|one| (*one).to_owned()).collect();
    for (route_regions, own_regions, allowed) in [
        (&[][..], &[][..], &["x", "y", "z"][..]),
        (&["north"], &[], &["x"]),
        (&[], &["south", "mars"], &["y"]),
        (&["north", "south"], &["south"], &["y"]),
        (&["north"], &["south"], &[]),
        (&["mars"], &[], &[]),
    ] {
        let mut draft = draft();
        draft.routes[0].route.regions = names(route_regions);
        let organisation = Organisation {
            name: "own".to_owned(),
            priority: None,
            quota: None,
            regions: names(own_regions),
        };
        draft.organisations.push((organisation, Vec::new()));
        let catalog = Catalog::try_new(draft, &Catalog::default());
        let catalog = Arc::new(catalog.expect("unknown and contradictory regions are no error"));
        let route = catalog.routes.find("chat").expect("the route is known");
        let organisation = catalog.organisations.find("own");
        let mut broker = new_broker_in(&[("a", "north"), ("b", "south")]);
        assert_eq!(broker.unservable(&catalog).is_empty(), !allowed.is_empty());
        broker.adopt(Millis(0), catalog);
        // The zone of the third one has no region.
        broker.apply(
            Millis(0),
            [put_in("x", "a"), put_in("y", "b"), put_in("z", "c")],
        );
        let (mut tried, mut reached) = (Vec::new(), Vec::new());
        let denied = loop {
            let query = Query {
                route,
                organisation,
                prompt: None,
                tried: &tried,
                is_retry: !tried.is_empty(),
                arrived: Millis(0),
                deadline: Millis(15_000),
                draw: 0.5,
            };
            match broker.place(Millis(10), &query) {
                Ok(grant) => {
                    let upstream = broker.upstream(grant.upstream);
                    let upstream = upstream.expect("the selected upstream is known");
                    reached.push(upstream.instance.name.clone());
                    tried.push(grant.upstream);
                }
                Err(denied) => break denied,
            }
        };
        reached.sort();
        assert_eq!(reached, allowed);
        assert_eq!(denied.kind, Kind::NoUpstream);
        let are_all_allowed = allowed.len() == 3;
        let reasons = [Reason::Region, Reason::NoUpstream];
        assert_eq!(denied.reason, Some(reasons[usize::from(are_all_allowed)]));
    }
}

/// Refusals for want of retries, of upstreams and of spare upstreams looked alike in the log.
#[test]
fn a_refusal_names_its_reason() {
    let mut fixture = set_up(&["x"]);
    let x = fixture.key("x");
    let refuse = |broker: &mut Broker<Fastest>, at, tried: &[_], is_retry| {
        let query = Query {
            route: fixture.route,
            organisation: None,
            prompt: None,
            tried,
            is_retry,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: 0.5,
        };
        let denied = broker.place(Millis(at), &query).err()?;
        Some((denied.kind, denied.reason.expect("a refusal has a reason")))
    };
    let broker = &mut fixture.broker;
    let denied = refuse(broker, 10, &[x], false);
    assert_eq!(denied, Some((Kind::NoUpstream, Reason::NoUpstream)));
    let denied = (0..1_000).find_map(|_| refuse(broker, 20, &[], true));
    assert_eq!(denied, Some((Kind::Overloaded, Reason::RetryBudget)));
    broker.spare(Millis(30), x, Millis(1_000));
    let denied = refuse(broker, 40, &[], false);
    assert_eq!(denied, Some((Kind::Overloaded, Reason::Spared)));
    broker.learn_evacuations(Millis(50), &[order("a", 1, true)]);
    let denied = refuse(broker, 60, &[], false);
    assert_eq!(denied, Some((Kind::Evacuated, Reason::Evacuated)));
}

/// An upstream of which nobody has heard for ten seconds looked idle, and got the next requests of
/// all daemons. Only a catalog with a latency-critical route changes that.
#[test]
fn loads_are_estimated_only_where_a_route_is_latency_critical() {
    for (target, is_tight) in [(1_000, true), (999, false)] {
        let mut fixture = set_up_tight(target, &["old", "new"]);
        assert_eq!(fixture.broker.has_tight(), is_tight);
        let (old, new) = (fixture.key("old"), fixture.key("new"));
        fixture.broker.record_load(Millis(1_000), old, 5, 0);
        fixture.broker.record_load(Millis(11_000), new, 5, 0);
        let query = Query {
            route: fixture.route,
            organisation: None,
            prompt: None,
            tried: &[new],
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: 0.5,
        };
        let grant = fixture.broker.place(Millis(11_000), &query);
        let basis = grant.expect("the old upstream is available").basis;
        let expected = if is_tight { 4 } else { 0 };
        assert_eq!((basis.load, basis.is_estimated), (expected, is_tight));
        assert_eq!(basis.load_age, Some(Millis(10_000)));
    }
}

/// A sighting is as old as its way to this daemon: one that arrives just after an answer does not
/// replace what the answer said.
#[test]
fn a_late_sighting_does_not_replace_a_fresh_answer() {
    let mut fixture = set_up_tight(1_000, &["x"]);
    let key = fixture.key("x");
    fixture.broker.record_load(Millis(1_000), key, 6, 0);
    let stale = Sighting {
        load: Some(0),
        ..Sighting::new(affinity::short_hash("x"))
    };
    fixture.broker.record_sighting(Millis(1_100), &stale);
    let estimate = |broker: &Broker<Fastest>, now| {
        let upstream = broker.upstream(key).expect("the upstream is known");
        upstream.estimate.age(Millis(now))
    };
    assert_eq!(estimate(&fixture.broker, 1_100), Some(Millis(100)));
    fixture.broker.record_sighting(Millis(1_400), &stale);
    assert_eq!(estimate(&fixture.broker, 1_400), Some(Millis(250)));
}
