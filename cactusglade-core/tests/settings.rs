//! Validation of settings.

use cactusglade_check::check;
use cactusglade_core::settings::Settings;

const VALID: &str = r#"
name = "entry-1"
zone = "a"
callers = "127.0.0.1:7100"
operators = "127.0.0.1:7101"
peers = "127.0.0.1:7102"
platform = "127.0.0.1:7000"
seeds = ["127.0.0.1:7112"]
"#;

#[test]
fn valid_settings_have_the_documented_defaults() {
    let settings = Settings::try_new("s.toml", VALID).expect("the settings are valid");
    assert_eq!(settings.host, "entry-1");
    assert_eq!(settings.poll_interval.0, 1_000);
    assert_eq!(settings.limits.connections, 1_024);
    assert_eq!(settings.limits.drain_timeout.0, 30_000);
}

#[test]
fn every_problem_is_reported() {
    let text = "zone = 3\ncallers = \"x\"\nmax_queue = 0\nmax_que = 1\n";
    let problems = Settings::try_new("s.toml", text).expect_err("the settings are invalid");
    let paths = problems.iter().map(|problem| problem.path.as_str());
    let paths = paths.collect::<Vec<_>>();
    for path in [
        "name",
        "zone",
        "callers",
        "operators",
        "peers",
        "platform",
        "max_queue",
        "max_que",
    ] {
        assert!(paths.contains(&path), "{path} is missing from {paths:?}");
    }
}

#[test]
fn arbitrary_settings_are_read_without_a_panic() {
    check::run::<String>(2_000, |text| {
        // The settings may be valid or not; only a panic fails the test.
        let _ = Settings::try_new("s.toml", text);
    });
}
