//! Messages that the broker handles, and its replies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Evacuation;
use cactusglade_core::fleet::Limit;
use cactusglade_core::fleet::Pace;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::link::Connection;
use cactusglade_policy::affinity;
use cactusglade_policy::broker as policy;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Report;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::usage::Counts;
use kameo::Reply;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;

use super::Broker;
use super::evacuation::Origin;
use super::idle::Idle;
use super::idle::MAX_IDLE_CONNECTIONS;

/// `Place` requests an upstream for one attempt to send a request.
#[derive(Debug)]
pub struct Place {
    /// Route of the request.
    pub route: arena::Route,
    /// Organisation that sent the request, where it is known.
    pub organisation: Option<arena::Organisation>,
    /// Prompt of a model request.
    pub prompt: Option<Arc<Prompt>>,
    /// Upstreams to which the request was already sent.
    pub tried: Vec<arena::Upstream>,
    /// Whether this is the first attempt of the request, which is charged to the organisation.
    pub is_first: bool,
    /// Whether an upstream has received the request before, so that this attempt is a retry.
    pub is_retry: bool,
    /// Whether the request may run only once.
    pub runs_once: bool,
    /// Times between which the request may wait; `None` for a retry or a continued stream, which are
    /// sent immediately or refused.
    pub wait: Option<Span>,
}

/// `Span` is the time of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    /// When the daemon received the request.
    pub arrived: Millis,
    /// When the request fails unless it is answered.
    pub deadline: Millis,
}

/// `Placed` is the reply to [`Place`] where the request is not refused.
#[derive(Debug, Reply)]
pub enum Placed {
    /// It is to be sent.
    Now(Placement),
    /// It waits for room at an upstream.
    Later(Later),
}

/// `Later` is a request that waits; dropping it ends the wait.
#[derive(Debug)]
pub struct Later {
    /// Expected wait, where it is known.
    pub expected: Option<Millis>,
    receiver: oneshot::Receiver<Result<Placement, Refused>>,
    broker: ActorRef<Broker>,
    refund: Refund,
}

impl Later {
    /// Creates the caller's end of a wait; `refund` is sent where the caller leaves after the request
    /// was charged.
    pub(super) const fn new(
        receiver: oneshot::Receiver<Result<Placement, Refused>>,
        expected: Option<Millis>,
        broker: ActorRef<Broker>,
        refund: Refund,
    ) -> Self {
        Self {
            expected,
            receiver,
            broker,
            refund,
        }
    }

    /// Waits until the request is to be sent.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
    pub async fn wait(mut self) -> Result<Placement, Refused> {
        let placed = (&mut self.receiver).await;
        // The broker has stopped, so the daemon is stopping.
        placed.unwrap_or_else(|_| Err(Kind::Draining.into()))
    }
}

impl Drop for Later {
    fn drop(&mut self) {
        self.receiver.close();
        let Ok(Ok(placement)) = self.receiver.try_recv() else {
            return;
        };
        let ended = Ended {
            grant: placement.grant,
            events: 0,
            began: None,
            is_cut: false,
            prompt: None,
            report: Report {
                is_good: None,
                is_explained: false,
                is_lost: false,
                latency: None,
            },
            connection: None,
        };
        let (broker, refund) = (self.broker.clone(), self.refund.clone());
        tokio::spawn(async move {
            // Fails only while the daemon stops.
            let _ = broker.tell(ended).await;
            let _ = broker.tell(refund).await;
        });
    }
}

/// `Placement` is the upstream chosen for an attempt.
#[derive(Debug)]
pub struct Placement {
    /// Key of the upstream, and the prompt tokens that it has to process.
    pub grant: Grant,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream.
    pub name: String,
    /// Idle connection to the upstream, where there is one.
    pub connection: Option<Connection>,
    /// Time that the request has waited for room, where it did.
    pub waited: Option<Millis>,
}

