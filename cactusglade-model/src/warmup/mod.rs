//! Plays a fleet of daemons whose requests all go to one upstream that turns cold again and again.
//!
//! The daemons run the product's own membership and broker. They are cut off from each other,
//! suspended and restarted at random, learn late that the upstream is cold, and always have
//! requests, so that they send whatever they may. Requests of daemons that have not learned of the
//! cold time don't count: until then the upstream gets its usual share. See
//! `docs/design/warmup.md`.

mod daemon;

use std::collections::BTreeMap;

use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Phase;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::roster::Announcement;
use cactusglade_policy::roster::Consumption;
use cactusglade_policy::roster::Zone;
use cactusglade_policy::warmup::Bounds;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use daemon::Daemon;
use daemon::address;

pub use crate::fleet::Error;
pub use crate::fleet::Result;

/// Greatest number of daemons.
const MAX_DAEMONS: f64 = 100.0;
/// Greatest number of zones.
const MAX_ZONES: usize = 4;
/// Length of a run, longer than the time after which a silent daemon is forgotten.
const DURATION: u64 = 60_000;
/// Time at the start in which nothing is disturbed.
const WARM_UP: u64 = 5_000;
/// Time between two attempts of a daemon to send a request.
const STEP: u64 = 20;
/// Greatest delay of a datagram or a request.
const MAX_DELAY: u64 = 30;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.01;
/// Time within which most daemons learn that the upstream is cold.
const LEARNING_TIME: u64 = 600;
/// Number of daemons that a daemon knows which can't read the list of daemons at its start.
const SEEDS: usize = 2;
/// Window in which requests are counted.
const WINDOW: u64 = 1_000;

/// `Summary` of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of daemons.
    pub daemons: usize,
    /// Greatest number of requests in any second while the upstream was cold.
    pub most: usize,
    /// Number of requests that the upstream tolerates in any second.
    pub tolerated: f64,
    /// Number of requests sent.
    pub sent: usize,
}

enum Message {
    Heartbeat {
        from: usize,
        incarnation: u64,
        sequence: u64,
        members: Vec<usize>,
    },
    Summary {
        zone: String,
        summary: Zone,
    },
}

enum Event {
    /// A heartbeat is due at a daemon of this incarnation.
    Tick(usize, u64),
    Deliver(usize, Message),
    /// A daemon reads the entry of the upstream.
    Learn(usize, Change),
    /// A daemon of this incarnation reads the list of daemons.
    List(usize, u64),
    Suspend(usize, u64),
    Restart(usize),
    Cut(u64),
    Heal(u64),
    /// The upstream turns cold for a time.
    TurnCold(u64),
    /// Daemons send requests until a time.
    Send(u64),
}

struct Simulation {
    now: u64,
    random: StdRng,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    bounds: Bounds,
    rate: Rate,
    zones: usize,
    daemons: Vec<Daemon>,
    /// Side of the cut on which each daemon is.
    sides: Vec<u64>,
    cuts: u64,
    /// Start of the upstream's process.
    started: u64,
    sent: Vec<u64>,
}

/// Plays one run.
///
/// # Errors
///
/// Returns an error where the catalog is not valid.
pub fn play(seed: u64) -> Result<Summary> {
    let mut simulation = Simulation::try_new(seed)?;
    simulation.run()?;
    Ok(simulation.summary())
}

