//! What the broker is told and asked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Change;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::link::Connection;
use cactusglade_policy::affinity;
use cactusglade_policy::broker as policy;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Report;
use cactusglade_policy::capacity::Zone;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::usage::Counts;
use cactusglade_wire::port::Load;
use kameo::Reply;
use kameo::message::Context;
use kameo::message::Message;
use slog::info;

use super::Broker;
use super::idle::Idle;
use super::idle::MAX_IDLE;

/// `Place` asks for an upstream for one sending.
#[derive(Debug)]
pub struct Place {
    /// Route of the request.
    pub route: arena::Route,
    /// Organisation that sent it, where one is known.
    pub organisation: Option<arena::Organisation>,
    /// Its prompt, for a model request.
    pub prompt: Option<Arc<Prompt>>,
    /// Upstreams that were tried already.
    pub tried: Vec<arena::Upstream>,
    /// Whether this is the request's first sending, which is charged to its organisation.
    pub is_first: bool,
    /// Whether this sending is one beyond the first that arrived.
    pub is_repeat: bool,
    /// Whether the request may run only once.
    pub once: bool,
}

/// `Placed` is all that a sending needs.
#[derive(Debug)]
pub struct Placed {
    /// The upstream and what it has to read.
    pub grant: Grant,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream.
    pub name: String,
    /// An idle connection to it, if there is one.
    pub connection: Option<Connection>,
}

/// `Refused` says why there is no upstream for a request.
#[derive(Clone, Copy, Debug, Reply)]
pub struct Refused {
    /// Kind of the error.
    pub kind: Kind,
    /// Time after which coming back may help.
    pub retry_after: Option<Millis>,
}

/// `Begun` says that an upstream has begun to answer.
#[derive(Debug)]
pub struct Begun {
    /// The upstream and what it had to read.
    pub grant: Grant,
    /// Organisation to count the request for, where it began to run for the first time.
    pub organisation: Option<arena::Organisation>,
}

/// `Ended` says that a sending has ended.
#[derive(Debug)]
pub struct Ended {
    /// The upstream and what it had to read.
    pub grant: Grant,
    /// Whether it had begun to answer.
    pub has_begun: bool,
    /// Events of its answer that were passed on.
    pub events: u64,
    /// What it showed of the upstream.
    pub report: Report,
    /// The connection, if it can be used again, and for how long the upstream keeps it.
    pub connection: Option<(Connection, Option<Millis>)>,
}

/// `Heard` passes on what an upstream said of its load.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// The upstream.
    pub upstream: arena::Upstream,
    /// What it said.
    pub load: Load,
}

/// `Refund` gives an organisation back what a request was charged that did not run.
#[derive(Clone, Debug)]
pub struct Refund {
    /// Organisation that sent it, where one is known.
    pub organisation: Option<arena::Organisation>,
    /// Its prompt, for a model request.
    pub prompt: Option<Arc<Prompt>>,
}

/// `Adopt` puts a catalog in force.
#[derive(Debug)]
pub struct Adopt(pub Arc<Catalog>);

/// `Learn` passes entries of the registry on.
#[derive(Debug)]
pub struct Learn {
    /// The entries.
    pub changes: Vec<Change>,
    /// Whether these are all entries that there are.
    pub is_all: bool,
}

/// `Withhold` keeps requests from a version of a service, or lifts that again.
#[derive(Clone, Debug)]
pub struct Withhold {
    /// Name of the service.
    pub service: String,
    /// The version, nothing to lift it.
    pub version: Option<String>,
}

/// `Store` says whether the store can be reached.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Whether it can't.
    pub is_lost: bool,
}

/// `Share` says how many daemons there are and what those that are heard have let in.
#[derive(Clone, Debug)]
pub struct Share {
    /// Number of daemons.
    pub daemons: u64,
    /// Number of those that hear each other here.
    pub heard: u64,
}

/// `Charge` passes on what another daemon let organisations use.
#[derive(Clone, Debug)]
pub struct Charge(pub Totals);

/// `Stand` asks how things stand.
#[derive(Clone, Copy, Debug)]
pub struct Stand;

/// `Standing` is what the broker tells other services.
#[derive(Clone, Debug, Default, Reply)]
pub struct Standing {
    /// Upstreams that stay, by service and zone.
    pub staying: BTreeMap<String, BTreeMap<String, Zone>>,
}

/// `Spent` asks for what was spent since the start.
#[derive(Clone, Copy, Debug)]
pub struct Spent;

/// `Expense` is what was spent since the start.
#[derive(Clone, Debug, Default, Reply)]
pub struct Expense {
    /// Units that each organisation was let use.
    pub spent: Totals,
    /// Work that each service was sent, in milliseconds of one upstream.
    pub work: Totals,
    /// Requests that began, by window and organisation.
    pub windows: BTreeMap<u64, Counts>,
}

/// `Sweep` forgets what is over.
#[derive(Clone, Copy, Debug)]
pub struct Sweep;

impl Message<Place> for Broker {
    type Reply = Result<Placed, Refused>;

