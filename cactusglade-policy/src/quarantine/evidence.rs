//! What requests that were cut together have in common.

use std::collections::BTreeSet;

use cactusglade_core::units::Millis;

/// Time within which cuts at one upstream belong to one crash: it needs some seconds to return.
const CRASH_TIME: Millis = Millis(2_000);
/// Time within which crashes of several upstreams count as one incident, since hosts also fail
/// together.
const INCIDENT_TIME: Millis = Millis(150);
/// Time after a cut in which news of its upstream may be older than the cut: loads reach all daemons
/// within 400 ms.
const NEWS_TIME: Millis = Millis(500);
/// Time after a cut in which an upstream that crashed is not back yet.
const DOWN_TIME: Millis = Millis(1_500);
/// Maximum number of requests of one incident; an upstream has some tens that begin.
const MAX_REQUESTS: usize = 128;

/// `Request` is one cut request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it was cut.
    pub cut: Millis,
    /// Hash of the name of the upstream that had it.
    pub upstream: u32,
    /// Shared parts of its prompt that no answer has proved to be sound since.
    pub parts: BTreeSet<u64>,
}

/// `Incident` is one crash, or several at the same moment.
#[derive(Clone, Debug)]
pub struct Incident {
    /// When the first request was cut.
    pub at: Millis,
    upstreams: BTreeSet<u32>,
    requests: Vec<Request>,
}

impl Incident {
    /// Creates an incident from the first request.
    pub fn new(upstream: u32, request: Request) -> Self {
        Self {
            at: request.cut,
            upstreams: BTreeSet::from([upstream]),
            requests: vec![request],
        }
    }

    /// Returns whether a cut belongs to this incident.
    pub fn includes(&self, cut: Millis, upstream: u32) -> bool {
        let distance = self.at.max(cut) - self.at.min(cut);
        distance <= INCIDENT_TIME || (distance <= CRASH_TIME && self.upstreams.contains(&upstream))
    }

    /// Adds a request.
    pub fn add(&mut self, upstream: u32, request: Request) {
        self.upstreams.insert(upstream);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push(request);
        }
    }

    /// Clears a part of the requests that were cut before the answer began which proves it to be
    /// sound; returns whether any had it.
    pub fn clear(&mut self, began: Millis, part: u64) -> bool {
        let mut is_cleared = false;
        for request in self.requests.iter_mut().filter(|one| one.cut <= began) {
            is_cleared |= request.parts.remove(&part);
        }
        self.requests.retain(|one| !one.parts.is_empty());
        is_cleared
    }

    /// Clears the requests of an upstream that answers others a short time after their cuts: it did not
    /// crash, whatever ended their connections.
    pub fn clear_alive(&mut self, now: Millis, upstream: u32) {
        if !self.upstreams.contains(&upstream) {
            return;
        }
        let is_disproved = |one: &Request| {
            let span = now - one.cut;
            one.upstream == upstream && span >= NEWS_TIME && span <= DOWN_TIME
        };
        self.requests.retain(|one| !is_disproved(one));
    }

    /// Returns whether a request of the incident has a part.
    pub fn has(&self, part: u64) -> bool {
        self.requests.iter().any(|one| one.parts.contains(&part))
    }

    /// Returns the time at which a request with all of these parts was last cut.
    pub fn cut_at(&self, parts: &BTreeSet<u64>) -> Option<Millis> {
        let requests = self.requests.iter();
        let having = requests.filter(|one| one.parts.is_superset(parts));
        having.map(|one| one.cut).max()
    }

    /// Returns whether all parts were proved to be sound.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the cut requests.
    pub fn requests(&self) -> &[Request] {
        &self.requests
    }

    /// Returns all parts of the cut requests.
    pub fn parts(&self) -> BTreeSet<u64> {
        let parts = self.requests.iter().flat_map(|one| &one.parts);
        parts.copied().collect()
    }
}
