//! The configuration allows longer heads of requests, and clients with open connections use that.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::http::Connection;
use crate::scene;
use crate::scene::Route;
use crate::scene::Scene;
use crate::scene::Verdict;
use crate::server::Act;
use crate::server::Options;

const CLIENTS: usize = 40;
const SHORT: u64 = 16_384;
const LONG: u64 = 65_536;
/// Length of the header by which heads exceed the first limit and keep to the second.
const HEADER_BYTES: usize = 24_000;
/// Refusals that the rule allows, and one in this number of all requests.
const ALLOWED: usize = 5;
const ONE_IN: usize = 500;

fn routes() -> [Route<'static>; 1] {
    [Route {
        name: "book",
        kind: "non_idempotent",
        service: "yard-app",
        timeout_ms: 1_500,
        goal_ms: 100,
        attempts: 1,
        is_resumable: false,
    }]
}

pub fn run(scene: &mut Scene, program: &Path, has_trouble: bool) -> io::Result<Verdict> {
    // Without the disruption the greater limit is in force from the start.
    let first = if has_trouble { SHORT } else { LONG };
    scene
        .store
        .put("op", "config", &scene::config(7, &routes(), first));
    for index in 0..4 {
        let options = Options {
            id: format!("i-{index:02}"),
            service: "yard-app".to_owned(),
            version: "v1".to_owned(),
            zone: scene::ZONES[index].to_owned(),
            slots: 6,
            ip: scene.next_ip(),
            down: Duration::ZERO,
            behaviour: Arc::new(|_| Act::Plain {
                status: 200,
                after: Duration::from_millis(15),
            }),
        };
        scene.add_server(options)?;
    }
    let zones = [0, 0, 1, 1, 2, 2, 3].map(|zone| scene::ZONES[zone]);
    if !scene.start_daemons(program, &zones)? {
        return Ok(Verdict::CouldNotRun);
    }
    let mut clients = connect(scene);
    let (short, _) = round(scene, &mut clients, 0);
    if has_trouble {
        scene
            .store
            .put("op", "config", &scene::config(11, &routes(), LONG));
        scene.record.say("version 11 is acknowledged");
    }
    std::thread::sleep(Duration::from_secs(3));
    // Each client goes on with the connection that it has.
    let (long, refused) = round(scene, &mut clients, HEADER_BYTES);
    let total = short + long;
    scene.record.say(&format!(
        "{total} requests; {refused} of {long} with a head of {HEADER_BYTES} bytes, sent 3 s after the acknowledgement, \
         were refused with a 4xx of the daemon's own; {} are allowed",
        ALLOWED + total / ONE_IN
    ));
    // For comparison, and to see that the daemons have the version.
    let mut others = connect(scene);
    let (_, refused_on_new) = round(scene, &mut others, HEADER_BYTES);
    scene.record.say(&format!(
        "on connections opened then, {refused_on_new} of {} were refused",
        others.len()
    ));
    if clients.len() < CLIENTS || refused_on_new > 0 {
        return Ok(Verdict::CouldNotRun);
    }
    let is_broken = refused > ALLOWED + total / ONE_IN;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Opens the clients' connections, in turn to each machine.
fn connect(scene: &Scene) -> Vec<(String, Connection)> {
    let daemons = scene.daemons.iter().cycle().take(CLIENTS);
    let connections =
        daemons.filter_map(|one| Some((one.name.clone(), Connection::open(one.callers)?)));
    connections.collect()
}

/// Sends a request on each connection; returns their number and that of refusals.
fn round(
    scene: &Scene,
    clients: &mut [(String, Connection)],
    header_bytes: usize,
) -> (usize, usize) {
    let (mut sent, mut refused) = (0, 0);
    for (daemon, connection) in clients {
        let attempt = scene::next_attempt();
        let mut headers = scene::headers(&attempt, 1_500);
        if header_bytes > 0 {
            headers.push(("Trace-Context".to_owned(), "t".repeat(header_bytes)));
        }
        scene
            .record
            .line(&format!("client sends {attempt} to {daemon}"));
        let answer = connection.send(
            "POST",
            "/book/2f",
            &headers,
            b"{}",
            Duration::from_millis(1_500),
        );
        scene
            .record
            .line(&format!("client gets {} for {attempt}", answer.status));
        sent += 1;
        let is_own = answer.header("Response-Seal").is_none();
        refused += usize::from((400..500).contains(&answer.status) && is_own);
    }
    (sent, refused)
}
