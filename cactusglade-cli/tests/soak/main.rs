//! Injects random faults of every kind into a fleet of separate processes under load, and checks
//! all guarantees at the end.
//!
//! `CACTUSGLADE_SEED` sets the seed of the random choices, `CACTUSGLADE_STEPS` the number of
//! faults; the default number is small enough for CI.

mod client;
#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cactusglade_cli::caller::Answer;
use cactusglade_cli::caller::Caller;
use cactusglade_cli::demo::objects::Rollout;
use cactusglade_standin::engine;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use serde_json::json;

use client::Tally;
use client::booking_body;
use client::start_load;
use support::Fleet;
use support::PROCESS_START;
use support::Plan;
use support::Standin;
use support::output_text;
use support::unix_ms;
use support::wait_until;

const DEFAULT_STEPS: u64 = 10;
const ROLLOUT_DURATION_MS: u64 = 12_000;

fn env_or(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    let value = given
        .and_then(|value| value.parse().ok())
        .unwrap_or(default);
    println!("{name}={value}");
    value
}

struct Soak {
    fleet: Fleet,
    random: StdRng,
    rollout: Option<Rollout>,
    rollouts: Vec<Rollout>,
    replacements: usize,
}

impl Soak {
    fn callers(&self, organisation: &str) -> Vec<Caller> {
        self.fleet
            .daemons
            .iter()
            .map(|daemon| daemon.caller(organisation))
            .collect()
    }