/// `Refused` is the error where a request gets no upstream.
#[derive(Clone, Copy, Debug, Reply)]
pub struct Refused {
    /// Kind of the error.
    pub kind: Kind,
    /// Time after which a retry by the caller may succeed.
    pub retry_after: Option<Millis>,
    /// When the request may be sent to see whether the parts of its prompt still crash upstreams,
    /// if it is placed again then.
    pub trial: Option<Millis>,
    /// Why the request was refused.
    pub reason: Option<Reason>,
    /// Whether the request was charged to its organisation's quota.
    pub is_charged: bool,
}

impl From<Kind> for Refused {
    fn from(kind: Kind) -> Self {
        Self {
            kind,
            retry_after: kind.answer().retry_after,
            trial: None,
            reason: Reason::implied(kind),
            is_charged: false,
        }
    }
}

/// `Begun` reports that an upstream has begun to answer.
#[derive(Debug)]
pub struct Begun {
    /// Grant under which the request was sent.
    pub grant: Grant,
    /// Organisation for which the request is counted; `None` where it was counted before.
    pub organisation: Option<arena::Organisation>,
    /// Time from the sending to the first event or the head of the answer.
    pub latency: Millis,
}

/// `Ended` reports the end of an attempt.
#[derive(Debug)]
pub struct Ended {
    /// Grant under which the request was sent.
    pub grant: Grant,
    /// Number of events of the answer that were forwarded to the caller.
    pub events: u64,
    /// When the upstream began to answer.
    pub began: Option<Millis>,
    /// Whether the upstream's connection ended while the upstream had the request.
    pub is_cut: bool,
    /// Prompt of a model request.
    pub prompt: Option<Arc<Prompt>>,
    /// Result of the attempt, by which the upstream is rated.
    pub report: Report,
    /// Connection, where it can be reused, with the idle timeout announced by the upstream.
    pub connection: Option<(Connection, Option<Millis>)>,
}

/// `Retire` reports that an upstream stated in an answer that it is leaving.
#[derive(Clone, Copy, Debug)]
pub struct Retire(pub arena::Upstream);

/// `Spare` reports that an upstream wants no requests from this daemon for some time.
#[derive(Clone, Copy, Debug)]
pub struct Spare {
    /// Key of the upstream.
    pub upstream: arena::Upstream,
    /// The time, from now on.
    pub span: Millis,
}

/// `Refund` returns the quota units charged for a request that did not run.
#[derive(Clone, Debug)]
pub struct Refund {
    /// Organisation that sent the request, where it is known.
    pub organisation: Option<arena::Organisation>,
    /// Prompt of a model request.
    pub prompt: Option<Arc<Prompt>>,
}

/// `Adopt` puts a catalog in force.
#[derive(Debug)]
pub struct Adopt(pub Arc<Catalog>);

/// `Apply` applies entries of the registry.
#[derive(Debug)]
pub struct Apply {
    /// Entries that were written or removed.
    pub changes: Vec<Change>,
    /// Whether these are all entries of the registry, so that those missing were removed.
    pub is_all: bool,
    /// Whether these are the entries of a store that was restored from a copy.
    pub is_restored: bool,
}

/// `Withhold` excludes a version of a service from requests while any other version serves.
#[derive(Clone, Debug)]
pub struct Withhold {
    /// Name of the service.
    pub service: String,
    /// Version to exclude; `None` ends the exclusion.
    pub version: Option<String>,
}

/// `Outage` reports whether the store can be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Whether calls to the store fail.
    pub is_unreachable: bool,
}

/// `Resize` sets the number of daemons, by which quotas and retry budgets are divided.
#[derive(Clone, Debug)]
pub struct Resize {
    /// Number of daemons, this one included.
    pub daemons: u64,
    /// Number of daemons whose heartbeats this one receives, itself included.
    pub reachable: u64,
    /// Time within which a partition is detected.
    pub detection: Millis,
}

/// `Charge` charges the quota units that organisations used at other daemons.
#[derive(Clone, Debug)]
pub struct Charge(pub Totals);

