//! Reads one table of a document field by field and collects every problem.
//!
//! A derived reader would stop at the first error; operators need all of them at once.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Map;
use serde_json::Value;

/// `Problem` is one error in a file, with its place and reason.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Problem {
    /// Name of the file as the operator gave it.
    pub file: String,
    /// Path inside the file, such as `route[2].deadline_ms`.
    pub path: String,
    /// What is wrong and what is expected.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.path, self.reason)
    }
}

/// `Fields` reads the fields of one table and records which of its keys are known.
#[derive(Debug)]
pub struct Fields<'a> {
    file: &'a str,
    path: String,
    table: &'a Map<String, Value>,
    known: BTreeSet<&'static str>,
    problems: Vec<Problem>,
}

impl<'a> Fields<'a> {
    /// Makes a reader of the table at `path` in `file`.
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

    /// Records a problem with one field.
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

    /// Returns all problems, among them the keys of the table that were not read.
    #[must_use]
    pub fn finish(mut self) -> Vec<Problem> {
        let known = std::mem::take(&mut self.known);
        for key in self.table.keys() {
            if !known.contains(key.as_str()) {
                let list = known.iter().copied().collect::<Vec<_>>().join(", ");
                self.reject(key, format!("unknown key, expected one of: {list}"));
            }
        }
        self.problems
    }

    fn take(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.insert(field);
        self.table.get(field)
    }

    /// Reads a string that must be present and not empty.
    pub fn text(&mut self, field: &'static str) -> String {
        if let Some(text) = self.optional_text(field) {
            return text;
        }
        if !self.table.contains_key(field) {
            self.reject(field, "is missing, expected a string");
        }
        String::new()
    }

    /// Reads a string that may be absent but not empty.
    pub fn optional_text(&mut self, field: &'static str) -> Option<String> {
        match self.take(field)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => {
                self.reject(field, "must be a non-empty string");
                None
            }
        }
    }

    /// Reads one word of a closed list, with a default where it may be absent.
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
                self.reject(field, format!("{text:?} is not one of: {list}"));
            }
            Some(_) => self.reject(field, format!("must be one of: {list}")),
            None if default.is_none() => {
                self.reject(field, format!("is missing, expected one of: {list}"));
            }
            None => {}
        }
        fallback
    }

    /// Reads an integer in a range, with a default where it may be absent.
    pub fn integer(
        &mut self,
        field: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let fallback = default.unwrap_or(*range.start());
        match (self.take(field), default) {
            (None, Some(_)) => return fallback,
            (None, None) => self.reject(field, "is missing, expected an integer"),
            (Some(value), _) => match value.as_u64() {
                Some(number) if range.contains(&number) => return number,
                _ => self.reject(
                    field,
                    format!(
                        "must be an integer from {} to {}, found {value}",
                        range.start(),
                        range.end()
                    ),
                ),
            },
        }
        fallback
    }

    /// Reads a number in a range, with a default where it is absent.
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
                self.reject(
                    field,
                    format!("must be a number from {low} to {high}, found {value}"),
                );
                default
            }
        }
    }

    /// Reads a boolean, with a default where it is absent.
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

    /// Reads a list of strings, empty where it is absent.
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

    /// Reads a list of integers, empty where it is absent.
    pub fn integers(&mut self, field: &'static str) -> Vec<u64> {
        let Some(value) = self.take(field) else {
            return Vec::new();
        };
        let numbers = value
            .as_array()
            .and_then(|items| items.iter().map(Value::as_u64).collect::<Option<Vec<_>>>());
        numbers.unwrap_or_else(|| {
            self.reject(field, "must be a list of integers");
            Vec::new()
        })
    }
}
