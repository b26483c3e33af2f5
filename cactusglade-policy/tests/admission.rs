//! Guards against urgent requests that wait behind deferrable ones, and against deferrable ones that
//! are kept waiting for ever, sent too late, or charged without being sent.

mod support;

use cactusglade_core::arena;
use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Organisation;
use cactusglade_core::catalog::Path;
use cactusglade_core::catalog::Quota;
use cactusglade_core::catalog::Route;
use cactusglade_core::catalog::Rule;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Change;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Decision;
use cactusglade_policy::broker::Denied;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Turn;

use support::pool;

/// A load of the upstream, which has 8 slots, with which a deferrable request leaves a quarter of them
/// free, and one with which it doesn't.
const ROOM: u64 = 5;
const FULL: u64 = 8;
const SMALL: u64 = 100;
const TIMEOUT: Millis = Millis(15_000);

struct Fixture {
    broker: Broker<Fastest>,
    urgent: arena::Route,
    deferrable: arena::Route,
}

fn rule(name: &str, target: u64) -> Rule {
    Rule {
        path: Path {
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
        },
        route: Route {
            name: name.to_owned(),
            latency_target: Millis(target),
            ..pool::route()
        },
        split: vec![("pool".to_owned(), 1)],
    }
}

fn organisation(name: &str, rate: Option<f64>) -> (Organisation, Vec<String>) {
    let quota = rate.map(|rate| Quota {
        rate,
        burst: 0.0,
        counts_tokens: false,
        default_units: 1,
    });
    let organisation = Organisation {
        name: name.to_owned(),
        priority: None,
        quota,
        regions: Vec::new(),
    };
    (organisation, Vec::new())
}

/// A daemon before one upstream with this load; the targets are 500 ms and 2 s.
fn set_up(load: u64) -> Fixture {
    let options = Options {
        tight_target: Some(Millis(600)),
        ..pool::options()
    };
    let mut broker = Broker::new(options, Fastest);
    let mut draft = pool::draft(pool::route());
    draft.routes = vec![rule("urgent", 500), rule("deferrable", 2_000)];
    draft.organisations = vec![
        organisation("flood", None),
        organisation("other", None),
        organisation("limited", Some(1.0)),
    ];
    let catalog: std::sync::Arc<Catalog> = pool::catalog(draft);
    let route = |name: &str| catalog.routes.find(name).expect("the route is there");
    let (urgent, deferrable) = (route("urgent"), route("deferrable"));
    broker.adopt(Millis(0), catalog.clone());
    broker.apply(Millis(0), [pool::put(pool::instance("x"))]);
    let mut fixture = Fixture {
        broker,
        urgent,
        deferrable,
    };
    fixture.report(Millis(0), load);
    fixture
}

impl Fixture {
    /// Has the upstream state a load.
    fn report(&mut self, now: Millis, load: u64) {
        let mut upstreams = self.broker.upstreams().map(|(key, _)| key);
        let key = upstreams.next().expect("the upstream is known");
        drop(upstreams);
        self.broker.record_load(now, key, load, 0);
    }

    fn organisation(&self, name: &str) -> Option<arena::Organisation> {
        self.broker.catalog().organisations.find(name)
    }

    fn ask(
        &mut self,
        now: u64,
        route: arena::Route,
        organisation: Option<arena::Organisation>,
        tokens: u64,
    ) -> Result<Decision, Denied> {
        let prompt = Prompt {
            input_tokens: tokens,
            ..Prompt::default()
        };
        self.ask_with(now, route, organisation, &prompt)
    }

    fn ask_with(
        &mut self,
        now: u64,
        route: arena::Route,
        organisation: Option<arena::Organisation>,
        prompt: &Prompt,
    ) -> Result<Decision, Denied> {
        let query = Query {
            route,
            organisation,
            prompt: Some(prompt),
            tried: &[],
            is_retry: false,
            arrived: Millis(now),
            deadline: Millis(now) + TIMEOUT,
            draw: 0.5,
        };
        assert!(self.broker.admits(&query));
        self.broker.admit(Millis(now), &query)
    }

