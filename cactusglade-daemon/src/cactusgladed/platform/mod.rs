//! Runs a daemon with the adapter to the users' platform.

use std::process::ExitCode;

use cactusglade_core::edge::Settings;
use cactusglade_daemon::edge::boot::Daemon;
use cactusglade_daemon::log;
use cactusglade_platform::Adapter;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::runtime::Builder;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::EXIT_FAULT;

/// Runs a daemon until a stop signal.
///
/// The runtime is single-threaded, because the host allots the process one thread at a time.
pub fn serve(file: &str, settings: &Settings) -> ExitCode {
    let log = log::logger(std::io::stdout(), &settings.name);
    let runtime = Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| runtime.block_on(run(file, settings, &log)));
    match ended {
        Ok(code) => code,
        Err(reason) => {
            error!(log, "start_failed"; "reason" => %reason);
            ExitCode::from(EXIT_FAULT)
        }
    }
}

async fn run(file: &str, settings: &Settings, log: &Logger) -> std::io::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let adapter = Adapter::new(settings.store, settings.provider);
    let daemon = Daemon::try_new(settings, adapter, log.clone()).await;
    let mut daemon = daemon.map_err(std::io::Error::other)?;
    tokio::spawn(reload(
        file.to_owned(),
        settings.clone(),
        hangup,
        log.clone(),
    ));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        service = daemon.end() => {
            error!(log, "service_ended"; "service" => service);
            daemon.stop().await;
            return Ok(ExitCode::from(EXIT_FAULT));
        }
    }
    info!(log, "stop_signal");
    // The platform kills a process that drains for too long, so an incomplete drain is no fault.
    daemon.stop().await;
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings again at each SIGHUP and logs whether they changed.
///
/// The listening addresses are bound at the start and all other configuration comes from the
/// store, so a change takes effect only at the next start.
async fn reload(file: String, settings: Settings, mut hangup: Signal, log: Logger) {
    while hangup.recv().await.is_some() {
        let read = std::fs::read_to_string(&file).map_err(|error| error.to_string());
        let read =
            read.and_then(|text| Settings::try_new(&text).map_err(|error| error.to_string()));
        match read {
            Ok(new) => info!(log, "settings_read"; "changed" => new != settings),
            Err(reason) => warn!(log, "settings_unreadable"; "reason" => reason),
        }
    }
}