/// `Learn` passes on what other daemons have seen of upstreams.
#[derive(Clone, Debug)]
pub struct Learn(pub Vec<Sighting>);

/// `Meter` requests the [`Statistics`].
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Whether the parts of prompts that are held are to be stated again.
    pub restates_holds: bool,
}

/// `Statistics` is the usage at this daemon since it started.
#[derive(Clone, Debug, Default, Reply)]
pub struct Statistics {
    /// Quota units used by each organisation.
    pub quota_used: Totals,
    /// Work sent to each service, in milliseconds of one upstream's time.
    pub work: Totals,
    /// Number of requests that upstreams began to answer, by window and organisation.
    pub counts: BTreeMap<u64, Counts>,
    /// What this daemon has seen of upstreams since the last call.
    pub sightings: Vec<Sighting>,
    /// What this daemon has found out about parts of prompts since the last call.
    pub suspicions: Vec<Suspicion>,
    /// Limits of upstreams that other daemons are to be told.
    pub limits: Vec<Limit>,
    /// Paces of upstreams that other daemons are to be told.
    pub paces: Vec<Pace>,
    /// Long prompts that other daemons are to be told of.
    pub prefills: Vec<Prefill>,
    /// Evacuations of zones that other daemons are to be told.
    pub evacuations: Vec<Evacuation>,
}

/// `Sweep` drops removed upstreams and expired idle connections.
#[derive(Clone, Copy, Debug)]
pub struct Sweep;

impl Message<Place> for Broker {
    type Reply = Result<Placed, Refused>;

    async fn handle(
        &mut self,
        place: Place,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.clock.now();
        let is_trial = self.check_prompt(now, &place)?;
        let span = place.wait.unwrap_or_default();
        let query = policy::Query {
            route: place.route,
            organisation: place.organisation,
            prompt: place.prompt.as_deref(),
            tried: &place.tried,
            is_retry: place.is_retry,
            arrived: span.arrived,
            deadline: span.deadline,
            draw: rand::random(),
        };
        // A trial that waited would keep other daemons from sending theirs.
        let may_wait = place.wait.is_some() && !is_trial;
        if may_wait && self.policy.admits(&query) {
            return self.admit(now, &place, &query, context.actor_ref());
        }
        self.charge(now, &place)?;
        let grant = self.policy.place(now, &query).map_err(|denied| Refused {
            retry_after: denied.retry_after,
            reason: denied.reason,
            is_charged: place.is_first,
            ..denied.kind.into()
        })?;
        let placement = self.placement(now, grant, place.runs_once);
        placement.map(Placed::Now)
    }
}

impl Message<Retire> for Broker {
    type Reply = ();

    async fn handle(&mut self, retire: Retire, _: &mut Context<Self, ()>) {
        if self.policy.mark_leaving(self.clock.now(), retire.0) {
            self.retire(&[retire.0]);
        }
    }
}

impl Message<Spare> for Broker {
    type Reply = ();

    async fn handle(&mut self, spare: Spare, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.policy.spare(now, spare.upstream, spare.span);
        if let Some(upstream) = self.policy.upstream(spare.upstream) {
            info!(self.log, "upstream_spared"; "upstream" => &upstream.instance.name,
                "service" => &upstream.instance.service, "for_ms" => spare.span.0);
        }
    }
}

impl Message<Refund> for Broker {
    type Reply = ();

    async fn handle(&mut self, refund: Refund, _: &mut Context<Self, ()>) {
        if let Some(organisation) = refund.organisation {
            let units = self.policy.units(organisation, refund.prompt.as_deref());
            self.policy.refund(organisation, units);
        }
    }
}

impl Message<Begun> for Broker {
    type Reply = ();

    async fn handle(&mut self, begun: Begun, _: &mut Context<Self, ()>) {
        self.policy.finish_prefill(&begun.grant);
        self.policy
            .begin_answer(self.clock.now(), &begun.grant, begun.latency);
        let organisation = begun.organisation;
        let catalog = self.policy.catalog();
        if let Some(object) = organisation.and_then(|key| catalog.organisations.get(key)) {
            self.windows
                .record_request(clock::unix_time(), &object.name);
        }
    }
}

