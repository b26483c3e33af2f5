//! The object set of the demonstration, as the object files that an operator would write.

use std::fmt::Write;
use std::net::SocketAddr;

use cactusglade_core::meta::Source;
use cactusglade_core::set::digest;

/// Organisations with their weights; [`api_key`] gives the API key of each.
pub const ORGANISATIONS: [(&str, u64); 3] = [("north", 1), ("south", 1), ("cases", 2)];
/// Path of the chat route.
pub const CHAT: &str = "/v1/chat/completions";
/// Path of the route for deferrable work.
pub const REVIEWS: &str = "/v1/reviews";
/// Path of the booking route, which is not idempotent.
pub const BOOKINGS: &str = "/bookings";
/// Path of the status route, which is idempotent.
pub const STATUS: &str = "/status";

/// `Upstream` is one upstream of the demonstration.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name of the object and of its host.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address at which the upstream serves.
    pub address: SocketAddr,
    /// Whether the upstream is a model engine; otherwise it is the booking service.
    pub engine: bool,
}

/// `Rollout` is the rollout of the chat model from `chat-v1` to `chat-v2`.
#[derive(Clone, Copy, Debug)]
pub struct Rollout {
    /// Deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Minimum duration of each step in milliseconds.
    pub step_ms: u64,
    /// Minimum number of answers observed in each step.
    pub evidence: u64,
}

/// Returns the API key of an organisation: its name with `-key`.
#[must_use]
pub fn api_key(organisation: &str) -> String {
    format!("{organisation}-key")
}

/// Returns the object files of the demonstration.
#[must_use]
pub fn sources(upstreams: &[Upstream], rollout: Option<Rollout>) -> Vec<Source> {
    let source = |file: &str, text: String| Source {
        file: file.to_owned(),
        text,
    };
    vec![
        source("organisations.toml", organisations()),
        source("upstreams.toml", upstream_objects(upstreams)),
        source("routes.toml", ROUTES.to_owned()),
        source(
            "rollouts.toml",
            rollout.map_or_else(String::new, rollout_object),
        ),
    ]
}

const ROUTES: &str = r#"
[model.chat]
version = "chat-v1"

[version.chat-v1]
model = "chat"

[version.chat-v2]
model = "chat"

[service.bookings]

[route.chat]
path = "/v1/chat/completions"
model = "chat"

[route.review]
path = "/v1/reviews"
model = "chat"
class = "deferrable"

[route.book]
path = "/bookings"
method = "POST"
service = "bookings"
idempotent = false

[route.status]
path = "/status/*"
method = "GET"
service = "bookings"
idempotent = true

[objective.chat]
route = "chat"
target = 0.95
latency_ms = 750
"#;

fn organisations() -> String {
    let mut text = String::new();
    for (name, weight) in ORGANISATIONS {
        let key = digest(api_key(name).as_bytes());
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "[organisation.{name}]\nweight = {weight}\nkeys = [\"sha256:{key}\"]\n"
        );
    }
    text
}

fn upstream_objects(upstreams: &[Upstream]) -> String {
    let mut text = String::new();
    for upstream in upstreams {
        let served = if upstream.engine {
            "versions = [\"chat-v1\", \"chat-v2\"]\nprice = 1.0"
        } else {
            "service = \"bookings\"\nslots = 64"
        };
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "[upstream.{name}]\nhost = \"{name}\"\nzone = \"{}\"\naddress = \"{}\"\n\
             class = \"reclaimable\"\n{served}\n",
            upstream.zone,
            upstream.address,
            name = upstream.name,
        );
    }
    text
}

fn rollout_object(rollout: Rollout) -> String {
    format!(
        "[rollout.chat-v2]\nmodel = \"chat\"\nfrom = \"chat-v1\"\nto = \"chat-v2\"\n\
         steps = [10, 50]\nstep_ms = {}\nevidence = {}\ndeadline_unix_ms = {}\n",
        rollout.step_ms, rollout.evidence, rollout.deadline_unix_ms
    )
}
