//! Logs: one line of key=value pairs for each event, on the standard error.

use std::io::LineWriter;
use std::io::Write;

use slog::Drain;
use slog::Logger;
use slog::o;

use cactusglade_link::clock;

/// Events that wait for the writing thread before further ones are dropped and counted.
const QUEUE: usize = 4_096;

/// Longest line that goes out in one write, in bytes.
const LINE_BYTES: usize = 4_096;

/// Makes the logger of a daemon; lines are written by a thread of their own.
pub fn logger<W: Send + Write + 'static>(writer: W, daemon: &str) -> Logger {
    // A line goes out in one write, so that lines of several processes do not mix.
    let writer = LineWriter::with_capacity(LINE_BYTES, writer);
    let drain = slog_logfmt::Logfmt::new(writer)
        .set_prefix(|io, record| {
            let (level, event) = (record.level().as_short_str(), record.msg());
            write!(
                io,
                "ts={} level={level} event={event} ",
                clock::unix_time().0
            )?;
            Ok(())
        })
        .build()
        .ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .build()
        .ignore_res();
    Logger::root(drain, o!("daemon" => daemon.to_owned()))
}
