//! The subcommand `cactusglade route`.

use std::time::Duration;

use cactusglade_link::link::Client;
use gumdrop::Options;

use crate::commands::Result;
use crate::commands::address::Address;
use crate::commands::failed;
use crate::commands::usage;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const OK: u16 = 200;
/// Characters that would change the meaning of the question's query.
const RESERVED: [char; 5] = ['&', '#', '%', '?', '='];

/// Explains where a daemon would send a request now, and why, without sending it. For daemons on the
/// users' platform.
///
/// Example: cactusglade route 127.0.0.1:7601 --host chat.example --path /chat/1 --input 1800
#[derive(Debug, Options)]
pub struct Route {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "operators' address of the daemon")]
    daemon: Address,
    #[options(no_short, required, help = "host name of the request")]
    host: String,
    #[options(no_short, required, help = "path of the request")]
    path: String,
    #[options(no_short, help = "organisation that would send it", meta = "NAME")]
    organisation: Option<String>,
    #[options(
        no_short,
        help = "tokens of the prompt, for a model request",
        meta = "N"
    )]
    input: Option<u32>,
    #[options(no_short, help = "most tokens of the answer", meta = "N")]
    output: Option<u32>,
    #[options(
        no_short,
        help = "sections of the prompt, ids in hexadecimal",
        meta = "ID:TOKENS,..."
    )]
    parts: Option<String>,
}

impl Route {
    /// Asks the daemon and returns its explanation.
    ///
    /// # Errors
    ///
    /// Fails when an argument has a reserved character, the daemon doesn't answer, or it would refuse
    /// the request.
    pub async fn run(self) -> Result<String> {
        let target = format!("/explain?{}", self.query()?);
        let daemon = self.daemon.0;
        let answer = Client::new(daemon, CALL_TIMEOUT)
            .call("GET", &target, Vec::new())
            .await;
        let answer = answer.map_err(|error| {
            failed(format!(
                "{daemon} does not answer: {error}; is it an operators' address?"
            ))
        })?;
        let text = String::from_utf8_lossy(&answer.body);
        let text = text.trim_end().to_owned();
        if answer.status == OK {
            Ok(text)
        } else {
            Err(failed(format!(
                "{daemon} answered {}: {text}",
                answer.status
            )))
        }
    }

    fn query(&self) -> Result<String> {
        let tokens = |number: Option<u32>| number.map(|number| number.to_string());
        let fields = [
            ("host", Some(self.host.clone())),
            ("path", Some(self.path.clone())),
            ("organisation", self.organisation.clone()),
            ("input", tokens(self.input)),
            ("output", tokens(self.output)),
            ("parts", self.parts.clone()),
        ];
        let mut query = Vec::new();
        for (name, value) in fields {
            let Some(value) = value else { continue };
            if value.contains(RESERVED) || value.contains(char::is_whitespace) {
                return Err(usage(format!(
                    "--{name} is {value}, expected a text without spaces and {RESERVED:?}"
                )));
            }
            query.push(format!("{name}={value}"));
        }
        Ok(query.join("&"))
    }
}
