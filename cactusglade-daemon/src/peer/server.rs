//! The server for peers: one task owns the listening socket, and one task owns each connection.

use cactusglade_core::row::Handover;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Generation;
use cactusglade_wire::peer as wire;
use cactusglade_wire::peer::Batch;
use cactusglade_wire::peer::Pull;
use futures::StreamExt;
use kameo::actor::ActorRef;
use kameo::actor::Recipient;
use kameo::actor::ReplyRecipient;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::accept;
use crate::config::messages::Snapshot;
use crate::peer::messages::Changes;
use crate::peer::messages::Receive;
use crate::relay;
use crate::relay::Relay;

/// Maximum number of open connections of peers; each of 400 daemons keeps one open and may open
/// another to push rows.
const MAX_CONNECTIONS: usize = 1_024;

/// `Server` answers the calls of one peer by messages to the services.
#[derive(Clone, Debug)]
pub struct Server {
    pub changes: ReplyRecipient<Changes, Option<Batch>>,
    pub pushes: Recipient<Receive>,
    pub snapshots: ReplyRecipient<Snapshot, Option<String>>,
    pub relay: ActorRef<Relay>,
}

impl wire::Peer for Server {
    async fn pull(self, _: Context, pull: Pull) -> Batch {
        self.changes
            .ask(Changes(pull))
            .await
            .ok()
            .flatten()
            .unwrap_or_default()
    }

    async fn push(self, _: Context, rows: Vec<(Key, Value)>) {
        // Fails only when the service has ended, which then needs no rows.
        let _ = self.pushes.tell(Receive(rows)).await;
    }

    async fn snapshot(self, _: Context, generation: Generation) -> Option<String> {
        self.snapshots
            .ask(Snapshot(generation))
            .await
            .ok()
            .flatten()
    }

    async fn adopt(self, _: Context, handover: Handover) -> bool {
        self.relay.tell(relay::Insert(handover)).await.is_ok()
    }

    async fn handover(self, _: Context, id: String) -> Option<Handover> {
        self.relay.ask(relay::Get(id)).await.ok().flatten()
    }
}

/// Accepts connections of peers until the stop channel closes, then closes them all.
pub async fn listen(
    listener: std::net::TcpListener,
    server: Server,
    stopped: oneshot::Receiver<()>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let serve = move |socket| serve(socket, server.clone());
    accept::run(listener, MAX_CONNECTIONS, stopped, serve).await;
}

/// Answers the calls of one connection until it closes.
async fn serve(socket: TcpStream, server: Server) {
    let framed = LengthDelimitedCodec::builder().new_framed(socket);
    let transport = serde_transport::new(framed, Bincode::default());
    let calls = BaseChannel::with_defaults(transport).execute(wire::Peer::serve(server));
    calls.for_each_concurrent(None, |call| call).await;
}
