//! Hands chats over to peers, and finds chats that were handed over.

use std::net::SocketAddr;

use cactusglade_core::row::Handover;
use cactusglade_wire::peer::PeerClient;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kameo::message::Context;
use kameo::message::Message;
use kameo::reply::DelegatedReply;
use rand::seq::SliceRandom;

use crate::peer::Peer;
use crate::peer::client::connect;
use crate::peer::client::deadline;
use crate::peer::messages::Find;
use crate::peer::messages::HandOver;

/// Number of peers that get a copy of a chat.
const HANDOVER_COPIES: usize = 2;

impl Message<HandOver> for Peer {
    type Reply = DelegatedReply<usize>;

    async fn handle(
        &mut self,
        request: HandOver,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let mut peers = self.targets();
        peers.shuffle(&mut rand::rng());
        let local_address = self.options.local_address;
        context.spawn(async move {
            let mut copies = 0;
            // Peers that do not answer are skipped.
            for (address, existing) in peers {
                let Some(client) = get_or_connect(local_address, address, existing).await else {
                    continue;
                };
                let adopted = client.adopt(deadline(), request.0.clone()).await;
                copies += usize::from(matches!(adopted, Ok(true)));
                if copies >= HANDOVER_COPIES {
                    break;
                }
            }
            copies
        })
    }
}

impl Message<Find> for Peer {
    type Reply = DelegatedReply<Option<Handover>>;

    async fn handle(
        &mut self,
        request: Find,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let local_address = self.options.local_address;
        let peers = self.targets();
        context.spawn(async move {
            let mut answers = peers
                .into_iter()
                .map(|(address, existing)| {
                    let id = request.0.clone();
                    async move {
                        let client = get_or_connect(local_address, address, existing).await?;
                        client.handover(deadline(), id).await.ok().flatten()
                    }
                })
                .collect::<FuturesUnordered<_>>();
            let mut longest: Option<Handover> = None;
            while let Some(answer) = answers.next().await {
                let is_longer =
                    |found: &Handover, other: &Handover| other.emitted.len() > found.emitted.len();
                longest = match (longest, answer) {
                    (Some(found), Some(other)) if !is_longer(&found, &other) => Some(found),
                    (found, other) => other.or(found),
                };
            }
            longest
        })
    }
}

impl Peer {
    /// Returns the addresses of all peers, each with its open connection if there is one.
    fn targets(&self) -> Vec<(SocketAddr, Option<PeerClient>)> {
        let peers = self.peers(self.options.clock.now());
        let existing = |address: &SocketAddr| self.clients.get(address).cloned();
        peers
            .into_iter()
            .map(|address| (address, existing(&address)))
            .collect()
    }
}

/// Returns the open connection to a peer, or opens one.
async fn get_or_connect(
    local_address: std::net::IpAddr,
    address: SocketAddr,
    existing: Option<PeerClient>,
) -> Option<PeerClient> {
    match existing {
        Some(client) => Some(client),
        None => connect(local_address, address).await,
    }
}
