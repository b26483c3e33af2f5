//! A non-idempotent request runs at most once: compares the callers' answers with the runs that the
//! services recorded, under faults of daemons and the store.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cactusglade_cli::caller;
use cactusglade_cli::caller::Answer;
use cactusglade_cli::demo::objects;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;
use support::wait_until;

const KEYS: usize = 30;
const REPEATS: usize = 4;

fn seed() -> u64 {
    let given = std::env::var("CACTUSGLADE_SEED").ok();
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("CACTUSGLADE_SEED={seed}");
    seed
}

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "b", "c"],
        engines: &[],
        services: &["a", "b"],
        ..Plan::default()
    }
}

/// Answers to all calls with one idempotency key.
#[derive(Debug, Default)]
struct History {
    answers: Vec<caller::Result<Answer>>,
}

fn body(key: &str) -> String {
    format!("{{\"slot\":\"{key}\"}}")
}

/// Sends concurrent calls with every key through random daemons.
fn calls(fleet: &Fleet, name: &str, seed: u64) -> JoinSet<(String, caller::Result<Answer>)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    for number in 0..KEYS {
        let key = format!("{name}-{number}");
        for _ in 0..REPEATS {
            let index = random.random_range(0..fleet.daemons.len());
            let caller = fleet.daemons[index].caller("cases");
            let pause = Duration::from_millis(random.random_range(0..1_500));
            let key = key.clone();
            calls.spawn(async move {
                tokio::time::sleep(pause).await;
                let body = body(&key);
                let call = caller.call_service("POST", objects::BOOKINGS, &body, Some(&key));
                let answer = call.await;
                (key, answer)
            });
        }
    }
    calls
}

async fn collect_histories(
    mut calls: JoinSet<(String, caller::Result<Answer>)>,
) -> BTreeMap<String, History> {
    let mut histories: BTreeMap<String, History> = BTreeMap::new();
    while let Some(call) = calls.join_next().await {
        let (key, answer) = call.expect("the task does not panic");
        histories.entry(key).or_default().answers.push(answer);
    }
    histories
}

/// Checks the callers' answers against the runs of the services; returns the number of confirmed
/// keys.
async fn check(fleet: &Fleet, histories: &BTreeMap<String, History>) -> usize {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in fleet.journal().await {
        *runs.entry(run.body).or_default() += 1;
    }
    let mut confirmed = 0;
    for (key, history) in histories {
        let ran = runs.get(&body(key)).copied().unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times: {history:?}");
        let answers = history.answers.iter().flatten();
        let good = answers.clone().filter(|answer| answer.status == 201);
        let mut bodies = good.map(|answer| answer.body.clone()).collect::<Vec<_>>();
        assert!(
            bodies.is_empty() || ran == 1,
            "{key} was confirmed and did not run"
        );
        bodies.dedup();
        assert!(
            bodies.len() <= 1,
            "{key} got different answers: {history:?}"
        );
        let all_not_run = history.answers.iter().all(|answer| {
            answer
                .as_ref()
                .is_ok_and(|answer| answer.ran.as_deref() == Some("no"))
        });
        assert!(
            !(all_not_run && ran > 0),
            "{key} ran although every answer said \"not run\": {history:?}"
        );
        confirmed += usize::from(!bodies.is_empty());
    }
    confirmed
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_through_all_daemons_at_once_run_once() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let histories = collect_histories(calls(&fleet, "calm", seed())).await;
    assert_eq!(check(&fleet, &histories).await, KEYS, "a booking was lost");
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_when_answers_of_the_store_are_lost() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet
        .platform
        .control("faults", &json!({ "lose_commits": 20, "drop_commits": 5 }))
        .await;
    let histories = collect_histories(calls(&fleet, "lossy", seed())).await;
    check(&fleet, &histories).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_are_refused_without_the_store_and_succeed_after_the_outage() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    let caller = fleet.daemons[0].caller("cases");
    let book = || caller.call_service("POST", objects::BOOKINGS, "{\"slot\":\"out\"}", Some("out"));
    let refused = book().await.expect("the daemon answers");
    assert_eq!(
        (refused.status, refused.ran.as_deref()),
        (503, Some("no")),
        "{refused:?}"
    );
    assert!(fleet.journal().await.is_empty());
    // Idempotent requests need no store.
    let check = caller
        .call_service("GET", "/status/1", "", None)
        .await
        .expect("the daemon answers");
    assert_eq!(check.status, 200);
    fleet.platform.control("faults", &json!({})).await;
    wait_until("the same key can be booked", || async {
        book().await.is_ok_and(|answer| answer.status == 201)
    })
    .await;
    assert_eq!(fleet.journal().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_suspended_daemons_run_nothing_twice() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let mut random = StdRng::seed_from_u64(seed());
    // Delays every step, so that a kill or suspension can fall between any two of them.
    fleet
        .platform
        .control("faults", &json!({ "delay_ms": 30 }))
        .await;
    for service in &fleet.services {
        service
            .control("faults", &json!({ "delay_before_ms": 20, "delay_ms": 30 }))
            .await;
    }
    let calls = calls(&fleet, "killed", seed());
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..300))).await;
        let index = random.random_range(0..fleet.daemons.len());
        if random.random_bool(0.5) {
            fleet.daemons[index].process.signal("STOP");
            tokio::time::sleep(Duration::from_millis(random.random_range(50..400))).await;
            fleet.daemons[index].process.signal("CONT");
        } else {
            tokio::task::block_in_place(|| fleet.daemons[index].restart());
        }
    }
    let histories = collect_histories(calls).await;
    check(&fleet, &histories).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_daemon_does_not_run_what_another_daemon_answered() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet
        .platform
        .control("faults", &json!({ "delay_ms": 300 }))
        .await;
    let suspended = fleet.daemons[0].caller("cases");
    let first = tokio::spawn(async move {
        suspended
            .call_service("POST", objects::BOOKINGS, &body("frozen"), Some("frozen"))
            .await
    });
    // The write of the row is in flight when the daemon is suspended.
    tokio::time::sleep(Duration::from_millis(150)).await;
    fleet.daemons[0].process.signal("STOP");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let other = fleet.daemons[1].caller("cases");
    let second = other
        .call_service("POST", objects::BOOKINGS, &body("frozen"), Some("frozen"))
        .await;
    let second = second.expect("the daemon answers");
    fleet.daemons[0].process.signal("CONT");
    let first = first.await.expect("the task does not panic");
    assert!(fleet.journal().await.len() <= 1, "{first:?} {second:?}");
    // Only the daemon that owns the row runs the booking; the other answers that it may have run.
    assert!(
        second.status == 201 || second.ran.as_deref() == Some("maybe"),
        "{second:?}"
    );
}