    fn pause(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    async fn inject_fault(&mut self) {
        let kind = self.random.random_range(0..9);
        println!("fault {kind}");
        match kind {
            0 => self.platform_fault().await,
            1 => self.restart_daemon(),
            2 => self.suspend_daemon().await,
            3 => self.partition_daemon().await,
            4 => self.engine_fault().await,
            5 => self.service_fault().await,
            6 => self.reclaim_engine().await,
            7 => self.publish(),
            _ => self.toggle_rollout().await,
        }
        let pause = self.pause(200..1_500);
        tokio::time::sleep(pause).await;
    }

    async fn platform_fault(&mut self) {
        let faults = [
            json!({ "down": true }),
            json!({ "delay_ms": 400 }),
            json!({ "lose_commits": 5 }),
            json!({ "drop_commits": 3 }),
            json!({ "older_head": true }),
            json!({ "delay_ms": 2_000 }),
        ];
        let fault = faults
            .choose(&mut self.random)
            .expect("the list of faults is not empty");
        println!("platform {fault}");
        self.fleet.platform.control("faults", fault).await;
        let pause = self.pause(500..3_000);
        tokio::time::sleep(pause).await;
        self.fleet.platform.control("faults", &json!({})).await;
    }

    fn restart_daemon(&mut self) {
        let index = self.random.random_range(0..self.fleet.daemons.len());
        let graceful = self.random.random_bool(0.5);
        println!("daemon {index} restarts, graceful: {graceful}");
        let daemon = &mut self.fleet.daemons[index];
        if graceful {
            daemon.process.signal("TERM");
            let code = tokio::task::block_in_place(|| daemon.process.wait());
            assert_eq!(code, Some(0), "{:#?}", daemon.process.log());
        }
        tokio::task::block_in_place(|| daemon.restart());
    }

    async fn suspend_daemon(&mut self) {
        let index = self.random.random_range(0..self.fleet.daemons.len());
        let pause = self.pause(200..7_000);
        println!("daemon {index} is suspended for {pause:?}");
        self.fleet.daemons[index].process.signal("STOP");
        tokio::time::sleep(pause).await;
        self.fleet.daemons[index].process.signal("CONT");
    }

    async fn partition_daemon(&mut self) {
        let index = self.random.random_range(0..self.fleet.daemons.len());
        let pause = self.pause(500..4_000);
        println!("daemon {index} is partitioned for {pause:?}");
        self.fleet.partition(&[index]);
        tokio::time::sleep(pause).await;
        self.fleet.heal();
    }

    async fn engine_fault(&mut self) {
        let faults = [
            json!({ "cross": 3 }),
            json!({ "truncate": 3 }),
            json!({ "duplicate": 3 }),
            json!({ "die": 3, "die_after": 10 }),
            json!({ "delay_ms": 300 }),
            json!({ "refuse": true }),
        ];
        let fault = faults
            .choose(&mut self.random)
            .expect("the list of faults is not empty");
        let index = self.random.random_range(0..self.fleet.engines.len());
        println!("engine {index}: {fault}");
        self.fleet.engines[index].control("faults", fault).await;
        let pause = self.pause(500..2_000);
        tokio::time::sleep(pause).await;
        self.fleet.engines[index]
            .control("faults", &json!({}))
            .await;
    }

    async fn service_fault(&mut self) {
        let faults = [
            json!({ "lose_answers": 2 }),
            json!({ "cross_answers": 2 }),
            json!({ "cut_answers": 2 }),
            json!({ "refuse": true }),
            json!({ "delay_ms": 300 }),
        ];
        let fault = faults
            .choose(&mut self.random)
            .expect("the list of faults is not empty");
        let index = self.random.random_range(0..self.fleet.services.len());
        println!("service {index}: {fault}");
        self.fleet.services[index].control("faults", fault).await;
        let pause = self.pause(500..2_000);
        tokio::time::sleep(pause).await;
        self.fleet.services[index]
            .control("faults", &json!({}))
            .await;
    }

    /// Kills an engine with or without prior notice, and replaces it by a new one.
    async fn reclaim_engine(&mut self) {
        let index = self.random.random_range(0..self.fleet.engines.len());
        let with_notice = self.random.random_bool(0.7);
        let name = self.fleet.upstreams[index].name.clone();
        println!("engine {name} is reclaimed, with notice: {with_notice}");
        if with_notice {
            self.fleet.send_reclaim_notice(&name, 2).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        self.fleet.engines[index].process.signal("KILL");
        self.replacements += 1;
        let engine = Standin::start(&["engine", "--versions", "chat-v1,chat-v2"]);
        self.fleet.upstreams[index].name = format!("engine-fresh-{}", self.replacements);
        self.fleet.upstreams[index].address = engine.address;
        self.fleet.engines[index] = engine;
        self.publish();
    }

    fn publish(&mut self) {
        let output = self.fleet.try_publish(self.rollout, &[]);
        println!("publish: {}", output_text(&output).trim());
    }

    /// Starts a rollout of a good or bad version, or removes the object of the last rollout.
    async fn toggle_rollout(&mut self) {
        if self.rollout.take().is_none() {
            let rollout = Rollout {
                deadline_unix_ms: unix_ms() + ROLLOUT_DURATION_MS,
                step_ms: 1_000,
                evidence: 10,
            };
            let fail = if self.random.random_bool(0.5) {
                0.6
            } else {
                0.0
            };
            println!("rollout of a version that fails {fail} of its requests");
            for engine in &self.fleet.engines {
                let version_fault = json!({ "versions": { "chat-v2": { "fail": fail } } });
                engine.control("faults", &version_fault).await;
            }
            self.rollout = Some(rollout);
            self.rollouts.push(rollout);
        }
        self.publish();
    }

    /// Ends all faults, publishes, and waits until the last generation is in force on every daemon.
    async fn recover(&mut self) {
        self.fleet.heal();
        self.fleet.platform.control("faults", &json!({})).await;
        for engine in &self.fleet.engines {
            engine.control("faults", &json!({})).await;
        }
        for service in &self.fleet.services {
            service.control("faults", &json!({})).await;
        }
        self.publish();
        let rows: BTreeMap<String, Value> = self.fleet.platform.read("rows").await;
        let head = rows["config/head"]["generation"].as_u64();
        for daemon in &self.fleet.daemons {
            wait_until("the last generation is in force", || async {
                daemon.status().await["generation"].as_u64() == head
            })
            .await;
        }
    }

    /// Checks that the published rollout ends and that every daemon reports the same outcome.
    async fn check_rollout(&self) {
        let Some(rollout) = self.rollout else { return };
        let key = format!("chat-v2/{}", rollout.deadline_unix_ms);
        let row = || async {
            let rows: BTreeMap<String, Value> = self.fleet.platform.read("rows").await;
            rows.get(&format!("move/{key}"))
                .map(|row| row["status"].clone())
        };
        wait_until("the rollout has ended", || async {
            row().await.is_some_and(|status| status != "moving")
        })
        .await;
        let outcome = row().await;
        println!("rollout: {outcome:?}");
        for daemon in &self.fleet.daemons {
            wait_until("the daemon reports the outcome", || async {
                Some(daemon.status().await["rollouts"][&key]["status"].clone()) == outcome
            })
            .await;
        }
    }

    async fn check_bookings(&self, tally: &Tally) {
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for run in self.fleet.journal().await {
            *runs.entry(run.body).or_default() += 1;
        }
        for (key, answers) in &tally.bookings {
            let ran = runs.get(&booking_body(key)).copied().unwrap_or(0);
            assert!(ran <= 1, "{key} ran {ran} times: {answers:?}");
            let good = answers
                .iter()
                .flatten()
                .filter(|answer| answer.status == 201);
            let mut bodies = good.map(|answer| &answer.body).collect::<Vec<_>>();
            assert!(
                bodies.is_empty() || ran == 1,
                "{key} was confirmed and did not run"
            );
            bodies.dedup();
            assert!(bodies.len() <= 1, "{key} got different answers");
            let says_not_run = |answer: &Option<Answer>| {
                answer
                    .as_ref()
                    .is_some_and(|answer| answer.ran.as_deref() == Some("no"))
            };
            assert!(
                ran == 0 || !answers.iter().all(says_not_run),
                "{key} ran although every answer said \"not run\": {answers:?}"
            );
        }
    }

    async fn check_reviews(&self, tally: &Tally) {
        let caller = self.fleet.daemons[0].caller("cases");
        for (status_path, content) in &tally.reviews {
            let get = || caller.call_service("GET", status_path, "", None);
            wait_until("accepted work is finished", || async {
                get().await.is_ok_and(|answer| answer.status == 200)
            })
            .await;
            let answer = get().await.expect("the daemon answers");
            let prompt = cactusglade_cli::caller::prompt(content);
            let first = engine::token(&prompt, 0);
            assert!(
                answer.body.contains(&first),
                "the answer belongs to other work"
            );
        }
    }

    /// Checks that no daemon panicked, reverted to an older generation, or sent requests to a
    /// leaving upstream.
    async fn check_daemons(&mut self) {
        for daemon in &mut self.fleet.daemons {
            assert_eq!(daemon.status().await["granted_leaving"], 0);
            let mut latest = 0;
            for line in daemon.full_log() {
                assert!(!line.contains("panicked"), "{line}");
                if line == PROCESS_START {
                    latest = 0;
                }
                if line.contains("event=generation_in_force") {
                    let mut words = line.split_whitespace();
                    let number = words.find_map(|word| word.strip_prefix("generation="));
                    let number = number.and_then(|number| number.parse().ok()).unwrap_or(0);
                    assert!(number > latest, "{}: {latest}, then {number}", daemon.name);
                    latest = number;
                }
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_guarantees_of_the_own_interfaces_hold_under_random_faults() {
    let seed = env_or("CACTUSGLADE_SEED", 1);
    let steps = env_or("CACTUSGLADE_STEPS", DEFAULT_STEPS);
    let fleet = Fleet::start(&Plan {
        daemons: &["a", "b", "c"],
        engines: &["a", "b", "c"],
        services: &["a", "b"],
        ..Plan::default()
    });
    fleet.publish(None).await;
    let mut soak = Soak {
        fleet,
        random: StdRng::seed_from_u64(seed),
        rollout: None,
        rollouts: Vec::new(),
        replacements: 0,
    };
    let callers = [soak.callers("north"), soak.callers("cases")];
    let (mut load, stop) = start_load(&callers, seed);
    for _ in 0..steps {
        soak.inject_fault().await;
    }
    soak.recover().await;
    drop(stop);
    let mut tally = Tally::default();
    while let Some(part) = load.join_next().await {
        let part = part.expect("the assertions of every caller hold");
        tally.complete += part.complete;
        tally.interrupted += part.interrupted;
        for (code, count) in part.refused {
            *tally.refused.entry(code).or_default() += count;
        }
        tally.bookings.extend(part.bookings);
        tally.reviews.extend(part.reviews);
    }
    soak.check_bookings(&tally).await;
    soak.check_reviews(&tally).await;
    soak.check_rollout().await;
    soak.check_daemons().await;
    println!(
        "{} chats complete, {} interrupted, {} bookings, {} reviews, refused {:?}",
        tally.complete,
        tally.interrupted,
        tally.bookings.len(),
        tally.reviews.len(),
        tally.refused
    );
    assert!(tally.complete > 0);
}
