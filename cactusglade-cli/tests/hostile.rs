//! Invalid input gets a specific error answer and does not affect other requests.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use cactusglade_cli::demo::objects;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use support::Fleet;
use support::Plan;
use support::TIMEOUT;

const LIMITS: &str = "max_body_bytes = 4096\nheader_timeout_ms = 500\nbody_timeout_ms = 500\n\
                      max_connections = 16\n";

async fn fleet() -> Fleet {
    let fleet = Fleet::start(&Plan {
        daemons: &["a"],
        engines: &["a"],
        services: &["a"],
        settings: LIMITS,
        ..Plan::default()
    });
    fleet.publish(None).await;
    fleet
}

/// Sends bytes and reads until the daemon closes the connection.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut socket = TcpStream::connect(address)
        .await
        .expect("the daemon accepts the connection");
    // The daemon may refuse the request and close the connection before all bytes are written.
    let _ = socket.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    let read = tokio::time::timeout(TIMEOUT, read).await;
    // Closing a connection with unread bytes resets it, so an error after the answer is expected.
    let _ = read.expect("the daemon closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(path: &str, key: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn assert_still_serves(fleet: &Fleet) {
    let caller = fleet.daemons[0].caller("north");
    let stream = caller.chat(objects::CHAT, "still there?", 5).await;
    assert!(
        stream
            .expect("the daemon answers")
            .is_complete("still there?", 5)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_of_invalid_request_has_its_own_error() {
    let fleet = fleet().await;
    let address = fleet.daemons[0].callers;
    let good = objects::api_key("north");
    let chat = objects::CHAT;
    let long = "x".repeat(10_000);
    let cases = [
        (post(chat, &good, "{"), "400", "bad_request"),
        (post(chat, &good, "{\"messages\":[]}"), "400", "bad_request"),
        (post(chat, &good, "[1,2]"), "400", "bad_request"),
        (post(chat, "wrong", "{}"), "401", "unauthenticated"),
        (post("/nowhere", &good, "{}"), "404", "unknown_route"),
        (post("/status/1", &good, ""), "405", "method_not_allowed"),
        (post(chat, &good, &long), "413", "body_too_large"),
    ];
    for (request, status, code) in cases {
        let answer = exchange(address, &request).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{code}: {answer}"
        );
        assert!(
            answer.contains(&format!("\"code\":\"{code}\"")),
            "{code}: {answer}"
        );
        assert!(answer.contains("\"ran\":\"no\""), "{code}: {answer}");
    }
    assert_still_serves(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_malformed_requests_are_refused() {
    let fleet = fleet().await;
    let address = fleet.daemons[0].callers;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    let key = objects::api_key("north");
    // Incomplete headers: the connection is closed.
    exchange(address, head.as_bytes()).await;
    // An incomplete body.
    let body = format!("{head}authorization: Bearer {key}\r\ncontent-length: 100\r\n\r\n{{");
    let answer = exchange(address, body.as_bytes()).await;
    assert!(answer.contains("\"code\":\"slow_request\""), "{answer}");
    // Bytes that are not HTTP, and a request head above the limit.
    let answer = exchange(address, b"\x00\x01\x02 hello\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let long = format!("{head}x: {}\r\n\r\n", "y".repeat(40_000));
    let answer = exchange(address, long.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_still_serves(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_refused_as_overload() {
    let fleet = fleet().await;
    let address = fleet.daemons[0].callers;
    let mut idle = Vec::new();
    for _ in 0..16 {
        idle.push(
            TcpStream::connect(address)
                .await
                .expect("the daemon accepts the connection"),
        );
    }
    let key = objects::api_key("north");
    let answer = exchange(address, &post("/status/1", &key, "")).await;
    assert!(answer.contains("\"code\":\"overloaded\""), "{answer}");
    drop(idle);
    // Connections without headers are closed at the latest when the header timeout expires.
    let caller = fleet.daemons[0].caller("north");
    support::wait_until("the daemon serves requests again", || async {
        let check = caller.call_service("GET", "/status/1", "", None).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        check.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}
