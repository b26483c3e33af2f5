//! Finds the parts of prompts that crash the upstreams which answer them, and keeps requests with
//! such a part away from upstreams.
//!
//! A crash cuts all requests at an upstream, so a cut request says little. The part that all
//! crashes have in common, at the beginning of an answer, and that no answered request has, is
//! taken for their cause. See `docs/PLATFORM.md`.

mod evidence;
mod hold;
mod trial;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use cactusglade_core::call::Part;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;

use evidence::Incident;
use evidence::Request;
use hold::Hold;
use trial::Trial;

pub use trial::Admission;

/// Number of incidents that a part must have in common to be held: the part that causes them
/// reaches it within seconds, a sound one is answered between two of them.
const MIN_INCIDENTS: usize = 3;
/// Number of incidents for a part that was answered lately. While several parts crash upstreams,
/// one that all of them go with has the most incidents.
const MIN_INCIDENTS_IF_ANSWERED: usize = 5;
/// Time after an incident in which other daemons' evidence on it arrives.
const SETTLE_TIME: Millis = Millis(400);
/// Time after an incident in which an answer to a part that was answered lately proves it to be
/// sound: one that begins after the cut, goes on for [`PROOF_TIME`], and is told to the others.
const PROOF_SETTLE_TIME: Millis = Millis(1_000);
/// Age from which an incident, or an answer, no longer counts.
const MAX_EVIDENCE_AGE: Millis = Millis(60_000);
/// Maximum number of incidents that are kept.
const MAX_INCIDENTS: usize = 64;
/// Maximum number of holds at a time, so that a wrong judgement refuses few requests.
const MAX_HOLDS: usize = 16;
/// Maximum number of shared parts of a prompt that are looked at; prompts have a few.
const MAX_PARTS: usize = 16;
/// Maximum number of answered parts that are remembered; a few hundred sessions share all upstreams.
const MAX_ANSWERED: usize = 4_096;
/// Number of incidents of a part from which a daemon that had it answered tells the others, and the
/// time in which it does so once.
const MIN_INCIDENTS_TO_VOUCH: usize = 2;
const VOUCH_INTERVAL: Millis = Millis(5_000);
/// Number of events after which a request no longer counts as having just begun.
pub const MAX_EVENTS: u64 = 2;
/// Time from the first event after which an answer proves its parts to be sound: a part that
/// crashes an upstream does so as the answer begins.
pub const PROOF_TIME: Millis = Millis(300);

/// `Judgement` is a change of what is held, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// Requests that have all of these parts are refused until this time.
    Held {
        /// Identifiers of the parts.
        parts: Vec<u64>,
        /// Number of incidents that have the parts in common, as far as this daemon knows.
        incidents: usize,
        /// End of the hold, unless another incident has the parts.
        until: Millis,
    },
    /// Requests with the part are sent again, since one was answered.
    Released {
        /// Identifier of the part.
        part: u64,
    },
}

/// `Suspect` is a part that some incidents have in common.
struct Suspect {
    part: u64,
    incidents: usize,
    last_cut: Millis,
    is_answered: bool,
    /// Parts that all of its cut requests have in common, itself included.
    common: BTreeSet<u64>,
}

/// `Quarantine` holds the evidence on parts of prompts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    incidents: VecDeque<Incident>,
    holds: Vec<Hold>,
    /// When the latest answered request with a part began to be answered.
    answered: BTreeMap<u64, Millis>,
    /// When any daemon last told the others that a part was answered.
    vouched: BTreeMap<u64, Millis>,
    /// Evidence to be shared, with its time.
    unshared: Vec<(Suspicion, Millis)>,
}

