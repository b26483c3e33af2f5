//! The example files are sound, and the tool says so as the pages show it.

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
    let text = std::fs::read_to_string(&file).expect("it is there");
    Settings::try_new(&file, &text).expect("it is sound");
}

#[test]
fn every_command_has_help_and_wrong_ones_exit_with_two() {
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
    for wrong in [&["paint"][..], &["check"], &["status", "nowhere"], &[]] {
        let output = run_tool(wrong);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{wrong:?}: {}",
            output_text(&output)
        );
    }
}

#[test]
fn a_daemon_that_does_not_answer_is_named() {
    let output = run_tool(&["status", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output_text(&output).contains("127.0.0.1:1 does not answer"));
}
