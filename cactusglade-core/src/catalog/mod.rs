//! The operators' configuration with its references resolved, for the entry daemons.
//!
//! A catalog is built on top of its predecessor, so that the key of an object stays valid while the
//! object keeps its name. See `docs/PLATFORM.md`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::arena;
use crate::arena::Table;
use crate::units::Millis;
use crate::units::Rate;

/// Error of building a catalog.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A route refers to a service that the configuration does not define.
    #[error("route {route} refers to service {service}, which is not defined")]
    Reference {
        /// Name of the route.
        route: String,
        /// Name of the service that is not defined.
        service: String,
    },
}

/// Result of building a catalog.
pub type Result<T> = std::result::Result<T, Error>;

/// `Semantics` says how often a request of a route may run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Semantics {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
    /// The answer is a stream that another upstream can resume after its last event.
    Resumable,
    /// The answer is a stream that no other upstream can resume.
    Stream,
}

impl Semantics {
    /// Whether answers are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// `Limits` bound what callers may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub header_bytes: usize,
    /// Longest body of a request in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive.
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

/// `Scale` bounds how many upstreams of a service are ordered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scale {
    /// Minimum of upstreams in a zone.
    pub min: u64,
    /// Maximum of upstreams in a zone.
    pub max: u64,
    /// Time from the order of an upstream until it serves requests.
    pub boot_time: Millis,
    /// Price of a reclaimable upstream as a share of that of another one, `None` where there are no
    /// reclaimable ones.
    pub spot_price: Option<f64>,
    /// Relative price of an upstream by zone.
    pub prices: BTreeMap<String, f64>,
}

/// `Service` is a kind of upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Tokens in one event of a stream of the service's engines, zero for other services.
    pub tokens_per_event: u64,
    /// Bounds on its number of upstreams, where it can be scaled.
    pub scale: Option<Scale>,
    /// Requests that a cold upstream tolerates from all daemons together; `None` where upstreams
    /// are never cold.
    #[serde(default)]
    pub cold_rate: Option<Rate>,
    /// Time for which an upstream is cold after it starts.
    #[serde(default)]
    pub cold_time: Millis,
}

/// `Quota` limits the use of an organisation over all daemons.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Rate in units a second.
    pub rate: f64,
    /// Units that may be used beyond the rate in a burst.
    pub burst: f64,
    /// Whether a unit is a token; otherwise it is a request.
    pub counts_tokens: bool,
    /// Units charged for a request that does not say its number of tokens.
    pub default_units: u64,
}

/// `Organisation` is a group of callers with one priority and one quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u64>,
    /// Limit on its use, where it has one.
    pub quota: Option<Quota>,
    /// Regions in which its requests may run, all if there are none.
    #[serde(default)]
    pub regions: Vec<String>,
}

/// `Route` says how requests for a path prefix of a host are handled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: String,
    /// How often a request may run.
    pub semantics: Semantics,
    /// Time after which a request fails with a time-out.
    pub timeout: Millis,
    /// Latency objective for the answer, or for the first event of a stream.
    pub latency_target: Millis,
    /// Longest pause between two events of a stream that still meets the objective.
    pub max_gap: Millis,
    /// Priority; 0 is the highest.
    pub priority: u64,
    /// Maximum of upstreams to which one request of a caller may be sent.
    pub max_attempts: u64,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Regions in which requests may run, all if there are none.
    #[serde(default)]
    pub regions: Vec<String>,
    /// Services with their weights in the traffic split; keys are not passed between processes.
    #[serde(skip)]
    pub split: Vec<(arena::Service, u64)>,
}

/// `Draft` is a configuration as read, with references by name.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Draft {
    /// Version of the configuration, greater with each change.
    pub version: u64,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Services.
    pub services: Vec<Service>,
    /// Routes, which refer to services by name.
    pub routes: Vec<Rule>,
    /// Organisations with their API keys.
    pub organisations: Vec<(Organisation, Vec<String>)>,
}

/// `Rule` is a route as read, with the path that it matches.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rule {
    /// Path that the route matches.
    pub path: Path,
    /// The route; its own traffic split is empty.
    pub route: Route,
    /// Names of services with their weights in the traffic split.
    pub split: Vec<(String, u64)>,
}

/// `Path` is a path prefix of a host, which a route matches.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Path {
    /// Host name.
    pub host: String,
    /// Prefix of the path, with a slash at either end.
    pub prefix: String,
}

/// `Catalog` is one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the configuration, zero before the first.
    pub version: u64,
    /// Bounds on what callers may send.
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
    /// Builds a catalog on top of its predecessor.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Reference`] if a route refers to a service that the draft does not define.
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

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<arena::Organisation> {
        self.keys.get(key).copied()
    }

    /// Whether there are organisations, so that requests need the key of one, also where all keys
    /// were withdrawn.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the route of a host whose prefix is the longest that matches a path.
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
