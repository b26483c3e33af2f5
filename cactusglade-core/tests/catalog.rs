//! Lookup of routes and API keys in a catalog, and its keys from one version to the next.

use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::catalog::Error;
use cactusglade_core::catalog::Organisation;
use cactusglade_core::catalog::Path;
use cactusglade_core::catalog::Route;
use cactusglade_core::catalog::Rule;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::catalog::Service;
use cactusglade_core::units::Millis;

fn route(name: &str, host: &str, prefix: &str, service: &str) -> Rule {
    Rule {
        path: Path {
            host: host.to_owned(),
            prefix: prefix.to_owned(),
        },
        route: Route {
            name: name.to_owned(),
            semantics: Semantics::AtMostOnce,
            timeout: Millis(1_000),
            latency_target: Millis(100),
            max_gap: Millis(500),
            priority: 0,
            max_attempts: 1,
            is_public: false,
            regions: Vec::new(),
            split: Vec::new(),
        },
        split: vec![(service.to_owned(), 1)],
    }
}

fn draft(version: u64, routes: Vec<Rule>, keys: &[&str]) -> Draft {
    let organisation = Organisation {
        name: "north".to_owned(),
        priority: None,
        quota: None,
        regions: Vec::new(),
    };
    Draft {
        version,
        services: vec![Service {
            name: "app".to_owned(),
            tokens_per_event: 0,
            scale: None,
            cold_rate: None,
            cold_time: Millis(0),
        }],
        routes,
        organisations: vec![(
            organisation,
            keys.iter().map(|key| (*key).to_owned()).collect(),
        )],
        ..Draft::default()
    }
}

#[test]
fn a_path_is_routed_by_the_longest_prefix_of_its_host() {
    let routes = vec![
        route("short", "h", "/a/", "app"),
        route("long", "h", "/a/b/", "app"),
        route("other", "i", "/a/b/c/", "app"),
    ];
    let catalog =
        Catalog::try_new(draft(1, routes, &[]), &Catalog::default()).expect("the draft is valid");
    let name = |host: &str, path: &str| {
        let key = catalog.route(host, path)?;
        catalog.routes.get(key).map(|route| route.name.clone())
    };
    assert_eq!(name("h", "/a/b/c/d").as_deref(), Some("long"));
    assert_eq!(name("h", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("h", "/ab/"), None);
    assert_eq!(name("j", "/a/"), None);
}

#[test]
fn a_kept_object_keeps_its_key_and_a_removed_one_is_not_found() {
    let first = draft(1, vec![route("r", "h", "/a/", "app")], &["old"]);
    let first = Catalog::try_new(first, &Catalog::default()).expect("the draft is valid");
    let second = draft(2, vec![route("s", "h", "/b/", "app")], &["new"]);
    let second = Catalog::try_new(second, &first).expect("the draft is valid");
    let key = first.organisations.find("north");
    assert_eq!(second.organisations.find("north"), key);
    assert_eq!(second.authenticate("new"), key);
    assert_eq!(second.authenticate("old"), None);
    assert_eq!(second.route("h", "/a/"), None);
}

#[test]
fn a_route_to_an_unknown_service_is_an_error() {
    let draft = draft(1, vec![route("r", "h", "/a/", "nothing")], &[]);
    let error =
        Catalog::try_new(draft, &Catalog::default()).expect_err("the service is not defined");
    assert!(matches!(error, Error::Reference { .. }));
}

/// Once the last key was withdrawn, requests with it or without any were taken for those of a
/// configuration without organisations, which need no key.
#[test]
fn requests_need_a_key_also_where_all_keys_were_withdrawn() {
    let first = draft(1, vec![route("r", "h", "/a/", "app")], &["old"]);
    let first = Catalog::try_new(first, &Catalog::default()).expect("the draft is valid");
    let second = draft(2, vec![route("r", "h", "/a/", "app")], &[]);
    let second = Catalog::try_new(second, &first).expect("the draft is valid");
    assert_eq!(second.authenticate("old"), None);
    assert!(second.needs_keys());
    assert!(!Catalog::default().needs_keys());
}
