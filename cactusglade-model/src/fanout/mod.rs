//! Plays one zone of daemons whose relay forwards sightings, summaries and changes of the registry.
//!
//! The daemons run the product's own membership (`policy::roster`), choice of forwarding neighbours
//! and progress of the registry (`policy::relay`). Each has a link of limited speed with a queue.
//! The loop in which the daemon waits for forwarded changes is written anew, with the product's
//! time to wait. See `docs/design/fanout.md`.

mod daemon;
mod message;
mod registry;

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use cactusglade_policy::relay::fanout;
use cactusglade_policy::relay::fanout::Plan;
use cactusglade_policy::roster::Announcement;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use daemon::Daemon;
use daemon::Record;
use daemon::address;
use daemon::index;
use message::Message;

/// Length of a run, in microseconds.
const DURATION: u64 = 26 * SECOND;
/// Time at the start in which the daemons find each other and nothing is counted.
const WARM_UP: u64 = 6 * SECOND;
/// When the fault happens, in the midst of changes of the registry.
const FAULT_TIME: u64 = 14 * SECOND;
const SECOND: u64 = 1_000_000;
const MILLISECOND: u64 = 1_000;
/// Interval of heartbeats in a small zone.
const HEARTBEAT_INTERVAL: Millis = Millis(100);
/// Number of daemons in a zone above which the interval grows in proportion.
const BASE_DAEMONS: u64 = 16;
/// One heartbeat out of this many also goes to daemons from which none was received lately.
const HEARTBEATS_PER_BROADCAST: u64 = 10;
/// Sightings of the other zones a second.
const REMOTE_SIGHTINGS: u64 = 2_000;
/// Sightings of one daemon a second.
const OWN_SIGHTINGS: u64 = 9;
/// Sightings in one datagram.
const SIGHTINGS_PER_PART: u64 = 60;
/// Number of other zones.
const OTHER_ZONES: usize = 3;
/// Speed of a daemon's link: 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Longest time that a datagram waits for a link; it is dropped instead.
const MAX_LINK_WAIT: u64 = SECOND;
/// Bytes of the headers of a datagram.
const IP_HEADER_BYTES: u64 = 28;
/// Least and greatest delay of a datagram beside that of the links.
const DELAY: std::ops::Range<u64> = 200..2_000;

/// `Fault` is what happens to a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A forwarding neighbour of the relay ends.
    ForwarderEnds,
    /// A forwarding neighbour of the relay is suspended for these milliseconds.
    ForwarderSuspended(u64),
    /// The relay ends.
    RelayEnds,
}

/// `Scenario` is what is played.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of daemons in the zone.
    pub daemons: usize,
    /// Number of these whose build has no fan-out.
    pub earlier: usize,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// What happens in the midst of changes of the registry.
    pub fault: Option<Fault>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// `Outcome` is what one daemon got and sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether it was in the list of the forwarding neighbour that failed.
    pub is_affected: bool,
    /// Whether its build has no fan-out.
    pub is_earlier: bool,
    /// Whether it was the one that failed.
    pub has_failed: bool,
    /// Sets of sightings that relays have forwarded.
    pub sets: usize,
    /// Those of them that it did not get.
    pub missed: usize,
    /// Greatest age at which it got one, in milliseconds.
    pub oldest_ms: u64,
    /// Longest time without a summary of the other zones, in milliseconds.
    pub gap_ms: u64,
    /// Longest time from a change of the registry until it was in force there, in milliseconds.
    pub change_ms: u64,
    /// Bytes sent a second.
    pub sent: u64,
    /// Bytes of these that it forwarded as the relay or passed on.
    pub forwarded: u64,
    /// Bytes of its heartbeats.
    pub heartbeats: u64,
    /// Bytes forwarded or passed on in the second with most.
    pub peak: u64,
    /// Datagrams that did not fit the queue of its link.
    pub dropped: u64,
    /// Reads of the store.
    pub reads: u64,
}

enum Event {
    Tick(usize),
    Deliver(usize, Message),
    /// A daemon looks at what it knows of the registry.
    Wake(usize),
    /// The store answers a daemon.
    Answer(usize),
    Fault(Fault),
}

struct Simulation {
    scenario: Scenario,
    now: u64,
    random: StdRng,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    daemons: Vec<Daemon>,
    failed: Option<usize>,
    affected: Vec<usize>,
    /// Times of the store's changes; the revision is their number.
    changes: Vec<u64>,
    /// Times at which relays have forwarded sets of sightings.
    sets: Vec<u64>,
}

