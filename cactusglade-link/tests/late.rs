//! Calls with a time limit are not sent after it, however late the event loop gets to them.

use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_link::link::Client;
use hyper::HeaderMap;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_secs(2);
/// Time that is left of the lease when a call is made, and the time for which the event loop then stands
/// still.
const LEFT: Millis = Millis(200);
const STALL: Duration = Duration::from_millis(400);
/// Time that is left for the calls that nothing delays.
const NO_STALL: Millis = Millis(2_000);

/// Answers the requests on one connection after the other, and sends their first lines to the test.
async fn answer_requests(listener: TcpListener, received: mpsc::UnboundedSender<String>) {
    while let Ok((socket, _)) = listener.accept().await {
        let mut socket = BufReader::new(socket);
        let mut head = String::new();
        while socket
            .read_line(&mut head)
            .await
            .is_ok_and(|bytes| bytes > 0)
        {
            if !head.ends_with("\r\n\r\n") {
                continue;
            }
            let line = head.lines().next().unwrap_or_default().to_owned();
            received.send(line).expect("the test is running");
            head.clear();
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            let written = socket.write_all(answer).await;
            written.expect("the client waits for the answer");
        }
    }
}

/// Guards against a call of a lease's holder that is sent after the lease has lapsed, since the event
/// loop stood still between the check of the lease and the writing of the call.
#[tokio::test]
async fn a_call_that_the_event_loop_delays_past_its_limit_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the listener binds to a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let (received, mut requests) = mpsc::unbounded_channel();
    tokio::spawn(answer_requests(listener, received));
    let clock = Clock::default();
    let client = Client::new(address, TIMEOUT);
    let call = async |path, left| {
        let at = clock.now() + left;
        let until = clock.uptime_at(at);
        let call = client.call_until("POST", path, HeaderMap::new(), Bytes::new(), until);
        clock.timeout_at(at, call).await
    };
    // The connection of the first call is idle afterwards.
    assert!(matches!(call("/before", NO_STALL).await, Some(Ok(_))));
    let delayed = call("/delayed", LEFT);
    tokio::pin!(delayed);
    // The first step asks for the idle connection, the second one hands the request to its task.
    assert!(futures::poll!(&mut delayed).is_pending());
    tokio::task::yield_now().await;
    assert!(futures::poll!(&mut delayed).is_pending());
    std::thread::sleep(STALL);
    let answer = delayed.await;
    assert!(!matches!(answer, Some(Ok(_))), "{answer:?}");
    assert!(matches!(call("/after", NO_STALL).await, Some(Ok(_))));
    let requests = std::iter::from_fn(|| requests.try_recv().ok());
    let requests = requests.collect::<Vec<_>>();
    assert_eq!(requests, ["POST /before HTTP/1.1", "POST /after HTTP/1.1"]);
}
