//! `cactusglade`, the operators' tool.

use std::process::ExitCode;

use cactusglade_cli::commands;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    commands::run(&arguments).await
}
