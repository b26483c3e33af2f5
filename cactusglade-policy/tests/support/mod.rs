//! Object set for tests: two model versions with a rollout, a plain service, three organisations.

// Each test file uses a part of this module.
#![allow(dead_code)]

pub mod pool;

use std::sync::Arc;

use cactusglade_core::meta;
use cactusglade_core::meta::Source;
use cactusglade_core::set::Set;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Submission;
use cactusglade_policy::prefix::Prompt;

/// Deadline of the rollout, in Unix time.
pub const DEADLINE: Millis = Millis(1_000_000);
/// Number of slots of each upstream.
pub const SLOTS: u64 = 2;
/// Number of upstreams of each kind.
pub const UPSTREAMS: usize = 3;

const OBJECTS: &str = r#"
[organisation.north]
[organisation.south]
weight = 2
[organisation.limited]
tokens_per_second = 100

[model.chat]
version = "v1"
[version.v1]
model = "chat"
[version.v2]
model = "chat"
[service.bookings]

[route.chat]
path = "/chat"
model = "chat"
[route.review]
path = "/review"
model = "chat"
class = "deferrable"
[route.book]
path = "/book"
service = "bookings"

[rollout.move]
model = "chat"
from = "v1"
to = "v2"
steps = [10, 50]
deadline_unix_ms = 1000000
"#;

/// Builds the object set of a generation.
pub fn set(generation: u64, before: &Set) -> Arc<Set> {
    let mut text = OBJECTS.to_owned();
    for number in 0..UPSTREAMS {
        let common = format!("zone = \"a\"\nclass = \"reclaimable\"\nslots = {SLOTS}\n");
        let engine = format!(
            "[upstream.engine-{number}]\nhost = \"e{number}\"\naddress = \"127.0.0.1:{}\"\n\
             versions = [\"v1\", \"v2\"]\n{common}",
            1000 + number
        );
        let service = format!(
            "[upstream.service-{number}]\nhost = \"s{number}\"\naddress = \"127.0.0.1:{}\"\n\
             service = \"bookings\"\n{common}",
            2000 + number
        );
        text = [text, engine, service].concat();
    }
    let source = Source {
        file: "objects.toml".to_owned(),
        text,
    };
    let (document, problems) = meta::read(&[source]);
    assert_eq!(problems, []);
    let set = Set::try_new(&document, Generation(generation), before);
    Arc::new(set.expect("the object set is valid"))
}

/// Builds a request of an organisation on a route.
pub fn submission(
    set: &Set,
    organisation: &str,
    route: &str,
    deadline: Millis,
    draw: f64,
) -> Submission {
    Submission {
        organisation: set
            .organisations
            .find(organisation)
            .expect("the set has the organisation"),
        route: set.routes.find(route).expect("the set has the route"),
        prompt: Prompt::default(),
        cost: 100,
        deadline,
        draw,
    }
}
