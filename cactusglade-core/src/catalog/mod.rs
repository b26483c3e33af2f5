//! The operators' configuration with its references resolved, as the entry daemons use it.
//!
//! A catalog is built on top of the one before it, so that a key stays valid while the thing it
//! stands for is the same. See `docs/PLATFORM.md`.

use std::collections::BTreeMap;

use crate::arena;
use crate::arena::Table;
use crate::units::Millis;

/// Error of building a catalog.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A route leads to a service that the configuration does not hold.
    #[error("route {route} leads to {service}, which is no service")]
    Reference {
        /// Name of the route.
        route: String,
        /// Name that nothing bears.
        service: String,
    },
}

/// Result of building a catalog.
pub type Result<T> = std::result::Result<T, Error>;

/// `Semantics` says how often requests of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Semantics {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// A stream that may go on at another upstream after its last event.
    Resumable,
    /// A stream that must stay where it is.
    Stream,
}

impl Semantics {
    /// Whether answers are series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// `Limits` bound what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub header_bytes: usize,
    /// Longest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Millis,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// `Scale` bounds the orders for upstreams of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Fewest upstreams in a zone.
    pub min: u64,
    /// Most upstreams in a zone.
    pub max: u64,
    /// Time from the order of an upstream until it serves.
    pub boot_time: Millis,
    /// Price of a reclaimable upstream as a share of another's, where they can be had.
    pub spot_price: Option<f64>,
    /// Relative price of an upstream by zone.
    pub prices: BTreeMap<String, f64>,
}

/// `Service` is a kind of upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Tokens in one event of its engines' streams, zero for other services.
    pub tokens_per_event: u64,
    /// Bounds of orders, where it can be scaled.
    pub scale: Option<Scale>,
}

/// `Quota` limits an organisation over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Whether units are tokens and not requests.
    pub counts_tokens: bool,
    /// Units of a request that names no tokens.
    pub default_units: u64,
}

/// `Organisation` shares the upstreams with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u64>,
    /// Limit on its use.
    pub quota: Option<Quota>,
}

/// `Route` is a path prefix of a host that callers use.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// How often its requests may run.
    pub semantics: Semantics,
    /// Longest time for which a caller is kept.
    pub timeout: Millis,
    /// Latency objective for the answer, or for the first event of a stream.
    pub latency_target: Millis,
    /// Longest pause between two events of a stream that still meets the objective.
    pub max_gap: Millis,
    /// Priority; 0 is the highest.
    pub priority: u64,
    /// Most upstreams to which one attempt of a caller may be sent.
    pub max_attempts: u64,
    /// Whether no API key is needed.
    pub is_public: bool,
    /// Services with their shares of the traffic.
    pub split: Vec<(arena::Service, u64)>,
}

/// `Draft` is a configuration as read, its references still names.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Version, greater with each change.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    /// Services.
    pub services: Vec<Service>,
    /// Routes, whose services are still names.
    pub routes: Vec<Rule>,
    /// Organisations with their API keys.
    pub organisations: Vec<(Organisation, Vec<String>)>,
}

/// `Rule` is a route as read, with its place.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Where the route is found.
    pub path: Path,
    /// The route; its own split is empty.
    pub route: Route,
    /// Names of services with their shares of the traffic.
    pub split: Vec<(String, u64)>,
}

/// `Path` is where a route is found.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Path {
    /// Host that callers address.
    pub host: String,
    /// Prefix of the path, with a slash at either end.
    pub prefix: String,
}

/// `Catalog` is one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the configuration, zero before the first.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    /// Services.
    pub services: Table<arena::Service, Service>,
    /// Routes.
    pub routes: Table<arena::Route, Route>,
    /// Organisations.
    pub organisations: Table<arena::Organisation, Organisation>,
    paths: BTreeMap<Path, arena::Route>,
    keys: BTreeMap<String, arena::Organisation>,
}

impl Catalog {
    /// Builds a catalog on top of the one before it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Reference`] when a route leads to an unknown service.
    pub fn try_new(draft: Draft, before: &Self) -> Result<Self> {
        let mut next = Self {
            version: draft.version,
            limits: draft.limits,
            services: before.services.clone(),
            routes: before.routes.clone(),
            organisations: before.organisations.clone(),
            ..Self::default()
        };
        next.retain(&draft);
        for service in draft.services {
            let name = service.name.clone();
            next.services.put(&name, service, |_, _| true);
        }
        for (organisation, keys) in draft.organisations {
            let name = organisation.name.clone();
            let key = next.organisations.put(&name, organisation, |_, _| true);
            next.keys.extend(keys.into_iter().map(|text| (text, key)));
        }
        for Rule {
            path,
            mut route,
            split,
        } in draft.routes
        {
            for (service, weight) in split {
                let Some(key) = next.services.find(&service) else {
                    let route = route.name;
                    return Err(Error::Reference { route, service });
                };
                route.split.push((key, weight));
            }
            let name = route.name.clone();
            let key = next.routes.put(&name, route, |_, _| true);
            next.paths.insert(path, key);
        }
        Ok(next)
    }

    /// The organisation that holds an API key.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<arena::Organisation> {
        self.keys.get(key).copied()
    }

    /// Whether any organisation holds keys; without any, none is asked for.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// The route of a host with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<arena::Route> {
        let ends = path.rmatch_indices('/').map(|(at, slash)| at + slash.len());
        ends.filter_map(|end| path.get(..end)).find_map(|prefix| {
            let path = Path {
                host: host.to_owned(),
                prefix: prefix.to_owned(),
            };
            self.paths.get(&path).copied()
        })
    }

    fn retain(&mut self, draft: &Draft) {
        self.services
            .retain(|name| draft.services.iter().any(|service| service.name == name));
        self.routes
            .retain(|name| draft.routes.iter().any(|placed| placed.route.name == name));
        self.organisations.retain(|name| {
            let mut all = draft.organisations.iter();
            all.any(|(organisation, _)| organisation.name == name)
        });
    }
}
