//! Answers chats, either as a stream that the connection's task drives or as one complete response.

mod handover;
mod latency;
mod lines;
mod progress;

use std::convert::Infallible;

use bytes::Bytes;
use cactusglade_wire::caller;
use cactusglade_wire::caller::Failure;
use futures::Stream;
use futures::stream;
use http_body_util::Either;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;

use crate::gate::answer;
use crate::gate::answer::Body;
use crate::gate::inbound::Inbound;

pub use progress::Chat;
pub use progress::Checkpoint;
pub use progress::Part;

const FAILURE_MESSAGE: &str = "the chat could not be answered";

/// `Answer` is the HTTP response to a chat.
pub type Answer<S> = Response<Body<S>>;

/// Parses a request body; `None` if it is no chat, has no messages or allows no tokens.
pub fn parse(inbound: &Inbound) -> Option<caller::Chat> {
    let body = caller::Chat::try_new(&inbound.body).ok()?;
    (!body.messages.is_empty() && body.max_tokens > 0).then_some(body)
}

/// Answers one chat, new or resumed.
///
/// The response body owns the [`Chat`]: when the caller disconnects, both are dropped, which
/// cancels the attempt and frees the upstream's slot.
pub async fn answer(
    inbound: Inbound,
    checkpoint: Checkpoint,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let id = inbound.id.clone();
    let streamed = checkpoint.body.stream;
    let mut chat = Chat::start(inbound, checkpoint).await;
    if !streamed {
        return buffered(chat).await.map(Either::Left);
    }
    // The response head waits for the first token, so that an earlier error still gets its status.
    match chat.next().await {
        Part::Failed(kind) => answer::failure(kind, FAILURE_MESSAGE, &id).map(Either::Left),
        Part::Moved => answer::redirect_to_resume(&id).map(Either::Left),
        first => {
            let version = chat.version().to_owned();
            let body = Either::Right(StreamBody::new(events(chat, first)));
            answer::streamed(body, &id, &version)
        }
    }
}

/// Collects the complete answer and then responds.
async fn buffered(mut chat: Chat) -> Response<answer::Buffered> {
    match collect(&mut chat).await {
        Ok(body) => answer::buffered(200, "application/json", body, chat.id()),
        Err(Part::Failed(kind)) => answer::failure(kind, FAILURE_MESSAGE, chat.id()),
        Err(_) => answer::redirect_to_resume(chat.id()),
    }
}

/// Collects the complete answer and returns the response body.
///
/// # Errors
///
/// Returns the part that ended the answer before it was complete: [`Part::Moved`] or
/// [`Part::Failed`].
pub async fn collect(chat: &mut Chat) -> Result<String, Part> {
    let mut text = chat.delivered_text();
    loop {
        match chat.next().await {
            Part::Token { text: token, .. } => text.push_str(&token),
            Part::Done { prompt, answer } => return Ok(head(chat).body(&text, prompt, answer)),
            part => return Err(part),
        }
    }
}

/// Streams the answer as server-sent events, each produced when the connection polls for it.
fn events(chat: Chat, first: Part) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    stream::unfold((chat, Some(first)), |(mut chat, first)| async {
        let part = match first {
            Some(part) => part,
            None if chat.has_ended() => return None,
            None => chat.next().await,
        };
        let event = event(&chat, part);
        Some((Ok(Frame::data(Bytes::from(event))), (chat, None)))
    })
}

fn event(chat: &Chat, part: Part) -> String {
    match part {
        Part::Token { index, text } => head(chat).token(index, &text).unwrap_or_default(),
        Part::Done { .. } => head(chat).stop().unwrap_or_default() + caller::DONE,
        Part::Moved => Failure::moved(&answer::resume_path(chat.id())),
        Part::Failed(kind) => Failure::new(kind, FAILURE_MESSAGE, chat.id()).event(),
    }
}

fn head(chat: &Chat) -> caller::Head<'_> {
    caller::Head {
        id: chat.id(),
        model: chat.version(),
    }
}
