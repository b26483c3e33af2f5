//! Lines of the daemons' logs.

use std::fmt;

use cactusglade_core::units::Millis;

/// Field that begins each line; what stands before it was added by whoever collected the logs.
const TIME_PREFIX: &str = "ts=";

/// Error of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It has no time, so it is no line of a daemon's log.
    #[error("the line has no time")]
    NoTime,
    /// It names no event or no daemon.
    #[error("the line names no {0}")]
    Missing(&'static str),
}

/// Result of reading a line.
pub type Result<T> = std::result::Result<T, Error>;

/// `Line` is one event as a daemon logged it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// When, in Unix time.
    pub at: Millis,
    /// Which daemon.
    pub daemon: String,
    /// What happened.
    pub event: String,
    /// The other fields in the order in which they were written.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Reads a line.
    ///
    /// # Errors
    ///
    /// Fails where it is no line of a daemon's log.
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

    /// A field by its name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let field = fields.find(|(key, _)| key == name);
        field.map(|(_, value)| value.as_str())
    }

    /// The request that it is about, in either interface's spelling.
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

/// The pairs of a line; values with blanks stand in quotes, in which a backslash escapes.
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

/// What stands before the closing quote, and what follows it.
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