impl Message<Ended> for Broker {
    type Reply = ();

    async fn handle(&mut self, ended: Ended, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let key = ended.grant.upstream;
        if ended.began.is_none() {
            self.policy.finish_prefill(&ended.grant);
        }
        self.add_work(
            &ended.grant,
            self.policy.decode_ms(&ended.grant, ended.events),
        );
        if self.policy.finish(now, key, &ended.report, rand::random()) {
            self.log_doubt(key);
        }
        self.record_evidence(now, &ended);
        let is_available = self
            .policy
            .upstream(key)
            .is_some_and(|one| one.is_available(now));
        if let Some((connection, bound)) = ended.connection.filter(|_| is_available) {
            let idle = self.idle.entry(key).or_default();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(Idle::new(connection, now, bound));
            }
        }
        self.advance(now);
    }
}

impl Message<Adopt> for Broker {
    type Reply = ();

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self, ()>) {
        let before = self.policy.catalog().version;
        if self.policy.adopt(self.clock.now(), adopt.0.clone()) {
            info!(self.log, "configuration_in_force"; "version" => adopt.0.version,
                "before" => before, "routes" => adopt.0.routes.len());
            for unservable in self.policy.unservable(&adopt.0) {
                warn!(self.log, "regions_contradictory"; "version" => adopt.0.version,
                    "requests" => unservable);
            }
            let version = i64::try_from(adopt.0.version).unwrap_or(i64::MAX);
            self.metrics.generation.set(version);
            self.catalogs.send_replace(adopt.0);
            self.log_transitions(self.clock.now());
        }
    }
}

impl Message<Apply> for Broker {
    type Reply = ();

    async fn handle(&mut self, apply: Apply, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let leaving = if apply.is_restored {
            self.policy.apply_copy(now, apply.changes)
        } else if apply.is_all {
            self.policy.apply_snapshot(now, apply.changes)
        } else {
            self.policy.apply(now, apply.changes)
        };
        self.retire(&leaving);
        self.log_transitions(now);
    }
}

impl Message<Withhold> for Broker {
    type Reply = ();

    async fn handle(&mut self, withhold: Withhold, _: &mut Context<Self, ()>) {
        info!(self.log, "version_withheld"; "service" => &withhold.service,
            "version" => withhold.version.as_deref().unwrap_or("-"));
        self.policy.withhold(&withhold.service, withhold.version);
    }
}

impl Message<Outage> for Broker {
    type Reply = ();

    async fn handle(&mut self, outage: Outage, _: &mut Context<Self, ()>) {
        self.policy
            .set_store_unreachable(self.clock.now(), outage.is_unreachable);
    }
}

impl Message<Resize> for Broker {
    type Reply = ();

    async fn handle(&mut self, resize: Resize, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.policy
            .set_membership(now, resize.daemons, resize.reachable, resize.detection);
    }
}

impl Message<Charge> for Broker {
    type Reply = ();

    async fn handle(&mut self, charge: Charge, _: &mut Context<Self, ()>) {
        for (organisation, units) in &charge.0 {
            self.policy.charge_remote(*organisation, *units);
        }
    }
}

impl Message<Learn> for Broker {
    type Reply = ();

    async fn handle(&mut self, learn: Learn, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for sighting in &learn.0 {
            if let Some(key) = self.policy.record_sighting(now, sighting) {
                self.log_doubt(key);
            }
        }
    }
}

impl Message<Meter> for Broker {
    type Reply = Statistics;

