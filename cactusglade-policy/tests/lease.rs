//! Guards against two daemons that hold the lease at the same time, which suspended processes,
//! delayed writes and lost answers could cause.

use cactusglade_check::check;
use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;
use cactusglade_policy::lease::Action;
use cactusglade_policy::lease::Lease;
use cactusglade_policy::lease::TERM;
use cactusglade_policy::lease::Timing;

const HOLDERS: usize = 3;

struct Pending {
    holder: usize,
    sent: Millis,
    expected: Option<Row>,
    era: u64,
    row: Row,
}

struct Simulation {
    now: Millis,
    row: Option<Row>,
    leases: Vec<Lease>,
    suspended_until: Vec<Millis>,
    pending: Vec<Pending>,
    greatest_epoch: u64,
    era: u64,
    /// All rows so far, of which a copy may have been taken.
    history: Vec<Option<Row>>,
    /// Epochs under which daemons acted, each with the daemon.
    acted: Vec<(u64, usize)>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Millis(0),
            row: None,
            leases: (0..HOLDERS)
                .map(|number| Lease::new(&format!("holder-{number}")))
                .collect(),
            suspended_until: vec![Millis(0); HOLDERS],
            pending: Vec::new(),
            greatest_epoch: 0,
            era: 0,
            history: vec![None],
            acted: Vec::new(),
        }
    }

    /// Restores the table from a copy, and forgets what was written since.
    fn restore(&mut self, copy: usize) {
        self.history.truncate(copy % self.history.len() + 1);
        self.row = self.history.last().cloned().flatten();
        self.era += 1;
        self.greatest_epoch = 0;
    }

    /// A holder reads the row and sends the write that it decides on, if any.
    fn observe(&mut self, holder: usize) {
        if self.now < self.suspended_until[holder] {
            return;
        }
        let expected = self.row.clone();
        self.leases[holder].enter_era(self.now, self.era);
        if let Action::Write(row) = self.leases[holder].observe(self.now, expected.clone()) {
            self.pending.push(Pending {
                holder,
                sent: self.now,
                expected,
                era: self.era,
                row,
            });
        }
    }

    /// A pending write takes effect or conflicts; the answer may be lost.
    fn deliver(&mut self, index: usize, answered: bool) {
        if self.pending.is_empty() {
            return;
        }
        let write = self.pending.remove(index % self.pending.len());
        if self.row != write.expected {
            if answered && write.era == self.era {
                self.leases[write.holder].deny();
            }
            return;
        }
        assert!(
            write.row.epoch >= self.greatest_epoch,
            "the epoch decreased"
        );
        self.greatest_epoch = write.row.epoch;
        self.row = Some(write.row.clone());
        self.history.push(self.row.clone());
        // The answer to a write across a restoration proves nothing.
        if answered && write.era == self.era {
            self.leases[write.holder].confirm(write.sent, write.row);
        }
    }

    fn check(&mut self) {
        let held = self.leases.iter().enumerate();
        let held = held.filter_map(|(holder, lease)| Some((lease.epoch(self.now)?, holder)));
        let held = held.collect::<Vec<_>>();
        assert!(
            held.len() <= 1,
            "several daemons hold the lease at {:?}: {held:?}",
            self.now
        );
        for (epoch, holder) in held {
            let (before, other) = self.acted.last().copied().unwrap_or_default();
            let is_same = (epoch, holder) == (before, other);
            assert!(
                is_same || epoch > before,
                "{epoch} by {holder} after {before} by {other}"
            );
            let tenure = self.leases[holder].tenure();
            let others = self.acted.iter().filter(|(_, other)| *other != holder);
            let is_alone = others.into_iter().all(|(epoch, _)| *epoch < tenure);
            assert!(is_alone, "{holder} since {tenure}: {:?}", self.acted);
            if !is_same {
                self.acted.push((epoch, holder));
            }
        }
    }
}

