//! How daemons find each other: each keeps a row in the store with its address and zone.

use std::net::SocketAddr;
use std::time::Duration;

use cactusglade_wire::port::Store;
use cactusglade_wire::port::Write;
use kameo::actor::ActorRef;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::warn;

use super::Mesh;
use super::messages::Members;

const TABLE: &str = "members";
/// Pause after a look that failed, or before the own row is written.
const SOON: Duration = Duration::from_millis(500);
/// First and longest pause between two looks. A daemon writes its row before it looks, so that of
/// two that start together one sees the other and greets it; looks after the first make up for
/// greetings that were lost.
const PAUSES: std::ops::Range<Duration> = Duration::from_secs(8)..Duration::from_secs(64);
/// Growth of the pause.
const FACTOR: u32 = 4;

#[derive(Debug, Deserialize, Serialize)]
struct Member {
    address: SocketAddr,
    zone: String,
}

/// Keeps this daemon's row in the store and tells the mesh of the others', until the mesh ends.
pub async fn find<S: Store>(
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
    let mut next = PAUSES.start;
    let mut is_written = false;
    loop {
        let mut pause = SOON;
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
            Ok(rows) => {
                let members = rows.into_iter().filter_map(|row| {
                    let member: Member = serde_json::from_slice(&row.value).ok()?;
                    Some((member.address, member.zone))
                });
                let Some(mesh) = mesh.upgrade() else { return };
                if mesh.tell(Members(members.collect())).await.is_err() {
                    return;
                }
                if is_written {
                    pause = next;
                    next = (next * FACTOR).min(PAUSES.end);
                }
            }
            Err(error) => warn!(log, "members_unread"; "reason" => %error),
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}
