//! A published generation is in force on every reachable daemon and never reverts.

mod support;

use cactusglade_cli::demo::objects;
use serde_json::json;

use support::Daemon;
use support::Fleet;
use support::Plan;
use support::output_text;
use support::wait_until;

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "b", "c"],
        engines: &["a", "b", "c"],
        services: &["a"],
        ..Plan::default()
    }
}

async fn wait_in_force(daemon: &Daemon, generation: u64) {
    wait_until("the generation is in force", || async {
        daemon.status().await["generation"].as_u64() >= Some(generation)
    })
    .await;
}

fn publish(fleet: &Fleet) {
    let output = fleet.try_publish(None, &[]);
    assert!(output.status.success(), "{}", output_text(&output));
}

/// Generations that a daemon put in force, in order, as its log says.
fn generations(daemon: &mut Daemon) -> Vec<u64> {
    let lines = daemon.process.log().iter();
    let lines = lines.filter(|line| line.contains("event=generation_in_force"));
    let number = |line: &String| {
        let field = line
            .split_whitespace()
            .find_map(|word| word.strip_prefix("generation="));
        field
            .expect("it is logged")
            .parse()
            .expect("it is a number")
    };
    lines.map(number).collect()
}

fn assert_never_reverted(fleet: &mut Fleet) {
    for daemon in &mut fleet.daemons {
        let generations = generations(daemon);
        assert!(generations.is_sorted(), "{}: {generations:?}", daemon.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn it_reaches_daemons_that_do_not_reach_the_platform() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet.platform_links[1].cut(true);
    fleet.platform_links[2].cut(true);
    publish(&fleet);
    for daemon in &fleet.daemons {
        wait_in_force(daemon, 2).await;
    }
    assert_never_reverted(&mut fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_an_outage_is_served_by_its_peers() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    publish(&fleet);
    wait_in_force(&fleet.daemons[0], 2).await;
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    tokio::task::block_in_place(|| fleet.daemons[1].restart());
    wait_in_force(&fleet.daemons[1], 2).await;
    let caller = fleet.daemons[1].caller("north");
    let stream = caller.chat(objects::CHAT, "outage", 10).await;
    assert!(stream.expect("it is answered").is_complete("outage", 10));
    assert!(fleet.daemons[1].status().await["platform_answered_ms_ago"].is_null());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_head_from_the_store_is_refused_also_by_a_daemon_that_starts() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    publish(&fleet);
    for daemon in &fleet.daemons {
        wait_in_force(daemon, 2).await;
    }
    fleet
        .platform
        .control("faults", &json!({ "older_head": true }))
        .await;
    wait_until("the older head is noticed", || async {
        fleet.daemons[0].metric("cactusglade_older_heads").await > 0.0
    })
    .await;
    tokio::task::block_in_place(|| fleet.daemons[1].restart());
    wait_in_force(&fleet.daemons[1], 2).await;
    assert_eq!(
        generations(&mut fleet.daemons[1]),
        [2],
        "it began with the older one"
    );
    assert_never_reverted(&mut fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_serves_what_it_can_and_catches_up() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet.partition(&[2]);
    publish(&fleet);
    wait_in_force(&fleet.daemons[0], 2).await;
    wait_in_force(&fleet.daemons[1], 2).await;
    let caller = fleet.daemons[2].caller("north");
    let stream = caller.chat(objects::CHAT, "cut off", 10).await;
    assert!(stream.expect("it is answered").is_complete("cut off", 10));
    let check = caller
        .call_service("GET", "/status/1", "", None)
        .await
        .expect("it is answered");
    assert_eq!(check.status, 200);
    let booking = caller
        .call_service("POST", objects::BOOKINGS, "{}", Some("cut"))
        .await;
    let booking = booking.expect("it is answered");
    assert_eq!(
        (booking.status, booking.ran.as_deref()),
        (503, Some("no")),
        "{booking:?}"
    );
    assert_eq!(fleet.daemons[2].status().await["generation"], 1);
    fleet.heal();
    wait_in_force(&fleet.daemons[2], 2).await;
    wait_until("the key can be booked", || async {
        let booking = caller
            .call_service("POST", objects::BOOKINGS, "{}", Some("cut"))
            .await;
        booking.is_ok_and(|booking| booking.status == 201)
    })
    .await;
    assert_eq!(fleet.journal().await.len(), 1);
    assert_never_reverted(&mut fleet);
}
