//! The operators' tool, run to its end.

use std::process::Command;
use std::process::Output;

use super::TOOL;

/// Runs the operators' tool to its end.
pub fn run_tool(arguments: &[&str]) -> Output {
    Command::new(TOOL)
        .args(arguments)
        .output()
        .expect("the tool runs")
}

/// What the tool printed.
pub fn output_text(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text).into_owned()
}
