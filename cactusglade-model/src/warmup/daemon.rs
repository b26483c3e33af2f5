//! One daemon: its membership and its broker, as the product's services drive them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::catalog::Path;
use cactusglade_core::catalog::Route;
use cactusglade_core::catalog::Rule;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::catalog::Service;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::broker;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Query;
use cactusglade_policy::budget;
use cactusglade_policy::quota::Tolerance;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::throttle::Layout;
use cactusglade_policy::warmup::Bounds;

use super::Error;
use super::Result;

/// Name of the only service.
pub const SERVICE: &str = "pool";
const ROUTE: &str = "chat";
/// Interval of heartbeats in a small zone, in milliseconds.
const HEARTBEAT_INTERVAL: u64 = 100;
/// Number of daemons in a zone above which the interval grows in proportion.
const BASE_DAEMONS: u64 = 16;
/// Time within which a partition is detected before the fleet is known.
const DETECTION: Millis = Millis(1_200);

/// `Daemon` is the state of one daemon.
pub struct Daemon {
    /// Number of its starts before this one.
    pub incarnation: u64,
    /// Number of heartbeats.
    pub sequence: u64,
    /// Other daemons.
    pub roster: Roster,
    /// Decisions on requests.
    pub broker: Broker<Fastest>,
    /// Until when the host is suspended.
    pub suspended_until: u64,
    route: arena::Route,
    layout: Option<Layout>,
}

/// Returns the address of a daemon.
#[allow(clippy::cast_possible_truncation)]
pub fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 80).into()
}

/// Returns the index of the daemon with an address.
pub fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

/// Returns the zone of a daemon.
pub fn zone(index: usize, zones: usize) -> String {
    format!("zone-{}", index % zones)
}

impl Daemon {
    /// Creates a daemon that knows no other.
    pub fn try_new(
        index: usize,
        zones: usize,
        incarnation: u64,
        rate: Rate,
        bounds: Bounds,
    ) -> Result<Self> {
        let zone = zone(index, zones);
        let options = broker::Options {
            name: format!("daemon-{index}"),
            zone: zone.clone(),
            retries: budget::Bounds {
                ratio: 0.2,
                window: Millis(10_000),
                slack: 54.0,
            },
            tolerance: Tolerance {
                window: Millis(8_000),
                overshoot: 0.1,
                slack: 0.0,
                detection: DETECTION,
            },
            tight_target: None,
            cold: Some(bounds),
            regions: BTreeMap::new(),
        };
        let mut broker = Broker::new(options, Fastest);
        let catalog = catalog(rate)?;
        let route = catalog.routes.find(ROUTE);
        let route = route.ok_or_else(|| Error::Catalog("it has no route".to_owned()))?;
        broker.adopt(Millis(0), catalog);
        let interval = Millis(HEARTBEAT_INTERVAL);
        Ok(Self {
            incarnation,
            sequence: 0,
            roster: Roster::new(&zone, address(index), incarnation, interval),
            broker,
            suspended_until: 0,
            route,
            layout: None,
        })
    }

    /// Reports the fleet to the broker; returns the time to the next heartbeat.
    pub fn report(&mut self, now: Millis) -> u64 {
        let layout = self.roster.layout(now);
        if self.layout.as_ref() != Some(&layout) {
            self.broker.rearrange(now, layout.clone());
            self.layout = Some(layout);
        }
        let daemons = match self.roster.count() {
            1 => self.roster.listed(),
            heard => heard,
        };
        if daemons > 1 {
            let reachable = self.roster.reachable(now);
            let detection = self.roster.detection_time();
            self.broker
                .set_membership(now, daemons, reachable, detection);
        }
        let in_zone = self.roster.reachable_in_zone(now);
        let interval = HEARTBEAT_INTERVAL * in_zone.max(BASE_DAEMONS) / BASE_DAEMONS;
        self.roster.set_interval(Millis(interval));
        interval
    }

    /// Returns whether the daemon takes the upstream for cold.
    pub fn knows_cold(&self, now: Millis) -> bool {
        let mut upstreams = self.broker.upstreams();
        upstreams.any(|(_, upstream)| upstream.warmup.is_cold(now))
    }

    /// Sends the upstream a request, and returns whether that was allowed.
    pub fn place(&mut self, now: Millis) -> bool {
        let query = Query {
            route: self.route,
            organisation: None,
            prompt: None,
            tried: &[],
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: 0.5,
        };
        self.broker.place(now, &query).is_ok()
    }
}

fn catalog(rate: Rate) -> Result<Arc<Catalog>> {
    let draft = Draft {
        version: 1,
        services: vec![Service {
            name: SERVICE.to_owned(),
            tokens_per_event: 1,
            scale: None,
            cold_rate: Some(rate),
            cold_time: Millis(3_000),
        }],
        routes: vec![Rule {
            path: Path {
                host: "h".to_owned(),
                prefix: "/chat/".to_owned(),
            },
            route: Route {
                name: ROUTE.to_owned(),
                semantics: Semantics::Resumable,
                timeout: Millis(15_000),
                latency_target: Millis(1_000),
                max_gap: Millis(500),
                priority: 0,
                max_attempts: 2,
                is_public: true,
                regions: Vec::new(),
                split: Vec::new(),
            },
            split: vec![(SERVICE.to_owned(), 1)],
        }],
        ..Draft::default()
    };
    let catalog = Catalog::try_new(draft, &Catalog::default());
    catalog
        .map(Arc::new)
        .map_err(|reason| Error::Catalog(reason.to_string()))
}
