//! `cactusgladed` runs one entry host daemon until it is told to stop.

mod platform;

use std::process::ExitCode;

use cactusglade_core::edge;
use cactusglade_core::settings::Settings;
use cactusglade_daemon::boot::Daemon;
use cactusglade_daemon::boot::End;
use cactusglade_daemon::log;
use gumdrop::Options;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const USAGE: u8 = 2;
const FAULT: u8 = 1;

/// Runs one cactusglade entry host daemon until SIGTERM, SIGINT or a reclaim of its host.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(
        help = "settings file in TOML (docs/INTERFACES.md lists the settings)",
        meta = "FILE"
    )]
    settings: Option<String>,
    #[options(no_short, help = "check the settings, print every problem, and exit")]
    check: bool,
}

fn main() -> ExitCode {
    let arguments =
        match Arguments::parse_args_default(&std::env::args().skip(1).collect::<Vec<_>>()) {
            Ok(arguments) => arguments,
            Err(error) => return usage(&error.to_string()),
        };
    if arguments.help {
        println!(
            "Usage: cactusgladed --settings FILE\n\n{}",
            Arguments::usage()
        );
        return ExitCode::SUCCESS;
    }
    if arguments.version {
        println!("cactusgladed {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = arguments.settings else {
        return usage("--settings is missing");
    };
    let bound = match Bound::try_new(&file) {
        Ok(bound) => bound,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(USAGE);
        }
    };
    if arguments.check {
        println!("{file}: no problems");
        return ExitCode::SUCCESS;
    }
    match bound {
        Bound::Standalone(settings) => serve(&settings),
        Bound::Platform(settings) => platform::serve(&file, &settings),
    }
}

/// `Bound` is the set of adapters that a settings file asks for.
enum Bound {
    /// The product's own interfaces.
    Standalone(Box<Settings>),
    /// The users' platform.
    Platform(Box<edge::Settings>),
}

impl Bound {
    /// Reads a settings file, whose kind it says itself.
    fn try_new(file: &str) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
        if edge::Settings::is_selected(&text) {
            let settings = edge::Settings::try_new(&text);
            let settings = settings.map_err(|error| format!("{file}: {error}"))?;
            return Ok(Self::Platform(Box::new(settings)));
        }
        let settings = Settings::try_new(file, &text).map_err(|problems| {
            let lines = problems.iter().map(ToString::to_string);
            lines.collect::<Vec<_>>().join("\n")
        })?;
        Ok(Self::Standalone(Box::new(settings)))
    }
}

fn serve(settings: &Settings) -> ExitCode {
    let log = log::logger(std::io::stderr(), &settings.name);
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings, &log)),
        Err(reason) => {
            error!(log, "start_failed"; "reason" => %reason);
            ExitCode::from(FAULT)
        }
    }
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("cactusgladed: {problem}\nTry: cactusgladed --help");
    ExitCode::from(USAGE)
}

async fn run(settings: &Settings, log: &Logger) -> ExitCode {
    let mut daemon = match Daemon::try_new(settings, log.clone()).await {
        Ok(daemon) => daemon,
        Err(reason) => {
            error!(log, "start_failed"; "reason" => %reason);
            return ExitCode::from(FAULT);
        }
    };
    let end = tokio::select! {
        () = stop_signal() => None,
        end = daemon.end() => Some(end),
    };
    let ended_well = match end {
        None => {
            info!(log, "stop_signal");
            daemon.stop().await
        }
        Some(End::Reclaim(gone)) => {
            warn!(log, "host_reclaimed"; "gone_unix_ms" => gone.0);
            daemon.leave(gone).await
        }
        Some(End::Fault(service)) => {
            error!(log, "service_ended"; "service" => service);
            daemon.stop().await;
            false
        }
    };
    if ended_well {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAULT)
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without handlers the signals end the process on their own.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
