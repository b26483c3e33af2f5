//! Connections to peers, and the calls made outside of the periodic exchange.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Generation;
use cactusglade_wire::peer::PeerClient;
use tarpc::client;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpSocket;

/// Timeout for connecting to a peer and for each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pushes rows to one peer, over a new connection where the existing one fails.
///
/// Rows that do not arrive reach the peer with its next pull.
pub async fn push(
    local_address: IpAddr,
    address: SocketAddr,
    existing: Option<PeerClient>,
    rows: Vec<(Key, Value)>,
) {
    if let Some(client) = existing
        && client.push(deadline(), rows.clone()).await.is_ok()
    {
        return;
    }
    if let Some(client) = connect(local_address, address).await {
        // Lost rows reach the peer with its next pull.
        let _ = client.push(deadline(), rows).await;
    }
}

/// Connects to a peer from the daemon's own address, which distinguishes daemons on a host with
/// several addresses.
pub async fn connect(local_address: IpAddr, address: SocketAddr) -> Option<PeerClient> {
    let socket = match local_address {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(local_address, 0)).ok()?;
    let connect = socket.connect(address);
    let stream = tokio::time::timeout(CALL_TIMEOUT, connect)
        .await
        .ok()?
        .ok()?;
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    Some(PeerClient::new(client::Config::default(), transport).spawn())
}

/// Returns a call context whose deadline is one timeout from now.
#[must_use]
pub fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}

/// Fetches the snapshot of a generation from one peer; `None` if it has none or does not answer.
pub async fn snapshot(
    local_address: IpAddr,
    address: SocketAddr,
    generation: Generation,
    timeout: Duration,
) -> Option<String> {
    let call = async {
        connect(local_address, address)
            .await?
            .snapshot(deadline(), generation)
            .await
            .ok()?
    };
    tokio::time::timeout(timeout, call).await.ok().flatten()
}