#[test]
fn no_two_daemons_hold_the_lease_under_suspensions_delays_and_lost_answers() {
    check::run::<Vec<(u8, u8, u16)>>(20_000, |steps| {
        let mut simulation = Simulation::new();
        for (kind, selector, amount) in steps {
            let selector = usize::from(*selector);
            match kind % 5 {
                0 | 1 => simulation.observe(selector % HOLDERS),
                2 => simulation.deliver(selector, amount % 4 != 0),
                3 => simulation.now = simulation.now + Millis(u64::from(*amount) % 4_000),
                _ => {
                    let until = simulation.now + Millis(u64::from(*amount));
                    simulation.suspended_until[selector % HOLDERS] = until;
                }
            }
            simulation.check();
        }
    });
}

/// After a restoration an epoch was given out twice, or a holder of before went on beside the one
/// that had replaced it.
#[test]
fn no_epoch_is_used_twice_where_the_table_is_restored_from_a_copy() {
    check::run::<Vec<(u8, u8, u16)>>(40_000, |steps| {
        let mut simulation = Simulation::new();
        simulation.era = 1;
        for (kind, selector, amount) in steps {
            let selector = usize::from(*selector);
            match kind % 11 {
                0..=4 => simulation.observe(selector % HOLDERS),
                5..=7 => simulation.deliver(selector, amount % 4 != 0),
                8 => simulation.now = simulation.now + Millis(u64::from(*amount) % 4_000),
                9 => simulation.restore(selector),
                _ => {
                    let until = simulation.now + Millis(u64::from(*amount));
                    simulation.suspended_until[selector % HOLDERS] = until;
                }
            }
            simulation.check();
        }
    });
}

/// A restoration left a working holder without its lease for a whole term.
#[test]
fn a_holder_goes_on_after_a_restoration_with_a_greater_epoch() {
    let mut simulation = Simulation::new();
    simulation.era = 1;
    simulation.observe(0);
    simulation.now = simulation.now + TERM;
    simulation.observe(0);
    simulation.deliver(0, true);
    let before = simulation.leases[0].epoch(simulation.now);
    for copy in [0, 1] {
        simulation.restore(copy);
        simulation.now = simulation.now + Millis(1_000);
        simulation.observe(1);
        simulation.observe(0);
        simulation.deliver(0, true);
        assert!(simulation.leases[0].epoch(simulation.now) > before);
        assert_eq!(simulation.leases[1].epoch(simulation.now), None);
    }
}

/// Guards against a call that was cut off when the lease lapsed, and arrives after one that the same
/// holder made under the greater epoch of after a restoration.
#[test]
fn a_holder_acts_under_a_greater_epoch_only_after_the_calls_of_its_lapsed_one() {
    let mut simulation = Simulation::new();
    simulation.era = 1;
    simulation.observe(0);
    simulation.now = TERM;
    simulation.observe(0);
    simulation.deliver(0, true);
    let before = simulation.leases[0].epoch(simulation.now);
    simulation.restore(1);
    simulation.now = TERM + Millis(4_500);
    simulation.observe(0);
    simulation.deliver(0, true);
    assert_eq!(simulation.leases[0].epoch(simulation.now), None);
    simulation.now = TERM + TERM;
    assert!(simulation.leases[0].epoch(simulation.now) > before);
}

#[test]
fn a_failed_holder_is_replaced_with_a_greater_epoch() {
    let mut simulation = Simulation::new();
    simulation.observe(0);
    simulation.deliver(0, true);
    assert_eq!(simulation.leases[0].epoch(simulation.now), Some(1));
    simulation.observe(1);
    simulation.now = simulation.now + TERM;
    simulation.observe(1);
    simulation.deliver(0, true);
    assert_eq!(simulation.leases[1].epoch(simulation.now), Some(2));
    assert_eq!(simulation.leases[0].epoch(simulation.now), None);
}

