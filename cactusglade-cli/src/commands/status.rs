//! The subcommand `cactusglade status`.

use std::net::SocketAddr;
use std::time::Duration;

use cactusglade_link::link::Client;
use gumdrop::Options;
use serde_json::Value;

use crate::commands::Result;
use crate::commands::address::Address;
use crate::commands::failed;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Shows the status of a daemon and of the daemons it knows, also during an outage of the platform.
///
/// Example: cactusglade status 127.0.0.1:7102 --json
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "operators' address of any daemon")]
    daemon: Address,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Status {
    /// Reads the daemon's status and returns it as text or JSON.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer.
    pub async fn run(self) -> Result<String> {
        let status = fetch(self.daemon.0).await.map_err(failed)?;
        if self.json {
            return Ok(status.to_string());
        }
        Ok(text(&status))
    }
}

/// Reads a daemon's status as JSON.
///
/// # Errors
///
/// Fails when the daemon does not answer or its answer is not JSON.
pub async fn fetch(daemon: SocketAddr) -> std::result::Result<Value, String> {
    let answer = Client::new(daemon, CALL_TIMEOUT)
        .call("GET", "/status", Vec::new())
        .await
        .map_err(|error| {
            format!("{daemon} does not answer: {error}; is it an operators' address?")
        })?;
    serde_json::from_slice(&answer.body)
        .map_err(|error| format!("{daemon} answered with invalid JSON: {error}"))
}

fn text(status: &Value) -> String {
    let age = match status["platform_answered_ms_ago"].as_u64() {
        Some(age) => format!("answered {age} ms ago"),
        None => "has not answered yet".to_owned(),
    };
    let mut lines = vec![
        format!(
            "{} in zone {}: generation {}, platform {age}",
            text_or_dash(&status["daemon"]),
            text_or_dash(&status["zone"]),
            status["generation"]
        ),
        format!(
            "requests: {} open, {} waiting, {} admitted, {} refused, {} retried, {} moved",
            status["open"],
            status["waiting"],
            status["admitted"],
            status["refused"],
            status["retried"],
            status["moved"]
        ),
    ];
    for (name, daemon) in status["daemons"].as_object().into_iter().flatten() {
        let zone = text_or_dash(&daemon["zone"]);
        lines.push(format!(
            "daemon {name}: zone {zone}, generation {}",
            daemon["generation"]
        ));
    }
    for (name, _) in status["leaving"].as_object().into_iter().flatten() {
        lines.push(format!("leaving: upstream {name}"));
    }
    for (name, row) in status["rollouts"].as_object().into_iter().flatten() {
        let (state, reason) = (text_or_dash(&row["status"]), text_or_dash(&row["reason"]));
        lines.push(format!(
            "rollout {name}: {state}, step {}, {reason}",
            row["step"]
        ));
    }
    for (name, reason) in status["vetoes"].as_object().into_iter().flatten() {
        lines.push(format!("veto {name}: {}", text_or_dash(reason)));
    }
    lines.join("\n")
}

fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
