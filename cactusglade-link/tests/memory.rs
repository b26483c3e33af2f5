//! Answers without end must not take the memory of the process that called.

use std::time::Duration;

use bytes::Bytes;
use cactusglade_link::link::Client;
use cactusglade_link::link::Error;
use futures::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Calls that a daemon may make to one address at the same time.
const CALLS: usize = 16;
/// Time limit of a call, as long as one that waits for changes.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Memory of a daemon in KiB.
const MAX_PEAK_KIB: u64 = 256 << 10;
/// Bytes that are written at once.
static BURST: [u8; 65_536] = [b' '; 65_536];

/// Returns the largest resident memory of this process so far, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the system has /proc");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("the status has a peak")
}

async fn answer_without_end(mut socket: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 1_024];
    let _ = socket.read(&mut request).await?;
    socket.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
    loop {
        socket.write_all(&BURST).await?;
    }
}

/// Guards against a store that takes the memory of a daemon by answers without end to several calls.
#[tokio::test]
async fn answers_without_end_to_many_calls_keep_to_one_budget() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the listener binds to a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            // A connection ends with an error when the client drops it.
            tokio::spawn(async move { drop(answer_without_end(socket).await) });
        }
    });
    let client = Client::new(address, TIMEOUT);
    let calls = (0..CALLS).map(|_| client.call("GET", "/rows", Bytes::new()));
    let answers = join_all(calls).await;
    let peak = peak_kib();
    assert!(peak < MAX_PEAK_KIB, "the process took {peak} KiB");
    for answer in answers {
        assert_eq!(answer.map(|answer| answer.status), Err(Error::Flooded));
    }
}
