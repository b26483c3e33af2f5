//! Abandoned requests are reset, so that no part of them arrives later.

use std::time::Duration;

use bytes::Bytes;
use cactusglade_link::link::Client;
use cactusglade_link::link::Connection;
use cactusglade_link::link::Error;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(300);
/// Length of a body that exceeds the socket buffers, so that part of it stays queued at the sender
/// as on a broken link.
const BODY_BYTES: usize = 32 << 20;

#[tokio::test]
async fn a_call_that_times_out_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener binds to a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let client = Client::new(address, TIMEOUT);
    let call =
        tokio::spawn(async move { client.call("POST", "/order", vec![0; BODY_BYTES]).await });
    let (mut socket, _) = listener.accept().await.expect("the client connects");
    let answer = call
        .await
        .expect("the task of the call ends without a panic");
    assert_eq!(answer.map(|answer| answer.status), Err(Error::Timeout));
    tokio::time::sleep(TIMEOUT).await;
    // The delivered bytes stay readable; they must be followed by a reset and not by an orderly
    // end.
    let mut bytes = Vec::new();
    let read = socket.read_to_end(&mut bytes).await;
    assert!(
        read.is_err(),
        "the connection of a call that timed out was closed in order after {read:?} bytes"
    );
    assert!(
        bytes.len() < BODY_BYTES / 2,
        "most of a call that timed out was delivered"
    );
}

/// The daemon drops the connection to an upstream behind a broken link once another upstream has
/// answered; the first must not run the request when the link recovers.
#[tokio::test]
async fn a_request_is_reset_when_its_connection_is_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener binds to a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let sending = tokio::spawn(async move {
        let connection = Connection::try_new(address, TIMEOUT).await;
        let mut connection = connection.expect("the listener accepts the connection");
        let request = Request::new(Full::new(Bytes::from(vec![0; BODY_BYTES])));
        tokio::time::timeout(TIMEOUT, connection.send(request))
            .await
            .is_err()
    });
    let (mut socket, _) = listener.accept().await.expect("the sender connects");
    assert!(
        sending
            .await
            .expect("the task of the request ends without a panic"),
        "the request must not be answered"
    );
    let mut bytes = Vec::new();
    let read = socket.read_to_end(&mut bytes).await;
    assert!(
        read.is_err(),
        "the connection of a dropped request was closed in order after {read:?} bytes"
    );
    assert!(
        bytes.len() < BODY_BYTES / 2,
        "most of a dropped request was delivered"
    );
}
