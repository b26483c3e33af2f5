//! Publishing, serving and reading the status, end to end through separate processes.

mod support;

use std::collections::BTreeMap;

use cactusglade_cli::demo::objects;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;
use support::output_text;
use support::run_tool;
use support::wait_until;

const CHATS: u64 = 24;
const BOOKINGS: u64 = 24;
const MAX_TOKENS: u64 = 40;

#[tokio::test(flavor = "multi_thread")]
async fn streams_and_bookings_are_served_by_separate_processes() {
    let fleet = Fleet::start(&Plan::default());
    let published = fleet.publish(None).await;
    assert!(published.contains("published generation 1"), "{published}");
    assert!(
        published.contains("zone a: in force on 2 of 2"),
        "{published}"
    );
    assert!(
        published.contains("zone b: in force on 1 of 1"),
        "{published}"
    );

    let mut calls = JoinSet::new();
    for number in 0..CHATS {
        let daemon = &fleet.daemons[usize::try_from(number).unwrap() % fleet.daemons.len()];
        let caller = daemon.caller("north");
        calls.spawn(async move {
            let content = format!("question {number}");
            let stream = caller.chat(objects::CHAT, &content, MAX_TOKENS).await;
            let stream = stream.expect("the daemon answers");
            assert!(stream.is_complete(&content, MAX_TOKENS), "{stream:?}");
            assert_eq!(stream.version, "chat-v1");
        });
    }
    for number in 0..BOOKINGS {
        let daemon = &fleet.daemons[usize::try_from(number).unwrap() % fleet.daemons.len()];
        let caller = daemon.caller("cases");
        calls.spawn(async move {
            let (body, key) = (format!("{{\"slot\":{number}}}"), format!("key-{number}"));
            let answer = caller
                .call_service("POST", objects::BOOKINGS, &body, Some(&key))
                .await;
            assert_eq!(answer.expect("the daemon answers").status, 201);
        });
    }
    while let Some(call) = calls.join_next().await {
        call.expect("the call does not panic");
    }

    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for run in fleet.journal().await {
        assert_eq!(run.organisation, "cases");
        *runs.entry(run.body).or_default() += 1;
    }
    assert_eq!(u64::try_from(runs.len()).unwrap(), BOOKINGS);
    assert!(runs.values().all(|times| *times == 1), "{runs:?}");

    let operators = fleet.daemons[2].operators.to_string();
    let status = run_tool(&["status", &operators]);
    assert!(status.status.success());
    let text = output_text(&status);
    for daemon in &fleet.daemons {
        let line = format!("daemon {}: zone", daemon.name);
        assert!(text.contains(&line), "{text}");
    }
    let json = run_tool(&["status", &operators, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("the body is JSON");
    assert_eq!(json["generation"], 1);
    assert_eq!(json["granted_leaving"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_set_is_refused_as_a_whole_with_every_error() {
    let fleet = Fleet::start(&Plan {
        daemons: &[],
        engines: &[],
        services: &[],
        ..Plan::default()
    });
    let folder = fleet.write_objects(None);
    let broken = "[route.lost]\npath = \"lost\"\nmodel = \"none\"\ncolour = 1\n";
    std::fs::write(folder.join("broken.toml"), broken).expect("the object file can be written");
    let (folder, platform) = (
        folder.display().to_string(),
        fleet.platform.address.to_string(),
    );
    let output = run_tool(&["publish", &folder, "--platform", &platform]);
    assert_eq!(output.status.code(), Some(2));
    let text = output_text(&output);
    for part in [
        "broken.toml: route.lost.path:",
        "route.lost.colour:",
        "route.lost.model:",
    ] {
        assert!(text.contains(part), "{part} is missing from {text}");
    }
    let rows: serde_json::Value = fleet.platform.read("rows").await;
    assert_eq!(rows, serde_json::json!({}), "something was published");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_operators_wins_and_the_others_get_its_name() {
    let fleet = Fleet::start(&Plan {
        daemons: &[],
        ..Plan::default()
    });
    let objects = fleet.write_objects(None).display().to_string();
    let platform = fleet.platform.address.to_string();
    // Delays reads of the head, so that all operators read the same generation.
    fleet
        .platform
        .control("faults", &serde_json::json!({ "delay_ms": 300 }))
        .await;
    let race = (0..4).map(|number| {
        let (objects, platform) = (objects.clone(), platform.clone());
        std::thread::spawn(move || {
            let author = format!("operator-{number}");
            run_tool(&[
                "publish",
                &objects,
                "--platform",
                &platform,
                "--author",
                &author,
            ])
        })
    });
    let race = race.collect::<Vec<_>>();
    let outputs = race
        .into_iter()
        .map(|one| one.join().expect("the thread does not panic"))
        .collect::<Vec<_>>();
    let won = outputs
        .iter()
        .filter(|output| output.status.success())
        .count();
    assert_eq!(won, 1, "{outputs:?}");
    for output in outputs.iter().filter(|output| !output.status.success()) {
        let text = output_text(output);
        assert!(text.contains("published generation 1 first"), "{text}");
        assert!(text.contains("operator-"), "{text}");
    }
    let output = fleet.try_publish(None, &["--expect", "7"]);
    assert!(output_text(&output).contains("generation 7 was expected but 1 is current"));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_outcome_of_a_publish_whose_answer_is_lost_is_resolved() {
    let fleet = Fleet::start(&Plan {
        daemons: &[],
        ..Plan::default()
    });
    fleet
        .platform
        .control("faults", &serde_json::json!({ "lose_commits": 1 }))
        .await;
    let output = fleet.try_publish(None, &[]);
    assert!(
        output_text(&output).contains("published generation 1"),
        "{}",
        output_text(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_whose_objects_cannot_be_fetched_is_not_reported_in_force() {
    let fleet = Fleet::start(&Plan::default());
    fleet
        .platform
        .control("faults", &serde_json::json!({ "hide_objects": true }))
        .await;
    let output = fleet.try_publish(None, &[]);
    assert!(output.status.success(), "{}", output_text(&output));
    // A failed fetch shows that the daemon has read the new head.
    for daemon in &fleet.daemons {
        wait_until(
            "the daemon has failed to fetch the objects of the new head",
            || async { daemon.metric("cactusglade_failed_fetches").await > 0.0 },
        )
        .await;
    }
    let operators = fleet.daemons[0].operators.to_string();
    let waiting = fleet.try_publish(None, &["--wait", &operators, "--wait-seconds", "3"]);
    assert_eq!(waiting.status.code(), Some(1), "{}", output_text(&waiting));
    assert!(!fleet.daemons[0].is_ready().await);
    fleet
        .platform
        .control("faults", &serde_json::json!({}))
        .await;
    for daemon in &fleet.daemons {
        wait_until("the daemon is ready", || daemon.is_ready()).await;
    }
}
