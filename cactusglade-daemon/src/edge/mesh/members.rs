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
use tokio::sync::watch;

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
/// Time within which all daemons write their rows again after the store was restored.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);
/// Factor by which the pause grows after each read.
const PAUSE_FACTOR: u32 = 4;

#[derive(Debug, Deserialize, Serialize)]
struct Member {
    address: SocketAddr,
    zone: String,
}

/// `Discovery` writes this daemon's row to the store and passes all daemons' rows to the mesh.
#[derive(Debug)]
pub struct Discovery<S> {
    /// Store of the rows.
    pub store: S,
    /// Name of this daemon.
    pub name: String,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Availability zone of this daemon.
    pub zone: String,
    /// Era of the store after it was last restored from a copy, which may lack the row.
    pub eras: watch::Receiver<u64>,
    /// Log of the daemon.
    pub log: Logger,
}

impl<S: Store> Discovery<S> {
    /// Runs until the mesh stops.
    pub async fn run(mut self, mesh: ActorRef<Mesh>) {
        let mesh = mesh.downgrade();
        let mut next_pause = READ_PAUSES.start;
        let (mut is_written, mut is_read) = (false, false);
        loop {
            if self.eras.has_changed().unwrap_or(false) {
                self.eras.mark_unchanged();
                is_written = false;
            }
            if is_read && is_written {
                let Some(mesh) = mesh.upgrade() else { return };
                match mesh.ask(ReadsMembers).await {
                    Ok(true) => {}
                    Ok(false) => {
                        self.pause(next_pause).await;
                        continue;
                    }
                    Err(_) => return,
                }
            }
            let mut pause = RETRY_PAUSE;
            if !is_written {
                is_written = self.write().await;
            }
            match self.store.rows(TABLE).await {
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
                Err(error) => warn!(self.log, "members_unread"; "reason" => %error),
            }
            self.pause(pause.mul_f64(rand::random_range(0.8..1.2)))
                .await;
        }
    }

    /// Writes this daemon's row; returns whether that succeeded.
    async fn write(&self) -> bool {
        let member = Member {
            address: self.address,
            zone: self.zone.clone(),
        };
        let Ok(value) = serde_json::to_vec(&member) else {
            return false;
        };
        let write = Write {
            table: TABLE,
            key: self.name.clone(),
            expect: None,
            value,
        };
        let written = self.store.commit(vec![write]).await;
        if let Err(error) = &written {
            warn!(self.log, "member_unwritten"; "reason" => %error);
        }
        written.is_ok()
    }

    /// Waits for a time, or for a random part of [`RESTORE_SPREAD`] after the store was restored.
    async fn pause(&mut self, span: Duration) {
        let restored = async {
            if self.eras.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = tokio::time::sleep(span) => {}
            () = restored => {
                self.eras.mark_changed();
                tokio::time::sleep(RESTORE_SPREAD.mul_f64(rand::random())).await;
            }
        }
    }
}

impl Mesh {
    /// Returns the number of daemons. Before the first heartbeat of another one, the fleet is as large as
    /// the list in the store says.
    pub(super) fn fleet_size(&self) -> u64 {
        match self.roster.count() {
            1 => self.roster.listed(),
            heard => heard,
        }
    }

    /// Notifies the broker when daemons come, leave or lose touch.
    pub(super) async fn report_fleet(&mut self, now: Millis) {
        let layout = self.roster.layout(now);
        if self.layout.as_ref() != Some(&layout) {
            self.layout = Some(layout.clone());
            // Fails only while the daemon stops.
            let _ = self.broker.tell(broker::Rearrange(layout)).await;
        }
        let reachable = self.roster.reachable(now);
        let daemons = self.fleet_size();
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
