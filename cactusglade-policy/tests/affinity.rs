//! Guards against sessions that lose their cached prompts as upstreams come and go, and against daemons
//! that disagree on a session's upstreams.

use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::affinity::Demand;
use cactusglade_policy::affinity::Ranks;

/// Upstreams of three zones: the upstream `i` is in the zone `i % 3`.
const UPSTREAMS: u64 = 90;
const SESSIONS: u64 = 1_250;

fn hash(upstream: u64) -> u64 {
    affinity::hash(&format!("engine-{upstream}"))
}

fn first(ranks: &Ranks<u64>) -> u64 {
    let (key, _) = ranks.first().next().expect("a session has an upstream");
    key
}

/// Returns the session's upstream: the upstreams below `UPSTREAMS` are old, the others appeared `age`
/// ago.
fn upstream(session: u64, available: impl Iterator<Item = u64>, left: &[u64], age: u64) -> u64 {
    let mut ranks = Ranks::new(session, 1);
    for one in available {
        let age = (one >= UPSTREAMS).then_some(Millis(age));
        ranks.insert(one, hash(one), age);
    }
    for one in left {
        ranks.insert_departed(hash(*one));
    }
    first(&ranks)
}

/// An upstream that joins has nothing cached. All of its sessions moved to it at once, and waited for
/// each other's prompts.
#[test]
fn sessions_move_to_an_upstream_that_joins_one_after_the_other() {
    let joined = UPSTREAMS;
    let moved = |age: u64| {
        let upstream = |session: &u64| upstream(*session, 0..=joined, &[], age) == joined;
        (0..SESSIONS).filter(upstream).collect::<Vec<_>>()
    };
    let all = moved(20_000);
    assert!(!all.is_empty());
    assert!(moved(0).is_empty());
    let half = moved(10_000);
    assert!(half.len() * 4 > all.len() && half.len() * 4 < all.len() * 3);
    assert!(half.iter().all(|session| all.contains(session)));
}

/// The upstreams of a zone leave and others join: sessions whose upstream is still there stay, and the
/// others begin where they remain, so that they are read once.
#[test]
fn only_sessions_whose_upstream_left_move_when_a_zone_leaves() {
    let stays = |one: &u64| !one.is_multiple_of(3);
    let left = (0..UPSTREAMS).filter(|one| !stays(one)).collect::<Vec<_>>();
    let joined = UPSTREAMS..UPSTREAMS + 30;
    for session in 0..SESSIONS {
        let before = upstream(session, 0..UPSTREAMS, &[], 0);
        let available = || (0..UPSTREAMS).filter(stays).chain(joined.clone());
        let after = upstream(session, available(), &left, 0);
        if stays(&before) {
            assert_eq!(after, before, "session {session} left its upstream");
        } else {
            let later = upstream(session, available(), &left, 20_000);
            assert_eq!(after, later, "session {session} moves twice");
        }
    }
}

/// A daemon that has just started has always known all upstreams, and one that was cut off knows some
/// that have left: they agree with the others on the first upstream that both know.
#[test]
fn daemons_that_start_agree_with_the_others() {
    for session in 0..SESSIONS {
        let mut started = Ranks::new(session, 1);
        let mut other = Ranks::new(session, 1);
        for one in 0..UPSTREAMS {
            started.insert(one, hash(one), None);
            other.insert(one, hash(one), Some(Millis(20_000)));
        }
        let (mine, theirs) = (started.compared(0.3), other.compared(0.7));
        assert_eq!(mine, theirs);
        assert_eq!(mine.len(), 3);
        let ranks = mine.iter().map(|(key, _)| started.rank(*key));
        assert!(ranks.eq([Some(1), Some(2), Some(3)]));
        let ranked = (0..UPSTREAMS).filter(|one| started.rank(*one).is_some());
        assert_eq!(ranked.count(), 3);
        let shares = mine.iter().map(|(_, share)| *share);
        assert!(shares.is_sorted_by(|first, next| first > next));
    }
}

fn prompt(session: u64, own: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        input_tokens: 5_382 + own,
        max_output_tokens: 400,
        parts: vec![part(1, 512), part(session, 4_870), part(0, own)],
    }
}

/// One session needs more than an upstream can read. It has several, of which two at random are
/// compared, and no request has to wait at the first.
#[test]
fn a_hot_session_has_as_many_upstreams_as_it_needs() {
    let mut ranks = Ranks::new(7, 5);
    for one in 0..UPSTREAMS {
        ranks.insert(one, hash(one), None);
    }
    let draws = (1..200).map(|draw| ranks.compared(f64::from(draw) / 200.0));
    let mut used = std::collections::BTreeSet::new();
    for pair in draws {
        assert_eq!(pair.len(), 2);
        assert_ne!(pair[0].0, pair[1].0);
        used.extend(pair.iter().map(|(key, _)| *key));
    }
    assert_eq!(used.len(), 5);
}

#[test]
fn the_demand_of_a_session_follows_its_requests_and_decays() {
    let mut demand = Demand::default();
    for second in 0..120 {
        demand.record(Millis(second * 1_000), &prompt(7, 6_000));
    }
    let rate = demand.rate(Millis(119_000), 7);
    assert!((5.0..7.0).contains(&rate), "{rate:.2} tokens per ms");
    assert!(demand.rate(Millis(239_000), 7) < rate / 20.0);
    assert_eq!(demand.rate(Millis(119_000), 8).to_bits(), 0);
}

/// The head that all sessions share was taken for uncached wherever a session had not been.
#[test]
fn parts_that_sessions_share_count_as_cached_at_an_upstream_that_has_served() {
    let prompt = prompt(7, 6_000);
    let near = |tokens: f64, expected: f64| assert!((tokens - expected).abs() < 1.0);
    near(affinity::assumed(&prompt, 0.0, false), 0.0);
    near(affinity::assumed(&prompt, 0.0, true), 512.0 * 0.95);
    near(affinity::assumed(&prompt, 0.95, false), 5_382.0 * 0.95);
    near(affinity::assumed(&prompt, 0.95, true), 5_382.0 * 0.95);
}
