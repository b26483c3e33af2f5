//! Reads one table of a document field by field and notes every problem on the way.
//!
//! A derived reader stops at its first error; operators asked for all of them at once.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Map;
use serde_json::Value;

/// `Problem` is one fault in a file: where it is and what is wrong.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Problem {
    /// File as the operator named it.
    pub file: String,
    /// Path inside the file, such as `route[2].deadline_ms`.
    pub path: String,
    /// What is wrong and what would be right.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.path, self.reason)
    }
}

/// `Fields` walks over one table and remembers which of its keys were asked for.
#[derive(Debug)]
pub struct Fields<'a> {
    file: &'a str,
    path: String,
    table: &'a Map<String, Value>,
    known: BTreeSet<&'static str>,
    problems: Vec<Problem>,
}

impl<'a> Fields<'a> {
    /// Starts on a table that stands at `path` in `file`.
    #[must_use]
    pub fn new(file: &'a str, path: String, table: &'a Map<String, Value>) -> Self {
        Self {
            file,
            path,
            table,
            known: BTreeSet::new(),
            problems: Vec::new(),
        }
    }

    /// Notes a problem with one field.
    pub fn reject(&mut self, field: &str, reason: impl Into<String>) {
        let path = if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        };
        self.problems.push(Problem {
            file: self.file.to_owned(),
            path,
            reason: reason.into(),
        });
    }

    /// Ends the walk: keys that nobody asked for are problems too.
    #[must_use]
    pub fn finish(mut self) -> Vec<Problem> {
        let known = std::mem::take(&mut self.known);
        for key in self.table.keys() {
            if !known.contains(key.as_str()) {
                let list = known.iter().copied().collect::<Vec<_>>().join(", ");
                self.reject(key, format!("unknown key; known here: {list}"));
            }
        }
        self.problems
    }

    fn take(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.insert(field);
        self.table.get(field)
    }

    /// A string that must be there and not be empty.
    pub fn text(&mut self, field: &'static str) -> String {
        if let Some(text) = self.optional_text(field) {
            return text;
        }
        if !self.table.contains_key(field) {
            self.reject(field, "is missing; a string is needed");
        }
        String::new()
    }

    /// A string that may be left out.
    pub fn optional_text(&mut self, field: &'static str) -> Option<String> {
        match self.take(field)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => {
                self.reject(field, "must be a string that is not empty");
                None
            }
        }
    }

    /// One word out of a closed list.
    pub fn choice<T: Copy>(
        &mut self,
        field: &'static str,
        words: &[(&str, T)],
        default: Option<T>,
    ) -> T {
        let list = words
            .iter()
            .map(|(word, _)| *word)
            .collect::<Vec<_>>()
            .join(", ");
        let fallback = default.unwrap_or(words[0].1);
        match self.take(field) {
            Some(Value::String(text)) => {
                if let Some((_, value)) = words.iter().find(|(word, _)| word == text) {
                    return *value;
                }
                self.reject(field, format!("{text:?} is none of: {list}"));
            }
            Some(_) => self.reject(field, format!("must be one of: {list}")),
            None if default.is_none() => {
                self.reject(field, format!("is missing; one of: {list}"));
            }
            None => {}
        }
        fallback
    }

    /// A whole number inside a range, with a default where it may be left out.
    pub fn integer(
        &mut self,
        field: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let fallback = default.unwrap_or(*range.start());
        match (self.take(field), default) {
            (None, Some(_)) => return fallback,
            (None, None) => self.reject(field, "is missing; a whole number is needed"),
            (Some(value), _) => match value.as_u64() {
                Some(number) if range.contains(&number) => return number,
                _ => self.reject(
                    field,
                    format!(
                        "must be a whole number from {} to {}",
                        range.start(),
                        range.end()
                    ),
                ),
            },
        }
        fallback
    }

    /// A number inside a range, with a default where it may be left out.
    pub fn number(
        &mut self,
        field: &'static str,
        range: std::ops::RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(value) = self.take(field) else {
            return default;
        };
        match value.as_f64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.reject(field, format!("must be a number from {low} to {high}"));
                default
            }
        }
    }

    /// True or false, with a default.
    pub fn boolean(&mut self, field: &'static str, default: bool) -> bool {
        match self.take(field) {
            None => default,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.reject(field, "must be true or false");
                default
            }
        }
    }

    /// A list of strings, empty where it is left out.
    pub fn texts(&mut self, field: &'static str) -> Vec<String> {
        let Some(value) = self.take(field) else {
            return Vec::new();
        };
        let texts = value.as_array().and_then(|items| {
            items
                .iter()
                .map(|item| item.as_str().map(str::to_owned))
                .collect::<Option<Vec<_>>>()
        });
        texts.unwrap_or_else(|| {
            self.reject(field, "must be a list of strings");
            Vec::new()
        })
    }

    /// A list of whole numbers, empty where it is left out.
    pub fn integers(&mut self, field: &'static str) -> Vec<u64> {
        let Some(value) = self.take(field) else {
            return Vec::new();
        };
        let numbers = value
            .as_array()
            .and_then(|items| items.iter().map(Value::as_u64).collect::<Option<Vec<_>>>());
        numbers.unwrap_or_else(|| {
            self.reject(field, "must be a list of whole numbers");
            Vec::new()
        })
    }
}
