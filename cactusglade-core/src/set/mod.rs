//! The object set with its references resolved, for the daemons.
//!
//! A set is built from a [`Document`] and its predecessor, so that a key stays valid for as long as
//! it refers to the same object. See `docs/DESIGN.md`.

mod check;

use std::collections::BTreeMap;

use sha2::Digest;
use sha2::Sha256;

use crate::arena;
use crate::arena::Table;
use crate::fields::Problem;
use crate::meta;
use crate::meta::Document;
use crate::units::Generation;
use crate::units::Millis;

/// Result of building a set, with all problems where there are any.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// `Organisation` is an organisation with its name.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Name of the object.
    pub name: String,
    /// The object as published.
    pub meta: meta::Organisation,
}

/// `Model` is a model with its serving version resolved.
#[derive(Clone, Debug)]
pub struct Model {
    /// Name of the object.
    pub name: String,
    /// Version that serves the model outside a rollout.
    pub version: arena::Version,
}

/// `Version` is a version with its name; [`Model`] refers to the one that serves it.
#[derive(Clone, Debug)]
pub struct Version {
    /// Name of the object.
    pub name: String,
}

/// `Service` is a plain service with its name.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the object.
    pub name: String,
    /// The object as published.
    pub meta: meta::Service,
}

/// `Upstream` is an upstream with its versions or its service resolved.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name of the object.
    pub name: String,
    /// The object as published.
    pub meta: meta::Upstream,
    /// Versions it serves.
    pub versions: Vec<arena::Version>,
    /// Plain service it runs.
    pub service: Option<arena::Service>,
}

/// `Target` is the destination of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// A model, which answers with a stream of tokens.
    Chat(arena::Model),
    /// A plain service, whose answer is passed on unchanged.
    Plain(arena::Service),
}

/// `Route` is a route with its target resolved.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the object.
    pub name: String,
    /// The object as published.
    pub meta: meta::Route,
    /// Destination of the route.
    pub target: Target,
}

/// `Rollout` is a rollout with its model and versions resolved.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Name of the object.
    pub name: String,
    /// The object as published.
    pub meta: meta::Rollout,
    /// Model that gets another version.
    pub model: arena::Model,
    /// Version that serves before the rollout.
    pub from: arena::Version,
    /// Version that serves after the rollout.
    pub to: arena::Version,
}

/// `Objective` is an objective with its route resolved.
#[derive(Clone, Debug)]
pub struct Objective {
    /// Name of the object.
    pub name: String,
    /// The object as published.
    pub meta: meta::Objective,
    /// Route that it applies to.
    pub route: arena::Route,
}

/// `Set` is one generation of all objects.
#[derive(Clone, Debug, Default)]
pub struct Set {
    /// Number of the generation.
    pub generation: Generation,
    /// Organisations.
    pub organisations: Table<arena::Organisation, Organisation>,
    /// Models.
    pub models: Table<arena::Model, Model>,
    /// Versions.
    pub versions: Table<arena::Version, Version>,
    /// Plain services.
    pub services: Table<arena::Service, Service>,
    /// Upstreams.
    pub upstreams: Table<arena::Upstream, Upstream>,
    /// Routes.
    pub routes: Table<arena::Route, Route>,
    /// Rollouts.
    pub rollouts: Table<arena::Rollout, Rollout>,
    /// Objectives.
    pub objectives: Table<arena::Objective, Objective>,
    credentials: BTreeMap<String, arena::Organisation>,
}

impl Set {
    /// Builds the set of a generation on top of its predecessor.
    ///
    /// # Errors
    ///
    /// Returns every unresolved reference and every contradiction in the document.
    pub fn try_new(document: &Document, generation: Generation, before: &Self) -> Result<Self> {
        let problems = check::problems(document);
        if !problems.is_empty() {
            return Err(problems);
        }
        let mut set = before.clone();
        set.generation = generation;
        set.retain(document);
        set.put_leaves(document);
        set.put_references(document);
        Ok(set)
    }

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn authenticate(&self, api_key: &str) -> Option<arena::Organisation> {
        self.credentials.get(&digest(api_key.as_bytes())).copied()
    }