/// Guards against a holder that acts on for the rest of a round after the store has denied its renewal,
/// by a clock that has left out the time in which another daemon took the lease.
#[test]
fn a_holder_whose_renewal_is_denied_holds_the_lease_no_longer() {
    let mut simulation = Simulation::new();
    simulation.observe(0);
    simulation.deliver(0, true);
    assert_eq!(simulation.leases[0].epoch(simulation.now), Some(1));
    simulation.row = Some(Row {
        holder: "holder-1".to_owned(),
        epoch: 2,
        renewal: 0,
    });
    simulation.leases[0].deny();
    assert_eq!(simulation.leases[0].epoch(simulation.now), None);
    assert_eq!(simulation.leases[0].held_until(simulation.now), None);
    simulation.observe(0);
    assert_eq!(simulation.leases[0].epoch(simulation.now), None);
}

/// Guards against a holder that waits for a whole term after a restoration of the store has denied its
/// renewal, although nobody can have replaced it.
#[test]
fn a_denied_holder_goes_on_once_the_row_shows_that_it_may() {
    let mut simulation = Simulation::new();
    simulation.observe(0);
    simulation.deliver(0, true);
    simulation.leases[0].deny();
    assert_eq!(simulation.leases[0].epoch(simulation.now), None);
    simulation.observe(0);
    assert_eq!(simulation.leases[0].epoch(simulation.now), Some(1));
}

/// Daemons of a large fleet.
const FLEET: u64 = 195;
/// Time until every daemon has heard of a lease that was taken, and the interval at which a daemon
/// looks at its state.
const GOSSIP_DELAY: Millis = Millis(600);
const ROUND: u64 = 400;
/// Greatest patience of a daemon.
const MAX_PATIENCE: u64 = 2_000;

/// Returns how often a fleet reads the row, and after what time one of its daemons has taken it.
fn take_over(observed: Option<&Row>, since: Millis) -> (u64, Millis) {
    let lease = |number: u64| {
        let timing = Timing {
            patience: Millis(number * MAX_PATIENCE / FLEET),
            ..Timing::default()
        };
        let mut lease = Lease::with_timing(&format!("holder-{number}"), timing);
        if observed.is_some() {
            lease.observe(Millis(0), observed.cloned());
        }
        lease.is_stale(Millis(0));
        lease
    };
    let mut fleet = (0..FLEET).map(lease).collect::<Vec<_>>();
    let (mut reads, mut taken) = (0, None::<(Millis, Row)>);
    for now in since.0..since.0 + 10_000 {
        for (number, lease) in (0..).zip(&mut fleet) {
            if (now + number * 7) % ROUND != 0 {
                continue;
            }
            if let Some((at, row)) = &taken
                && Millis(now) >= *at + GOSSIP_DELAY
            {
                lease.observe(Millis(now), Some(row.clone()));
                continue;
            }
            if !lease.is_stale(Millis(now)) {
                continue;
            }
            reads += 1;
            let stored = taken.as_ref().map(|(_, row)| row.clone());
            let stored = stored.or_else(|| observed.cloned());
            if let Action::Write(row) = lease.observe(Millis(now), stored) {
                lease.confirm(Millis(now), row.clone());
                taken = Some((Millis(now), row));
            }
        }
    }
    let (at, _) = taken.expect("a daemon takes the lease");
    (reads, at)
}

#[test]
fn a_fleet_that_starts_does_not_read_the_lease_all_at_once() {
    let (reads, at) = take_over(None, Millis(0));
    assert!(reads <= FLEET / 2, "{reads} reads");
    assert!(at <= Millis(500), "{at:?}");
}

#[test]
fn a_fleet_whose_holder_failed_does_not_read_the_lease_all_at_once() {
    let row = Row {
        holder: "failed".to_owned(),
        epoch: 1,
        renewal: 4,
    };
    let (reads, at) = take_over(Some(&row), Millis(1));
    assert!(reads <= FLEET / 2, "{reads} reads");
    assert!(at <= TERM + Millis(500), "{at:?}");
}
