//! Whether the load of an upstream explains that it has not answered.

use cactusglade_policy::broker::Grant;
use cactusglade_policy::silence::Extension;
use cactusglade_policy::silence::Wait;
use kameo::message::Context;
use kameo::message::Message;

use super::Broker;

/// `ExplainSilence` asks how long to wait on for an answer; the reply is `None` where the load of the
/// upstream doesn't explain that there is none.
#[derive(Clone, Copy, Debug)]
pub struct ExplainSilence {
    /// Grant under which the request was sent.
    pub grant: Grant,
    /// The wait so far.
    pub wait: Wait,
}

impl Message<ExplainSilence> for Broker {
    type Reply = Option<Extension>;

    async fn handle(
        &mut self,
        silence: ExplainSilence,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.clock.now();
        self.policy
            .explains_silence(now, &silence.grant, &silence.wait)
    }
}