impl Quarantine {
    /// Decides what happens to a request with these shared parts; `draw` orders it among those that
    /// other daemons might send as a trial at the same time.
    pub fn admit(&mut self, now: Millis, shared: &[Part], draw: u64) -> Admission {
        let holds = self.holds.iter_mut().filter(|hold| hold.applies(shared));
        let mut holds = holds.collect::<Vec<_>>();
        let admissions = holds.iter().map(|hold| hold.admission(now));
        let (mut refused, mut waits) = (None, None);
        for admission in admissions {
            match admission {
                Admission::Refused(until) => refused = refused.max(Some(until)),
                Admission::Wait(until) => waits = waits.max(Some(until)),
                Admission::Open | Admission::Trial => {}
            }
        }
        if let Some(until) = refused {
            return Admission::Refused(until);
        }
        if let Some(until) = waits {
            let unclaimed = |hold: &&mut Hold| hold.trial.claimed(now).is_none();
            for hold in holds.into_iter().filter(unclaimed) {
                hold.trial.claim(now, draw);
            }
            return Admission::Wait(until);
        }
        if holds.is_empty() {
            return Admission::Open;
        }
        for hold in &mut holds {
            hold.trial.begin(now);
        }
        Admission::Trial
    }

    /// Records that the connection of an upstream was cut while it began to answer a request with
    /// these shared parts.
    pub fn record_cut(&mut self, now: Millis, upstream: u32, shared: &[Part]) {
        let parts = shared.iter().take(MAX_PARTS).map(|part| part.id);
        let parts = parts.collect::<Vec<_>>();
        self.add_cut(now, now, upstream, &parts);
        let cut = Suspicion::Cut {
            parts,
            upstream,
            age_ms: 0,
        };
        self.unshared.push((cut, now));
    }

    /// Records that an upstream answers requests now, as this daemon or another one has seen.
    ///
    /// A connection is also cut where an answer is lost on its way. On many connections at a time that
    /// looked like crashes with a common cause: the part that most prompts share.
    pub fn record_alive(&mut self, now: Millis, upstream: u32) {
        for incident in &mut self.incidents {
            incident.clear_alive(now, upstream);
        }
        self.incidents.retain(|incident| !incident.is_empty());
    }

    /// Records that a request with these shared parts, to which the answer began at `began`, was
    /// answered; returns the parts that are released by that.
    pub fn record_answer(&mut self, now: Millis, began: Millis, shared: &[Part]) -> Vec<Judgement> {
        let mut released = Vec::new();
        for part in shared.iter().take(MAX_PARTS) {
            if self.add_answer(began, part.id, &mut released) {
                self.vouch(now, part.id, began);
            }
        }
        released
    }

    /// Records what another daemon shares; returns the changes of what is held.
    pub fn learn(&mut self, now: Millis, suspicion: &Suspicion) -> Vec<Judgement> {
        let mut judgements = Vec::new();
        match suspicion {
            Suspicion::Cut {
                parts,
                upstream,
                age_ms,
            } => self.add_cut(now, now - Millis(*age_ms), *upstream, parts),
            Suspicion::Answered { part, age_ms } => {
                self.vouched.insert(*part, now);
                self.add_answer(now - Millis(*age_ms), *part, &mut judgements);
            }
            Suspicion::Held {
                parts,
                age_ms,
                left_ms,
                over_ms,
                period_ms,
            } => {
                let last_cut = now - Millis(*age_ms);
                let is_open = |part: &&u64| {
                    let answered = self.answered.get(*part);
                    answered.is_none_or(|began| *began <= last_cut)
                };
                let hold = Hold {
                    parts: parts.iter().filter(is_open).copied().collect(),
                    until: now + Millis(*left_ms) - Millis(*over_ms),
                    period: Millis(*period_ms),
                    last_cut,
                    trial: Trial::default(),
                };
                judgements.extend(self.take_over(now, hold));
            }
            Suspicion::Claimed {
                parts,
                rank,
                age_ms,
            } => {
                let parts = parts.iter().copied().collect();
                let holds = self.holds.iter_mut().filter(|hold| hold.concerns(&parts));
                for hold in holds {
                    hold.trial.record_claim(now, *rank, now - Millis(*age_ms));
                }
            }
        }
        judgements
    }

    /// Judges the evidence; returns the changes of what is held.
    pub fn judge(&mut self, now: Millis) -> Vec<Judgement> {
        self.forget(now);
        let mut judgements = Vec::new();
        for hold in &mut self.holds {
            let cuts = self.incidents.iter();
            let last = cuts.filter_map(|one| one.cut_at(&hold.parts)).max();
            // What was held before needs one more incident only.
            if let Some(last) = last.filter(|last| *last > hold.last_cut)
                && hold.record_cut(last)
            {
                judgements.push(held(hold, 1));
            }
        }
        self.narrow();
        while self.make_room(now)
            && let Some(suspect) = self.prime_suspect(now)
        {
            let hold = Hold::new(now, suspect.common, suspect.last_cut);
            judgements.push(held(&hold, suspect.incidents));
            self.holds.push(hold);
        }
        judgements
    }

