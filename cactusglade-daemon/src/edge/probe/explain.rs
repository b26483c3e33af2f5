//! The operators' question where a request would be sent now.

use std::collections::BTreeMap;

use bytes::Bytes;
use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use kameo::actor::ActorRef;
use kameo::error::SendError;

use super::reply;
use crate::edge::broker::Broker;
use crate::edge::broker::Explain;

/// Path of the question.
pub const PATH: &str = "/explain";

/// `Error` of a question that can't be read.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("the query has no {0}")]
    Missing(&'static str),
    #[error("{name} is {found}, expected {expected}")]
    Malformed {
        name: &'static str,
        found: String,
        expected: &'static str,
    },
}

type Result<T> = std::result::Result<T, Error>;

/// Answers a question, whose fields are in the query: `host` and `path`; for a model request `input`
/// and `output` (tokens) and `parts` (ID:TOKENS, in hexadecimal and decimal, comma-separated); and
/// `organisation`. Fields are not percent-encoded.
pub async fn answer(broker: &ActorRef<Broker>, query: &str) -> Response<Full<Bytes>> {
    let explain = match parse(query) {
        Ok(explain) => explain,
        Err(error) => return reply(StatusCode::BAD_REQUEST, &format!("{error}\n")),
    };
    match broker.ask(explain).await {
        Ok(account) => reply(StatusCode::OK, &account.0),
        Err(SendError::HandlerError(refused)) => {
            let code = refused.0.answer().code;
            reply(StatusCode::NOT_FOUND, &format!("refused kind={code}\n"))
        }
        Err(_) => reply(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping\n"),
    }
}

fn parse(query: &str) -> Result<Explain> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let fields = fields.collect::<BTreeMap<_, _>>();
    let required = |name| fields.get(name).copied().ok_or(Error::Missing(name));
    Ok(Explain {
        host: required("host")?.to_ascii_lowercase(),
        path: required("path")?.to_owned(),
        organisation: fields.get("organisation").map(|name| (*name).to_owned()),
        prompt: prompt(&fields)?,
    })
}

/// Returns the prompt of a model request, `None` where the query has no number of tokens.
fn prompt(fields: &BTreeMap<&str, &str>) -> Result<Option<Prompt>> {
    let Some(input) = fields.get("input") else {
        return Ok(None);
    };
    let output = fields.get("output").copied().unwrap_or("0");
    let parts = fields.get("parts").copied().unwrap_or_default();
    let parts = parts.split(',').filter(|part| !part.is_empty());
    Ok(Some(Prompt {
        input_tokens: number("input", input)?,
        max_output_tokens: number("output", output)?,
        parts: parts.map(part).collect::<Result<_>>()?,
    }))
}

fn number(name: &'static str, text: &str) -> Result<u64> {
    // A number of tokens that fits 32 bits keeps all sums within range.
    let number = text.parse::<u32>();
    number.map(u64::from).map_err(|_| Error::Malformed {
        name,
        found: text.to_owned(),
        expected: "a number of tokens",
    })
}

fn part(text: &str) -> Result<Part> {
    let malformed = || Error::Malformed {
        name: "parts",
        found: text.to_owned(),
        expected: "ID:TOKENS, the ID in hexadecimal",
    };
    let (id, tokens) = text.split_once(':').ok_or_else(malformed)?;
    Ok(Part {
        id: u64::from_str_radix(id, 16).map_err(|_| malformed())?,
        tokens: number("parts", tokens)?,
    })
}
