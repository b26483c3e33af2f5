//! Discovery of daemons through the store, where each daemon keeps a row with its address and zone.

use std::net::SocketAddr;
use std::time::Duration;

use cactusglade_core::units::Millis;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Write;
use kameo::actor::ActorRef;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;

use super::Mesh;
use super::messages::Members;
use super::messages::ReadsMembers;
use crate::edge::broker;

const TABLE: &str = "members";
/// Pause before the next attempt while this daemon's row is not written or the table can't be read.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// First and longest pause between two reads of the table.
///
/// A daemon writes its row before it reads the table, so that of two daemons that start together at
/// least one finds the other and sends it heartbeats. Later reads make up for heartbeats that were
/// lost; the relay makes them for its zone, and so does a daemon that no other one reaches.
const READ_PAUSES: std::ops::Range<Duration> = Duration::from_secs(8)..Duration::from_secs(64);
/// Factor by which the pause grows after each read.
const PAUSE_FACTOR: u32 = 4;

#[derive(Debug, Deserialize, Serialize)]
struct Member {
    address: SocketAddr,
    zone: String,
}

/// Writes this daemon's row to the store and passes all daemons' rows to the mesh, until the mesh
/// stops.
pub async fn discover<S: Store>(
    store: S,
    mesh: ActorRef<Mesh>,
    name: String,
    own: (SocketAddr, String),
    log: Logger,
) {
    let mesh = mesh.downgrade();
    let member = Member {
        address: own.0,
        zone: own.1,
    };
    let Ok(value) = serde_json::to_vec(&member) else {
        return;
    };
    let mut next_pause = READ_PAUSES.start;
    let (mut is_written, mut is_read) = (false, false);
    loop {
        if is_read {
            let Some(mesh) = mesh.upgrade() else { return };
            match mesh.ask(ReadsMembers).await {
                Ok(true) => {}
                Ok(false) => {
                    tokio::time::sleep(next_pause).await;
                    continue;
                }
                Err(_) => return,
            }
        }
        let mut pause = RETRY_PAUSE;
        if !is_written {
            let write = Write {
                table: TABLE,
                key: name.clone(),
                expect: None,
                value: value.clone(),
            };
            is_written = store.commit(vec![write]).await.is_ok();
        }
        match store.rows(TABLE).await {
            Ok(table) => {
                let members = table.rows.into_iter().filter_map(|row| {
                    let member: Member = serde_json::from_slice(&row.value).ok()?;
                    Some((member.address, member.zone))
                });
                let Some(mesh) = mesh.upgrade() else { return };
                if mesh.tell(Members(members.collect())).await.is_err() {
                    return;
                }
                if is_written {
                    is_read = true;
                    pause = next_pause;
                    next_pause = (next_pause * PAUSE_FACTOR).min(READ_PAUSES.end);
                }
            }
            Err(error) => warn!(log, "members_unread"; "reason" => %error),
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

impl Mesh {
    /// Notifies the broker when daemons come, leave or lose touch.
    pub(super) async fn report_fleet(&mut self, now: Millis) {
        let layout = self.roster.layout(now);
        if self.layout.as_ref() != Some(&layout) {
            self.layout = Some(layout.clone());
            // Fails only while the daemon stops.
            let _ = self.broker.tell(broker::Rearrange(layout)).await;
        }
        let reachable = self.roster.reachable(now);
        // Before the first heartbeat of another daemon, the fleet is as large as the list says.
        let daemons = match self.roster.count() {
            1 => self.roster.listed(),
            heard => heard,
        };
        // A daemon that no other one reaches and that knows no list is not the only one.
        if (daemons, reachable) == (self.daemons, self.reachable) || daemons == 1 {
            return;
        }
        info!(self.log, "fleet_changed"; "daemons" => daemons, "heard" => reachable,
            "daemons_before" => self.daemons, "heard_before" => self.reachable);
        (self.daemons, self.reachable) = (daemons, reachable);
        let _ = self
            .broker
            .tell(broker::Resize {
                daemons,
                reachable,
                detection: self.roster.detection_time(),
            })
            .await;
    }
}
