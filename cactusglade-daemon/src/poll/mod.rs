//! The service that looks at the platform from time to time: head, moves, notices and hosts.

use std::convert::Infallible;
use std::time::Duration;

use cactusglade_core::row::Head;
use cactusglade_core::row::Key;
use cactusglade_core::row::Move;
use cactusglade_core::row::Value;
use cactusglade_core::set::Set;
use cactusglade_core::units::Millis;
use cactusglade_wire::platform as wire;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::config;
use crate::config::Config;
use crate::peer;
use crate::peer::Peer;
use crate::platform::Platform;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;

/// Name of the service.
pub const NAME: &str = "poll";
/// Time that a host in the list as leaving is assumed to have left.
const LISTED_LEAVING: Millis = Millis(5_000);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of the daemon's own host.
    pub host: String,
    /// Time between two looks.
    pub every: Millis,
    /// The platform.
    pub platform: Platform,
    /// The set in force.
    pub sets: watch::Receiver<Arc<Set>>,
    /// The configuration service.
    pub config: ActorRef<Config>,
    /// The peer service.
    pub peer: ActorRef<Peer>,
    /// Told when the daemon's own host is taken back, with the Unix time when it is gone.
    pub own_notice: mpsc::Sender<Millis>,
    /// The daemon's clock.
    pub clock: Clock,
}

/// `Poll` looks at the platform.
#[derive(Debug)]
pub struct Poll {
    options: Options,
    answered: Option<Millis>,
}

/// `Age` asks how long ago the platform last answered.
#[derive(Clone, Copy, Debug)]
pub struct Age;

struct Look;

impl Actor for Poll {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let every = Duration::from_millis(options.every.0);
        tokio::spawn(tick(actor.downgrade(), every));
        Ok(Self {
            options,
            answered: None,
        })
    }
}

/// Asks for a look whenever the one before is over and the time has passed.
async fn tick(actor: WeakActorRef<Poll>, every: Duration) {
    loop {
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Look).await.is_err() {
            return;
        }
        drop(actor);
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(every.mul_f64(jitter)).await;
    }
}

impl Message<Look> for Poll {
    type Reply = ();

    async fn handle(&mut self, _: Look, _: &mut Context<Self, ()>) {
        let platform = self.options.platform.clone();
        let (rows, notices, hosts) = tokio::join!(
            platform.read(&[wire::HEAD_KEY], &[wire::MOVE_PREFIX]),
            platform.notices(),
            platform.hosts(),
        );
        if let Ok(rows) = rows {
            self.answered = Some(self.options.clock.now());
            self.rows(rows).await;
        }
        let mut leaving = notices.unwrap_or_default();
        let hosts = hosts.unwrap_or_default();
        let gone = clock::unix_time() + LISTED_LEAVING;
        for host in hosts.iter().filter(|host| host.leaving) {
            let name = host.name.clone();
            leaving.push(wire::Notice {
                host: name,
                gone_unix_ms: gone.0,
            });
        }
        self.leaving(&leaving).await;
        let peers = hosts
            .iter()
            .filter_map(|host| host.peers.as_ref()?.parse().ok())
            .collect();
        // The peer service ends before this one only when the daemon does.
        let _ = self.options.peer.tell(peer::Hosts(peers)).await;
    }
}

impl Message<Age> for Poll {
    type Reply = Option<u64>;

    async fn handle(&mut self, _: Age, _: &mut Context<Self, Option<u64>>) -> Option<u64> {
        let now = self.options.clock.now();
        self.answered.map(|answered| (now - answered).0)
    }
}

impl Poll {
    async fn rows(&mut self, mut rows: BTreeMap<String, serde_json::Value>) {
        let head = rows.remove(wire::HEAD_KEY);
        if let Some(head) = head.and_then(|head| serde_json::from_value::<Head>(head).ok()) {
            let announce = config::Announce {
                head,
                from_store: true,
                peers: Vec::new(),
            };
            let _ = self.options.config.tell(announce).await;
        }
        let moves = rows.into_iter().filter_map(|(key, row)| {
            let name = key
                .strip_prefix(wire::MOVE_PREFIX)?
                .split('/')
                .next()?
                .to_owned();
            let row = serde_json::from_value::<Move>(row).ok()?;
            Some((Key::Move(name, row.deadline_unix_ms), Value::Move(row)))
        });
        let moves = moves.collect::<Vec<_>>();
        if !moves.is_empty() {
            let _ = self.options.peer.tell(peer::Spread(moves)).await;
        }
    }

    async fn leaving(&self, notices: &[wire::Notice]) {
        let set = self.options.sets.borrow().clone();
        let mut rows = Vec::new();
        for notice in notices {
            let gone = Millis(notice.gone_unix_ms);
            if notice.host == self.options.host {
                // A full channel means that the daemon knows already.
                let _ = self.options.own_notice.try_send(gone);
            }
            let upstreams = set
                .upstreams
                .iter()
                .filter(|(_, u)| u.meta.host == notice.host);
            rows.extend(upstreams.map(|(_, upstream)| {
                let key = Key::Leaving(upstream.name.clone(), upstream.meta.incarnation);
                (key, Value::Leaving(gone))
            }));
        }
        if !rows.is_empty() {
            let _ = self.options.peer.tell(peer::Spread(rows)).await;
        }
    }
}
