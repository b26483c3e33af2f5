//! What the broker makes of the registry's entries, and of a store that was away.

use std::collections::BTreeSet;

use cactusglade_core::arena;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Phase;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Rule;
use super::Upstream;

/// Time after the store is back within which entries that lapsed meanwhile return.
const RETURN: Millis = Millis(2_000);
/// Longest time for which a removed entry is doubted; an upstream that has left may get requests
/// for two seconds.
const DOUBT: Millis = Millis(1_700);
/// Time after which an upstream without an entry is forgotten; well over the longest stream.
const LEFT: Millis = Millis(30_000);

impl<R: Rule> Broker<R> {
    /// Takes in that the store can't be reached, or can again.
    pub fn store(&mut self, now: Millis, is_lost: bool) {
        if self.lost && !is_lost {
            self.regained = Some(now);
        }
        self.lost = is_lost;
    }

    /// Takes in all entries of the registry; those that are missing have been removed.
    pub fn replace(&mut self, now: Millis, changes: Vec<Change>) -> Vec<arena::Upstream> {
        let listed = changes.iter().filter_map(|change| match change {
            Change::Put(instance) => Some(instance.name.clone()),
            Change::Removed(_) => None,
        });
        let listed = listed.collect::<BTreeSet<_>>();
        let missing = self
            .upstreams
            .names()
            .filter(|name| !listed.contains(*name));
        let missing = missing.map(|name| Change::Removed(name.to_owned()));
        let missing = missing.collect::<Vec<_>>();
        self.learn(now, changes.into_iter().chain(missing))
    }

    /// Takes in changes of the registry and gives back those upstreams that are news to leave.
    pub fn learn(
        &mut self,
        now: Millis,
        changes: impl IntoIterator<Item = Change>,
    ) -> Vec<arena::Upstream> {
        let mut leaving = Vec::new();
        for change in changes {
            match change {
                Change::Put(instance) => leaving.extend(self.put(now, *instance)),
                Change::Removed(name) => leaving.extend(self.remove(now, &name)),
            }
        }
        self.index();
        leaving
    }

    fn put(&mut self, now: Millis, instance: Instance) -> Option<arena::Upstream> {
        let leaves = instance.phase == Phase::Leaving;
        let name = instance.name.clone();
        let key = self.upstreams.get_or_insert_with(
            &name,
            |known: &Upstream| is_same(&known.instance, &instance),
            || Upstream::new(instance.clone()),
        );
        let upstream = self.upstreams.get_mut(key)?;
        upstream.instance = instance;
        upstream.doubted = None;
        if leaves && upstream.leaving.is_none() {
            upstream.leaving = Some(now);
            return Some(key);
        }
        None
    }

    /// An entry that lapses while or just after the store was away may return with its server.
    fn remove(&mut self, now: Millis, name: &str) -> Option<arena::Upstream> {
        let lately = self.regained.filter(|regained| now - *regained < RETURN);
        let since = if self.lost { Some(now) } else { lately };
        let key = self.upstreams.find(name)?;
        let upstream = self.upstreams.get_mut(key)?;
        let until = since.map_or(now, |since| (since + RETURN).min(now + DOUBT));
        let is_news = upstream.doubted.is_none() && upstream.leaving.is_none();
        upstream.doubted.get_or_insert(until);
        (is_news && since.is_none()).then_some(key)
    }

    fn index(&mut self) {
        self.services.clear();
        for (key, upstream) in self.upstreams.iter() {
            let service = upstream.instance.service.clone();
            self.services.entry(service).or_default().push(key);
        }
    }

    /// Forgets upstreams whose entry is long gone and that work on nothing of this daemon's.
    pub fn sweep(&mut self, now: Millis) {
        let over = |upstream: &Upstream| {
            let gone = upstream.doubted.is_some_and(|until| now > until + LEFT);
            gone && upstream.own == 0
        };
        let gone = self.upstreams.iter().filter(|(_, upstream)| over(upstream));
        let gone = gone.map(|(_, upstream)| upstream.instance.name.clone());
        let gone = gone.collect::<Vec<_>>();
        for name in &gone {
            self.upstreams.remove(name);
        }
        if !gone.is_empty() {
            self.index();
        }
    }
}

/// Whether two entries stand for the same running process.
fn is_same(before: &Instance, after: &Instance) -> bool {
    before.started_unix_ms == after.started_unix_ms
        && before.address == after.address
        && before.service == after.service
}
