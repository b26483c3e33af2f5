//! Arenas of named values, addressed by small `Copy` keys that carry a generation.
//!
//! A key of a removed value finds nothing, so a late message cannot reach the slot's next owner.
//! See `docs/DESIGN.md`.

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
    /// Key of an upstream incarnation in the object set.
    pub struct Upstream;
    /// Key of a route in the object set.
    pub struct Route;
    /// Key of a rollout in the object set.
    pub struct Rollout;
    /// Key of an objective in the object set.
    pub struct Objective;
    /// Key of a request's ticket while a daemon works on it.
    pub struct Ticket;
}

/// `Table` stores values in an arena and finds their keys by name.
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
    /// The value behind a key, or nothing once that value was removed.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key)
    }

    /// The key that a name stands for.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// All keys and values in the order of their names, so that every daemon sees one order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.names
            .values()
            .filter_map(|key| self.slots.get(*key).map(|value| (*key, value)))
    }

    /// All names in order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(String::as_str)
    }

    /// How many values the table holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Puts a value under a name and keeps the key where `same` says it is still the same thing.
    ///
    /// The key changes otherwise, so that what was known of the old value is not taken for
    /// knowledge of the new one.
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

    /// The value behind a key, to change.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key)
    }

    /// Returns the key of a name and keeps its value if `same` accepts it, else replaces the value.
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

    /// Removes what a name stands for.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        let key = self.names.remove(name)?;
        self.slots.remove(key)
    }

    /// Removes every value whose name `keep` refuses.
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
