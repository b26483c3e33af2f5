//! A rollout ends by its deadline, as done or undone, and every daemon reports this outcome.

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

/// Callers that send chats until they are stopped.
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

    /// Stops the callers and returns the numbers of complete and incomplete chats.
    async fn stop(mut self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = (0, 0);
        while let Some(counts) = self.callers.join_next().await {
            let counts = counts.expect("the task does not panic");
            sum = (sum.0 + counts.0, sum.1 + counts.1);
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
            // Streams of a killed daemon are lost; this test does not cover them.
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

/// Waits for the outcome in the rollout's row, then for every daemon to report it.
async fn final_row(fleet: &Fleet, rollout: Rollout) -> Value {
    wait_until("the rollout has an outcome", || async {
        row(fleet, rollout)
            .await
            .is_some_and(|row| row["status"] != "moving")
    })
    .await;
    let row = row(fleet, rollout).await.expect("the rollout has a row");
    let key = format!("chat-v2/{}", rollout.deadline_unix_ms);
    for daemon in &fleet.daemons {
        wait_until("the daemon reports the outcome", || async {
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

async fn assert_all_serve(fleet: &Fleet, expected: &str) {
    for daemon in 0..fleet.daemons.len() {
        for _ in 0..10 {
            assert_eq!(served_version(fleet, daemon).await, expected);
        }
    }
}

/// Number of requests that all engines served with the new version.
async fn new_version_requests(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engines {
        let totals: Value = engine.read("totals").await;
        sum += totals["versions"]["chat-v2"].as_u64().unwrap_or(0);
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_of_a_good_version_is_done_by_its_deadline() {
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
    // A daemon that starts during an outage of the platform gets the outcome and the set by gossip.
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    tokio::task::block_in_place(|| fleet.daemons[0].restart());
    wait_until("the restarted daemon is ready", || {
        fleet.daemons[0].is_ready()
    })
    .await;
    assert_all_serve(&fleet, "chat-v2").await;
}

/// Checks that each daemon logged its rollout steps only after it had taken the lease.
fn assert_only_lease_holders_advance(fleet: &mut Fleet) {
    let mut steps = 0;
    for daemon in &mut fleet.daemons {
        let mut holds = false;
        for line in daemon.process.log() {
            holds |= line.contains("event=lease_taken");
            let moved = line.contains("event=rollout_moved");
            assert!(holds || !moved, "a step before the lease was taken: {line}");
            steps += u64::from(moved);
        }
    }
    assert!(steps >= 3, "expected at least 3 steps, got {steps}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rollouts_of_bad_versions_of_every_kind_are_undone() {
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
            "{name}: the undone version got more requests"
        );
        let (complete, incomplete) = load.stop().await;
        println!(
            "{name}: {before} requests of the new version, {complete} complete, {incomplete} incomplete"
        );
        assert_eq!(incomplete, 0, "{name}: a chat was incomplete");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_is_undone_when_the_store_is_unavailable_across_its_deadline() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let rollout = rollout(8);
    fleet.publish(Some(rollout)).await;
    wait_until("the rollout has begun", || async {
        row(&fleet, rollout).await.is_some()
    })
    .await;
    fleet
        .platform
        .control("faults", &json!({ "down": true }))
        .await;
    wait_until("the deadline has passed", || async {
        unix_ms() > rollout.deadline_unix_ms
    })
    .await;
    assert_all_serve(&fleet, "chat-v1").await;
    fleet.platform.control("faults", &json!({})).await;
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "undone", "{row}");
    assert_all_serve(&fleet, "chat-v1").await;
}

/// Index of the daemon that holds the rollout lease.
async fn lease_holder(fleet: &Fleet) -> usize {
    let rows: BTreeMap<String, Value> = fleet.platform.read("rows").await;
    let holder = rows["lease/rollouts"]["holder"]
        .as_str()
        .expect("the lease row has a holder")
        .to_owned();
    let name = holder
        .split('/')
        .next()
        .expect("the holder has a name")
        .to_owned();
    let index = fleet.daemons.iter().position(|daemon| daemon.name == name);
    index.expect("the lease holder is one of the fleet's daemons")
}

#[tokio::test(flavor = "multi_thread")]
async fn when_the_lease_holder_is_killed_another_daemon_finishes_the_rollout() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let load = Load::start(&fleet);
    let rollout = rollout(40);
    fleet.publish(Some(rollout)).await;
    wait_until("the rollout has begun", || async {
        row(&fleet, rollout).await.is_some()
    })
    .await;
    let holder = lease_holder(&fleet).await;
    fleet.daemons[holder].process.signal("KILL");
    let killed = fleet.daemons.remove(holder);
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "done", "{row}");
    assert_all_serve(&fleet, "chat-v2").await;
    drop((killed, load.stop().await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_suspended_past_its_lease_changes_nothing() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let rollout = Rollout {
        evidence: 5,
        ..rollout(40)
    };
    fleet.publish(Some(rollout)).await;
    wait_until("the rollout has begun", || async {
        row(&fleet, rollout).await.is_some()
    })
    .await;
    let suspended = lease_holder(&fleet).await;
    fleet.daemons[suspended].process.signal("STOP");
    wait_until("another daemon holds the lease", || async {
        lease_holder(&fleet).await != suspended
    })
    .await;
    let serving = (suspended + 1) % fleet.daemons.len();
    // The other daemons undo the rollout while the former lease holder is suspended.
    for engine in &fleet.engines {
        let bad = json!({ "versions": { "chat-v2": { "fail": 1.0 } } });
        engine.control("faults", &bad).await;
    }
    let caller = fleet.daemons[serving].caller("north");
    wait_until("the rollout is undone", || async {
        // A request that fails on the bad version is answered by the old version.
        let stream = caller.chat(objects::CHAT, "x", SHORT_TOKENS).await;
        assert!(
            stream
                .expect("the daemon answers")
                .is_complete("x", SHORT_TOKENS)
        );
        row(&fleet, rollout)
            .await
            .is_some_and(|row| row["status"] == "undone")
    })
    .await;
    fleet.daemons[suspended].process.signal("CONT");
    let row = final_row(&fleet, rollout).await;
    assert_eq!(row["status"], "undone", "{row}");
    assert_all_serve(&fleet, "chat-v1").await;
}