    /// Asks for a deferrable request, which must wait.
    fn defer(
        &mut self,
        now: u64,
        organisation: Option<arena::Organisation>,
        tokens: u64,
    ) -> arena::Waiting {
        match self.ask(now, self.deferrable, organisation, tokens) {
            Ok(Decision::Waits(key, _)) => key,
            decided => panic!("the request does not wait: {decided:?}"),
        }
    }

    fn advance(&mut self, now: u64) -> Vec<Turn> {
        self.broker.advance(Millis(now), || 0.5)
    }
}

fn is_sent(decided: &Result<Decision, Denied>) -> bool {
    matches!(decided, Ok(Decision::Sent(_)))
}

/// Deferrable requests took all slots, and urgent ones waited for them to end.
#[test]
fn urgent_requests_are_sent_while_deferrable_ones_wait() {
    let mut fixture = set_up(ROOM + 1);
    let (urgent, deferrable) = (fixture.urgent, fixture.deferrable);
    fixture.defer(0, None, SMALL);
    assert!(is_sent(&fixture.ask(1, urgent, None, SMALL)));
    assert!(fixture.advance(100).is_empty());
    let mut free = set_up(ROOM);
    assert!(is_sent(&free.ask(0, deferrable, None, SMALL)));
    // That one took the last slot that is not reserved.
    free.defer(1, None, SMALL);
}

/// An operator who asks where a request would be sent must learn that it would wait.
#[test]
fn an_explanation_states_that_a_request_would_wait() {
    for (load, waits) in [(ROOM, false), (ROOM + 1, true)] {
        let fixture = set_up(load);
        for (route, waits) in [(fixture.urgent, false), (fixture.deferrable, waits)] {
            let prompt = Prompt::default();
            let query = Query {
                route,
                organisation: None,
                prompt: Some(&prompt),
                tried: &[],
                is_retry: false,
                arrived: Millis(0),
                deadline: TIMEOUT,
                draw: 0.5,
            };
            let explained = fixture.broker.explain(Millis(0), &query);
            assert_eq!(explained.map(|explained| explained.waits), Ok(waits));
        }
    }
}

/// Prompts that an upstream has still to read keep an urgent request waiting as much as taken slots.
#[test]
fn an_upstream_that_reads_for_long_has_no_room() {
    let mut fixture = set_up(0);
    let (urgent, deferrable) = (fixture.urgent, fixture.deferrable);
    // 7,000 tokens take 124 ms; a fifth of the shortest target is 100 ms.
    assert!(is_sent(&fixture.ask(0, urgent, None, 7_000)));
    fixture.defer(1, None, SMALL);
    let mut short = set_up(0);
    assert!(is_sent(&short.ask(0, urgent, None, 5_000)));
    assert!(is_sent(&short.ask(1, deferrable, None, SMALL)));
}

/// An organisation that sends many requests at once must not keep those of others waiting.
#[test]
fn an_organisation_that_floods_the_queue_shares_the_room() {
    let mut fixture = set_up(FULL);
    let [flood, other] = ["flood", "other"].map(|name| fixture.organisation(name));
    let flooding = (0..6).map(|at| fixture.defer(at, flood, SMALL));
    let flooding = flooding.collect::<Vec<_>>();
    let last = fixture.defer(10, other, SMALL);
    let mut sent = Vec::new();
    for at in [100, 200] {
        fixture.report(Millis(at), 0);
        let turns = fixture.advance(at);
        assert_eq!(turns.len(), 1, "one at a time");
        sent.extend(turns.into_iter().map(|turn| turn.key));
    }
    assert_eq!(sent, [flooding[0], last]);
}

/// Where small requests overtook, a long prompt would be late at any load.
#[test]
fn a_long_prompt_is_sent_before_small_ones_that_came_later() {
    let mut fixture = set_up(FULL);
    let long = fixture.defer(0, None, 50_000);
    fixture.defer(1, None, SMALL);
    fixture.report(Millis(100), 0);
    let turns = fixture.advance(100);
    assert_eq!(
        turns.iter().map(|turn| turn.key).collect::<Vec<_>>(),
        [long]
    );
    assert!(turns[0].has_room && turns[0].result.is_ok());
}

