//! Logging: one line of key=value pairs for each event.

use std::io::LineWriter;
use std::io::Write;

use slog::Drain;
use slog::Key;
use slog::Logger;
use slog::Record;
use slog::Serializer;
use slog::Value;
use slog::o;

use cactusglade_link::clock;

/// Capacity of the queue to the writer thread; events beyond it are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

/// Maximum length of a line that is written in a single call, in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// `Field` is the value of a field that is left out of the line where there is none.
///
/// An [`Option`] is written as the text `None`, which readers of logs take for a value.
#[derive(Clone, Copy, Debug)]
pub struct Field<T>(pub Option<T>);

impl<T: Value> Value for Field<T> {
    fn serialize(
        &self,
        record: &Record<'_>,
        key: Key,
        serializer: &mut dyn Serializer,
    ) -> slog::Result {
        match &self.0 {
            Some(value) => value.serialize(record, key, serializer),
            None => Ok(()),
        }
    }
}

/// Creates the logger of a daemon; a background thread writes the lines to `writer`.
pub fn logger<W: Send + Write + 'static>(writer: W, daemon: &str) -> Logger {
    // Each line is written in a single call, so that lines of several processes do not interleave.
    let writer = LineWriter::with_capacity(MAX_LINE_BYTES, writer);
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
        .chan_size(QUEUE_CAPACITY)
        .build()
        .ignore_res();
    Logger::root(drain, o!("daemon" => daemon.to_owned()))
}
