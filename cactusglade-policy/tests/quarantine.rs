//! Guards against prompts that crash upstream after upstream, and against sound requests refused for
//! them.

use cactusglade_core::call::Part;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;
use cactusglade_policy::quarantine::Admission;
use cactusglade_policy::quarantine::Judgement;
use cactusglade_policy::quarantine::PROOF_TIME;
use cactusglade_policy::quarantine::Quarantine;

const COMMON: u64 = 1;
const SIBLING: u64 = 2;
const DEADLY: u64 = 3;
/// Time after the fifth crash from which hardly any request with the part may reach an upstream.
const CONTACT_TIME: Millis = Millis(3_000);
/// Interval between two heartbeats, with which evidence is shared.
const HEARTBEAT: Millis = Millis(100);
/// Number of daemons.
const DAEMONS: usize = 7;

fn parts(ids: &[u64]) -> Vec<Part> {
    let part = |id: &u64| Part {
        id: *id,
        tokens: 100,
    };
    ids.iter().map(part).collect()
}

/// Daemons that exchange what they know with each heartbeat.
struct Fleet {
    daemons: Vec<Quarantine>,
    now: Millis,
    judgements: Vec<Judgement>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            daemons: vec![Quarantine::default(); DAEMONS],
            now: Millis(100_000),
            judgements: Vec::new(),
        }
    }

    /// Lets time pass, heartbeat by heartbeat.
    fn pass(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + HEARTBEAT;
            for sender in 0..DAEMONS {
                let judged = self.daemons[sender].judge(self.now);
                self.judgements.extend(judged);
                let restates = self.now.0.is_multiple_of(1_000);
                let shared = self.daemons[sender].take_unshared(self.now, restates);
                for (receiver, daemon) in self.daemons.iter_mut().enumerate() {
                    for suspicion in shared.iter().filter(|_| receiver != sender) {
                        let learned = daemon.learn(self.now, suspicion);
                        self.judgements.extend(learned);
                    }
                }
            }
        }
    }

    fn cut(&mut self, daemon: usize, upstream: u32, ids: &[u64]) {
        let now = self.now;
        self.daemons[daemon % DAEMONS].record_cut(now, upstream, &parts(ids));
    }

    /// A request that began [`PROOF_TIME`] ago is still answered.
    fn answer(&mut self, daemon: usize, ids: &[u64]) {
        let began = self.now - PROOF_TIME;
        let answering = &mut self.daemons[daemon % DAEMONS];
        let judged = answering.record_answer(self.now, began, &parts(ids));
        self.judgements.extend(judged);
    }

    /// Returns the number of daemons that refuse requests with these parts.
    fn refusing(&self, ids: &[u64]) -> usize {
        let refuses = |one: &&Quarantine| held_until(one, self.now, ids).is_some();
        self.daemons.iter().filter(refuses).count()
    }

    /// Sends requests with these parts through all daemons at each heartbeat, each of which crashes
    /// an upstream; those that may wait ask again. Returns how many are sent.
    fn press(&mut self, span: Millis, ids: &[u64]) -> usize {
        let (until, mut sent) = (self.now + span, 0);
        while self.now < until {
            for daemon in 0..DAEMONS {
                let draw = (self.now.0 + 1) * 7 % 13 * 100 + 10 + daemon as u64;
                let admission = self.daemons[daemon].admit(self.now, &parts(ids), draw);
                if matches!(admission, Admission::Open | Admission::Trial) {
                    sent += 1;
                    self.cut(daemon, 1_000 + u32::try_from(sent).unwrap_or(0), ids);
                }
            }
            self.pass(HEARTBEAT);
        }
        sent
    }
}

/// Returns until when a daemon refuses requests with these parts without a trial.
fn held_until(daemon: &Quarantine, now: Millis, ids: &[u64]) -> Option<Millis> {
    match daemon.clone().admit(now, &parts(ids), 1) {
        Admission::Refused(until) => Some(until),
        Admission::Open | Admission::Trial | Admission::Wait(_) => None,
    }
}

/// Returns a fleet that refuses requests with the deadly part, and until when it does.
fn refusing_fleet() -> (Fleet, Millis) {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        crash(&mut fleet, number);
        fleet.pass(Millis(400));
        fleet.answer(4, &[COMMON, SIBLING]);
    }
    let until = held_until(&fleet.daemons[0], fleet.now, &[DEADLY]);
    (fleet, until.expect("the part is held"))
}

