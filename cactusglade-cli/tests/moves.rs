//! Version moves end by their deadline as done or visibly undone, one outcome for all.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cactusglade_cli::caller::Caller;
use cactusglade_cli::demo::objects;
use cactusglade_cli::demo::objects::Rollout;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;
use support::unix_ms;
use support::wait_until;

const CALLERS: usize = 6;
const SHORT_TOKENS: u64 = 4;

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "b", "c"],
        engines: &["a", "b"],
        services: &[],
        ..Plan::default()
    }
}

fn rollout(seconds: u64) -> Rollout {
    Rollout {
        deadline_unix_ms: unix_ms() + seconds * 1_000,
        step_ms: 1_000,
        evidence: 20,
    }
}

/// Callers that chat until they are stopped.
struct Load {
    callers: JoinSet<(u64, u64)>,
    stop: Arc<AtomicBool>,
}

impl Load {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let daemons = fleet.daemons.iter().map(|daemon| daemon.caller("north"));
            callers.spawn(chat(daemons.collect(), number, stop.clone()));
        }
        Self { callers, stop }
    }

    /// Chats that were whole, and those that were not.
    async fn stop(mut self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = (0, 0);
        while let Some(one) = self.callers.join_next().await {
            let one = one.expect("it ends");
            sum = (sum.0 + one.0, sum.1 + one.1);
        }
        sum
    }
}

