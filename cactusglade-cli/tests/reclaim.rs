//! Accepted streams survive the reclaim, crash and suspension of upstreams, and a leaving upstream
//! gets no new requests.

mod support;

use std::time::Duration;

use cactusglade_cli::demo::objects;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;
use support::wait_until;

const TOKENS: u64 = 1_000;
const STREAMS: u64 = 12;

/// Starts long streams through all daemons and waits until all of them are open.
async fn streams(fleet: &Fleet) -> JoinSet<()> {
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let index = usize::try_from(number).unwrap() % fleet.daemons.len();
        let caller = fleet.daemons[index].caller("north");
        streams.spawn(async move {
            let content = format!("long {number}");
            let stream = caller.chat(objects::CHAT, &content, TOKENS).await;
            let stream = stream.expect("the connection is not lost");
            assert!(stream.is_complete(&content, TOKENS), "{:?}", stream.failure);
        });
    }
    wait_until("all streams are open", || async {
        let mut open = 0;
        for daemon in &fleet.daemons {
            open += daemon.status().await["open"].as_u64().unwrap_or(0);
        }
        open == STREAMS
    })
    .await;
    // By then, every stream has received some tokens.
    tokio::time::sleep(Duration::from_millis(300)).await;
    streams
}

async fn assert_all_complete(mut streams: JoinSet<()>) {
    while let Some(stream) = streams.join_next().await {
        stream.expect("the stream is complete");
    }
}

async fn metric(fleet: &Fleet, name: &str) -> f64 {
    let mut sum = 0.0;
    for daemon in &fleet.daemons {
        sum += daemon.metric(name).await;
    }
    sum
}

async fn requests(fleet: &Fleet, engine: usize) -> u64 {
    let totals: serde_json::Value = fleet.engines[engine].read("totals").await;
    totals["requests"]
        .as_u64()
        .expect("the totals have a request count")
}

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "b"],
        engines: &["a", "a", "b", "b"],
        engine_arguments: &["--token-us", "3000"],
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_announced_reclaim_of_a_whole_zone() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let streams = streams(&fleet).await;
    fleet.send_reclaim_notice("engine-a-0", 2).await;
    fleet.send_reclaim_notice("engine-a-1", 2).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for engine in &fleet.engines[..2] {
        engine.process.signal("KILL");
    }
    assert_all_complete(streams).await;
    assert!(metric(&fleet, "cactusglade_moves_total").await > 0.0);
    assert!(metric(&fleet, "cactusglade_recomputed_tokens_total").await > 0.0);
    fleet.engines.drain(..2);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_second_reclaim_during_the_first() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let streams = streams(&fleet).await;
    fleet.send_reclaim_notice("engine-a-0", 2).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    fleet.send_reclaim_notice("engine-b-2", 1).await;
    fleet.send_reclaim_notice("engine-b-3", 1).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    for engine in [0, 2, 3] {
        fleet.engines[engine].process.signal("KILL");
    }
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_the_crash_and_the_suspension_of_upstreams() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let streams = streams(&fleet).await;
    fleet.engines[0].process.signal("KILL");
    fleet.engines[2].process.signal("STOP");
    assert_all_complete(streams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_notice_that_one_daemon_receives_stops_new_requests_everywhere_for_good() {
    let mut fleet = Fleet::start(&Plan {
        daemons: &["a", "a", "a"],
        engines: &["a", "a"],
        ..Plan::default()
    });
    fleet.publish(None).await;
    // Only the first daemon reaches the platform; after the notice, none does.
    fleet.platform_links[1].cut(true);
    fleet.platform_links[2].cut(true);
    fleet.send_reclaim_notice("engine-a-0", 60).await;
    wait_until("the first daemon lists the upstream as leaving", || async {
        fleet.daemons[0].status().await["leaving"]["engine-a-0/0"].is_u64()
    })
    .await;
    let received_at = std::time::Instant::now();
    fleet.platform_links[0].cut(true);
    for daemon in &fleet.daemons {
        wait_until("the daemon lists the upstream as leaving", || async {
            daemon.status().await["leaving"]["engine-a-0/0"].is_u64()
        })
        .await;
    }
    println!(
        "the upstream was listed as leaving by every daemon after {:?}",
        received_at.elapsed()
    );
    let before = requests(&fleet, 0).await;
    call_every_daemon(&fleet).await;
    assert_eq!(
        requests(&fleet, 0).await,
        before,
        "a leaving upstream got requests"
    );
    // A daemon that restarts without the platform learns of the notice from its peers.
    tokio::task::block_in_place(|| fleet.daemons[1].restart());
    wait_until("the restarted daemon is ready", || {
        fleet.daemons[1].is_ready()
    })
    .await;
    call_every_daemon(&fleet).await;
    assert_eq!(
        requests(&fleet, 0).await,
        before,
        "the restarted daemon sent requests to a leaving upstream"
    );
}

async fn call_every_daemon(fleet: &Fleet) {
    for daemon in &fleet.daemons {
        for number in 0..5 {
            let content = format!("short {number}");
            let stream = daemon
                .caller("south")
                .chat(objects::CHAT, &content, 5)
                .await;
            assert!(stream.expect("the daemon answers").is_complete(&content, 5));
        }
    }
}
