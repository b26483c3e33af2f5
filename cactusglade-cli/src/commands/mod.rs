//! The subcommands of `cactusglade`.

mod address;
mod experiment;
mod explain;
mod publish;
mod refusals;
mod report;
mod rollout;
mod route;
mod standin;
mod status;

use std::path::Path;
use std::process::ExitCode;

use gumdrop::Options;

use crate::demo;
use crate::objects;

pub use experiment::Experiment;
pub use explain::Explain;
pub use publish::Publish;
pub use refusals::Refusals;
pub use report::Report;
pub use rollout::Rollout;
pub use route::Route;
pub use standin::Standin;
pub use status::Status;

/// Exit code of an operation that failed.
pub const FAILED: u8 = 1;
/// Exit code for invalid arguments or files.
pub const USAGE: u8 = 2;
/// Exit code of an operation whose outcome is unknown: it may have taken effect.
pub const UNKNOWN: u8 = 3;

/// Error of a subcommand: the message to print and the exit code.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    message: String,
    code: u8,
}

/// Result of a subcommand: the text to print.
pub type Result<T> = std::result::Result<T, Error>;

fn failed(message: impl Into<String>) -> Error {
    Error {
        message: message.into(),
        code: FAILED,
    }
}

fn usage(message: impl Into<String>) -> Error {
    Error {
        message: message.into(),
        code: USAGE,
    }
}

/// Checks and publishes object sets, shows the state of daemons, and runs stand-ins and a demo.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check object files and print every problem")]
    Check(Check),
    #[options(help = "publish object files as the next generation")]
    Publish(Publish),
    #[options(help = "show the status of a daemon and of the daemons it knows")]
    Status(Status),
    #[options(help = "list rollouts or show one")]
    Rollout(Rollout),
    #[options(help = "report error-budget burn rates")]
    Report(Report),
    #[options(help = "explain what happened to a request, from logs")]
    Explain(Explain),
    #[options(help = "count refused requests by reason, from logs")]
    Refusals(Refusals),
    #[options(help = "explain where a daemon would send a request now, without sending it")]
    Route(Route),
    #[options(help = "play a fleet's decisions in a model, or compare two experiments")]
    Experiment(Experiment),
    #[options(help = "run a stand-in: platform, engine or service")]
    Standin(Standin),
    #[options(help = "run stand-ins and daemons in one process for a minute and check the results")]
    Demo(Demo),
}

/// Checks object files together as one set. Example: cactusglade check objects/
#[derive(Debug, Options)]
struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "folder of object files, or one file")]
    objects: String,
}

/// Runs stand-ins and three daemons in one process. Example: cactusglade demo --seed 7
#[derive(Debug, Options)]
struct Demo {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "seed of the callers' random choices",
        meta = "N",
        default = "1"
    )]
    seed: u64,
    #[options(no_short, help = "print the daemons' logs to standard error")]
    logs: bool,
}

/// Runs the tool with its command-line arguments and returns the exit code.
pub async fn run(args: &[String]) -> ExitCode {
    let arguments = match Arguments::parse_args_default(args) {
        Ok(arguments) => arguments,
        Err(error) => return print(Err(usage(format!("{error}\nTry: cactusglade --help")))),
    };
    if arguments.version {
        return print(Ok(format!("cactusglade {}", env!("CARGO_PKG_VERSION"))));
    }
    if arguments.help_requested() {
        return print(Ok(help(&arguments)));
    }
    let Some(command) = arguments.command else {
        return print(Err(usage(help(&arguments))));
    };
    print(command.run().await)
}

fn help(arguments: &Arguments) -> String {
    let mut text = arguments.self_usage().to_owned();
    if let Some(commands) = arguments.self_command_list() {
        text = format!("{text}\n\nCommands:\n{commands}\n\nMore: cactusglade COMMAND --help");
    }
    if let Some(name) = arguments.command_name() {
        let about = arguments.command.as_ref().map_or("", Options::self_usage);
        text = format!("Usage: cactusglade {name} [OPTIONS]\n\n{about}");
    }
    text
}

fn print(result: Result<String>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code)
        }
    }
}

impl Command {
    async fn run(self) -> Result<String> {
        match self {
            Self::Check(check) => check.run(),
            Self::Publish(publish) => publish.run().await,
            Self::Status(status) => status.run().await,
            Self::Rollout(rollout) => rollout.run().await,
            Self::Report(report) => report.run().await,
            Self::Explain(explain) => explain.run(),
            Self::Refusals(refusals) => refusals.run(),
            Self::Route(route) => route.run().await,
            Self::Experiment(experiment) => experiment.run(),
            Self::Standin(standin) => standin.run().await,
            Self::Demo(demo) => {
                let report = demo::run(demo.seed, demo.logs).await;
                report.map_err(|error| failed(error.to_string()))
            }
        }
    }
}

impl Check {
    fn run(&self) -> Result<String> {
        match objects::load(Path::new(&self.objects)) {
            Ok(_) => Ok(format!("{}: no problems", self.objects)),
            Err(problems) => Err(invalid_objects(&problems)),
        }
    }
}

/// Builds the error that lists each problem on its own line.
fn invalid_objects(problems: &[cactusglade_core::fields::Problem]) -> Error {
    let lines = problems.iter().map(ToString::to_string);
    let mut lines = lines.collect::<Vec<_>>();
    lines.push(format!(
        "{} problem(s); nothing was published",
        problems.len()
    ));
    usage(lines.join("\n"))
}