async fn chat(callers: Vec<Caller>, number: usize, stop: Arc<AtomicBool>) -> (u64, u64) {
    let (mut complete, mut incomplete) = (0, 0);
    let mut turn = number;
    while !stop.load(Ordering::Relaxed) {
        turn += 1;
        let long = if turn.is_multiple_of(4) {
            "x".repeat(2_000)
        } else {
            String::new()
        };
        let content = format!("{number} {turn} {long}");
        let caller = &callers[turn % callers.len()];
        match caller.chat(objects::CHAT, &content, SHORT_TOKENS).await {
            Ok(stream) if stream.is_complete(&content, SHORT_TOKENS) => complete += 1,
            // A daemon that was killed takes its streams along; that is not of this test.
            _ => incomplete += 1,
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    (complete, incomplete)
}

async fn row(fleet: &Fleet, rollout: Rollout) -> Option<Value> {
    let rows: BTreeMap<String, Value> = fleet.platform.read("rows").await;
    rows.get(&format!("move/chat-v2/{}", rollout.deadline_unix_ms))
        .cloned()
}

/// Waits for the outcome in its one home and for every daemon to know it.
async fn final_row(fleet: &Fleet, rollout: Rollout) -> Value {
    wait_until("there is an outcome", || async {
        row(fleet, rollout)
            .await
            .is_some_and(|row| row["status"] != "moving")
    })
    .await;
    let row = row(fleet, rollout).await.expect("it is there");
    let key = format!("chat-v2/{}", rollout.deadline_unix_ms);
    for daemon in &fleet.daemons {
        wait_until("every daemon knows the outcome", || async {
            daemon.status().await["rollouts"][&key]["status"] == row["status"]
        })
        .await;
    }
    row
}

async fn served_version(fleet: &Fleet, daemon: usize) -> String {
    let caller = fleet.daemons[daemon].caller("south");
    let stream = caller
        .chat(objects::CHAT, "which version", SHORT_TOKENS)
        .await;
    stream.expect("the daemon answers").version
}

async fn assert_all_serve(fleet: &Fleet, wanted: &str) {
    for daemon in 0..fleet.daemons.len() {
        for _ in 0..10 {
            assert_eq!(served_version(fleet, daemon).await, wanted);
        }
    }
}

/// Requests that each engine served with the new version.
async fn new_version_requests(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engines {
        let totals: Value = engine.read("totals").await;
        sum += totals["versions"]["chat-v2"].as_u64().unwrap_or(0);
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_done_by_its_deadline() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let load = Load::start(&fleet);
    let rollout = rollout(30);
    fleet.publish(Some(rollout)).await;
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "done", "{row}");
    assert!(row["at_unix_ms"].as_u64() < Some(rollout.deadline_unix_ms));
    assert_all_serve(&fleet, "chat-v2").await;
    let (complete, incomplete) = load.stop().await;
    assert!(
        complete > 0 && incomplete == 0,
        "{complete} complete, {incomplete} incomplete"
    );
    assert_only_lease_holders_advance(&mut fleet);
    // A daemon that starts without the platform hears the outcome together with the set.
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    tokio::task::block_in_place(|| fleet.daemons[0].restart());
    wait_until("it is ready again", || fleet.daemons[0].is_ready()).await;
    assert_all_serve(&fleet, "chat-v2").await;
}

/// A daemon writes a step only after it has taken the lease.
fn assert_only_lease_holders_advance(fleet: &mut Fleet) {
    let mut steps = 0;
    for daemon in &mut fleet.daemons {
        let mut holds = false;
        for line in daemon.process.log() {
            holds |= line.contains("event=lease_taken");
            let moved = line.contains("event=rollout_moved");
            assert!(holds || !moved, "without the lease: {line}");
            steps += u64::from(moved);
        }
    }
    assert!(steps >= 3, "{steps} steps");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_versions_of_every_kind_are_taken_back() {
    let kinds = [
        ("failing", json!({ "fail": 0.5 })),
        ("slow", json!({ "slow": 60.0 })),
        ("bad later", json!({ "fail": 0.7, "after_requests": 15 })),
        (
            "bad on long prompts",
            json!({ "fail": 1.0, "from_prompt_bytes": 1_000 }),
        ),
        ("bad under load", json!({ "fail": 1.0, "from_running": 1 })),
    ];
    for (name, bad) in kinds {
        let fleet = Fleet::start(&plan());
        fleet.publish(None).await;
        for engine in &fleet.engines {
            engine
                .control("faults", &json!({ "versions": { "chat-v2": bad } }))
                .await;
        }
        let load = Load::start(&fleet);
        let rollout = rollout(30);
        fleet.publish(Some(rollout)).await;
        let row = final_row(&fleet, rollout).await;
        assert_eq!(row["status"], "undone", "{name}: {row}");
        let before = new_version_requests(&fleet).await;
        assert_all_serve(&fleet, "chat-v1").await;
        assert_eq!(
            new_version_requests(&fleet).await,
            before,
            "{name}: it got more work"
        );
        let (complete, incomplete) = load.stop().await;
        println!(
            "{name}: {before} requests of the new version, {complete} complete, {incomplete} incomplete"
        );
        assert_eq!(incomplete, 0, "{name}: a caller was harmed");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_out_across_the_deadline_a_move_is_undone() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let rollout = rollout(8);
    fleet.publish(Some(rollout)).await;
    wait_until("it has begun", || async {
        row(&fleet, rollout).await.is_some()
    })
    .await;
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    wait_until("the deadline is over", || async {
        unix_ms() > rollout.deadline_unix_ms
    })
    .await;
    assert_all_serve(&fleet, "chat-v1").await;
    fleet.platform.control("faults", &json!({})).await;
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "undone", "{row}");
    assert_all_serve(&fleet, "chat-v1").await;
}

/// Index of the daemon that drives the rollouts.
async fn driver(fleet: &Fleet) -> usize {
    let rows: BTreeMap<String, Value> = fleet.platform.read("rows").await;
    let holder = rows["lease/rollouts"]["holder"]
        .as_str()
        .expect("it has a holder")
        .to_owned();
    let name = holder.split('/').next().expect("it has a name").to_owned();
    let place = fleet.daemons.iter().position(|daemon| daemon.name == name);
    place.expect("it is one of ours")
}

#[tokio::test(flavor = "multi_thread")]
async fn when_the_driver_is_killed_another_finishes_the_move() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let load = Load::start(&fleet);
    let rollout = rollout(40);
    fleet.publish(Some(rollout)).await;
    wait_until("it has begun", || async {
        row(&fleet, rollout).await.is_some()
    })
    .await;
    let driver = driver(&fleet).await;
    fleet.daemons[driver].process.signal("KILL");
    let killed = fleet.daemons.remove(driver);
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "done", "{row}");
    assert_all_serve(&fleet, "chat-v2").await;
    drop((killed, load.stop().await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_driver_that_was_frozen_past_its_lease_changes_nothing() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let rollout = Rollout {
        evidence: 5,
        ..rollout(40)
    };
    fleet.publish(Some(rollout)).await;
    wait_until("it has begun", || async {
        row(&fleet, rollout).await.is_some()
    })
    .await;
    let frozen = driver(&fleet).await;
    fleet.daemons[frozen].process.signal("STOP");
    wait_until("another drives", || async {
        driver(&fleet).await != frozen
    })
    .await;
    let vetoed = (frozen + 1) % fleet.daemons.len();
    // The others undo the move while the first sleeps.
    for engine in &fleet.engines {
        let bad = json!({ "versions": { "chat-v2": { "fail": 1.0 } } });
        engine.control("faults", &bad).await;
    }
    let caller = fleet.daemons[vetoed].caller("north");
    wait_until("it is undone", || async {
        // A caller of a bad version is answered by the old one.
        let stream = caller.chat(objects::CHAT, "x", SHORT_TOKENS).await;
        assert!(
            stream
                .expect("it is answered")
                .is_complete("x", SHORT_TOKENS)
        );
        row(&fleet, rollout)
            .await
            .is_some_and(|row| row["status"] == "undone")
    })
    .await;
    fleet.daemons[frozen].process.signal("CONT");
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "undone", "{row}");
    assert_all_serve(&fleet, "chat-v1").await;
}