/// Crashes by the deadly part, each seen by another daemon, beside sound requests of its siblings.
fn crash(fleet: &mut Fleet, number: u32) {
    let daemon = number as usize;
    fleet.cut(daemon, number, &[COMMON, SIBLING, DEADLY]);
    fleet.cut(daemon + 1, number, &[COMMON]);
    fleet.cut(daemon + 2, number, &[COMMON, SIBLING]);
}

#[test]
fn a_part_that_crashes_upstreams_is_refused_by_all_daemons_within_five_crashes() {
    for pause in [200, 400, 800, 2_000] {
        let mut fleet = Fleet::new();
        fleet.answer(3, &[COMMON, SIBLING]);
        for number in 0..5 {
            crash(&mut fleet, number);
            fleet.pass(Millis(pause));
            fleet.answer(4, &[COMMON]);
        }
        fleet.pass(CONTACT_TIME);
        assert_eq!(fleet.refusing(&[9, DEADLY]), DAEMONS, "pause {pause} ms");
        assert_eq!(fleet.refusing(&[COMMON, SIBLING]), 0, "pause {pause} ms");
    }
}

#[test]
fn two_parts_that_crash_upstreams_at_a_time_are_both_found() {
    let mut fleet = Fleet::new();
    fleet.answer(3, &[COMMON, SIBLING]);
    for number in 0..5 {
        crash(&mut fleet, number);
        fleet.cut(number as usize + 3, 100 + number, &[COMMON, 77]);
        fleet.pass(Millis(350));
        crash(&mut fleet, 50 + number);
        fleet.pass(Millis(250));
        fleet.cut(number as usize, 200 + number, &[COMMON, 77]);
        fleet.pass(Millis(300));
        fleet.answer(4, &[COMMON]);
    }
    fleet.pass(CONTACT_TIME);
    assert_eq!(fleet.refusing(&[DEADLY]), DAEMONS);
    assert_eq!(fleet.refusing(&[77]), DAEMONS);
    assert_eq!(fleet.refusing(&[COMMON, SIBLING]), 0);
}

/// All requests with the deadly part have another one in common, which no request had before. Nothing
/// but the order of their identifiers tells the two apart.
#[test]
fn a_part_that_comes_with_the_deadly_one_stays_in_use() {
    for sibling in [SIBLING, DEADLY + 1] {
        let mut fleet = Fleet::new();
        for number in 0..5 {
            fleet.cut(number as usize, number, &[COMMON, sibling, DEADLY]);
            fleet.cut(number as usize + 1, number, &[COMMON]);
            fleet.pass(Millis(400));
            fleet.answer(4, &[COMMON]);
        }
        fleet.pass(CONTACT_TIME);
        assert_eq!(fleet.refusing(&[COMMON, sibling, DEADLY]), DAEMONS);
        assert_eq!(fleet.refusing(&[COMMON, sibling]), 0, "sound requests");
        // Once the sibling is answered, the deadly part is refused whatever it comes with.
        fleet.answer(2, &[COMMON, sibling]);
        fleet.pass(Millis(300));
        assert_eq!(fleet.refusing(&[COMMON, DEADLY]), DAEMONS);
        assert_eq!(fleet.refusing(&[COMMON, sibling]), 0, "sound requests");
    }
}

/// The deadly part comes with another one at first, and alone then.
#[test]
fn a_part_that_crashes_upstreams_alone_is_told_from_the_one_that_it_came_with() {
    let mut fleet = Fleet::new();
    for number in 0..3 {
        fleet.cut(number as usize, number, &[SIBLING, DEADLY]);
        fleet.pass(Millis(400));
    }
    fleet.cut(3, 3, &[DEADLY]);
    fleet.pass(Millis(600));
    assert_eq!(fleet.refusing(&[DEADLY]), DAEMONS);
    assert_eq!(fleet.refusing(&[SIBLING]), 0);
}

/// A daemon that was frozen hears of all crashes at once, so that a part which was answered before
/// them is in as many as the deadly one.
#[test]
fn a_part_that_was_never_answered_is_held_rather_than_one_that_was() {
    const ANSWERED: u64 = DEADLY + 1;
    let mut one = Quarantine::default();
    let now = Millis(50_000);
    one.record_answer(
        now - Millis(20_000),
        now - Millis(20_000),
        &parts(&[ANSWERED]),
    );
    for upstream in 1..=6 {
        let cut = Suspicion::Cut {
            parts: vec![ANSWERED, DEADLY],
            upstream,
            age_ms: 1_000 * u64::from(upstream),
        };
        one.learn(now, &cut);
    }
    one.judge(now);
    assert!(held_until(&one, now, &[DEADLY]).is_some());
    assert_eq!(held_until(&one, now, &[ANSWERED]), None);
}

