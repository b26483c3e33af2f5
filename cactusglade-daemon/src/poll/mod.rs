//! The service that polls the platform for the head, rollouts, reclaim notices and hosts.

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
/// Assumed time until the reclaim of a host that the platform's list shows as leaving.
const ASSUMED_TIME_LEFT: Millis = Millis(5_000);

/// `Options` holds the settings and dependencies of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of the daemon's own host.
    pub host: String,
    /// Mean pause between two polls.
    pub interval: Millis,
    /// The platform.
    pub platform: Platform,
    /// The active object set.
    pub sets: watch::Receiver<Arc<Set>>,
    /// The configuration service.
    pub config: ActorRef<Config>,
    /// The peer service.
    pub peer: ActorRef<Peer>,
    /// Receives the Unix time at which the daemon's own host is gone, once it is to be reclaimed.
    pub own_notice: mpsc::Sender<Millis>,
    /// The daemon's clock.
    pub clock: Clock,
}

/// `Poll` polls the platform and passes what it reads to the other services.
#[derive(Debug)]
pub struct Poll {
    options: Options,
    last_answer: Option<Millis>,
}

/// `AnswerAge` requests the time since the platform's last answer, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct AnswerAge;

struct Tick;

impl Actor for Poll {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let interval = Duration::from_millis(options.interval.0);
        tokio::spawn(tick(actor.downgrade(), interval));
        Ok(Self {
            options,
            last_answer: None,
        })
    }
}

/// Triggers a poll at an interval with jitter after the end of the previous poll.
async fn tick(actor: WeakActorRef<Poll>, interval: Duration) {
    loop {
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Tick).await.is_err() {
            return;
        }
        drop(actor);
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

impl Message<Tick> for Poll {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let platform = self.options.platform.clone();
        let (rows, notices, hosts) = tokio::join!(
            platform.read(&[wire::HEAD_KEY], &[wire::MOVE_PREFIX]),
            platform.notices(),
            platform.hosts(),
        );
        if let Ok(rows) = rows {
            self.last_answer = Some(self.options.clock.now());
            self.handle_rows(rows).await;
        }
        let mut leaving = notices.unwrap_or_default();
        let hosts = hosts.unwrap_or_default();
        let gone = clock::unix_time() + ASSUMED_TIME_LEFT;
        for host in hosts.iter().filter(|host| host.leaving) {
            let name = host.name.clone();
            leaving.push(wire::Notice {
                host: name,
                gone_unix_ms: gone.0,
            });
        }
        self.handle_notices(&leaving).await;
        let peers = hosts
            .iter()
            .filter_map(|host| host.peers.as_ref()?.parse().ok())
            .collect();
        // The peer service ends before this one only when the daemon stops.
        let _ = self.options.peer.tell(peer::Hosts(peers)).await;
    }
}

impl Message<AnswerAge> for Poll {
    type Reply = Option<u64>;

    async fn handle(&mut self, _: AnswerAge, _: &mut Context<Self, Option<u64>>) -> Option<u64> {
        let now = self.options.clock.now();
        self.last_answer.map(|last_answer| (now - last_answer).0)
    }
}

impl Poll {
    async fn handle_rows(&mut self, mut rows: BTreeMap<String, serde_json::Value>) {
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
            let _ = self.options.peer.tell(peer::Gossip(moves)).await;
        }
    }

    async fn handle_notices(&self, notices: &[wire::Notice]) {
        let set = self.options.sets.borrow().clone();
        let mut rows = Vec::new();
        for notice in notices {
            let gone = Millis(notice.gone_unix_ms);
            if notice.host == self.options.host {
                // A full channel means that the daemon has already been notified.
                let _ = self.options.own_notice.try_send(gone);
            }
            let upstreams = set
                .upstreams
                .iter()
                .filter(|(_, upstream)| upstream.meta.host == notice.host);
            rows.extend(upstreams.map(|(_, upstream)| {
                let key = Key::Leaving(upstream.name.clone(), upstream.meta.incarnation);
                (key, Value::Leaving(gone))
            }));
        }
        if !rows.is_empty() {
            let _ = self.options.peer.tell(peer::Gossip(rows)).await;
        }
    }
}