/// A request whose caller has left would take a slot for nobody and be charged.
#[test]
fn a_request_whose_caller_left_is_never_sent() {
    let mut fixture = set_up(FULL);
    let key = fixture.defer(0, None, SMALL);
    fixture.broker.leave(Millis(50), key);
    fixture.report(Millis(100), 0);
    assert!(fixture.advance(100).is_empty());
    assert!(!fixture.broker.has_waiting());
}

/// A request that waited until it was late would have been in time where one slot was free for it.
#[test]
fn a_request_is_sent_at_the_last_moment_at_which_it_can_be_in_time() {
    let mut fixture = set_up(ROOM + 1);
    fixture.defer(0, None, SMALL);
    fixture.report(Millis(1_500), ROOM + 1);
    assert!(fixture.advance(1_500).is_empty());
    fixture.report(Millis(1_850), ROOM + 1);
    let turns = fixture.advance(1_850);
    assert_eq!(turns.len(), 1);
    assert!(turns[0].result.is_ok() && !turns[0].has_room);
    assert_eq!(turns[0].waited, Millis(1_850));
}

/// Requests that can only be late took the slots of those that can be in time, and callers that were
/// not told waited in vain.
#[test]
fn a_request_that_can_only_be_late_waits_behind_the_others_and_is_refused() {
    let mut fixture = set_up(FULL);
    let late = fixture.defer(0, None, SMALL);
    fixture.report(Millis(2_500), FULL);
    let punctual = fixture.defer(2_500, None, SMALL);
    fixture.report(Millis(2_600), 0);
    let turns = fixture.advance(2_600);
    assert_eq!(
        turns.iter().map(|turn| turn.key).collect::<Vec<_>>(),
        [punctual]
    );
    // The caller waits for four targets.
    fixture.report(Millis(4_000), FULL);
    let turns = fixture.advance(4_000);
    assert_eq!(
        turns.iter().map(|turn| turn.key).collect::<Vec<_>>(),
        [late]
    );
    let denied = turns[0].result.expect_err("it is refused");
    assert_eq!(denied.reason, Some(Reason::Late));
    assert_eq!(denied.kind, Kind::Overloaded);
}

/// Requests that could only be late waited for upstreams with their prompts, and were refused while new
/// upstreams were idle.
#[test]
fn a_late_request_goes_to_an_upstream_without_its_prompt() {
    let mut fixture = set_up(0);
    let part = |id, tokens| Part { id, tokens };
    let prompt = Prompt {
        input_tokens: 2_000,
        parts: vec![part(1, 1_900), part(2, 100)],
        ..Prompt::default()
    };
    let urgent = fixture.urgent;
    assert!(is_sent(&fixture.ask_with(0, urgent, None, &prompt)));
    let new = pool::put(pool::instance("y"));
    fixture.broker.apply(Millis(100), [new]);
    fixture.report(Millis(100), FULL + 2);
    let decided = fixture.ask_with(100, fixture.deferrable, None, &prompt);
    assert!(matches!(decided, Ok(Decision::Waits(..))), "{decided:?}");
    for (now, is_late) in [(600, false), (1_200, false), (2_200, true)] {
        fixture.report(Millis(now), FULL + 2);
        let turns = fixture.advance(now);
        let sent = turns.iter().filter(|turn| turn.result.is_ok());
        assert_eq!(sent.count(), usize::from(is_late), "after {now} ms");
    }
}

/// A caller that can't be served in time must learn it immediately, to try elsewhere.
#[test]
fn requests_whose_wait_would_be_too_long_are_refused() {
    let mut fixture = set_up(FULL);
    for at in 0..10 {
        fixture.defer(at, None, SMALL);
    }
    fixture.report(Millis(1_000), FULL);
    assert!(fixture.advance(1_000).is_empty());
    let denied = fixture.ask(1_001, fixture.deferrable, None, SMALL);
    let denied = denied.expect_err("ten requests wait and none was sent for a second");
    assert_eq!(denied.reason, Some(Reason::Room));
    assert!(denied.retry_after.is_some_and(|after| after > Millis(0)));
    // This holds for urgent requests, too, where no upstream can begin in time.
    fixture.report(Millis(1_100), 200);
    let denied = fixture.ask(1_100, fixture.urgent, None, SMALL);
    let denied = denied.expect_err("a queue of 192 requests takes 11 s");
    assert_eq!(denied.reason, Some(Reason::Late));
}

