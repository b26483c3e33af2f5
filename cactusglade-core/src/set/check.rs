//! Checks that every reference in a document resolves and that its objects are consistent.

use std::collections::BTreeMap;

use crate::fields::Problem;
use crate::meta::Document;

const SET: &str = "(set)";

/// Returns all problems between the objects of a document.
pub fn problems(document: &Document) -> Vec<Problem> {
    let mut check = Check {
        document,
        problems: Vec::new(),
    };
    check.organisations();
    check.versions();
    check.upstreams();
    check.routes();
    check.rollouts();
    check.objectives();
    check.problems
}

struct Check<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn reject(&mut self, path: String, reason: String) {
        self.problems.push(Problem {
            file: SET.to_owned(),
            path,
            reason,
        });
    }

    fn check_reference<T>(
        &mut self,
        path: &str,
        kind: &str,
        name: &str,
        objects: &BTreeMap<String, T>,
    ) {
        if !name.is_empty() && !objects.contains_key(name) {
            self.reject(path.to_owned(), format!("{kind} {name:?} is not defined"));
        }
    }

    fn organisations(&mut self) {
        let document = self.document;
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, organisation) in &document.organisation {
            for key in &organisation.keys {
                if let Some(other) = owners.insert(key, name)
                    && other != name
                {
                    let reason = format!("a key also belongs to organisation {other:?}");
                    self.reject(format!("organisation.{name}.keys"), reason);
                }
            }
        }
    }

    fn versions(&mut self) {
        let document = self.document;
        for (name, version) in &document.version {
            let path = format!("version.{name}.model");
            self.check_reference(&path, "model", &version.model, &document.model);
        }
        for (name, model) in &document.model {
            let path = format!("model.{name}.version");
            self.check_reference(&path, "version", &model.version, &document.version);
            self.check_model(&path, &model.version, name);
        }
    }

    fn check_model(&mut self, path: &str, version: &str, model: &str) {
        let owner = self
            .document
            .version
            .get(version)
            .map(|version| version.model.clone());
        if let Some(owner) = owner
            && owner != model
        {
            self.reject(
                path.to_owned(),
                format!("version {version:?} belongs to model {owner:?}, not {model:?}"),
            );
        }
    }

    fn upstreams(&mut self) {
        let document = self.document;
        let mut addresses: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, upstream) in &document.upstream {
            for version in &upstream.versions {
                let path = format!("upstream.{name}.versions");
                self.check_reference(&path, "version", version, &document.version);
            }
            if let Some(service) = &upstream.service {
                let path = format!("upstream.{name}.service");
                self.check_reference(&path, "service", service, &document.service);
            }
            if let Some(other) = addresses.insert(&upstream.address, name) {
                let reason = format!("upstream {other:?} has the same address");
                self.reject(format!("upstream.{name}.address"), reason);
            }
        }
    }

    fn routes(&mut self) {
        let document = self.document;
        let mut paths: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for (name, route) in &document.route {
            if let Some(model) = &route.model {
                let path = format!("route.{name}.model");
                self.check_reference(&path, "model", model, &document.model);
                if !route.idempotent {
                    let reason = "a route of a model must be idempotent".to_owned();
                    self.reject(format!("route.{name}.idempotent"), reason);
                }
            }
            if let Some(service) = &route.service {
                let path = format!("route.{name}.service");
                self.check_reference(&path, "service", service, &document.service);
            }
            if let Some(other) = paths.insert((&route.method, &route.path), name) {
                let reason = format!("route {other:?} has the same method and path");
                self.reject(format!("route.{name}.path"), reason);
            }
        }
    }

    fn rollouts(&mut self) {
        let document = self.document;
        let mut models: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, rollout) in &document.rollout {
            let path = |field: &str| format!("rollout.{name}.{field}");
            self.check_reference(&path("model"), "model", &rollout.model, &document.model);
            self.check_reference(&path("from"), "version", &rollout.from, &document.version);
            self.check_reference(&path("to"), "version", &rollout.to, &document.version);
            self.check_model(&path("from"), &rollout.from, &rollout.model);
            self.check_model(&path("to"), &rollout.to, &rollout.model);
            let serving = document
                .model
                .get(&rollout.model)
                .map(|model| &model.version);
            if serving.is_some_and(|version| *version != rollout.from) {
                let reason = format!(
                    "model {:?} does not currently serve this version",
                    rollout.model
                );
                self.reject(path("from"), reason);
            }
            if rollout.from == rollout.to {
                self.reject(path("to"), "must be another version than from".to_owned());
            }
            if let Some(other) = models.insert(&rollout.model, name) {
                let reason = format!("rollout {other:?} moves the same model");
                self.reject(path("model"), reason);
            }
        }
    }

    fn objectives(&mut self) {
        let document = self.document;
        for (name, objective) in &document.objective {
            let path = format!("objective.{name}.route");
            self.check_reference(&path, "route", &objective.route, &document.route);
        }
    }
}