impl Simulation {
    fn try_new(seed: u64) -> Result<Self> {
        let mut random = StdRng::seed_from_u64(seed);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = 1 + (random.random::<f64>().powi(3) * (MAX_DAEMONS - 1.0)).round() as usize;
        let is_usual = random.random_bool(0.5);
        let (rate, bounds) = if is_usual {
            let bounds = Bounds {
                overshoot: 1.5,
                slack: 5.0,
            };
            (Rate(6_900), bounds)
        } else {
            let bounds = Bounds {
                overshoot: random.random_range(1.0..3.0),
                slack: random.random_range(5.0..12.0),
            };
            (Rate(random.random_range(500..30_000)), bounds)
        };
        let zones = random.random_range(1..=MAX_ZONES);
        let mut simulation = Self {
            now: 0,
            random,
            events: BTreeMap::new(),
            order: 0,
            bounds,
            rate,
            zones,
            daemons: Vec::new(),
            sides: vec![0; count],
            cuts: 0,
            started: 1,
            sent: Vec::new(),
        };
        for index in 0..count {
            let daemon = Daemon::try_new(index, zones, 0, rate, bounds)?;
            simulation.daemons.push(daemon);
            simulation.start(index);
        }
        simulation.plan(count);
        Ok(simulation)
    }