/// A request that waits and is never sent must not use up the quota, and waiting must not exceed it.
#[test]
fn the_quota_is_charged_when_the_request_is_sent() {
    let mut fixture = set_up(FULL);
    let limited = fixture.organisation("limited");
    // The bucket begins empty and holds less than two units.
    let at = 8_000;
    fixture.report(Millis(at), FULL);
    for index in 0..4 {
        fixture.defer(at + index, limited, SMALL);
    }
    let mut results = Vec::new();
    for look in 1..=4 {
        let now = at + look * 100;
        fixture.report(Millis(now), 0);
        results.extend(fixture.advance(now).into_iter().map(|turn| turn.result));
    }
    let sent = results.iter().filter(|result| result.is_ok()).count();
    let refused = results.iter().filter_map(|result| result.err());
    assert!((1..4).contains(&sent), "{sent} sent");
    assert!(refused.clone().count() > 0);
    for denied in refused {
        assert_eq!(denied.kind, Kind::LimitExceeded);
    }
}

/// A daemon that was suspended must not send requests whose callers have given up.
#[test]
fn a_daemon_that_was_frozen_refuses_what_is_over_and_sends_the_rest() {
    let mut fixture = set_up(FULL);
    let over = fixture.defer(0, None, SMALL);
    fixture.report(Millis(9_000), FULL);
    let rest = fixture.defer(9_000, None, SMALL);
    fixture.report(Millis(9_100), 0);
    let turns = fixture.advance(9_100);
    let result = |key| {
        turns
            .iter()
            .find(|turn| turn.key == key)
            .map(|turn| turn.result)
    };
    let denied = result(over).and_then(Result::err);
    assert_eq!(denied.and_then(|denied| denied.reason), Some(Reason::Late));
    assert!(result(rest).is_some_and(|result| result.is_ok()));
}

/// A daemon that shuts down has no time left for requests to wait.
#[test]
fn a_daemon_that_shuts_down_sends_all_waiting_requests() {
    let mut fixture = set_up(FULL);
    for at in 0..5 {
        fixture.defer(at, None, SMALL);
    }
    fixture.broker.drain();
    let turns = fixture.advance(10);
    assert_eq!(turns.len(), 5);
    assert!(turns.iter().all(|turn| turn.result.is_ok()));
    assert!(is_sent(&fixture.ask(11, fixture.deferrable, None, SMALL)));
}

/// Requests must not wait for upstreams that are gone until their time is over.
#[test]
fn waiting_requests_are_refused_where_no_upstream_is_left() {
    let mut fixture = set_up(FULL);
    fixture.defer(0, None, SMALL);
    let gone = Change::Removed("x".to_owned());
    fixture.broker.apply(Millis(10), [gone]);
    fixture.broker.remove_expired(Millis(10_000));
    let turns = fixture.advance(3_000);
    let denied = turns.first().and_then(|turn| turn.result.err());
    assert_eq!(
        denied.and_then(|denied| denied.reason),
        Some(Reason::NoUpstream)
    );
}

/// Deployments without a latency-critical route, and retries anywhere, are served as before.
#[test]
fn other_requests_never_wait() {
    let mut fixture = set_up(FULL);
    let prompt = Prompt::default();
    let query = Query {
        route: fixture.deferrable,
        organisation: None,
        prompt: Some(&prompt),
        tried: &[],
        is_retry: false,
        arrived: Millis(0),
        deadline: TIMEOUT,
        draw: 0.5,
    };
    let retry = Query {
        is_retry: true,
        ..query.clone()
    };
    let plain = Query {
        prompt: None,
        ..query.clone()
    };
    assert!(!fixture.broker.admits(&retry) && !fixture.broker.admits(&plain));
    let mut draft = pool::draft(pool::route());
    draft.version = 2;
    draft.routes = vec![rule("urgent", 800), rule("deferrable", 2_000)];
    let before = fixture.broker.catalog().clone();
    let catalog = Catalog::try_new(draft, &before).expect("the draft is valid");
    fixture
        .broker
        .adopt(Millis(1), std::sync::Arc::new(catalog));
    assert!(!fixture.broker.admits(&query));
}
