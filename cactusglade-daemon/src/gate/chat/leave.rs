//! What becomes of a chat when the daemon's own host is taken back.

use cactusglade_core::row::Handover;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Verdict;

use crate::gate::chat::progress::Chat;
use crate::gate::chat::progress::Part;
use crate::gate::context::Leaving;
use crate::peer;
use cactusglade_link::clock;

impl Chat {
    /// Gives peers what they need to go on, and says whether the chat is to end here.
    pub(super) async fn leave(&mut self) -> bool {
        let leaving = *self.leaving.borrow_and_update();
        if leaving == Leaving::No {
            return false;
        }
        let handover = peer::HandOver(self.handover());
        let peer = self.entry.context.peer.clone();
        if leaving == Leaving::Noticed {
            // The stream goes on meanwhile; should this process die, the copy is there.
            drop(tokio::spawn(async move { peer.ask(handover).await }));
            return false;
        }
        peer.ask(handover).await.is_ok_and(|kept| kept > 0)
    }

    fn handover(&self) -> Handover {
        let left = self.entry.deadline - self.entry.context.clock.now();
        Handover {
            id: self.entry.id.clone(),
            organisation: self.entry.organisation_name().to_owned(),
            route: self.entry.route_name().to_owned(),
            body: String::from_utf8_lossy(&self.entry.body).into_owned(),
            emitted: self.emitted.clone(),
            deadline_unix_ms: clock::unix_time() + left,
        }
    }

    /// Ends the chat here, after a peer has taken it.
    pub(super) async fn moved(&mut self) -> Part {
        if let Some(running) = self.running.take() {
            let report = Report {
                verdict: Verdict::Neutral,
                tokens: self.cursor.passed(),
                first_token: None,
            };
            self.finish(&running, report, None).await;
        }
        self.ended = true;
        self.entry.record("moved");
        Part::Moved
    }
}