/// Hosts fail together: many upstreams crash at once, with requests of all kinds at them.
#[test]
fn upstreams_that_crash_together_have_no_part_refused() {
    let mut fleet = Fleet::new();
    for round in 0..2 {
        for upstream in 0..12 {
            let own = u64::from(upstream) % 3;
            fleet.cut(
                upstream as usize,
                round * 100 + upstream,
                &[COMMON, 10 + own],
            );
        }
        fleet.pass(CONTACT_TIME);
    }
    assert_eq!(fleet.judgements, []);
}

/// Upstreams crash one after another for reasons of their own, while requests go on.
#[test]
fn parts_that_are_answered_between_crashes_are_not_refused() {
    let mut fleet = Fleet::new();
    for number in 0..40 {
        fleet.cut(number as usize, number, &[COMMON, SIBLING]);
        fleet.pass(Millis(500));
        fleet.answer(number as usize + 1, &[COMMON, SIBLING]);
    }
    assert_eq!(fleet.judgements, []);
}

#[test]
fn a_daemon_that_starts_learns_what_is_held() {
    let mut fleet = Fleet::new();
    for number in 0..5 {
        crash(&mut fleet, number);
        fleet.pass(Millis(400));
        fleet.answer(4, &[COMMON, SIBLING]);
    }
    fleet.daemons[2] = Quarantine::default();
    fleet.pass(Millis(1_100));
    assert_eq!(fleet.refusing(&[DEADLY]), DAEMONS);
}

/// When a hold ended, each daemon sent what came until it heard of a crash, so that a fleet crashed
/// an upstream a daemon, or more.
#[test]
fn one_request_is_tried_when_a_hold_ends_and_one_more_crash_holds_the_part_for_longer() {
    let (mut fleet, until) = refusing_fleet();
    let first = until - fleet.now;
    let waiting = until - fleet.now - HEARTBEAT;
    assert_eq!(fleet.press(waiting, &[COMMON, DEADLY]), 0, "held");
    assert_eq!(fleet.press(first, &[COMMON, DEADLY]), 1, "tried once");
    assert_eq!(fleet.refusing(&[DEADLY]), DAEMONS);
    let until = held_until(&fleet.daemons[3], fleet.now, &[DEADLY]);
    assert!(until.expect("the part is held") - fleet.now > first - CONTACT_TIME);
    let rest = until.expect("the part is held") - fleet.now;
    assert_eq!(
        fleet.press(rest - HEARTBEAT, &[DEADLY]),
        0,
        "held for longer"
    );
    assert_eq!(fleet.press(first, &[DEADLY]), 1, "tried once more");
}

/// A burst came long after the hold had ended, when no daemon had had a request with the part.
#[test]
fn one_request_of_a_late_burst_is_tried() {
    let (mut fleet, until) = refusing_fleet();
    let quiet = until - fleet.now + Millis(45_000);
    fleet.pass(quiet);
    assert_eq!(fleet.press(Millis(20_000), &[COMMON, DEADLY]), 1);
}

/// A daemon that started after the hold had ended knew nothing of it.
#[test]
fn a_daemon_that_starts_after_a_hold_learns_that_parts_are_to_be_tried() {
    let (mut fleet, until) = refusing_fleet();
    fleet.pass(until - fleet.now + Millis(20_000));
    fleet.daemons[2] = Quarantine::default();
    fleet.pass(Millis(1_100));
    let now = fleet.now;
    let admission = fleet.daemons[2].admit(now, &parts(&[DEADLY]), 1);
    assert!(matches!(admission, Admission::Wait(_)), "{admission:?}");
}

#[test]
fn a_trial_that_is_answered_releases_the_part_everywhere() {
    let (mut fleet, until) = refusing_fleet();
    fleet.pass(until - fleet.now + CONTACT_TIME);
    let ids = parts(&[DEADLY]);
    let now = fleet.now;
    assert!(matches!(
        fleet.daemons[1].admit(now, &ids, 9),
        Admission::Wait(_)
    ));
    fleet.pass(Millis(1_000));
    assert_eq!(fleet.daemons[1].admit(fleet.now, &ids, 9), Admission::Trial);
    fleet.pass(HEARTBEAT);
    assert_eq!(
        fleet.refusing(&[DEADLY]),
        DAEMONS,
        "until its outcome is known"
    );
    fleet.pass(PROOF_TIME + HEARTBEAT);
    fleet.answer(1, &[DEADLY]);
    fleet.pass(Millis(200));
    for daemon in &mut fleet.daemons {
        assert_eq!(daemon.admit(fleet.now, &ids, 1), Admission::Open);
    }
}

