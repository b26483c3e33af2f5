//! Validation of object files, and keys of objects across generations.

use cactusglade_check::check;
use cactusglade_core::meta;
use cactusglade_core::meta::Source;
use cactusglade_core::set::Set;
use cactusglade_core::set::digest;
use cactusglade_core::units::Generation;

fn source(text: &str) -> Source {
    Source {
        file: "objects.toml".to_owned(),
        text: text.to_owned(),
    }
}

fn objects(address: &str, incarnation: u64) -> String {
    let key = digest(b"secret");
    format!(
        r#"
[organisation.north]
weight = 2
keys = ["sha256:{key}"]

[model.chat]
version = "v1"

[version.v1]
model = "chat"

[upstream.engine]
host = "h1"
zone = "a"
class = "reclaimable"
address = "{address}"
versions = ["v1"]
incarnation = {incarnation}

[route.chat]
path = "/v1/chat"
model = "chat"
"#
    )
}

fn build(text: &str, generation: u64, before: &Set) -> Set {
    let (document, problems) = meta::read(&[source(text)]);
    assert_eq!(problems, []);
    Set::try_new(&document, Generation(generation), before).expect("the set is valid")
}

#[test]
fn every_problem_is_reported_with_its_path_and_reason() {
    let text = r#"
[organisation.north]
weight = 0
keys = ["plain"]
colour = "red"

[model.chat]
version = "gone"

[upstream.engine]
host = "h1"
zone = "a"
class = "rented"
address = "nowhere"
versions = ["v9"]

[route.chat]
path = "chat"
model = "none"

[rollout.move]
model = "chat"
from = "v1"
to = "v1"
steps = [50, 10]
deadline_unix_ms = 1

[colour.red]
"#;
    let (document, mut problems) = meta::read(&[source(text)]);
    problems.extend(
        Set::try_new(&document, Generation(1), &Set::default())
            .expect_err("the set has unresolved references"),
    );
    let paths = problems.iter().map(|problem| problem.path.as_str());
    let paths = paths.collect::<Vec<_>>();
    for path in [
        "organisation.north.weight",
        "organisation.north.keys",
        "organisation.north.colour",
        "model.chat.version",
        "upstream.engine.class",
        "upstream.engine.address",
        "upstream.engine.versions",
        "route.chat.path",
        "route.chat.model",
        "rollout.move.steps",
        "rollout.move.from",
        "rollout.move.to",
        "colour",
    ] {
        assert!(paths.contains(&path), "{path} is missing from {paths:?}");
    }
    assert!(problems.iter().all(|problem| !problem.reason.is_empty()));
}

#[test]
fn an_object_defined_in_two_files_is_a_problem() {
    let text = "[service.s]\n";
    let (_, problems) = meta::read(&[source(text), source(text)]);
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].path, "service.s");
}

#[test]
fn a_key_stays_valid_until_its_object_is_replaced() {
    let first = build(&objects("127.0.0.1:1", 0), 1, &Set::default());
    let second = build(&objects("127.0.0.1:1", 0), 2, &first);
    let third = build(&objects("127.0.0.1:1", 1), 3, &second);
    let key = |set: &Set| {
        set.upstreams
            .find("engine")
            .expect("the upstream is in the set")
    };
    assert_eq!(key(&first), key(&second));
    assert_ne!(key(&second), key(&third));
    assert!(third.upstreams.get(key(&second)).is_none());
    assert_eq!(first.routes.find("chat"), third.routes.find("chat"));
}

#[test]
fn only_a_valid_api_key_authenticates() {
    let set = build(&objects("127.0.0.1:1", 0), 1, &Set::default());
    assert_eq!(set.authenticate("secret"), set.organisations.find("north"));
    assert_eq!(set.authenticate("other"), None);
}

#[test]
fn arbitrary_object_files_are_read_without_a_panic() {
    check::run::<String>(2_000, |text| {
        let (document, _) = meta::read(&[source(text)]);
        // The set may be valid or not; only a panic fails the test.
        let _ = Set::try_new(&document, Generation(1), &Set::default());
    });
}

#[test]
fn damaged_object_files_are_read_without_a_panic() {
    let text = objects("127.0.0.1:1", 0);
    check::run::<Vec<(u16, u8)>>(2_000, |damage| {
        let mut bytes = text.clone().into_bytes();
        for (position, byte) in damage {
            let position = usize::from(*position) % bytes.len();
            bytes[position] = *byte;
        }
        let damaged = String::from_utf8_lossy(&bytes);
        let (document, _) = meta::read(&[source(&damaged)]);
        // The set may be valid or not; only a panic fails the test.
        let _ = Set::try_new(&document, Generation(1), &Set::default());
    });
}
