//! Readers of object documents, selected by file name extension.
//!
//! A reader parses text into one tree of values; [`meta`](crate::meta) interprets the tree, so that
//! another format needs no change there.

use serde_json::Value;

/// Error of a reader, with the reason why the text is not a document of its format.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Error(pub String);

/// Result of a reader.
pub type Result<T> = std::result::Result<T, Error>;

/// `Reader` reads the text of one document format.
pub trait Reader {
    /// Reads a whole document.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the parser's message if the text is malformed.
    fn read(text: &str) -> Result<Value>;
}

/// `Toml` reads TOML, the format of settings and of object files.
#[derive(Clone, Copy, Debug)]
pub struct Toml;

impl Reader for Toml {
    fn read(text: &str) -> Result<Value> {
        toml::from_str(text).map_err(|error| malformed(&error))
    }
}

/// `Json` reads JSON, the format of snapshots in the object store.
#[derive(Clone, Copy, Debug)]
pub struct Json;

impl Reader for Json {
    fn read(text: &str) -> Result<Value> {
        serde_json::from_str(text).map_err(|error| malformed(&error))
    }
}

/// `Descriptor` is a format with its reader.
#[derive(Clone, Copy, Debug)]
pub struct Descriptor {
    /// Name of the format.
    pub name: &'static str,
    /// File name extension, without the dot.
    pub extension: &'static str,
    /// Reads a document of this format.
    pub read: fn(&str) -> Result<Value>,
}

/// `Registry` lists the supported formats of object files.
#[derive(Clone, Copy, Debug)]
pub struct Registry(&'static [Descriptor]);

const FORMATS: &[Descriptor] = &[
    Descriptor {
        name: "toml",
        extension: "toml",
        read: Toml::read,
    },
    Descriptor {
        name: "json",
        extension: "json",
        read: Json::read,
    },
];

impl Default for Registry {
    fn default() -> Self {
        Self(FORMATS)
    }
}

impl Registry {
    /// Returns the descriptor for a file name extension.
    #[must_use]
    pub fn find(&self, extension: &str) -> Option<Descriptor> {
        self.0
            .iter()
            .find(|descriptor| descriptor.extension == extension)
            .copied()
    }
}

fn malformed(error: &impl ToString) -> Error {
    Error(error.to_string().lines().collect::<Vec<_>>().join(" "))
}
