//! Answers chats: as a stream that the connection's own task drives, or whole.

mod leave;
mod lines;
mod pace;
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
use crate::gate::entry::Entry;

pub use progress::Chat;
pub use progress::Part;
pub use progress::Seed;

const MESSAGE: &str = "the chat could not be answered";

/// Body of the answer to a chat.
pub type Answer<S> = Response<Body<S>>;

/// The chat that a request's body asks for.
pub fn read(entry: &Entry) -> Option<caller::Chat> {
    let body = caller::Chat::try_new(&entry.body).ok()?;
    (!body.messages.is_empty() && body.max_tokens > 0).then_some(body)
}

/// Answers one chat from where it stands.
///
/// The answer's body holds all that the chat is; when the caller goes away it is dropped, and
/// with it everything that was done for the caller.
pub async fn answer(
    entry: Entry,
    seed: Seed,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let id = entry.id.clone();
    let streamed = seed.body.stream;
    let mut chat = Chat::start(entry, seed).await;
    if !streamed {
        return whole(chat).await.map(Either::Left);
    }
    // Nothing is said before the first token is there, so that an error can still be an answer.
    match chat.next().await {
        Part::Failed(kind) => answer::failure(kind, MESSAGE, &id).map(Either::Left),
        Part::Moved => answer::elsewhere(&id).map(Either::Left),
        first => {
            let version = chat.version().to_owned();
            let body = Either::Right(StreamBody::new(events(chat, first)));
            answer::streamed(body, &id, &version)
        }
    }
}

/// Gathers the whole answer before anything is said.
async fn whole(mut chat: Chat) -> Response<answer::Whole> {
    match gather(&mut chat).await {
        Ok(body) => answer::whole(200, "application/json", body, chat.id()),
        Err(Part::Failed(kind)) => answer::failure(kind, MESSAGE, chat.id()),
        Err(_) => answer::elsewhere(chat.id()),
    }
}

/// The body of a whole answer, or the part that ended it before.
///
/// # Errors
///
/// Returns the last part of an answer that did not become whole here.
pub async fn gather(chat: &mut Chat) -> Result<String, Part> {
    let mut text = chat.known();
    loop {
        match chat.next().await {
            Part::Token { text: token, .. } => text.push_str(&token),
            Part::Done { prompt, answer } => return Ok(head(chat).body(&text, prompt, answer)),
            part => return Err(part),
        }
    }
}

/// The events of a streamed answer, made one by one as the connection takes them.
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
        Part::Failed(kind) => Failure::new(kind, MESSAGE, chat.id()).event(),
    }
}

fn head(chat: &Chat) -> caller::Head<'_> {
    caller::Head {
        id: chat.id(),
        model: chat.version(),
    }
}
