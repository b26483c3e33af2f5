//! Parses lines of the daemons' logs.

use std::fmt;

use cactusglade_core::units::Millis;

/// Field that begins each log line; any text before it is a prefix added by a log collector.
const TIME_PREFIX: &str = "ts=";

/// Error of parsing a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The `ts` field is missing or not a number, so the text is not a daemon's log line.
    #[error("the line has no numeric field ts")]
    NoTime,
    /// The field `event` or `daemon` is missing.
    #[error("the line has no field {0}")]
    Missing(&'static str),
}

/// Result of parsing a log line.
pub type Result<T> = std::result::Result<T, Error>;

/// `Line` is one event in a daemon's log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Name of the daemon that logged the event.
    pub daemon: String,
    /// Name of the event.
    pub event: String,
    /// The remaining fields except `level`, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line in the daemons' `key=value` format.
    ///
    /// # Errors
    ///
    /// Fails when `ts`, `event` or `daemon` is missing, or `ts` is not a number.
    pub fn try_new(text: &str) -> Result<Self> {
        let start = text.find(TIME_PREFIX).ok_or(Error::NoTime)?;
        let mut fields = parse_fields(&text[start..]);
        let mut take = |name: &'static str| {
            let index = fields.iter().position(|(key, _)| key == name);
            let index = index.ok_or(Error::Missing(name))?;
            Ok(fields.remove(index).1)
        };
        let at = take("ts")?.parse().map_err(|_| Error::NoTime)?;
        let (event, daemon) = (take("event")?, take("daemon")?);
        fields.retain(|(key, _)| key != "level");
        Ok(Self {
            at: Millis(at),
            daemon,
            event,
            fields,
        })
    }

    /// Returns the value of the first field of this name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(key, _)| key == name);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the id of the request: `id` in one interface's events, `request_id` in the other's.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        self.field("id").or_else(|| self.field("request_id"))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.event)?;
        let shown = |key: &str| key != "id" && key != "request_id";
        for (key, value) in self.fields.iter().filter(|(key, _)| shown(key)) {
            write!(formatter, " {key}={value}")?;
        }
        Ok(())
    }
}

/// Splits a line into its `key=value` fields; quoted values may have spaces and backslash escapes.
fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut left = text.trim();
    while let Some((key, rest)) = left.split_once('=') {
        let (value, rest) = if let Some(quoted) = rest.strip_prefix('"') {
            unquote(quoted)
        } else {
            let (value, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            (value.to_owned(), rest)
        };
        fields.push((key.trim().to_owned(), value));
        left = rest.trim_start();
    }
    fields
}

/// Returns the unescaped text before the closing quote and the rest of the line after it.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