    /// Returns the evidence that was not shared yet and the claims to trials, and with `restates`
    /// what is held, for daemons that have started since.
    pub fn take_unshared(&mut self, now: Millis, restates: bool) -> Vec<Suspicion> {
        let unshared = std::mem::take(&mut self.unshared).into_iter();
        let unshared = unshared.map(|(suspicion, at)| suspicion.aged(now - at));
        let mut statements = unshared.collect::<Vec<_>>();
        let claims = self.holds.iter();
        statements.extend(claims.filter_map(|hold| hold.claim_statement(now)));
        if restates {
            statements.extend(self.holds.iter().map(|hold| hold.statement(now)));
        }
        statements
    }

    /// Returns the part that most incidents have in common which no hold explains, if they are
    /// enough.
    ///
    /// Parts that were never answered go before those that were. Of parts in the same number of
    /// incidents, the one that comes with most others goes first, since refusing requests that have
    /// all of them refuses the fewest.
    fn prime_suspect(&self, now: Millis) -> Option<Suspect> {
        let is_settled = |one: &&Incident| now - one.at >= SETTLE_TIME;
        let explains = |one: &Incident, hold: &Hold| one.cut_at(&hold.parts).is_some();
        let is_open = |one: &&Incident| !self.holds.iter().any(|hold| explains(one, hold));
        let open = self.incidents.iter().filter(is_settled).filter(is_open);
        let open = open.collect::<Vec<_>>();
        let mut counts = BTreeMap::<u64, usize>::new();
        for incident in &open {
            let is_proof_due = now - incident.at >= PROOF_SETTLE_TIME;
            let parts = incident.parts().into_iter();
            for part in parts.filter(|part| is_proof_due || !self.was_answered(now, *part)) {
                *counts.entry(part).or_default() += 1;
            }
        }
        let enough = counts.into_iter().filter(|(part, incidents)| {
            let min = if self.was_answered(now, *part) {
                MIN_INCIDENTS_IF_ANSWERED
            } else {
                MIN_INCIDENTS
            };
            *incidents >= min
        });
        let suspects = enough.map(|(part, incidents)| {
            let requests = open.iter().flat_map(|one| one.requests());
            let requests = requests.filter(|one| one.parts.contains(&part));
            let last_cut = requests.clone().map(|one| one.cut).max();
            let common = requests.map(|one| one.parts.clone());
            let mut common = common.reduce(|common, parts| &common & &parts);
            // A part that was answered lately is no suspect beside one that never was.
            let is_answered = self.was_answered(now, part);
            if let Some(common) = common.as_mut().filter(|_| !is_answered) {
                common.retain(|part| !self.was_answered(now, *part));
            }
            Suspect {
                part,
                incidents,
                last_cut: last_cut.unwrap_or_default(),
                is_answered,
                common: common.unwrap_or_default(),
            }
        });
        suspects.max_by_key(|one| (!one.is_answered, one.incidents, one.common.len(), one.part))
    }

    /// Returns whether a request with a part was answered lately.
    fn was_answered(&self, now: Millis, part: u64) -> bool {
        let answered = self.answered.get(&part);
        answered.is_some_and(|began| now - *began < MAX_EVIDENCE_AGE)
    }

    /// Drops those parts of a hold that fewer incidents have than others of its parts.
    fn narrow(&mut self) {
        for hold in &mut self.holds {
            let count = |part: &u64| self.incidents.iter().filter(|one| one.has(*part)).count();
            let most = hold.parts.iter().map(count).max().unwrap_or_default();
            if most >= MIN_INCIDENTS {
                hold.parts.retain(|part| count(part) == most);
            }
        }
    }

