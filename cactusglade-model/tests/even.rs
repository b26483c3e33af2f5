//! Guards against daemons that overload the few upstreams of a service in turn, since all hear the
//! same loads some tenths of a second late.

use cactusglade_core::units::Millis;
use cactusglade_model::engine::Profile;
use cactusglade_model::fleet;
use cactusglade_model::fleet::Noise;
use cactusglade_model::fleet::Options;
use cactusglade_model::fleet::Placement;
use cactusglade_model::fleet::Rule;
use cactusglade_model::fleet::Spread;
use cactusglade_model::fleet::Summary;
use cactusglade_model::load::Class;

/// Plays of which the means are compared; in one, slow servers may coincide by chance.
const SEEDS: u32 = 4;

/// Five application servers with six slots at eight tenths of their capacity.
fn play(seed: u64, daemons: usize, rule: Rule, tight_target: Option<Millis>) -> Summary {
    let options = Options {
        seed,
        daemons,
        engines: 5,
        zones: 4,
        profile: Profile {
            slots: 6,
            prefill_per_ms: 112.0,
            cache_tokens: 0,
            interleaves: false,
        },
        classes: vec![Class {
            name: "check".to_owned(),
            per_s: 364.0,
            common_tokens: 0,
            session_tokens: 0,
            own_tokens: 0,
            own_sigma: 0.0,
            sessions: 1,
            hot_share: 0.0,
            answer_tokens: 0,
            target_ms: 300.0,
        }],
        span_ms: 14_000.0,
        warm_up_ms: 4_000.0,
        gossip_ms: Some((200.0, 350.0)),
        dark: None,
        churn: None,
        tight_target,
        placement: Placement::Product,
        scarcity: None,
        spread: Spread {
            rule,
            noise: Some(Noise {
                share: 0.15,
                factor: 2.5,
                period_ms: 600.0,
            }),
            work_ms: Some(60.0),
            states_at_answer: true,
            ..Spread::default()
        },
    };
    fleet::play(&options).expect("the options are valid")
}

/// Returns the p99 of the wait in milliseconds, and the deviation of the servers' loads.
fn means(daemons: usize, rule: Rule, tight_target: Option<Millis>) -> (f64, f64) {
    let (mut p99, mut deviation) = (0.0, 0.0);
    for seed in 1..=SEEDS {
        let summary = play(seed.into(), daemons, rule, tight_target);
        p99 += summary.wait(0.99) / f64::from(SEEDS);
        deviation += summary.deviation() / f64::from(SEEDS);
    }
    println!("{daemons} daemons, {rule:?}, {tight_target:?}: p99 {p99:.0} ms, {deviation:.2}");
    (p99, deviation)
}

#[test]
fn daemons_with_estimates_do_not_overload_the_servers_in_turn() {
    for daemons in [8, 77, 400] {
        let former = means(daemons, Rule::Known, None);
        let estimate = means(daemons, Rule::Known, Some(Millis(1_000)));
        let random = means(daemons, Rule::Random, None);
        assert!(
            estimate.0 < 0.6 * former.0,
            "{daemons}: {estimate:?}, {former:?}"
        );
        assert!(estimate.0 < random.0, "{daemons}: {estimate:?}, {random:?}");
        assert!(
            estimate.1 < former.1.min(random.1),
            "{daemons}: {estimate:?}"
        );
    }
}
