//! Gives chats to peers, and finds those that were given.

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
use crate::peer::messages::Find;
use crate::peer::messages::HandOver;
use crate::peer::reach::connect;
use crate::peer::reach::deadline;

/// Peers that a chat is given to.
const COPIES: usize = 2;

impl Message<HandOver> for Peer {
    type Reply = DelegatedReply<usize>;

    async fn handle(
        &mut self,
        asked: HandOver,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let mut peers = self.targets();
        peers.shuffle(&mut rand::rng());
        let local = self.options.local;
        context.spawn(async move {
            let mut kept = 0;
            // Peers that do not answer are passed over.
            for (address, known) in peers {
                let Some(client) = reach(local, address, known).await else {
                    continue;
                };
                let adopted = client.adopt(deadline(), asked.0.clone()).await;
                kept += usize::from(matches!(adopted, Ok(true)));
                if kept >= COPIES {
                    break;
                }
            }
            kept
        })
    }
}

impl Message<Find> for Peer {
    type Reply = DelegatedReply<Option<Handover>>;

    async fn handle(
        &mut self,
        asked: Find,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let local = self.options.local;
        let peers = self.targets();
        context.spawn(async move {
            let mut answers = peers
                .into_iter()
                .map(|(address, known)| {
                    let id = asked.0.clone();
                    async move {
                        let client = reach(local, address, known).await?;
                        client.handover(deadline(), id).await.ok().flatten()
                    }
                })
                .collect::<FuturesUnordered<_>>();
            let mut best: Option<Handover> = None;
            while let Some(answer) = answers.next().await {
                let longer =
                    |known: &Handover, other: &Handover| other.emitted.len() > known.emitted.len();
                best = match (best, answer) {
                    (Some(known), Some(other)) if !longer(&known, &other) => Some(known),
                    (known, other) => other.or(known),
                };
            }
            best
        })
    }
}

impl Peer {
    /// Peers that may be reached, with the connections that are there.
    fn targets(&self) -> Vec<(SocketAddr, Option<PeerClient>)> {
        let peers = self.peers(self.options.clock.now());
        let known = |address: &SocketAddr| self.clients.get(address).cloned();
        peers
            .into_iter()
            .map(|address| (address, known(&address)))
            .collect()
    }
}

async fn reach(
    local: std::net::IpAddr,
    address: SocketAddr,
    known: Option<PeerClient>,
) -> Option<PeerClient> {
    match known {
        Some(client) => Some(client),
        None => connect(local, address).await,
    }
}
