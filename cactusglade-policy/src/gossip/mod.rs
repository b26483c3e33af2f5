//! Gossip state: rows that daemons exchange and merge, each of which only moves forward.
//!
//! Each exchange pulls the rows that changed since the last one from a peer, so that an idle fleet
//! sends almost nothing; urgent rows are pushed as well. Push with pull as a fallback, and dropping
//! known rows before any other work, follow QDP-0005; see `docs/DESIGN.md`.

use std::collections::BTreeMap;

use cactusglade_core::row::Count;
use cactusglade_core::row::Daemon;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Millis;

/// Time without a new heartbeat after which a daemon counts as failed.
const HEARTBEAT_TIMEOUT: Millis = Millis(10_000);
/// Time after its last heartbeat for which the row of a daemon is kept.
const RETENTION: Millis = Millis(120_000);

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    changed: u64,
    updated: Millis,
}

/// `Transition` is a row that was changed by a merge.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Key of the row.
    pub key: Key,
    /// Value after the merge.
    pub value: Value,
    /// Value before the merge, if there was one.
    pub before: Option<Value>,
}

/// `State` holds all rows known to a daemon.
#[derive(Clone, Debug, Default)]
pub struct State {
    rows: BTreeMap<Key, Entry>,
    changes: u64,
}

impl State {
    /// Merges rows and returns those that changed.
    pub fn merge(&mut self, now: Millis, rows: Vec<(Key, Value)>) -> Vec<Transition> {
        let mut transitions = Vec::new();
        for (key, value) in rows {
            transitions.extend(self.put(now, key, value));
        }
        transitions
    }

    fn put(&mut self, now: Millis, key: Key, value: Value) -> Option<Transition> {
        let known = self.rows.get(&key);
        if known.is_some_and(|entry| entry.value.precedence() >= value.precedence()) {
            return None;
        }
        self.changes += 1;
        let entry = Entry {
            value: value.clone(),
            changed: self.changes,
            updated: now,
        };
        let before = self.rows.insert(key.clone(), entry);
        let before = before.map(|entry| entry.value);
        Some(Transition { key, value, before })
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.rows.get(key).map(|entry| &entry.value)
    }

    /// Returns the current count of changes, and all rows that changed after the given count.
    #[must_use]
    pub fn changes_since(&self, changes: u64) -> (u64, Vec<(Key, Value)>) {
        let rows = self
            .rows
            .iter()
            .filter(|(_, entry)| entry.changed > changes)
            .map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect();
        (self.changes, rows)
    }

    /// Returns names and peer addresses of the live daemons, in the order of their names.
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<(String, String)> {
        let mut alive = Vec::new();
        for (key, entry) in &self.rows {
            if let (Key::Daemon(name), Value::Daemon(daemon)) = (key, &entry.value)
                && now - entry.updated < HEARTBEAT_TIMEOUT
            {
                alive.push((name.clone(), daemon.peers.clone()));
            }
        }
        alive
    }

    /// Drops rows of daemons whose retention time is over.
    pub fn expire(&mut self, now: Millis) {
        self.rows
            .retain(|key, entry| !matches!(key, Key::Daemon(_)) || now - entry.updated < RETENTION);
    }

    /// Iterates over all rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.rows.iter().map(|(key, entry)| (key, &entry.value))
    }
}

/// Returns the difference of two rows of a daemon, or the whole row after a restart.
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
