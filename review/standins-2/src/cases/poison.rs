//! One part of a prompt crashes each server that begins to write an answer on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::scene;
use crate::scene::Outcome;
use crate::scene::Outcomes;
use crate::scene::Route;
use crate::scene::Scene;
use crate::scene::Verdict;
use crate::server::Act;
use crate::server::Options;

/// How the requests with the deadly part come.
pub struct Plan {
    /// Requests at one moment.
    width: u64,
    /// Time between two such moments.
    period: Duration,
    /// How often they come.
    count: u64,
    /// Whether answers have a framing; without one they end with their connection.
    is_framed: bool,
    /// Number of sound shared parts before the deadly one.
    depth: u64,
    /// Time for which sound requests go on after the last ones with the part.
    tail: Duration,
    /// Rule that decides.
    rule: Rule,
}

/// A rule on deadly prompts.
#[derive(Clone, Copy)]
enum Rule {
    /// How many requests with the part reach servers.
    Budget,
    /// How many sound requests begin.
    Lost,
}

pub const LATE_PART: Plan = Plan {
    is_framed: true,
    depth: 16,
    tail: Duration::from_secs(12),
    rule: Rule::Lost,
    ..STEADY
};
pub const UNFRAMED: Plan = Plan {
    period: Duration::from_millis(80),
    count: 225,
    is_framed: false,
    rule: Rule::Lost,
    ..STEADY
};
/// The same requests as in the cases before, which the daemons do hold: for comparison.
pub const STEADY: Plan = Plan {
    width: 1,
    period: Duration::from_millis(100),
    count: 180,
    is_framed: true,
    depth: 1,
    tail: Duration::from_secs(3),
    rule: Rule::Budget,
};
pub const WAVES: Plan = Plan {
    width: 6,
    period: Duration::from_secs(5),
    count: 4,
    ..STEADY
};
/// Waves so far apart that the daemons have forgotten the first one when the third comes.
pub const FAR_WAVES: Plan = Plan {
    width: 4,
    period: Duration::from_secs(31),
    count: 4,
    ..STEADY
};

/// Bound of the rule: requests with the part that may reach servers after the grace time.
const MAX_REQUESTS: usize = 3;
const CONTACT_MS: u64 = 3_000;
/// Sound requests of either time below which the rule on them does not apply.
const MIN_COUNTED: usize = 20;
const DEADLY: u64 = 0xdead;
const SERVERS: usize = 12;
/// Shared parts beside the deadly one that sound requests have too.
const SESSIONS: u64 = 40;

/// Tokens of each part of a prompt.
const PART_TOKENS: usize = 40;

/// Returns the parts of a prompt; sound requests have the same ones but for the deadly part.
fn prompt(plan: &Plan, number: u64, is_deadly: bool) -> String {
    let mut parts = (0..plan.depth)
        .map(|part| 0x5000 + part)
        .collect::<Vec<_>>();
    if is_deadly {
        parts.push(DEADLY);
    }
    parts.push(0x70_0000 + number % SESSIONS);
    parts.push(0x9000_0000 + number);
    let parts = parts.iter().map(|part| format!("{part:x}:{PART_TOKENS}"));
    parts.collect::<Vec<_>>().join(",")
}

fn is_deadly(request: &Request) -> bool {
    let parts = request.header("Prompt-Prefix").unwrap_or_default();
    let ids = parts.split(',').filter_map(|part| part.split(':').next());
    let ids = ids.collect::<Vec<_>>();
    let deadly = format!("{DEADLY:x}");
    // The last part is never the one.
    ids.split_last()
        .is_some_and(|(_, shared)| shared.contains(&deadly.as_str()))
}