    /// Schedules what disturbs the fleet, and when the upstream turns cold.
    fn plan(&mut self, count: usize) {
        for _ in 0..self.random.random_range(0..10) {
            let at = self.random.random_range(WARM_UP..DURATION);
            let daemon = self.random.random_range(0..count);
            let event = match self.random.random_range(0..4) {
                0 => Event::Restart(daemon),
                1 => Event::Cut(self.random.random_range(500..30_000)),
                _ => Event::Suspend(daemon, self.random.random_range(100..25_000)),
            };
            // A fault may meet several daemons at once.
            if let (Event::Suspend(_, span), true) = (&event, self.random.random_bool(0.3)) {
                for other in 0..count {
                    if self.random.random_bool(0.3) {
                        self.schedule(at, Event::Suspend(other, *span));
                    }
                }
            }
            self.schedule(at, event);
        }
        for _ in 0..6 {
            let at = self.random.random_range(WARM_UP..DURATION);
            let span = self.random.random_range(1_000..6_000);
            self.schedule(at, Event::TurnCold(span));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    /// Schedules the first events of a daemon that starts.
    fn start(&mut self, index: usize) {
        let incarnation = self.daemons[index].incarnation;
        let is_listed = self.random.random_bool(0.9);
        if is_listed {
            let delay = self.random.random_range(0..300);
            self.schedule(self.now + delay, Event::List(index, incarnation));
        }
        let now = Millis(self.now);
        for seed in 0..SEEDS.min(self.sides.len()) {
            self.daemons[index].roster.add(now, address(seed), None);
        }
        let delay = self.random.random_range(0..100);
        self.schedule(self.now + delay, Event::Tick(index, incarnation));
    }

    fn run(&mut self) -> Result<()> {
        while let Some(((at, order), event)) = self.events.pop_first() {
            if at >= DURATION {
                break;
            }
            self.now = at;
            let daemon = match &event {
                Event::Tick(daemon, _)
                | Event::List(daemon, _)
                | Event::Deliver(daemon, _)
                | Event::Learn(daemon, _) => Some(*daemon),
                _ => None,
            };
            let woken = daemon.map(|daemon| self.daemons[daemon].suspended_until);
            if let Some(woken) = woken.filter(|woken| at < *woken) {
                self.events.insert((woken, order), event);
                continue;
            }
            self.handle(event)?;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<()> {
        match event {
            Event::Tick(daemon, incarnation) => {
                if self.daemons[daemon].incarnation == incarnation {
                    self.tick(daemon);
                }
            }
            Event::List(daemon, incarnation) => {
                if self.daemons[daemon].incarnation == incarnation {
                    let (now, zones) = (Millis(self.now), self.zones);
                    for other in 0..self.daemons.len() {
                        let zone = daemon::zone(other, zones);
                        let roster = &mut self.daemons[daemon].roster;
                        roster.add(now, address(other), Some(&zone));
                    }
                    self.daemons[daemon].report(now);
                    self.send_heartbeat(daemon, true);
                }
            }
            Event::Deliver(daemon, message) => self.receive(daemon, message),
            Event::Learn(daemon, change) => {
                let broker = &mut self.daemons[daemon].broker;
                broker.apply(Millis(self.now), [change]);
            }
            Event::Suspend(daemon, span) => {
                let daemon = &mut self.daemons[daemon];
                daemon.suspended_until = daemon.suspended_until.max(self.now + span);
            }
            Event::Restart(index) => {
                let incarnation = self.daemons[index].incarnation + 1;
                let daemon =
                    Daemon::try_new(index, self.zones, incarnation, self.rate, self.bounds)?;
                self.daemons[index] = daemon;
                self.start(index);
                if let Some(change) = self.entry() {
                    let delay = self.random.random_range(0..LEARNING_TIME);
                    self.schedule(self.now + delay, Event::Learn(index, change));
                }
            }
            Event::Cut(span) => self.cut(span),
            Event::Heal(cut) => {
                if cut == self.cuts {
                    self.sides.fill(0);
                }
            }
            Event::TurnCold(span) => self.turn_cold(span),
            Event::Send(until) => self.send_requests(until),
        }
        Ok(())
    }

    /// Cuts a zone, a daemon, or any part of the fleet off for a time.
    fn cut(&mut self, span: u64) {
        self.cuts += 1;
        let one = self.random.random_range(0..self.sides.len());
        let zone = one % self.zones;
        let kind = self.random.random_range(0..3);
        for daemon in 0..self.sides.len() {
            let is_apart = match kind {
                0 => daemon % self.zones == zone,
                1 => daemon == one,
                _ => self.random.random_bool(0.5),
            };
            self.sides[daemon] = u64::from(is_apart);
        }
        self.schedule(self.now + span, Event::Heal(self.cuts));
    }

    fn turn_cold(&mut self, span: u64) {
        if self.random.random_bool(0.5) {
            self.started += 1;
        }
        let change = entry(self.started, span);
        for daemon in 0..self.daemons.len() {
            let delay = match self.random.random_range(0..20) {
                // It can't read the registry.
                0 => DURATION,
                1 => self.random.random_range(0..span),
                _ => self.random.random_range(0..LEARNING_TIME),
            };
            self.schedule(self.now + delay, Event::Learn(daemon, change.clone()));
        }
        // Requests that come all at once meet shares that have saved up most.
        let first = self.now + self.random.random_range(0..span);
        self.schedule(first, Event::Send(self.now + span));
    }

    /// Returns the entry of the upstream where a daemon that starts finds it cold.
    fn entry(&mut self) -> Option<Change> {
        let left = self.random.random_range(0..3_000);
        let is_cold = self.random.random_bool(0.5);
        is_cold.then(|| entry(self.started, left))
    }

    /// Sends whatever the daemons may that know that the upstream is cold.
    fn send_requests(&mut self, until: u64) {
        let now = Millis(self.now);
        for daemon in &mut self.daemons {
            if self.now < daemon.suspended_until {
                continue;
            }
            while daemon.knows_cold(now) && daemon.place(now) {
                let delay = self.random.random_range(0..MAX_DELAY);
                self.sent.push(self.now + delay);
            }
        }
        if self.now + STEP < until {
            self.schedule(self.now + STEP, Event::Send(until));
        }
    }

    fn tick(&mut self, index: usize) {
        let now = Millis(self.now);
        let daemon = &mut self.daemons[index];
        daemon.broker.check_cold(now);
        daemon.sequence += 1;
        daemon.roster.expire(now);
        let is_broadcast = daemon.sequence % 10 == 1;
        self.send_heartbeat(index, is_broadcast);
        if self.daemons[index].roster.is_relay(now) {
            self.send_summaries(index);
        }
        let daemon = &mut self.daemons[index];
        let interval = daemon.report(now);
        let incarnation = daemon.incarnation;
        let pause = self
            .random
            .random_range(interval * 9 / 10..=interval * 11 / 10);
        self.schedule(self.now + pause, Event::Tick(index, incarnation));
    }

    fn send_heartbeat(&mut self, index: usize, is_broadcast: bool) {
        let now = Millis(self.now);
        let daemon = &self.daemons[index];
        let members = daemon.roster.members().map(|(address, _)| *address);
        let members = members.collect::<Vec<_>>();
        let first = self.random.random_range(0..members.len().max(1));
        let listed = members
            .iter()
            .cycle()
            .skip(first)
            .take(members.len().min(8));
        let listed = listed.map(|address| daemon::index(*address));
        let listed = listed.collect::<Vec<_>>();
        let receivers = if is_broadcast {
            daemon.roster.peers().collect::<Vec<_>>()
        } else {
            daemon.roster.neighbours(now).collect()
        };
        let (incarnation, sequence) = (daemon.incarnation, daemon.sequence);
        for receiver in receivers {
            let heartbeat = Message::Heartbeat {
                from: index,
                incarnation,
                sequence,
                members: listed.clone(),
            };
            self.send(index, daemon::index(receiver), heartbeat);
        }
    }

    fn send_summaries(&mut self, index: usize) {
        let now = Millis(self.now);
        let daemon = &self.daemons[index];
        let (daemons, reachable, _) = daemon.roster.summary(now, &Consumption::default(), None);
        let announcement = Announcement {
            incarnation: daemon.incarnation + 1,
            sequence: daemon.sequence,
            ..Announcement::default()
        };
        let own = Zone::new(address(index), daemons, reachable, announcement);
        let own = (daemon::zone(index, self.zones), own);
        let mut sent = Vec::new();
        sent.extend(
            daemon
                .roster
                .relays(now)
                .into_iter()
                .map(|to| (to, own.clone())),
        );
        for (zone, summary) in daemon.roster.zones(now) {
            let neighbours = daemon.roster.neighbours(now);
            sent.extend(neighbours.map(|to| (to, (zone.clone(), summary.clone()))));
        }
        for (to, (zone, summary)) in sent {
            self.send(index, daemon::index(to), Message::Summary { zone, summary });
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.sides[from] == self.sides[to] && !self.random.random_bool(LOSS) {
            let delay = self.random.random_range(1..MAX_DELAY);
            self.schedule(self.now + delay, Event::Deliver(to, message));
        }
    }

    fn receive(&mut self, index: usize, message: Message) {
        let (now, zones) = (Millis(self.now), self.zones);
        let roster = &mut self.daemons[index].roster;
        match message {
            Message::Heartbeat {
                from,
                incarnation,
                sequence,
                members,
            } => {
                for member in members {
                    let zone = daemon::zone(member, zones);
                    roster.add(now, address(member), Some(&zone));
                }
                roster.add(now, address(from), Some(&daemon::zone(from, zones)));
                let announcement = Announcement {
                    incarnation: incarnation + 1,
                    sequence,
                    ..Announcement::default()
                };
                roster.record(now, address(from), announcement);
            }
            Message::Summary { zone, summary } => {
                roster.record_zone(now, &zone, summary);
            }
        }
    }

    fn summary(mut self) -> Summary {
        self.sent.sort_unstable();
        let counts = self.sent.iter().enumerate().map(|(first, start)| {
            let window = self.sent[first..].iter();
            window.take_while(|at| **at < start + WINDOW).count()
        });
        Summary {
            daemons: self.daemons.len(),
            most: counts.max().unwrap_or_default(),
            tolerated: self.bounds.requests(self.rate),
            sent: self.sent.len(),
        }
    }
}

/// Returns the registry entry of the upstream.
fn entry(started: u64, cold_left: u64) -> Change {
    Change::Put(Box::new(Instance {
        name: "upstream".to_owned(),
        started_unix_ms: started,
        service: daemon::SERVICE.to_owned(),
        address: address(0),
        zone: "zone-0".to_owned(),
        version: "v1".to_owned(),
        slots: 12,
        phase: Phase::Ready,
        reclaimable: false,
        cold_left: Millis(cold_left),
    }))
}
