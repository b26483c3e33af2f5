//! What was given up must not arrive later.

use std::time::Duration;

use bytes::Bytes;
use cactusglade_link::link::Client;
use cactusglade_link::link::Connection;
use cactusglade_link::link::Error;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const WITHIN: Duration = Duration::from_millis(300);
/// Length of a body that no socket's buffers hold, so that part of it waits at the sender as it
/// does behind a cut link.
const LONG: usize = 32 << 20;

#[tokio::test]
async fn a_call_that_was_given_up_is_reset_so_that_nothing_of_it_comes_later() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let client = Client::new(address, WITHIN);
    let call = tokio::spawn(async move { client.call("POST", "/order", vec![0; LONG]).await });
    let (mut socket, _) = listener.accept().await.expect("the client connects");
    let answer = call.await.expect("the call ends");
    assert_eq!(answer.map(|answer| answer.status), Err(Error::Timeout));
    tokio::time::sleep(WITHIN).await;
    // What was delivered stays readable; a reset, and not an orderly end, comes after it.
    let mut bytes = Vec::new();
    let read = socket.read_to_end(&mut bytes).await;
    assert!(
        read.is_err(),
        "a call that was given up ended in order after {read:?} bytes"
    );
    assert!(
        bytes.len() < LONG / 2,
        "most of a call that was given up came"
    );
}

/// A request to an upstream that was answered elsewhere, after its link had been cut.
#[tokio::test]
async fn a_request_whose_connection_was_dropped_is_reset_too() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let sending = tokio::spawn(async move {
        let connection = Connection::try_new(address, WITHIN).await;
        let mut connection = connection.expect("somebody listens");
        let request = Request::new(Full::new(Bytes::from(vec![0; LONG])));
        tokio::time::timeout(WITHIN, connection.send(request))
            .await
            .is_err()
    });
    let (mut socket, _) = listener.accept().await.expect("the sender connects");
    assert!(sending.await.expect("the sending ends"), "nobody answered");
    let mut bytes = Vec::new();
    let read = socket.read_to_end(&mut bytes).await;
    assert!(
        read.is_err(),
        "a request that was given up ended in order after {read:?} bytes"
    );
    assert!(
        bytes.len() < LONG / 2,
        "most of a request that was given up came"
    );
}
