//! The subcommand `cactusglade standin`.

use cactusglade_standin::engine;
use cactusglade_standin::platform;
use cactusglade_standin::service;
use gumdrop::Options;

use crate::commands::Result;
use crate::commands::address::Address;
use crate::commands::failed;
use crate::commands::usage;

/// Runs a stand-in until its process ends. Its first line of output has its address.
///
/// Example: cactusglade standin engine --listen 127.0.0.1:7201 --versions chat-v1
#[derive(Debug, Options)]
pub struct Standin {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "platform, engine or service")]
    kind: String,
    #[options(
        no_short,
        help = "address to listen on",
        meta = "IP:PORT",
        default = "127.0.0.1:0"
    )]
    listen: Address,
    #[options(
        no_short,
        help = "versions that an engine has loaded, separated by commas",
        meta = "LIST"
    )]
    versions: Option<String>,
    #[options(
        no_short,
        help = "requests that an engine serves concurrently",
        meta = "N"
    )]
    slots: Option<usize>,
    #[options(
        no_short,
        help = "microseconds between two tokens of an engine",
        meta = "N"
    )]
    token_us: Option<u64>,
    #[options(
        no_short,
        help = "make an engine refuse orders with an outdated fencing token"
    )]
    fencing: bool,
}

impl Standin {
    /// Runs the stand-in until its process ends.
    ///
    /// # Errors
    ///
    /// Fails when the kind is unknown or the address can't be bound.
    pub async fn run(self) -> Result<String> {
        let running = match self.kind.as_str() {
            "platform" => platform::start(self.listen.0, platform::Options::default()).await,
            "engine" => engine::start(self.listen.0, self.engine()).await,
            "service" => service::start(self.listen.0).await,
            other => {
                return Err(usage(format!(
                    "unknown stand-in {other:?}: expected platform, engine or service"
                )));
            }
        };
        let running = running.map_err(|error| failed(error.to_string()))?;
        println!("listening on {}", running.address);
        running.wait().await;
        Ok(String::new())
    }

    fn engine(&self) -> engine::Options {
        let defaults = engine::Options::default();
        let versions = self.versions.as_deref().unwrap_or_default().split(',');
        engine::Options {
            versions: versions
                .filter(|name| !name.is_empty())
                .map(str::to_owned)
                .collect(),
            slots: self.slots.unwrap_or(defaults.slots),
            token_us: self.token_us.unwrap_or(defaults.token_us),
            fencing: self.fencing,
            ..defaults
        }
    }
}
