//! Arenas of named values, addressed by small `Copy` keys that carry a generation.
//!
//! The key of a removed value no longer resolves, so that a late message cannot reach the value
//! that uses the slot next. See `docs/DESIGN.md`.

use std::collections::BTreeMap;

use slotmap::Key;
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Key of an organisation in the object set.
    pub struct Organisation;
    /// Key of a model in the object set.
    pub struct Model;
    /// Key of a model version in the object set.
    pub struct Version;
    /// Key of a plain service in the object set.
    pub struct Service;
    /// Key of an incarnation of an upstream in the object set.
    pub struct Upstream;
    /// Key of a route in the object set.
    pub struct Route;
    /// Key of a rollout in the object set.
    pub struct Rollout;
    /// Key of an objective in the object set.
    pub struct Objective;
    /// Key of a request that the daemon is processing.
    pub struct Ticket;
    /// Key of a request that waits at the daemon for room at an upstream.
    pub struct Waiting;
}

/// `Table` stores values in an arena and indexes their keys by name.
#[derive(Clone, Debug)]
pub struct Table<K: Key, V> {
    slots: SlotMap<K, V>,
    names: BTreeMap<String, K>,
}

impl<K: Key, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            slots: SlotMap::with_key(),
            names: BTreeMap::new(),
        }
    }
}

impl<K: Key, V> Table<K, V> {
    /// Returns the value of a key, or `None` once that value has been removed.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key)
    }

    /// Returns the key of a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Iterates over keys and values in the order of their names, which is the same in every
    /// daemon.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.names
            .values()
            .filter_map(|key| self.slots.get(*key).map(|value| (*key, value)))
    }

    /// Iterates over the names in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(String::as_str)
    }

    /// Returns the number of values in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table has no values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Stores a value under a name and keeps the key if `same` returns true for the old and the new
    /// value.
    ///
    /// Otherwise the name gets a new key, so that state that was recorded for the old value is not
    /// applied to the new one.
    pub fn put(&mut self, name: &str, value: V, same: impl Fn(&V, &V) -> bool) -> K {
        if let Some(key) = self.find(name) {
            if let Some(slot) = self.slots.get_mut(key)
                && same(slot, &value)
            {
                *slot = value;
                return key;
            }
            self.slots.remove(key);
        }
        let key = self.slots.insert(value);
        self.names.insert(name.to_owned(), key);
        key
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key)
    }

    /// Returns the key of a name and keeps its value if `same` returns true for it.
    ///
    /// Otherwise the value that `make` returns is stored under a new key.
    pub fn get_or_insert_with(
        &mut self,
        name: &str,
        same: impl Fn(&V) -> bool,
        make: impl FnOnce() -> V,
    ) -> K {
        if let Some(key) = self.find(name) {
            if self.slots.get(key).is_some_and(same) {
                return key;
            }
            self.slots.remove(key);
        }
        let key = self.slots.insert(make());
        self.names.insert(name.to_owned(), key);
        key
    }

    /// Removes the value of a name and returns it.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        let key = self.names.remove(name)?;
        self.slots.remove(key)
    }

    /// Removes every value for whose name `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        let slots = &mut self.slots;
        self.names.retain(|name, key| {
            let kept = keep(name);
            if !kept {
                slots.remove(*key);
            }
            kept
        });
    }
}
