//! Each caller gets the complete answer to its own request, and "not run" only if it did not run.

mod support;

use cactusglade_cli::demo::objects;
use serde_json::json;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;

const TOKENS: u64 = 50;

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "a"],
        engines: &["a", "a"],
        services: &["a"],
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_are_complete_under_every_fault_of_engines() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let faults = [
        json!({ "cross": 5 }),
        json!({ "truncate": 5 }),
        json!({ "duplicate": 5 }),
        json!({ "die": 5, "die_after": 20 }),
        json!({ "refuse": true }),
        json!({ "delay_ms": 200 }),
    ];
    for fault in faults {
        fleet.engines[0].control("faults", &fault).await;
        let mut chats = JoinSet::new();
        for number in 0..20 {
            let caller = fleet.daemons[number % 2].caller("north");
            chats.spawn(async move {
                let content = format!("question {number}");
                let stream = caller.chat(objects::CHAT, &content, TOKENS).await;
                (content, stream.expect("the connection is not lost"))
            });
        }
        while let Some(chat) = chats.join_next().await {
            let (content, stream) = chat.expect("the task does not panic");
            assert!(
                stream.is_complete(&content, TOKENS),
                "{fault}: {:?}",
                stream.failure
            );
        }
        fleet.engines[0].control("faults", &json!({})).await;
    }
}

/// Books with and without an idempotency key under each fault, and compares the answers with the
/// runs in the service's journal.
#[tokio::test(flavor = "multi_thread")]
async fn the_answer_to_a_booking_agrees_with_the_journal() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let faults = [
        (json!({}), 201, None),
        (json!({ "refuse": true }), 502, Some("no")),
        (json!({ "lose_answers": 9 }), 502, Some("maybe")),
        (json!({ "cross_answers": 9 }), 502, Some("maybe")),
        (json!({ "cut_answers": 9 }), 502, Some("maybe")),
    ];
    for (number, (fault, status, ran)) in faults.iter().enumerate() {
        for keyed in [false, true] {
            fleet.services[0].control("faults", fault).await;
            let body = format!("{{\"case\":\"{number} {keyed}\"}}");
            let key = keyed.then(|| format!("key {number}"));
            let caller = fleet.daemons[0].caller("cases");
            let book = || caller.call_service("POST", objects::BOOKINGS, &body, key.as_deref());
            let answer = book().await.expect("the daemon answers");
            assert_eq!(answer.status, *status, "{fault}: {answer:?}");
            assert_eq!(answer.ran.as_deref(), *ran, "{fault}: {answer:?}");
            let runs = || async {
                let journal = fleet.journal().await;
                journal.iter().filter(|run| run.body == body).count()
            };
            let expected = usize::from(*ran != Some("no"));
            assert_eq!(runs().await, expected, "{fault}");
            fleet.services[0].control("faults", &json!({})).await;
            if keyed {
                let repeat = book().await.expect("the daemon answers");
                let settled = match ran {
                    Some("maybe") => 409,
                    _ => 201,
                };
                assert_eq!(repeat.status, settled, "{fault}: {repeat:?}");
                assert_eq!(runs().await, 1, "{fault}: the repeat ran again");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_until_its_answer_is_complete() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    for fault in ["lose_answers", "cross_answers", "cut_answers"] {
        fleet.services[0]
            .control("faults", &json!({ fault: 1 }))
            .await;
        let caller = fleet.daemons[0].caller("south");
        let answer = caller
            .call_service("GET", "/status/1", "", None)
            .await
            .expect("the daemon answers");
        assert_eq!(answer.status, 200, "{fault}: {answer:?}");
        let body: serde_json::Value =
            serde_json::from_str(&answer.body).expect("the body is complete JSON");
        assert_eq!(body["path"], "/status/1");
    }
}
