//! Connections to peers, and what is sent over them outside of an exchange.

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

/// Longest wait for a peer.
const WAIT: Duration = Duration::from_secs(1);

/// Pushes rows to one peer; what does not arrive is pulled later.
pub async fn push(
    local: IpAddr,
    address: SocketAddr,
    known: Option<PeerClient>,
    rows: Vec<(Key, Value)>,
) {
    if let Some(client) = known
        && client.push(deadline(), rows.clone()).await.is_ok()
    {
        return;
    }
    if let Some(client) = connect(local, address).await {
        // The next exchange brings what was lost here.
        let _ = client.push(deadline(), rows).await;
    }
}

/// Connects from the daemon's own address, by which hosts with several are told apart.
pub async fn connect(local: IpAddr, address: SocketAddr) -> Option<PeerClient> {
    let socket = match local {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.ok()?;
    socket.bind(SocketAddr::new(local, 0)).ok()?;
    let connect = socket.connect(address);
    let stream = tokio::time::timeout(WAIT, connect).await.ok()?.ok()?;
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    Some(PeerClient::new(client::Config::default(), transport).spawn())
}

/// The deadline of a call that begins now.
#[must_use]
pub fn deadline() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + WAIT;
    context
}

/// Asks one peer for the snapshot of a generation.
pub async fn snapshot(
    local: IpAddr,
    address: SocketAddr,
    generation: Generation,
    within: Duration,
) -> Option<String> {
    let ask = async {
        connect(local, address)
            .await?
            .snapshot(deadline(), generation)
            .await
            .ok()?
    };
    tokio::time::timeout(within, ask).await.ok().flatten()
}