    async fn handle(&mut self, meter: Meter, _: &mut Context<Self, Statistics>) -> Statistics {
        let now = self.clock.now();
        let changes = self.policy.settle_evacuations(now);
        self.follow_evacuations(&changes, Origin::Restoration);
        let judgements = self.policy.quarantine.judge(now);
        self.log_judgements(&judgements);
        self.policy.check_cold(now);
        self.log_transitions(now);
        let quarantine = &mut self.policy.quarantine;
        let suspicions = quarantine.take_unshared(now, meter.restates_holds);
        let prefills = self.policy.take_prefills(now);
        self.metrics.prefills.told.inc_by(prefills.len() as u64);
        Statistics {
            suspicions,
            quota_used: self.quota_used.clone(),
            work: self.work.clone(),
            counts: self.windows.counts().clone(),
            sightings: self.policy.take_sightings(),
            limits: self.policy.take_limits(now),
            paces: self.policy.take_paces(now),
            prefills,
            evacuations: self.policy.take_evacuations(now),
        }
    }
}

impl Message<Sweep> for Broker {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.policy.remove_expired(now);
        self.record_paces(now);
        self.idle.retain(|_, idle| {
            idle.retain(|one| one.is_alive(now));
            !idle.is_empty()
        });
    }
}

impl Broker {
    /// Charges the first attempt of a request to its organisation's quota.
    fn charge(&mut self, now: Millis, place: &Place) -> Result<(), Refused> {
        let Some(organisation) = place.organisation.filter(|_| place.is_first) else {
            return Ok(());
        };
        let units = self.policy.units(organisation, place.prompt.as_deref());
        let charged = self
            .policy
            .charge(now, organisation, units, place.prompt.is_none());
        charged.map_err(|wait| Refused {
            retry_after: Some(wait),
            ..Kind::LimitExceeded.into()
        })?;
        self.count_units(Some(organisation), place.prompt.as_deref());
        Ok(())
    }

    /// Adds the units of a request that was charged to what its organisation has used.
    pub(super) fn count_units(
        &mut self,
        organisation: Option<arena::Organisation>,
        prompt: Option<&Prompt>,
    ) {
        let Some(key) = organisation else { return };
        let units = self.policy.units(key, prompt);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        if let Some(object) = self.policy.catalog().organisations.get(key) {
            add_total(&mut self.quota_used, &object.name, units as u64);
        }
    }

    /// Counts a grant, and returns it with the address of the upstream and an idle connection.
    pub(super) fn placement(
        &mut self,
        now: Millis,
        grant: Grant,
        runs_once: bool,
    ) -> Result<Placement, Refused> {
        self.add_work(&grant, self.policy.prefill_ms(&grant));
        self.count_attempt(&grant);
        let upstream = self.policy.upstream(grant.upstream);
        let upstream = upstream.ok_or(Refused::from(Kind::NoUpstream))?;
        let (address, name) = (upstream.instance.address, upstream.instance.name.clone());
        Ok(Placement {
            grant,
            address,
            name,
            connection: self.take_idle(now, grant.upstream, runs_once),
            waited: None,
        })
    }

    /// Logs that losses of two daemons have taken an upstream out.
    fn log_doubt(&self, key: arena::Upstream) {
        if let Some(upstream) = self.policy.upstream(key) {
            info!(self.log, "upstream_doubted"; "upstream" => &upstream.instance.name,
                "service" => &upstream.instance.service, "own" => upstream.in_flight);
        }
    }

    /// Adds work to the total of the grant's service, in milliseconds of one upstream's time.
    fn add_work(&mut self, grant: &Grant, work: u64) {
        if let Some(object) = self.policy.catalog().services.get(grant.service) {
            add_total(&mut self.work, &object.name, work);
        }
    }

    /// Removes and returns an idle connection that can carry the request.
    fn take_idle(
        &mut self,
        now: Millis,
        key: arena::Upstream,
        runs_once: bool,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&key)?;
        let position = idle.iter().rposition(|one| one.is_usable(now, runs_once))?;
        Some(idle.remove(position).into_connection())
    }
}

pub(super) fn add_total(totals: &mut Totals, name: &str, count: u64) {
    *totals.entry(affinity::short_hash(name)).or_default() += count;
}