/// The caller of a claimed trial had left, and nobody else could make it.
#[test]
fn a_claim_that_is_not_used_makes_room_for_another() {
    let (mut fleet, until) = refusing_fleet();
    fleet.pass(until - fleet.now + CONTACT_TIME);
    let now = fleet.now;
    fleet.daemons[1].admit(now, &parts(&[DEADLY]), 1);
    fleet.pass(Millis(300));
    assert_eq!(
        fleet.refusing(&[DEADLY]),
        DAEMONS,
        "left to the one that claimed it"
    );
    fleet.pass(Millis(12_000));
    assert_eq!(fleet.press(CONTACT_TIME, &[DEADLY]), 1);
}

#[test]
fn a_part_that_is_answered_after_all_is_released_everywhere() {
    let mut fleet = Fleet::new();
    for number in 0..3 {
        fleet.cut(number, 10 + u32::try_from(number).unwrap_or(0), &[SIBLING]);
        fleet.pass(Millis(500));
    }
    fleet.pass(Millis(500));
    assert_eq!(fleet.refusing(&[SIBLING]), DAEMONS);
    fleet.pass(PROOF_TIME);
    fleet.answer(5, &[COMMON, SIBLING]);
    fleet.pass(Millis(200));
    assert_eq!(fleet.refusing(&[SIBLING]), 0);
}

/// A statement may arrive late or twice, and any process may send datagrams.
#[test]
fn statements_out_of_order_refuse_no_sound_part_and_stay_bounded() {
    let mut one = Quarantine::default();
    let now = Millis(50_000);
    one.record_answer(now, now, &parts(&[SIBLING]));
    for upstream in 0..20 {
        let late = Suspicion::Cut {
            parts: vec![SIBLING],
            upstream,
            age_ms: 1_000 * u64::from(upstream),
        };
        one.learn(now, &late);
    }
    for part in 100..200 {
        let held = Suspicion::Held {
            parts: vec![part],
            age_ms: 0,
            left_ms: 60_000,
            over_ms: 0,
            period_ms: 60_000,
        };
        one.learn(now, &held);
    }
    one.judge(now + CONTACT_TIME);
    assert_eq!(held_until(&one, now, &[SIBLING]), None);
    let held = (100..200).filter(|part| held_until(&one, now, &[*part]).is_some());
    assert!(held.count() <= 16);
}

/// On a day on which answers of many upstreams were lost on their way, daemons took the part that all
/// prompts of a route share for the cause of crashes, and refused the route for a minute.
#[test]
fn lost_answers_of_upstreams_that_go_on_are_no_crashes() {
    for goes_on in [true, false] {
        let mut fleet = Fleet::new();
        for number in 0..60 {
            let session = 100 + u64::from(number);
            fleet.cut(0, number, &[COMMON, session]);
            fleet.pass(Millis(2 * HEARTBEAT.0));
            // The upstream of half a second and more ago answers other requests.
            if let Some(earlier) = number.checked_sub(2).filter(|_| goes_on) {
                let now = fleet.now;
                for daemon in &mut fleet.daemons {
                    daemon.record_alive(now, earlier);
                }
            }
        }
        let held = held_until(&fleet.daemons[0], fleet.now, &[COMMON, 99]);
        assert_eq!(held.is_none(), goes_on, "goes on: {goes_on}");
    }
}

/// While answers of many upstreams were lost, one daemon judged the common part of a route with few
/// requests before it heard that others had been answered since, and all daemons refused the route.
#[test]
fn a_part_is_not_refused_before_its_next_answer_can_prove_it_sound() {
    let mut fleet = Fleet::new();
    fleet.answer(3, &[COMMON]);
    for number in 0..60 {
        fleet.cut(0, number, &[COMMON, 100 + u64::from(number)]);
        fleet.pass(HEARTBEAT);
        if number % 8 == 0 {
            fleet.answer(4, &[COMMON]);
        }
        assert_eq!(fleet.refusing(&[COMMON, 99]), 0, "after {number} cuts");
    }
}

/// An upstream that is back some seconds after a crash must not hide that it has crashed.
#[test]
fn an_upstream_that_has_restarted_does_not_clear_its_crash() {
    let mut fleet = Fleet::new();
    for number in 0..2 {
        crash(&mut fleet, number);
        fleet.pass(Millis(300));
    }
    fleet.pass(Millis(2_000));
    let now = fleet.now;
    for daemon in &mut fleet.daemons {
        for number in 0..2 {
            daemon.record_alive(now, number);
        }
    }
    crash(&mut fleet, 2);
    fleet.pass(Millis(1_000));
    let ids = [COMMON, SIBLING, DEADLY];
    assert!(held_until(&fleet.daemons[0], fleet.now, &ids).is_some());
}