/// Plays one run; returns what each daemon got and sent.
#[must_use]
pub fn play(scenario: Scenario) -> Vec<Outcome> {
    let mut simulation = Simulation::new(scenario);
    while let Some(((at, order), event)) = simulation.events.pop_first() {
        if at >= DURATION {
            break;
        }
        if simulation.now < WARM_UP && at >= WARM_UP {
            for daemon in &mut simulation.daemons {
                daemon.record = Record::default();
            }
        }
        simulation.now = at;
        let daemon = match &event {
            Event::Tick(daemon)
            | Event::Deliver(daemon, _)
            | Event::Wake(daemon)
            | Event::Answer(daemon) => Some(*daemon),
            Event::Fault(_) => None,
        };
        if let Some(daemon) = daemon.map(|daemon| &simulation.daemons[daemon]) {
            if daemon.has_ended {
                continue;
            }
            if at < daemon.suspended_until {
                let woken = daemon.suspended_until;
                simulation.events.insert((woken, order), event);
                continue;
            }
        }
        simulation.handle(event);
    }
    simulation.outcomes()
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let daemons = (0..scenario.daemons).map(|index| {
            // The daemons with the greatest addresses run the earlier build; the relay does not
            // unless all do.
            let is_modern = index + scenario.earlier < scenario.daemons;
            Daemon::new(index, scenario.daemons, is_modern)
        });
        let mut simulation = Self {
            scenario,
            now: 0,
            random: StdRng::seed_from_u64(scenario.seed),
            events: BTreeMap::new(),
            order: 0,
            daemons: daemons.collect(),
            failed: None,
            affected: Vec::new(),
            changes: registry::changes(),
            sets: Vec::new(),
        };
        for index in 0..scenario.daemons {
            let start = simulation.random.random_range(0..100 * MILLISECOND);
            simulation.schedule(start, Event::Tick(index));
            simulation.schedule(start, Event::Wake(index));
        }
        if let Some(fault) = scenario.fault {
            simulation.schedule(FAULT_TIME, Event::Fault(fault));
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn millis(&self) -> Millis {
        Millis(self.now / MILLISECOND)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(daemon) => self.tick(daemon),
            Event::Deliver(daemon, message) => self.receive(daemon, message),
            Event::Wake(daemon) => self.follow(daemon),
            Event::Answer(daemon) => self.read(daemon),
            Event::Fault(fault) => self.fail(fault),
        }
    }

    /// Lets a daemon fail, and notes whose datagrams it passed on.
    fn fail(&mut self, fault: Fault) {
        let now = self.millis();
        let relay = self.relay();
        let plan = self.plan(relay, now);
        let Some(branch) = plan.branches.first() else {
            return;
        };
        let forwarder = index(branch.forwarder);
        self.affected = branch.list.iter().map(|address| index(*address)).collect();
        self.failed = Some(forwarder);
        match fault {
            Fault::ForwarderEnds => self.daemons[forwarder].has_ended = true,
            Fault::ForwarderSuspended(span) => {
                self.daemons[forwarder].suspended_until = self.now + span * MILLISECOND;
            }
            Fault::RelayEnds => {
                self.affected.clear();
                self.failed = Some(relay);
                self.daemons[relay].has_ended = true;
            }
        }
    }

    /// Returns the index of the running daemon with the least address.
    fn relay(&self) -> usize {
        let running = self.daemons.iter().position(|daemon| !daemon.has_ended);
        running.unwrap_or_default()
    }

    fn plan(&mut self, daemon: usize, now: Millis) -> Plan {
        let draw = self.random.random();
        let Daemon {
            planner, roster, ..
        } = &mut self.daemons[daemon];
        let neighbours = roster.neighbours(now).collect::<Vec<_>>();
        planner
            .plan(now, roster.interval(), &neighbours, draw)
            .clone()
    }

    fn tick(&mut self, index: usize) {
        let now = self.millis();
        let daemon = &mut self.daemons[index];
        let interval = daemon.roster.interval();
        daemon.guard.tick(now, interval);
        daemon.roster.expire(now);
        daemon.sequence += 1;
        let neighbours = daemon.roster.neighbours(now).collect::<Vec<_>>();
        let own = (OWN_SIGHTINGS * interval.0).div_ceil(1_000);
        self.send_all(index, &neighbours, &Message::Sightings(None, own), false);
        let is_relay = self.daemons[index].roster.is_relay(now);
        if is_relay {
            self.forward_state(index, interval);
        }
        self.send_heartbeat(index, now);
        let daemon = &mut self.daemons[index];
        let is_large = fanout::is_large(daemon.roster.reachable_in_zone(now));
        if daemon.is_modern && is_large {
            let neighbours = daemon.roster.neighbours(now);
            let relays = fanout::relays(address(index), neighbours).collect::<Vec<_>>();
            self.send_all(index, &relays, &Message::Ready(index), false);
        }
        let daemon = &mut self.daemons[index];
        let size = daemon.roster.reachable_in_zone(now).max(BASE_DAEMONS);
        let interval = HEARTBEAT_INTERVAL.0 * size / BASE_DAEMONS;
        daemon.roster.set_interval(Millis(interval));
        self.follow(index);
        let pause = interval * MILLISECOND;
        let pause = self.random.random_range(pause * 9 / 10..=pause * 11 / 10);
        self.schedule(self.now + pause, Event::Tick(index));
    }

    /// Forwards what the other zones have sent in one interval.
    fn forward_state(&mut self, relay: usize, interval: Millis) {
        let mut left = REMOTE_SIGHTINGS * interval.0 / 1_000;
        let mut messages = vec![Message::Summary; OTHER_ZONES];
        while left > 0 {
            let count = left.min(SIGHTINGS_PER_PART);
            left -= count;
            let set = (self.now >= WARM_UP).then_some(self.sets.len());
            self.sets.extend(set.map(|_| self.now));
            messages.push(Message::Sightings(set, count));
        }
        self.forward(relay, &messages);
    }

    /// Sends datagrams to the zone as the product's `mesh::Mesh::forward` does.
    fn forward(&mut self, relay: usize, messages: &[Message]) {
        let now = self.millis();
        let plan = self.plan(relay, now);
        for message in messages {
            for branch in &plan.branches {
                let list = branch.list.iter().map(|address| index(*address)).collect();
                let forward = Message::Forward(list, Box::new(message.clone()));
                self.send_all(relay, &[branch.forwarder], &forward, true);
            }
            self.send_all(relay, &plan.direct, message, true);
        }
    }

    fn send_heartbeat(&mut self, from: usize, now: Millis) {
        let daemon = &self.daemons[from];
        let heartbeat = Message::Heartbeat {
            from,
            sequence: daemon.sequence,
            revision: daemon.progress.revision(),
            age: daemon.progress.age(now),
        };
        let to = if daemon.sequence % HEARTBEATS_PER_BROADCAST == 1 {
            daemon.roster.peers().collect::<Vec<_>>()
        } else {
            daemon.roster.neighbours(now).collect()
        };
        self.daemons[from].record.heartbeat_bytes += heartbeat.bytes() * to.len() as u64;
        self.send_all(from, &to, &heartbeat, false);
    }

    /// Sends a datagram over the daemon's link, which drops what its queue can't hold.
    fn send_all(
        &mut self,
        from: usize,
        to: &[std::net::SocketAddr],
        message: &Message,
        is_forwarding: bool,
    ) {
        let bytes = message.bytes();
        for address in to {
            let daemon = &mut self.daemons[from];
            let span = (bytes + IP_HEADER_BYTES) * SECOND / LINK_BYTES_PER_S;
            let start = daemon.link_free.max(self.now);
            daemon.record.sent_bytes += bytes;
            if is_forwarding {
                daemon.record.count_forwarded(self.now, bytes);
            }
            if start - self.now > MAX_LINK_WAIT {
                daemon.record.dropped += 1;
                continue;
            }
            daemon.link_free = start + span;
            let sent = daemon.link_free;
            if !self.random.random_bool(self.scenario.loss) {
                let delay = self.random.random_range(DELAY);
                let deliver = Event::Deliver(index(*address), message.clone());
                self.schedule(sent + delay, deliver);
            }
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        let now = self.millis();
        let daemon = &mut self.daemons[index];
        match message {
            Message::Heartbeat {
                from,
                sequence,
                revision,
                age,
            } => {
                let announcement = Announcement {
                    incarnation: 1,
                    sequence,
                    ..Announcement::default()
                };
                let is_relay = daemon.roster.relay(now) == Some(address(from));
                daemon.roster.record(now, address(from), announcement);
                if is_relay {
                    self.announce(index, revision, age);
                }
            }
            Message::Ready(from) => daemon.planner.record_ready(now, address(from)),
            Message::Sightings(Some(set), _) => {
                let age = self.now - self.sets[set];
                daemon.record.oldest = daemon.record.oldest.max(age);
                daemon.record.sightings.insert(set);
            }
            Message::Sightings(None, _) => {}
            Message::Summary => {
                let gap = self.now - daemon.record.summary;
                if daemon.record.summary > 0 {
                    daemon.record.longest_gap = daemon.record.longest_gap.max(gap);
                }
                daemon.record.summary = self.now;
            }
            Message::Entries(part) => self.add_part(index, part),
            Message::Forward(to, inner) => {
                if !daemon.is_modern {
                    return;
                }
                if daemon.guard.passes(now, daemon.roster.interval()) {
                    let to = to.into_iter().map(address).collect::<Vec<_>>();
                    self.send_all(index, &to, &inner, true);
                }
                self.receive(index, *inner);
            }
        }
    }

    fn outcomes(self) -> Vec<Outcome> {
        let per_second = |bytes: u64| bytes * SECOND / (DURATION - WARM_UP);
        // The last ones may still be on their way.
        let last = self.sets.partition_point(|at| *at < DURATION - SECOND);
        let daemons = self.daemons.iter().enumerate();
        let outcomes = daemons.map(|(index, daemon)| {
            let record = &daemon.record;
            Outcome {
                is_affected: self.affected.contains(&index),
                is_earlier: !daemon.is_modern,
                has_failed: self.failed == Some(index),
                sets: last,
                missed: last - record.sightings.range(..last).count(),
                oldest_ms: record.oldest / MILLISECOND,
                gap_ms: record.longest_gap / MILLISECOND,
                change_ms: record.latest_change / MILLISECOND,
                sent: per_second(record.sent_bytes),
                forwarded: per_second(record.forwarded_bytes),
                heartbeats: per_second(record.heartbeat_bytes),
                peak: record.peak_bytes,
                dropped: record.dropped,
                reads: record.reads,
            }
        });
        outcomes.collect()
    }
}
