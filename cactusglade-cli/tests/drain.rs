//! A daemon that is stopped by SIGTERM finishes every request first.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_cli::caller::Caller;
use cactusglade_cli::demo::objects;
use cactusglade_link::link::Connection;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use tokio::task::JoinSet;

use support::Fleet;
use support::Plan;

const LONG_TOKENS: u64 = 300;

/// One daemon as a balancer sees it.
#[derive(Clone)]
struct Target {
    caller: Caller,
    operators: SocketAddr,
}

/// Calls daemons until stopped, and only those that report ready, as the balancer does. Returns the
/// number of answered chats.
async fn run_calls(targets: Vec<Target>, number: usize, stop: Arc<AtomicBool>) -> u64 {
    let mut answered = 0;
    let mut turn = number;
    while !stop.load(Ordering::Relaxed) {
        turn += 1;
        let target = &targets[turn % targets.len()];
        if !support::daemon::is_ready(target.operators).await {
            tokio::time::sleep(Duration::from_millis(2)).await;
            continue;
        }
        let content = format!("{number} {turn}");
        let tokens = if turn.is_multiple_of(3) {
            LONG_TOKENS
        } else {
            10
        };
        let stream = target.caller.chat(objects::CHAT, &content, tokens).await;
        let stream = stream.expect("the connection is not lost");
        assert!(stream.is_complete(&content, tokens), "{stream:?}");
        answered += 1;
        if !support::daemon::is_ready(target.operators).await {
            continue;
        }
        let body = format!("{{\"turn\":\"{content}\"}}");
        let key = format!("key {content}");
        let booked = target
            .caller
            .call_service("POST", objects::BOOKINGS, &body, Some(&key))
            .await;
        assert_eq!(booked.expect("the connection is not lost").status, 201);
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_interrupts_no_request() {
    let mut fleet = Fleet::start(&Plan::default());
    fleet.publish(None).await;
    let targets = fleet.daemons.iter().map(|daemon| Target {
        caller: daemon.caller("north"),
        operators: daemon.operators,
    });
    let targets = targets.collect::<Vec<_>>();
    let stop = Arc::new(AtomicBool::new(false));
    let mut calls = JoinSet::new();
    for number in 0..8 {
        calls.spawn(run_calls(targets.clone(), number, stop.clone()));
    }
    for daemon in &mut fleet.daemons {
        tokio::time::sleep(Duration::from_millis(300)).await;
        daemon.process.signal("TERM");
        let code = tokio::task::block_in_place(|| daemon.process.wait());
        assert_eq!(code, Some(0), "{:#?}", daemon.process.log());
        tokio::task::block_in_place(|| daemon.restart());
        support::wait_until("the restarted daemon is ready", || daemon.is_ready()).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut answered = 0;
    while let Some(result) = calls.join_next().await {
        answered += result.expect("no request was interrupted");
    }
    assert!(answered > 0);
    let mut bodies = fleet
        .journal()
        .await
        .into_iter()
        .map(|run| run.body)
        .collect::<Vec<_>>();
    let runs = bodies.len();
    bodies.sort();
    bodies.dedup();
    assert_eq!(bodies.len(), runs, "a booking ran twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_open_stream_is_finished_before_the_daemon_exits() {
    let mut fleet = Fleet::start(&Plan {
        daemons: &["a"],
        ..Plan::default()
    });
    fleet.publish(None).await;
    let caller = fleet.daemons[0].caller("north");
    let stream = tokio::spawn(async move { caller.chat(objects::CHAT, "long", LONG_TOKENS).await });
    let daemon = &mut fleet.daemons[0];
    support::wait_until("the stream is open", || async {
        daemon.status().await["open"].as_u64() > Some(0)
    })
    .await;
    daemon.process.signal("TERM");
    support::wait_until("the daemon is not ready", || async {
        !daemon.is_ready().await
    })
    .await;
    let code = tokio::task::block_in_place(|| daemon.process.wait());
    assert_eq!(code, Some(0));
    let stream = stream
        .await
        .expect("the task does not panic")
        .expect("the connection is not lost");
    assert!(stream.is_complete("long", LONG_TOKENS), "{stream:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_are_asked_to_close_and_none_is_interrupted() {
    let mut fleet = Fleet::start(&Plan {
        daemons: &["a"],
        ..Plan::default()
    });
    fleet.publish(None).await;
    let address = fleet.daemons[0].callers;
    let mut calls = JoinSet::new();
    for _ in 0..8 {
        calls.spawn(async move {
            let connection = Connection::try_new(address, Duration::from_secs(1)).await;
            let mut connection = connection.expect("the daemon accepts the connection");
            let mut answered = 0_u64;
            loop {
                let request = Request::get("/status/1")
                    .header("host", "x")
                    .header("authorization", "Bearer north-key")
                    .body(Full::new(Bytes::new()))
                    .expect("the request is valid");
                let response = connection
                    .send(request)
                    .await
                    .expect("the connection is not lost");
                assert_eq!(response.status(), 200);
                let closing = response.headers().get("connection").is_some();
                response
                    .into_body()
                    .collect()
                    .await
                    .expect("the body is complete");
                answered += 1;
                if closing {
                    return answered;
                }
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let daemon = &mut fleet.daemons[0];
    daemon.process.signal("TERM");
    while let Some(result) = calls.join_next().await {
        assert!(result.expect("the connection was asked to close") > 1);
    }
    let code = tokio::task::block_in_place(|| daemon.process.wait());
    assert_eq!(code, Some(0));
}
