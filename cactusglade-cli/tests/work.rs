//! Work that may wait, once accepted, finishes after every daemon has been replaced.

mod support;

use std::time::Duration;

use cactusglade_cli::caller;
use cactusglade_cli::demo::objects;
use cactusglade_standin::engine;
use serde_json::Value;
use serde_json::json;

use support::Daemon;
use support::Fleet;
use support::Plan;
use support::wait_until;

const REVIEWS: usize = 10;
const TOKENS: u64 = 150;

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "b"],
        engines: &["a", "b"],
        services: &[],
        ..Plan::default()
    }
}

fn review(content: &str) -> String {
    json!({
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": TOKENS,
    })
    .to_string()
}

async fn submit(daemon: &Daemon, content: &str, key: &str) -> caller::Answer {
    let caller = daemon.caller("cases");
    let answer = caller
        .call_service("POST", objects::REVIEWS, &review(content), Some(key))
        .await;
    answer.expect("it is answered")
}

fn status_path(answer: &caller::Answer) -> String {
    assert_eq!(answer.status, 202, "{answer:?}");
    let body: Value = serde_json::from_str(&answer.body).expect("it is JSON");
    body["status"]
        .as_str()
        .expect("it has an address")
        .to_owned()
}

/// Waits for the answer and checks that it is whole and the right one.
async fn assert_finished(daemon: &Daemon, status_path: &str, content: &str) {
    let caller = daemon.caller("cases");
    let get = || caller.call_service("GET", status_path, "", None);
    wait_until("the work is finished", || async {
        get().await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let answer = get().await.expect("it is answered");
    let body: Value = serde_json::from_str(&answer.body).expect("it is JSON");
    let prompt = caller::prompt(content);
    let expected = (0..TOKENS)
        .map(|index| engine::token(&prompt, index))
        .collect::<String>();
    assert_eq!(body["answer"]["choices"][0]["message"]["content"], expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn it_finishes_after_every_daemon_that_accepted_it_was_replaced() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let mut addresses = Vec::new();
    for number in 0..REVIEWS {
        let (content, key) = (format!("dossier {number}"), format!("review {number}"));
        let answer = submit(&fleet.daemons[number % 2], &content, &key).await;
        addresses.push((status_path(&answer), content));
    }
    // Some of it is under way when its daemons die, one after the other.
    tokio::time::sleep(Duration::from_millis(700)).await;
    for number in 0..2 {
        fleet.start_daemon(&format!("fresh-{number}"), "a", "");
        fleet.daemons[0].process.signal("KILL");
        fleet.daemons.remove(0);
    }
    for daemon in &fleet.daemons {
        wait_until("it is ready", || daemon.is_ready()).await;
    }
    for (status_path, content) in &addresses {
        assert_finished(&fleet.daemons[0], status_path, content).await;
    }
    let rows: Value = fleet.platform.read("rows").await;
    let open = rows.as_object().expect("it is a table").keys();
    assert_eq!(open.filter(|key| key.starts_with("work/open/")).count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_finds_the_same_work_and_strangers_find_nothing() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let first = status_path(&submit(&fleet.daemons[0], "one", "key").await);
    assert_eq!(
        status_path(&submit(&fleet.daemons[1], "one", "key").await),
        first
    );
    assert_eq!(submit(&fleet.daemons[1], "two", "key").await.status, 422);
    assert_finished(&fleet.daemons[1], &first, "one").await;
    assert_eq!(
        status_path(&submit(&fleet.daemons[0], "one", "key").await),
        first
    );
    let other_organisation = fleet.daemons[0].caller("north");
    let answer = other_organisation
        .call_service("GET", &first, "", None)
        .await
        .expect("it is answered");
    assert_eq!(answer.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_out_nothing_is_accepted_and_lost_answers_are_settled() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    let refused = submit(&fleet.daemons[0], "out", "out").await;
    assert_eq!((refused.status, refused.ran.as_deref()), (503, Some("no")));
    fleet
        .platform
        .control("faults", &json!({ "lose_commits": 1 }))
        .await;
    let accepted = status_path(&submit(&fleet.daemons[0], "lost", "lost").await);
    assert_finished(&fleet.daemons[1], &accepted, "lost").await;
}
