//! Accepted deferrable work finishes, even after every daemon has been replaced.

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
    answer.expect("the daemon answers")
}

fn status_path(answer: &caller::Answer) -> String {
    assert_eq!(answer.status, 202, "{answer:?}");
    let body: Value = serde_json::from_str(&answer.body).expect("the body is JSON");
    body["status"]
        .as_str()
        .expect("the answer has a status path")
        .to_owned()
}

/// Waits for the answer and checks that it is the complete answer to this content.
async fn assert_finished(daemon: &Daemon, status_path: &str, content: &str) {
    let caller = daemon.caller("cases");
    let get = || caller.call_service("GET", status_path, "", None);
    wait_until("the work is finished", || async {
        get().await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let answer = get().await.expect("the daemon answers");
    let body: Value = serde_json::from_str(&answer.body).expect("the body is JSON");
    let prompt = caller::prompt(content);
    let expected = (0..TOKENS)
        .map(|index| engine::token(&prompt, index))
        .collect::<String>();
    assert_eq!(body["answer"]["choices"][0]["message"]["content"], expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn work_finishes_after_every_daemon_that_accepted_it_was_replaced() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let mut submitted = Vec::new();
    for number in 0..REVIEWS {
        let (content, key) = (format!("dossier {number}"), format!("review {number}"));
        let answer = submit(&fleet.daemons[number % 2], &content, &key).await;
        submitted.push((status_path(&answer), content));
    }
    // Some of the work is running when its daemons are killed, one after the other.
    tokio::time::sleep(Duration::from_millis(700)).await;
    for number in 0..2 {
        fleet.start_daemon(&format!("fresh-{number}"), "a", "");
        fleet.daemons[0].process.signal("KILL");
        fleet.daemons.remove(0);
    }
    for daemon in &fleet.daemons {
        wait_until("the daemon is ready", || daemon.is_ready()).await;
    }
    for (status_path, content) in &submitted {
        assert_finished(&fleet.daemons[0], status_path, content).await;
    }
    let rows: Value = fleet.platform.read("rows").await;
    let open = rows.as_object().expect("the rows are a JSON object").keys();
    assert_eq!(open.filter(|key| key.starts_with("work/open/")).count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_finds_the_same_work_and_other_organisations_find_none() {
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
        .expect("the daemon answers");
    assert_eq!(answer.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_accepted_without_the_store_and_lost_answers_are_resolved() {
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
