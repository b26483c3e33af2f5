//! Guards against entries of `.ci/mechanisms.toml` that no longer apply to the code.

use std::path::Path;

use serde::Deserialize;

#[derive(Deserialize)]
struct Document {
    mechanism: Vec<Mechanism>,
}

#[derive(Deserialize)]
struct Mechanism {
    name: String,
    file: String,
    find: String,
}

/// A change of the code left seven entries behind, whose mechanisms nobody removed any more.
#[test]
fn each_mechanism_is_found_once_in_its_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let text = std::fs::read_to_string(root.join(".ci/mechanisms.toml"));
    let document = toml::from_str::<Document>(&text.expect("the file can be read"));
    let mechanisms = document.expect("the file is valid").mechanism;
    assert!(!mechanisms.is_empty());
    let stale = mechanisms.iter().filter(|one| {
        let source = std::fs::read_to_string(root.join(&one.file)).unwrap_or_default();
        source.matches(&one.find).count() != 1
    });
    let stale = stale.map(|one| one.name.as_str()).collect::<Vec<_>>();
    assert!(stale.is_empty(), "not found once: {stale:?}");
}