    async fn handle(&mut self, place: Place, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now();
        self.charge(now, &place)?;
        let ask = policy::Query {
            route: place.route,
            prompt: place.prompt.as_deref(),
            tried: &place.tried,
            is_retry: place.is_repeat,
            draw: rand::random(),
        };
        let grant = self.policy.place(now, &ask).map_err(|kind| Refused {
            kind,
            retry_after: kind.answer().retry_after,
        })?;
        self.count(&grant, self.policy.prefill_ms(&grant));
        let upstream = self.policy.upstream(grant.upstream).ok_or(Refused {
            kind: Kind::NoUpstream,
            retry_after: None,
        })?;
        let (address, name) = (upstream.instance.address, upstream.instance.name.clone());
        Ok(Placed {
            grant,
            address,
            name,
            connection: self.take(now, grant.upstream, place.once),
        })
    }
}

impl Message<Heard> for Broker {
    type Reply = ();

    async fn handle(&mut self, heard: Heard, _: &mut Context<Self, ()>) {
        let Load {
            running, waiting, ..
        } = heard.load;
        let now = self.clock.now();
        self.policy
            .record_load(now, heard.upstream, running, waiting);
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
        if !ended.has_begun {
            self.policy.finish_prefill(&ended.grant);
        }
        self.count(
            &ended.grant,
            self.policy.decode_ms(&ended.grant, ended.events),
        );
        self.policy.finish(now, key, &ended.report, rand::random());
        let stays = self
            .policy
            .upstream(key)
            .is_some_and(|one| one.is_available(now));
        if let Some((connection, bound)) = ended.connection.filter(|_| stays) {
            let idle = self.idle.entry(key).or_default();
            if idle.len() < MAX_IDLE {
                idle.push(Idle::new(connection, now, bound));
            }
        }
    }
}

impl Message<Adopt> for Broker {
    type Reply = ();

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self, ()>) {
        let before = self.policy.catalog().version;
        if self.policy.adopt(self.clock.now(), adopt.0.clone()) {
            info!(self.log, "configuration_in_force"; "version" => adopt.0.version,
                "before" => before, "routes" => adopt.0.routes.len());
            let version = i64::try_from(adopt.0.version).unwrap_or(i64::MAX);
            self.metrics.generation.set(version);
            self.catalogs.send_replace(adopt.0);
        }
    }
}

impl Message<Learn> for Broker {
    type Reply = ();

    async fn handle(&mut self, learn: Learn, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let leaving = if learn.is_all {
            self.policy.apply_snapshot(now, learn.changes)
        } else {
            self.policy.apply(now, learn.changes)
        };
        self.announce(&leaving);
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

impl Message<Store> for Broker {
    type Reply = ();

    async fn handle(&mut self, store: Store, _: &mut Context<Self, ()>) {
        self.policy
            .set_store_unreachable(self.clock.now(), store.is_lost);
    }
}

impl Message<Share> for Broker {
    type Reply = ();

    async fn handle(&mut self, share: Share, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.policy.set_membership(now, share.daemons, share.heard);
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

impl Message<Stand> for Broker {
    type Reply = Standing;

    async fn handle(&mut self, _: Stand, _: &mut Context<Self, Standing>) -> Standing {
        let now = self.clock.now();
        let mut staying: BTreeMap<String, BTreeMap<String, Zone>> = BTreeMap::new();
        for (_, upstream) in self
            .policy
            .upstreams()
            .filter(|(_, one)| one.is_available(now))
        {
            let instance = &upstream.instance;
            let zones = staying.entry(instance.service.clone()).or_default();
            let zone = zones.entry(instance.zone.clone()).or_default();
            if instance.reclaimable {
                zone.reclaimable += 1;
            } else {
                zone.on_demand += 1;
            }
        }
        Standing { staying }
    }
}

impl Message<Spent> for Broker {
    type Reply = Expense;

    async fn handle(&mut self, _: Spent, _: &mut Context<Self, Expense>) -> Expense {
        Expense {
            spent: self.spent.clone(),
            work: self.work.clone(),
            windows: self.windows.counts().clone(),
        }
    }
}

impl Message<Sweep> for Broker {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.policy.remove_expired(now);
        self.idle.retain(|_, idle| {
            idle.retain(|one| one.is_kept(now));
            !idle.is_empty()
        });
    }
}

impl Broker {
    /// Charges a request to its organisation when it is first sent.
    fn charge(&mut self, now: Millis, place: &Place) -> Result<(), Refused> {
        let Some(organisation) = place.organisation.filter(|_| place.is_first) else {
            return Ok(());
        };
        let units = self.policy.units(organisation, place.prompt.as_deref());
        let charged = self
            .policy
            .charge(now, organisation, units, place.prompt.is_none());
        charged.map_err(|wait| Refused {
            kind: Kind::LimitExceeded,
            retry_after: Some(wait),
        })?;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        if let Some(object) = self.policy.catalog().organisations.get(organisation) {
            add(&mut self.spent, &object.name, units as u64);
        }
        Ok(())
    }

    /// Adds up the work that a service is sent.
    fn count(&mut self, grant: &Grant, work: u64) {
        if let Some(object) = self.policy.catalog().services.get(grant.service) {
            add(&mut self.work, &object.name, work);
        }
    }

    fn take(&mut self, now: Millis, key: arena::Upstream, once: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(&key)?;
        let place = idle.iter().rposition(|one| one.is_good(now, once))?;
        Some(idle.remove(place).into_connection())
    }
}

fn add(totals: &mut Totals, name: &str, count: u64) {
    *totals.entry(affinity::short_hash(name)).or_default() += count;
}
