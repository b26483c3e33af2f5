//! Runs the operators' tool.

use std::process::Command;
use std::process::Output;

use super::TOOL;

/// Runs the operators' tool and waits until it exits.
pub fn run_tool(arguments: &[&str]) -> Output {
    Command::new(TOOL)
        .args(arguments)
        .output()
        .expect("the tool can be run")
}

/// Returns the standard output of the tool followed by its standard error.
pub fn output_text(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text).into_owned()
}
