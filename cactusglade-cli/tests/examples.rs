//! The example files are valid, and the tool's help and exit codes are as documented.

mod support;

use std::path::Path;

use cactusglade_core::settings::Settings;

use support::output_text;
use support::run_tool;

fn example(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    folder.join(name).display().to_string()
}

#[test]
fn the_object_files_have_no_problems() {
    let output = run_tool(&["check", &example("objects")]);
    assert!(output.status.success(), "{}", output_text(&output));
    assert!(output_text(&output).contains("no problems"));
}

#[test]
fn the_settings_have_no_problems() {
    let file = example("entry-1.toml");
    let text = std::fs::read_to_string(&file).expect("the example file can be read");
    Settings::try_new(&file, &text).expect("the settings are valid");
}

#[test]
fn every_command_has_help_and_invalid_arguments_exit_with_two() {
    for command in ["check", "publish", "status", "rollout", "standin", "demo"] {
        let output = run_tool(&[command, "--help"]);
        assert!(
            output.status.success(),
            "{command}: {}",
            output_text(&output)
        );
        assert!(
            output_text(&output).contains("Example:"),
            "{command}: {}",
            output_text(&output)
        );
    }
    assert!(output_text(&run_tool(&["--version"])).starts_with("cactusglade "));
    for invalid in [&["paint"][..], &["check"], &["status", "nowhere"], &[]] {
        let output = run_tool(invalid);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{invalid:?}: {}",
            output_text(&output)
        );
    }
}

#[test]
fn the_address_of_a_daemon_that_does_not_answer_is_reported() {
    let output = run_tool(&["status", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output_text(&output).contains("127.0.0.1:1 does not answer"));
}
