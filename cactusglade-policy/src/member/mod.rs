//! What daemons know of each other: rows whose merge only ever moves forward.
//!
//! Each exchange asks a peer for the rows that changed since the last one, so that a quiet fleet
//! sends next to nothing; urgent rows are pushed as well. Push beside pull as a fallback, and
//! dropping what is known before any other work, follow QDP-0005; see `docs/DESIGN.md`.

use std::collections::BTreeMap;

use cactusglade_core::row::Count;
use cactusglade_core::row::Daemon;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Millis;

/// Time without a new heartbeat after which a daemon counts as gone.
const SILENCE: Millis = Millis(10_000);
/// Time after which a row of a daemon that is gone is dropped.
const RETENTION: Millis = Millis(120_000);

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    changed: u64,
    heard: Millis,
}

/// `News` is a row that a merge changed.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Key of the row.
    pub key: Key,
    /// What it holds now.
    pub value: Value,
    /// What it held before.
    pub before: Option<Value>,
}

/// `State` holds all rows that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct State {
    rows: BTreeMap<Key, Entry>,
    changes: u64,
}

impl State {
    /// Merges rows and gives back those that were news.
    pub fn merge(&mut self, now: Millis, rows: Vec<(Key, Value)>) -> Vec<News> {
        let mut news = Vec::new();
        for (key, value) in rows {
            news.extend(self.put(now, key, value));
        }
        news
    }

    fn put(&mut self, now: Millis, key: Key, value: Value) -> Option<News> {
        let known = self.rows.get(&key);
        if known.is_some_and(|entry| entry.value.precedence() >= value.precedence()) {
            return None;
        }
        self.changes += 1;
        let entry = Entry {
            value: value.clone(),
            changed: self.changes,
            heard: now,
        };
        let before = self.rows.insert(key.clone(), entry);
        let before = before.map(|entry| entry.value);
        Some(News { key, value, before })
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.rows.get(key).map(|entry| &entry.value)
    }

    /// All rows that changed after the given count, and the count now.
    #[must_use]
    pub fn since(&self, changes: u64) -> (u64, Vec<(Key, Value)>) {
        let rows = self
            .rows
            .iter()
            .filter(|(_, entry)| entry.changed > changes)
            .map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect();
        (self.changes, rows)
    }

    /// Names and peer addresses of the daemons heard of lately, in the order of their names.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<(String, String)> {
        let mut alive = Vec::new();
        for (key, entry) in &self.rows {
            if let (Key::Daemon(name), Value::Daemon(daemon)) = (key, &entry.value)
                && now - entry.heard < SILENCE
            {
                alive.push((name.clone(), daemon.peers.clone()));
            }
        }
        alive
    }

    /// Drops rows of daemons that have long been gone.
    pub fn expire(&mut self, now: Millis) {
        self.rows
            .retain(|key, entry| !matches!(key, Key::Daemon(_)) || now - entry.heard < RETENTION);
    }

    /// All rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.rows.iter().map(|(key, entry)| (key, &entry.value))
    }
}

/// What a daemon did between two of its rows; all of it where it has started anew.
#[must_use]
pub fn difference(before: Option<&Daemon>, after: &Daemon) -> Daemon {
    let before = before.filter(|before| before.incarnation == after.incarnation);
    let Some(before) = before else {
        return after.clone();
    };
    let mut difference = after.clone();
    for (name, tokens) in &mut difference.usage {
        *tokens = tokens.saturating_sub(before.usage.get(name).copied().unwrap_or(0));
    }
    for (name, count) in &mut difference.evidence {
        let known = before.evidence.get(name).copied().unwrap_or_default();
        *count = Count {
            good: count.good.saturating_sub(known.good),
            bad: count.bad.saturating_sub(known.bad),
        };
    }
    difference
}
