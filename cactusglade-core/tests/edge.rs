//! Validation of a daemon's settings on the users' platform.

use cactusglade_core::edge::Settings;

const VALID: &str = r#"
adapter = "platform"
name = "entry-1"
zone = "a"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
operators = "127.0.0.1:4"
store = "127.0.0.1:5"
provider = "127.0.0.1:6"
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 140000
usage_window_s = 1
usage_late_s = 10
"#;

fn read(line: &str) -> Result<Option<f64>, String> {
    let settings = Settings::try_new(&format!("{VALID}{line}\n"));
    let settings = settings.map_err(|error| error.to_string())?;
    Ok(settings.tight_target_ms)
}

/// With a target of zero or less no service was latency-critical, although the operators had asked
/// for it.
#[test]
fn a_target_of_latency_critical_routes_is_optional_and_greater_than_zero() {
    assert_eq!(read(""), Ok(None));
    assert_eq!(read("tight_target_ms = 600"), Ok(Some(600.0)));
    assert_eq!(read("tight_target_ms = 600.5"), Ok(Some(600.5)));
    for found in ["0", "-0.0", "-600", "nan", "inf"] {
        let error = read(&format!("tight_target_ms = {found}"));
        let error = error.expect_err("the setting is not valid");
        let value = found.parse::<f64>().expect("it is a number to the parser");
        let expected = format!("tight_target_ms is {value}, expected a number greater than 0");
        assert_eq!(error, expected);
    }
}

#[test]
fn a_target_of_another_type_is_named_with_the_expected_one() {
    let error = read("tight_target_ms = \"600\"").expect_err("the setting is not valid");
    for part in [
        "tight_target_ms = \"600\"",
        "string \"600\"",
        "expected f64",
    ] {
        assert!(error.contains(part), "{part} is missing from: {error}");
    }
}
