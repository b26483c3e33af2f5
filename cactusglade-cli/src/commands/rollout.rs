//! The subcommand `cactusglade rollout`.

use gumdrop::Options;
use serde_json::Value;

use crate::commands::Result;
use crate::commands::address::Address;
use crate::commands::failed;
use crate::commands::status;

/// Lists the rollouts that a daemon knows of, or shows one by name.
///
/// Example: cactusglade rollout 127.0.0.1:7102 chat-v2
#[derive(Debug, Options)]
pub struct Rollout {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "operators' address of any daemon")]
    daemon: Address,
    #[options(free, help = "name of a rollout; all rollouts if omitted")]
    name: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Rollout {
    /// Reads the rollouts from the daemon and returns one line for each.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not answer or does not know the named rollout.
    pub async fn run(self) -> Result<String> {
        let status = status::fetch(self.daemon.0).await.map_err(failed)?;
        let rows = status["rollouts"].as_object().cloned().unwrap_or_default();
        let wanted = |key: &String| match &self.name {
            Some(name) => key.split('/').next() == Some(name),
            None => true,
        };
        let rows = rows.into_iter().filter(|(key, _)| wanted(key));
        let rows = rows.collect::<serde_json::Map<_, _>>();
        if rows.is_empty() && self.name.is_some() {
            return Err(failed("this daemon knows no such rollout"));
        }
        if self.json {
            return Ok(Value::Object(rows).to_string());
        }
        let lines = rows.iter().map(|(key, row)| line(key, row));
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }
}

fn line(key: &str, row: &Value) -> String {
    format!(
        "{key}: {} at step {} since Unix time {} ms: {}",
        row["status"].as_str().unwrap_or("-"),
        row["step"],
        row["at_unix_ms"],
        row["reason"].as_str().unwrap_or("-"),
    )
}
