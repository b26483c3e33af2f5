//! Which availability zones the operators have ordered to be evacuated.
//!
//! Each order, and each end of one, has the revision of the store at which it was given, and the
//! greatest revision counts, so that daemons that learn of orders in any order and by any way agree.
//! See `docs/design/evacuation.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::fleet::Evacuation;
use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;

/// Time after the first read of a restored store for which orders that it lacks stay in force: the
/// operators write their rows again.
const RESTORATION_GRACE: Millis = Millis(2_000);
/// Interval at which daemons repeat what they know, so that one that was cut off, or lost a datagram,
/// learns of it within the 5 s in which an order must be in force.
const REPEAT_INTERVAL: Millis = Millis(3_000);
/// Time for which the end of an evacuation is repeated.
const REPEAT_PERIOD: Millis = Millis(10_000);
/// Maximum number of zones that are known, since any process may send datagrams.
const MAX_ZONES: usize = 256;
/// Longest name of a zone that other daemons are told, in bytes, so that twelve statements fit a
/// datagram; a longer one is a mistyped row.
const MAX_SHARED_NAME: usize = 64;

/// `Standing` is what is known of one zone.
#[derive(Clone, Copy, Debug)]
struct Standing {
    revision: Revision,
    is_ordered: bool,
    /// Until when the standing is repeated to other daemons, without end while the zone is
    /// evacuated.
    repeated_until: Option<Millis>,
    /// When it was last shared, `None` before the first time.
    shared: Option<Millis>,
}

/// `Register` holds the orders to evacuate zones, and their ends.
#[derive(Clone, Debug, Default)]
pub struct Register {
    zones: BTreeMap<String, Standing>,
    /// Revision of the last read of all orders.
    read: Option<Revision>,
    /// When a read first had the era of [`Self::read`].
    era_read: Millis,
}

