//! Answers chats: as a stream that the connection's own task drives, or whole.

mod lines;
mod progress;

use std::convert::Infallible;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
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
use crate::gate::request::Entry;

use progress::Chat;
use progress::Part;

const MESSAGE: &str = "the chat could not be answered";
const NO_CHAT: &str = "the body is no chat with messages and max_tokens above zero";

/// Answers one chat.
///
/// The answer's body holds all that the chat is; when the caller goes away it is dropped, and
/// with it everything that was done for the caller.
pub async fn answer(
    entry: Entry,
) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, Infallible>>>> {
    let id = entry.id.clone();
    let body = match caller::Chat::try_new(&entry.body) {
        Ok(body) if !body.messages.is_empty() && body.max_tokens > 0 => body,
        _ => {
            let kind = Kind::BadRequest;
            entry.record(kind.answer().code);
            return answer::failure(kind, NO_CHAT, &id).map(Either::Left);
        }
    };
    let streamed = body.stream;
    let mut chat = Chat::start(entry, body).await;
    if !streamed {
        return whole(chat).await.map(Either::Left);
    }
    // Nothing is said before the first token is there, so that an error can still be an answer.
    match chat.next().await {
        Part::Failed(kind) => answer::failure(kind, MESSAGE, &id).map(Either::Left),
        first => {
            let version = chat.version().to_owned();
            let body = Either::Right(StreamBody::new(events(chat, first)));
            answer::streamed(body, &id, &version)
        }
    }
}

/// Gathers the whole answer before anything is said.
async fn whole(mut chat: Chat) -> Response<answer::Whole> {
    let mut text = String::new();
    loop {
        match chat.next().await {
            Part::Token { text: token, .. } => text.push_str(&token),
            Part::Failed(kind) => return answer::failure(kind, MESSAGE, chat.id()),
            Part::Done { prompt, answer } => {
                let body = head(&chat).whole(&text, prompt, answer);
                return answer::whole(200, "application/json", body, chat.id());
            }
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
        Part::Failed(kind) => Failure::new(kind, MESSAGE, chat.id()).event(),
    }
}

fn head(chat: &Chat) -> caller::Head<'_> {
    caller::Head {
        id: chat.id(),
        model: chat.version(),
    }
}
