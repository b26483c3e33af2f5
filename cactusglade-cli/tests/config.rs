//! A published generation reaches every daemon that a peer or the platform can reach, and no daemon
//! reverts to an older one.

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

/// Generations that came into force on a daemon, in the order of its log.
fn generations(daemon: &mut Daemon) -> Vec<u64> {
    let lines = daemon.process.log().iter();
    let lines = lines.filter(|line| line.contains("event=generation_in_force"));
    let number = |line: &String| {
        let field = line
            .split_whitespace()
            .find_map(|word| word.strip_prefix("generation="));
        field
            .expect("the event has a generation")
            .parse()
            .expect("the generation is a number")
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
async fn a_generation_reaches_daemons_that_do_not_reach_the_platform() {
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
async fn a_daemon_that_starts_during_an_outage_gets_the_generation_from_peers() {
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
    assert!(
        stream
            .expect("the daemon answers")
            .is_complete("outage", 10)
    );
    assert!(fleet.daemons[1].status().await["platform_answered_ms_ago"].is_null());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_head_from_the_store_is_refused_also_by_a_starting_daemon() {
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
    wait_until("the daemon has counted the older head", || async {
        fleet.daemons[0].metric("cactusglade_older_heads").await > 0.0
    })
    .await;
    tokio::task::block_in_place(|| fleet.daemons[1].restart());
    wait_in_force(&fleet.daemons[1], 2).await;
    assert_eq!(
        generations(&mut fleet.daemons[1]),
        [2],
        "the restarted daemon put the older generation in force"
    );
    assert_never_reverted(&mut fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_zone_serves_what_needs_no_store_and_catches_up() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    fleet.partition(&[2]);
    publish(&fleet);
    wait_in_force(&fleet.daemons[0], 2).await;
    wait_in_force(&fleet.daemons[1], 2).await;
    let caller = fleet.daemons[2].caller("north");
    let stream = caller.chat(objects::CHAT, "cut off", 10).await;
    assert!(
        stream
            .expect("the daemon answers")
            .is_complete("cut off", 10)
    );
    let check = caller
        .call_service("GET", "/status/1", "", None)
        .await
        .expect("the daemon answers");
    assert_eq!(check.status, 200);
    let booking = caller
        .call_service("POST", objects::BOOKINGS, "{}", Some("cut"))
        .await;
    let booking = booking.expect("the daemon answers");
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