pub fn run(
    scene: &mut Scene,
    program: &Path,
    has_trouble: bool,
    plan: &'static Plan,
) -> io::Result<Verdict> {
    let route = Route {
        name: "bloom",
        kind: "streaming",
        service: "skim-model",
        timeout_ms: 15_000,
        goal_ms: 1_000,
        attempts: 1,
        is_resumable: false,
    };
    scene
        .store
        .put("op", "config", &scene::config(7, &[route], 16_384));
    for index in 0..SERVERS {
        let options = Options {
            id: format!("i-{index:02}"),
            service: "skim-model".to_owned(),
            version: "v1".to_owned(),
            zone: scene::ZONES[index % scene::ZONES.len()].to_owned(),
            slots: 64,
            ip: scene.next_ip(),
            down: Duration::from_millis(2_300),
            behaviour: Arc::new(move |request| {
                let is_framed = plan.is_framed;
                if has_trouble && is_deadly(request) {
                    return Act::Crash { is_framed };
                }
                Act::Stream {
                    events: 20,
                    gap: Duration::from_millis(25),
                    is_framed,
                }
            }),
        };
        scene.add_server(options)?;
    }
    // Two machines in each of three zones and one in the fourth, as on the sheet.
    let zones = [0, 0, 1, 1, 2, 2, 3].map(|zone| scene::ZONES[zone]);
    if !scene.start_daemons(program, &zones)? {
        return Ok(Verdict::CouldNotRun);
    }
    let (outcomes, record) = (Outcomes::default(), scene.record.clone());
    let daemons = scene
        .daemons
        .iter()
        .map(|one| (one.name.clone(), one.callers));
    let daemons = daemons.collect::<Vec<_>>();
    let send = |number: u64, deadly: bool| {
        let (outcomes, record) = (outcomes.clone(), record.clone());
        let (name, address) = daemons[(number % daemons.len() as u64) as usize].clone();
        let parts = prompt(plan, number, deadly);
        let tokens = PART_TOKENS * parts.split(',').count();
        let headers = [
            ("Model".to_owned(), "m".to_owned()),
            ("Token-Count".to_owned(), format!("{tokens},100")),
            ("Prompt-Prefix".to_owned(), parts),
        ];
        std::thread::spawn(move || {
            let kind = if deadly { "deadly part" } else { "sound" };
            outcomes.send(
                &record,
                (&name, address),
                kind,
                "/bloom/2f",
                &headers,
                15_000,
            );
        })
    };
    let began = Instant::now();
    let waves = u32::try_from(plan.count).unwrap_or(1);
    let end = Duration::from_secs(2) + plan.period * (waves - 1) + plan.tail;
    let mut threads = Vec::new();
    let (mut number, mut wave) = (0, 0);
    while began.elapsed() < end {
        // Sound requests come all the while, forty a second.
        number += 1;
        threads.push(send(number, false));
        let due = Duration::from_secs(2) + plan.period * u32::try_from(wave).unwrap_or(0);
        if wave < plan.count && began.elapsed() >= due {
            wave += 1;
            for _ in 0..plan.width {
                number += 1;
                threads.push(send(number, true));
            }
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    for thread in threads {
        let _ = thread.join();
    }
    Ok(judge(scene, &outcomes, has_trouble, plan.rule))
}

/// Requests of one kind by what their callers got.
#[derive(Default)]
struct Tally {
    good: usize,
    refused: usize,
    broken: usize,
}

fn tally(sent: &[Outcome], kind: &str) -> Tally {
    let mut tally = Tally::default();
    for one in sent.iter().filter(|one| one.kind == kind) {
        match one.status {
            200 if one.is_whole => tally.good += 1,
            503 | 429 => tally.refused += 1,
            _ => tally.broken += 1,
        }
    }
    tally
}

fn judge(scene: &Scene, outcomes: &Outcomes, has_trouble: bool, rule: Rule) -> Verdict {
    let record = &scene.record;
    let mut crashes = scene.log.crashes.lock().expect("no panic").clone();
    crashes.sort_unstable();
    let sent = outcomes.sent.lock().expect("no panic");
    let sound = tally(&sent, "sound");
    record.say(&format!(
        "{} crashes; sound requests: {} answered, {} refused, {} broken off; {} were cut by crashes",
        crashes.len(),
        sound.good,
        sound.refused,
        sound.broken,
        scene.log.cut.load(Ordering::SeqCst)
    ));
    if !has_trouble {
        let is_calm = crashes.is_empty() && sound.refused == 0 && sound.broken == 0;
        return if is_calm {
            Verdict::Held
        } else {
            Verdict::CouldNotRun
        };
    }
    let Some(fifth) = crashes.get(4) else {
        record.say("fewer than five crashes");
        return if crashes.is_empty() {
            Verdict::CouldNotRun
        } else {
            Verdict::Held
        };
    };
    let deadly = sent.iter().filter(|one| one.kind == "deadly part");
    let deadly = deadly.map(|one| (one.attempt.as_str(), one.at));
    let deadly = deadly.collect::<BTreeMap<_, _>>();
    let arrivals = scene.log.arrivals.lock().expect("no panic");
    let late = arrivals.iter().filter(|one| {
        let sent = deadly.get(one.attempt.as_str());
        sent.is_some_and(|sent| *sent > fifth + CONTACT_MS)
    });
    let late = late.count();
    record.say(&format!(
        "BUDGET: fifth crash at {fifth} ms; {late} requests with the part that were sent over {CONTACT_MS} ms \
         later reached servers, {MAX_REQUESTS} are allowed"
    ));
    let ran = arrivals.iter().filter(|one| one.has_run);
    let ran = ran.map(|one| one.attempt.as_str()).collect::<BTreeSet<_>>();
    let begun = |from: u64, to: u64| {
        let all = sent
            .iter()
            .filter(|one| one.kind == "sound" && (from..to).contains(&one.at));
        let all = all
            .map(|one| ran.contains(one.attempt.as_str()))
            .collect::<Vec<_>>();
        (all.iter().filter(|has_run| **has_run).count(), all.len())
    };
    let first = deadly.values().min().copied().unwrap_or_default();
    let last = deadly.values().max().copied().unwrap_or_default();
    let before = begun(0, first);
    let meanwhile = begun(fifth + 2 * CONTACT_MS, last);
    // The last servers that crashed are back by then.
    let after = begun(last + 3_000, u64::MAX);
    record.say(&format!(
        "LOST: sound requests that began at a server: {} of {} before, {} of {} from {} ms after the fifth crash \
         to the last request with the part; {} of {} later than 3 s after that",
        before.0,
        before.1,
        meanwhile.0,
        meanwhile.1,
        2 * CONTACT_MS,
        after.0,
        after.1
    ));
    let is_broken = match rule {
        Rule::Budget => late > MAX_REQUESTS,
        Rule::Lost => {
            let counts = before.1 >= MIN_COUNTED && meanwhile.1 >= MIN_COUNTED;
            counts && 2 * meanwhile.0 * before.1 < before.0 * meanwhile.1
        }
    };
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
