//! The service that activates published generations of the object set, in rising order only.

pub mod fetch;
pub mod messages;

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;

use cactusglade_core::meta::Document;
use cactusglade_core::row::Head;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::set::Set;
use cactusglade_core::units::Generation;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Recipient;
use kameo::message::Context;
use kameo::message::Message;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::watch;

pub use messages::Announce;
pub use messages::Joined;
pub use messages::Snapshot;
pub use messages::Subscribe;

use crate::dispatch::Dispatch;
use crate::dispatch::messages::Adopt;
use crate::metrics::Metrics;
use crate::peer::messages::Gossip;
use crate::platform::Platform;

/// Name of the service.
pub const NAME: &str = "config";

/// `Options` holds the dependencies of the service.
#[derive(Debug)]
pub struct Options {
    /// The platform.
    pub platform: Platform,
    /// Local address of connections to peers.
    pub local_address: IpAddr,
    /// Channel that publishes the active object set to the other services.
    pub sets: watch::Sender<Arc<Set>>,
    /// The dispatch service, which adopts a set before it is published.
    pub dispatch: ActorRef<Dispatch>,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Config` owns the active generation.
#[derive(Debug)]
pub struct Config {
    options: Options,
    gossip: Option<Recipient<Gossip>>,
    head: Head,
    document: Arc<Document>,
    snapshot: String,
    fetching: Option<Generation>,
    /// Whether the first exchange with a peer has succeeded, or none did in time.
    joined: bool,
    /// Head read from the store before `joined`, to be announced then.
    deferred_head: Option<Head>,
}

struct Fetched {
    head: Head,
    result: fetch::Result<fetch::Fetched>,
}

impl Actor for Config {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            options,
            gossip: None,
            head: Head::default(),
            document: Arc::default(),
            snapshot: String::new(),
            fetching: None,
            joined: false,
            deferred_head: None,
        })
    }
}

impl Message<Subscribe> for Config {
    type Reply = ();

    async fn handle(&mut self, subscribe: Subscribe, _: &mut Context<Self, ()>) {
        self.gossip = Some(subscribe.0);
    }
}

impl Message<Joined> for Config {
    type Reply = ();

    async fn handle(&mut self, _: Joined, context: &mut Context<Self, ()>) {
        self.joined = true;
        if let Some(head) = self.deferred_head.take() {
            let announce = Announce {
                head,
                from_store: true,
                peers: Vec::new(),
            };
            self.fetch(announce, context);
        }
    }
}

impl Message<Announce> for Config {
    type Reply = ();

    async fn handle(&mut self, announce: Announce, context: &mut Context<Self, ()>) {
        if announce.from_store && !self.joined {
            // The store may return an outdated head, which a new process can't detect by itself.
            self.deferred_head = Some(announce.head);
            return;
        }
        self.fetch(announce, context);
    }
}

impl Config {
    /// Fetches the document of a head if its generation is above the active one.
    fn fetch(&mut self, announce: Announce, context: &Context<Self, ()>) {
        let (seen, active) = (announce.head.generation, self.head.generation);
        if seen < active && announce.from_store {
            self.options.metrics.older_heads.inc();
            warn!(self.options.log, "older_head"; "seen" => seen.0, "in_force" => active.0);
        }
        if seen == active && seen != Generation(0) && announce.head.digest != self.head.digest {
            error!(self.options.log, "head_contradiction"; "generation" => seen.0);
        }
        if seen <= active || self.fetching.is_some_and(|fetching| fetching >= seen) {
            return;
        }
        self.fetching = Some(seen);
        let source = fetch::Source {
            platform: self.options.platform.clone(),
            local_address: self.options.local_address,
            peers: announce.peers,
            document: (active.next() == seen).then(|| self.document.clone()),
        };
        let head = announce.head;
        context.pipe(async move {
            let result = source.fetch(&head).await;
            Fetched { head, result }
        });
    }
}

impl Message<Fetched> for Config {
    type Reply = ();

    async fn handle(&mut self, fetched: Fetched, _: &mut Context<Self, ()>) {
        let Fetched { head, result } = fetched;
        if self.fetching == Some(head.generation) {
            self.fetching = None;
        }
        if head.generation <= self.head.generation {
            return;
        }
        let log = self.options.log.clone();
        match result {
            Ok(fetched) => self.adopt(head, fetched).await,
            // The next announcement retries the fetch.
            Err(reason) => {
                self.options.metrics.failed_fetches.inc();
                warn!(log, "fetch_failed"; "generation" => head.generation.0, "reason" => %reason);
            }
        }
    }
}

impl Message<Snapshot> for Config {
    type Reply = Option<String>;

    async fn handle(
        &mut self,
        request: Snapshot,
        _: &mut Context<Self, Option<String>>,
    ) -> Option<String> {
        (request.0 == self.head.generation && request.0 != Generation(0))
            .then(|| self.snapshot.clone())
    }
}

impl Config {
    async fn adopt(&mut self, head: Head, fetched: fetch::Fetched) {
        let before = self.options.sets.borrow().clone();
        let set = match Set::try_new(&fetched.document, head.generation, &before) {
            Ok(set) => Arc::new(set),
            Err(problems) => {
                self.options.metrics.refused_sets.inc();
                error!(self.options.log, "set_refused";
                    "generation" => head.generation.0, "problems" => problems.len());
                return;
            }
        };
        assert!(
            set.generation > before.generation,
            "a new object set must have a greater generation than the active one"
        );
        // The dispatch service ends before this one only when the daemon stops.
        let _ = self.options.dispatch.ask(Adopt(set.clone())).await;
        self.options.sets.send_replace(set);
        let generation = head.generation.0;
        self.options
            .metrics
            .generation
            .set(i64::try_from(generation).unwrap_or(i64::MAX));
        info!(self.options.log, "generation_in_force";
            "generation" => generation, "digest" => &head.digest);
        self.head = head.clone();
        self.document = Arc::new(fetched.document);
        self.snapshot = fetched.snapshot;
        if let Some(gossip) = &self.gossip {
            let rows = vec![(Key::Head, Value::Head(head))];
            let _ = gossip.tell(Gossip(rows)).try_send();
        }
    }
}
