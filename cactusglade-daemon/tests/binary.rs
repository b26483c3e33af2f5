//! Tests of the command line of `cactusgladed`.

use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_cactusgladed"))
        .args(arguments)
        .output();
    command.expect("cactusgladed can be started")
}

#[test]
fn help_and_version_are_printed() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings"));
    let version = run(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("cactusgladed "));
}

#[test]
fn every_problem_of_the_settings_is_printed_at_start() {
    let file = std::env::temp_dir().join(format!("cactusgladed-{}.toml", std::process::id()));
    std::fs::write(&file, "name = 1\ncallers = \"x\"\n").expect("the settings file can be written");
    let output = run(&["--settings", &file.display().to_string()]);
    std::fs::remove_file(&file).expect("the settings file can be removed");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for field in [
        "name:",
        "zone:",
        "callers:",
        "operators:",
        "peers:",
        "platform:",
    ] {
        assert!(text.contains(field), "{field} is missing from {text}");
    }
}

#[test]
fn unknown_arguments_are_refused() {
    assert_eq!(run(&["--colour"]).status.code(), Some(2));
    assert_eq!(run(&[]).status.code(), Some(2));
}