    /// Adds a request to the incident that its cut belongs to.
    fn add_cut(&mut self, now: Millis, cut: Millis, upstream: u32, parts: &[u64]) {
        let is_open = |part: &&u64| self.answered.get(*part).is_none_or(|began| *began < cut);
        let open = parts.iter().take(MAX_PARTS).filter(is_open).copied();
        let request = Request {
            cut,
            upstream,
            parts: open.collect(),
        };
        if request.parts.is_empty() {
            return;
        }
        let known = self.incidents.iter_mut().rev();
        let incident = known.into_iter().find(|one| one.includes(cut, upstream));
        if let Some(incident) = incident {
            incident.add(upstream, request);
        } else {
            if self.incidents.len() == MAX_INCIDENTS {
                self.incidents.pop_front();
            }
            self.incidents.push_back(Incident::new(upstream, request));
        }
        for part in parts.iter().take(MAX_PARTS) {
            let incidents = self.incidents.iter().filter(|one| one.has(*part)).count();
            if let Some(began) = self.answered.get(part).copied()
                && incidents >= MIN_INCIDENTS_TO_VOUCH
            {
                self.vouch(now, *part, began);
            }
        }
    }

    /// Tells the other daemons that a part was answered, unless one has done so just now.
    fn vouch(&mut self, now: Millis, part: u64, began: Millis) {
        let vouched = self.vouched.get(&part);
        if vouched.is_some_and(|vouched| now - *vouched < VOUCH_INTERVAL && began <= *vouched) {
            return;
        }
        self.vouched.insert(part, now);
        let answered = Suspicion::Answered { part, age_ms: 0 };
        self.unshared.push((answered, began));
    }

    /// Clears a part of the incidents up to `began`; returns whether it was in any or is held.
    fn add_answer(&mut self, began: Millis, part: u64, released: &mut Vec<Judgement>) -> bool {
        let answered = self.answered.entry(part).or_insert(began);
        *answered = began.max(*answered);
        if self.answered.len() > MAX_ANSWERED {
            let mut times = self.answered.values().copied().collect::<Vec<_>>();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.answered.retain(|_, began| *began >= median);
        }
        let mut was_suspect = false;
        for incident in &mut self.incidents {
            was_suspect |= incident.clear(began, part);
        }
        for hold in self.holds.iter_mut().filter(|hold| began > hold.last_cut) {
            was_suspect |= hold.parts.remove(&part);
            if hold.parts.is_empty() {
                released.push(Judgement::Released { part });
            }
        }
        self.holds.retain(|hold| !hold.parts.is_empty());
        was_suspect
    }

    /// Takes over a hold that another daemon states, unless it is known here or was forgotten.
    fn take_over(&mut self, now: Millis, stated: Hold) -> Option<Judgement> {
        let is_over = now >= stated.until;
        let includes =
            |known: &Hold| (is_over || now < known.until) && known.parts.is_subset(&stated.parts);
        let is_known = self.holds.iter().any(includes);
        if stated.parts.is_empty() || is_known || stated.is_forgotten(now) {
            return None;
        }
        self.holds.retain(|known| known.parts != stated.parts);
        if !self.make_room(now) {
            return None;
        }
        let count = |one: &&Incident| one.cut_at(&stated.parts).is_some();
        let incidents = self.incidents.iter().filter(count).count();
        let judgement = held(&stated, incidents);
        self.holds.push(stated);
        Some(judgement)
    }

    /// Drops the hold that has been over for longest where there are too many; returns whether there
    /// is room for another.
    fn make_room(&mut self, now: Millis) -> bool {
        if self.holds.len() == MAX_HOLDS {
            let over = self.holds.iter().filter(|hold| now >= hold.until);
            let Some(first) = over.map(|hold| hold.until).min() else {
                return false;
            };
            self.holds.retain(|hold| hold.until != first);
        }
        true
    }

    /// Drops old evidence, and holds that ended long ago.
    fn forget(&mut self, now: Millis) {
        self.incidents
            .retain(|one| now - one.at < MAX_EVIDENCE_AGE && !one.is_empty());
        self.holds.retain(|hold| !hold.is_forgotten(now));
        self.vouched
            .retain(|_, vouched| now - *vouched < MAX_EVIDENCE_AGE);
    }
}

fn held(hold: &Hold, incidents: usize) -> Judgement {
    Judgement::Held {
        parts: hold.parts.iter().copied().collect(),
        incidents,
        until: hold.until,
    }
}
