//! Hands a chat over to peers when the daemon's own host is reclaimed.

use cactusglade_core::row::Handover;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Verdict;

use crate::gate::chat::progress::Chat;
use crate::gate::chat::progress::Part;
use crate::gate::context::Reclaim;
use crate::peer;
use cactusglade_link::clock;

impl Chat {
    /// Sends the chat's state to peers; returns whether the chat must end here.
    ///
    /// It must end if the host is about to be reclaimed and at least one peer keeps the state.
    pub(super) async fn hand_over(&mut self) -> bool {
        let reclaim = *self.reclaim.borrow_and_update();
        if reclaim == Reclaim::Unannounced {
            return false;
        }
        let handover = peer::HandOver(self.handover());
        let peer = self.inbound.context.peer.clone();
        if reclaim == Reclaim::Noticed {
            // The stream continues here; if this process ends, the caller resumes from the copy.
            drop(tokio::spawn(async move { peer.ask(handover).await }));
            return false;
        }
        peer.ask(handover).await.is_ok_and(|kept| kept > 0)
    }

    fn handover(&self) -> Handover {
        let remaining = self.inbound.deadline - self.inbound.context.clock.now();
        Handover {
            id: self.inbound.id.clone(),
            organisation: self.inbound.organisation_name().to_owned(),
            route: self.inbound.route_name().to_owned(),
            body: String::from_utf8_lossy(&self.inbound.body).into_owned(),
            emitted: self.emitted.clone(),
            deadline_unix_ms: clock::unix_time() + remaining,
        }
    }

    /// Ends the chat at this daemon after a peer has stored its state.
    pub(super) async fn end_moved(&mut self) -> Part {
        if let Some(running) = self.running.take() {
            let report = Report {
                verdict: Verdict::Neutral,
                tokens: self.cursor.passed(),
                first_token: None,
            };
            self.finish(&running, report, None).await;
        }
        self.ended = true;
        self.inbound.record("moved");
        Part::Moved
    }
}