impl Register {
    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let standing = self.zones.get(zone);
        standing.is_some_and(|standing| standing.is_ordered)
    }

    /// Iterates over the zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let zones = self.zones.iter();
        let zones = zones.filter(|(_, standing)| standing.is_ordered);
        zones.map(|(zone, _)| zone.as_str())
    }

    /// Records a statement of the store or of another daemon; returns it if the evacuation of the
    /// zone begins or ends.
    pub fn learn(&mut self, now: Millis, statement: &Evacuation) -> Option<Evacuation> {
        if self.is_overruled(now, statement) {
            self.answer(now, &statement.zone);
            return None;
        }
        let known = self.zones.get(&statement.zone).copied();
        let was_ordered = known.is_some_and(|known| known.is_ordered);
        // Of two statements of one revision an order counts, since one too many costs less.
        let is_old = known.is_some_and(|known| {
            (statement.revision, statement.is_ordered) <= (known.revision, known.is_ordered)
        });
        if known.is_some_and(|known| statement.revision < known.revision) {
            self.answer(now, &statement.zone);
        }
        if is_old || (known.is_none() && !self.make_room(now)) {
            return None;
        }
        let is_change = statement.is_ordered != was_ordered;
        // A daemon that missed the evacuation has to know that it was one.
        let is_missed = known.is_none() && !statement.is_ordered;
        let ends = if is_change { now + REPEAT_PERIOD } else { now };
        let standing = Standing {
            revision: statement.revision,
            is_ordered: statement.is_ordered,
            repeated_until: (!statement.is_ordered).then_some(ends),
            shared: None,
        };
        self.zones.insert(statement.zone.clone(), standing);
        (is_change || is_missed).then(|| statement.clone())
    }

    /// Has the standing of a zone stated again, since another daemon states an earlier one. One that was
    /// cut off for longer than an end is repeated learns of the end thereby.
    fn answer(&mut self, now: Millis, zone: &str) {
        if let Some(standing) = self.zones.get_mut(zone)
            && standing
                .shared
                .is_some_and(|at| now - at >= REPEAT_INTERVAL)
        {
            standing.shared = None;
        }
    }

    /// Returns whether another zone can be recorded; drops an end that is no longer repeated if need be.
    fn make_room(&mut self, now: Millis) -> bool {
        if self.zones.len() < MAX_ZONES {
            return true;
        }
        let is_over =
            |standing: &Standing| standing.repeated_until.is_some_and(|until| now >= until);
        let over = self.zones.iter().find(|(_, standing)| is_over(standing));
        let over = over.map(|(zone, _)| zone.clone());
        over.is_some_and(|zone| self.zones.remove(&zone).is_some())
    }

    /// Records a read of all orders; returns the evacuations that begin and end.
    ///
    /// An order that it lacks ended at its revision. One of an earlier era may be lacking because the
    /// store was restored from a copy, so it stays in force for [`RESTORATION_GRACE`].
    pub fn read(
        &mut self,
        now: Millis,
        revision: Revision,
        orders: &[Evacuation],
    ) -> Vec<Evacuation> {
        if self.read.is_some_and(|known| revision < known) {
            return Vec::new();
        }
        // Before the read counts, since it confirms orders that are older than itself.
        let begins = orders.iter().filter_map(|order| self.learn(now, order));
        let mut changes = begins.collect::<Vec<_>>();
        if self.read.is_none_or(|known| known.era < revision.era) {
            self.era_read = now;
        }
        self.read = Some(revision);
        let listed = orders.iter().map(|order| order.zone.as_str());
        let listed = listed.collect::<BTreeSet<_>>();
        changes.extend(self.end(now, revision, |zone, known| {
            !listed.contains(zone) && known.era == revision.era && known < revision
        }));
        changes.extend(self.settle(now));
        changes
    }

    /// Returns the evacuations that end because a restored store has not got their orders again.
    pub fn settle(&mut self, now: Millis) -> Vec<Evacuation> {
        match self.read {
            Some(read) if self.is_settled(now) => {
                self.end(now, read, |_, known| known.era < read.era)
            }
            _ => Vec::new(),
        }
    }

    /// Returns what other daemons are to be told now.
    pub fn take_unshared(&mut self, now: Millis) -> Vec<Evacuation> {
        let is_due = |standing: &Standing| match standing.shared {
            None => true,
            Some(at) => {
                now - at >= REPEAT_INTERVAL
                    && standing.repeated_until.is_none_or(|until| now < until)
            }
        };
        let due = self.zones.iter_mut();
        let due = due.filter(|(zone, standing)| zone.len() <= MAX_SHARED_NAME && is_due(standing));
        let statements = due.map(|(zone, standing)| {
            standing.shared = Some(now);
            Evacuation {
                zone: zone.clone(),
                revision: standing.revision,
                is_ordered: standing.is_ordered,
            }
        });
        statements.collect()
    }

    /// Ends the evacuations whose zones and orders match, as of a revision.
    fn end(
        &mut self,
        now: Millis,
        revision: Revision,
        is_over: impl Fn(&str, Revision) -> bool,
    ) -> Vec<Evacuation> {
        let ordered = self.zones.iter().filter(|(_, one)| one.is_ordered);
        let over = ordered.filter(|(zone, one)| is_over(zone, one.revision));
        let over = over.map(|(zone, _)| Evacuation {
            zone: zone.clone(),
            revision,
            is_ordered: false,
        });
        let over = over.collect::<Vec<_>>();
        let changes = over.iter().filter_map(|end| self.learn(now, end));
        changes.collect()
    }

    /// Returns whether the last read of all orders, which had no row of the zone, is later.
    fn is_overruled(&self, now: Millis, statement: &Evacuation) -> bool {
        self.read.is_some_and(|read| {
            let is_binding = statement.revision.era == read.era || self.is_settled(now);
            statement.is_ordered && statement.revision < read && is_binding
        })
    }

    /// Returns whether the operators have had the time to write their orders again.
    fn is_settled(&self, now: Millis) -> bool {
        now >= self.era_read + RESTORATION_GRACE
    }
}