    /// Returns the route of a path, and whether the route has this method.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<(arena::Route, bool)> {
        let matches = |route: &Route| match route.meta.path.strip_suffix("/*") {
            Some(prefix) => path
                .strip_prefix(prefix)
                .is_some_and(|rest| rest.starts_with('/')),
            None => route.meta.path == path,
        };
        let mut other_method = None;
        for (key, route) in self.routes.iter().filter(|(_, route)| matches(route)) {
            if route.meta.method == method {
                return Some((key, true));
            }
            other_method = Some((key, false));
        }
        other_method
    }

    fn retain(&mut self, document: &Document) {
        self.organisations
            .retain(|name| document.organisation.contains_key(name));
        self.models.retain(|name| document.model.contains_key(name));
        self.versions
            .retain(|name| document.version.contains_key(name));
        self.services
            .retain(|name| document.service.contains_key(name));
        self.upstreams
            .retain(|name| document.upstream.contains_key(name));
        self.routes.retain(|name| document.route.contains_key(name));
        self.rollouts
            .retain(|name| document.rollout.contains_key(name));
        self.objectives
            .retain(|name| document.objective.contains_key(name));
    }

    /// Stores the objects that do not refer to others.
    fn put_leaves(&mut self, document: &Document) {
        self.credentials.clear();
        for (name, meta) in &document.organisation {
            let organisation = Organisation {
                name: name.clone(),
                meta: meta.clone(),
            };
            let key = self.organisations.put(name, organisation, |_, _| true);
            for digest in &meta.keys {
                self.credentials.insert(digest.clone(), key);
            }
        }
        for name in document.version.keys() {
            self.versions
                .put(name, Version { name: name.clone() }, |_, _| true);
        }
        for (name, meta) in &document.service {
            let service = Service {
                name: name.clone(),
                meta: meta.clone(),
            };
            self.services.put(name, service, |_, _| true);
        }
    }

    /// Stores the objects that refer to others, after those that they refer to.
    fn put_references(&mut self, document: &Document) {
        for (name, meta) in &document.model {
            let Some(version) = self.versions.find(&meta.version) else {
                continue;
            };
            self.models.put(
                name,
                Model {
                    name: name.clone(),
                    version,
                },
                |_, _| true,
            );
        }
        for (name, meta) in &document.upstream {
            let upstream = Upstream {
                name: name.clone(),
                versions: meta
                    .versions
                    .iter()
                    .filter_map(|v| self.versions.find(v))
                    .collect(),
                service: meta.service.as_deref().and_then(|s| self.services.find(s)),
                meta: meta.clone(),
            };
            self.upstreams.put(name, upstream, same_upstream);
        }
        for (name, meta) in &document.route {
            let chat = meta
                .model
                .as_deref()
                .and_then(|m| self.models.find(m))
                .map(Target::Chat);
            let plain = meta
                .service
                .as_deref()
                .and_then(|s| self.services.find(s))
                .map(Target::Plain);
            let Some(target) = chat.or(plain) else {
                continue;
            };
            let route = Route {
                name: name.clone(),
                meta: meta.clone(),
                target,
            };
            self.routes.put(name, route, |_, _| true);
        }
        self.put_rollouts(document);
        for (name, meta) in &document.objective {
            let Some(route) = self.routes.find(&meta.route) else {
                continue;
            };
            let objective = Objective {
                name: name.clone(),
                meta: meta.clone(),
                route,
            };
            self.objectives.put(name, objective, |_, _| true);
        }
    }

    fn put_rollouts(&mut self, document: &Document) {
        for (name, meta) in &document.rollout {
            let model = self.models.find(&meta.model);
            let from = self.versions.find(&meta.from);
            let to = self.versions.find(&meta.to);
            let (Some(model), Some(from), Some(to)) = (model, from, to) else {
                continue;
            };
            let rollout = Rollout {
                name: name.clone(),
                meta: meta.clone(),
                model,
                from,
                to,
            };
            self.rollouts.put(name, rollout, same_rollout);
        }
    }
}

/// Whether two objects describe the same upstream process.
fn same_upstream(before: &Upstream, after: &Upstream) -> bool {
    before.meta.address == after.meta.address
        && before.meta.incarnation == after.meta.incarnation
        && before.meta.host == after.meta.host
}

/// Whether two objects describe the same rollout.
fn same_rollout(before: &Rollout, after: &Rollout) -> bool {
    let deadline = |rollout: &Rollout| -> Millis { rollout.meta.deadline_unix_ms };
    before.from == after.from && before.to == after.to && deadline(before) == deadline(after)
}

/// Returns the SHA-256 of some bytes in lower-case hexadecimal, by which API keys and objects are
/// identified.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    use std::fmt::Write;

    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        // Writing to a `String` never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
