//! Guards against daemons of a large fleet that know too little of the engines to spread requests,
//! or that all follow the same report.

use cactusglade_model::engine::Profile;
use cactusglade_model::fleet;
use cactusglade_model::fleet::Options;
use cactusglade_model::fleet::Placement;
use cactusglade_model::fleet::Spread;
use cactusglade_model::fleet::Summary;
use cactusglade_model::load::Class;

/// Interval of heartbeats in a zone of 32 daemons, and time until all zones have a report.
const GOSSIP_MS: (f64, f64) = (200.0, 350.0);

fn dossier() -> Class {
    Class {
        name: "dossier".to_owned(),
        per_s: 123.0,
        common_tokens: 512,
        session_tokens: 4_870,
        own_tokens: 6_610,
        sessions: 823,
        own_sigma: 0.0,
        hot_share: 0.0,
        answer_tokens: 384,
        target_ms: 1_000.0,
    }
}
fn chat() -> Class {
    Class {
        name: "chat".to_owned(),
        per_s: 118.0,
        common_tokens: 119,
        session_tokens: 79,
        own_tokens: 628,
        sessions: 524,
        own_sigma: 0.0,
        hot_share: 0.0,
        answer_tokens: 294,
        target_ms: 1_000.0,
    }
}
fn check() -> Class {
    Class {
        name: "check".to_owned(),
        per_s: 219.0,
        common_tokens: 341,
        session_tokens: 227,
        own_tokens: 1_800,
        sessions: 974,
        own_sigma: 0.0,
        hot_share: 0.0,
        answer_tokens: 24,
        target_ms: 1_500.0,
    }
}

fn options(daemons: usize, gossip_ms: Option<(f64, f64)>) -> Options {
    Options {
        seed: 1,
        daemons,
        engines: 100,
        zones: 6,
        profile: Profile {
            slots: 12,
            prefill_per_ms: 56.6,
            cache_tokens: 300_000,
            interleaves: false,
        },
        classes: vec![dossier(), chat(), check()],
        span_ms: 20_000.0,
        warm_up_ms: 6_000.0,
        gossip_ms,
        dark: None,
        churn: None,
        tight_target: None,
        placement: Placement::Product,
        scarcity: None,
        spread: Spread::default(),
    }
}

fn play(options: &Options) -> Summary {
    let summary = fleet::play(options).expect("the options are valid");
    for (name, outcome) in &summary.classes {
        println!(
            "{name}: {} asked, {:.3} on time, {} failed, p50 {:.0} ms, p99 {:.0} ms",
            outcome.asked,
            outcome.on_time_share(),
            outcome.failed,
            outcome.latency(0.5),
            outcome.latency(0.99)
        );
    }
    println!(
        "cached {:.3}, busiest/mean {:.2}, {} losses",
        summary.cached_share(),
        summary.imbalance,
        summary.losses
    );
    summary
}

/// One session gets a quarter of the longest prompts. Its engine can't read them all, and each
/// daemon sees only a few of them.
#[test]
fn a_hot_session_does_not_pile_up_at_one_engine() {
    let mut options = options(195, Some(GOSSIP_MS));
    options.classes[0].hot_share = 0.26;
    let summary = play(&options);
    let on_time = summary.classes["dossier"].on_time_share();
    assert!(on_time >= 0.97, "{on_time:.3} on time");
    let imbalance = summary.imbalance;
    assert!(imbalance < 1.5, "{imbalance:.2} times the mean");
}

/// Shared reports arrive late; if all daemons followed them to the least loaded engine, they would
/// overload it.
#[test]
fn daemons_that_hear_the_same_loads_do_not_all_choose_the_same_engine() {
    for daemons in [24, 195, 400] {
        let mut options = options(daemons, Some(GOSSIP_MS));
        for class in &mut options.classes {
            class.per_s *= 1.5;
        }
        let summary = play(&options);
        let on_time = summary.classes["dossier"].on_time_share();
        assert!(on_time >= 0.99, "{daemons} daemons: {on_time:.3} on time");
        let imbalance = summary.imbalance;
        assert!(
            imbalance < 1.5,
            "{daemons} daemons: {imbalance:.2} times the mean"
        );
    }
}

/// Engines stop answering and stay in the registry for four seconds. Without shared losses each of
/// the daemons has to lose requests there itself.
#[test]
fn engines_that_stop_answering_cost_few_requests_in_a_large_fleet() {
    let losses = |gossip_ms| {
        let mut options = options(195, gossip_ms);
        options.dark = Some((14, 8_000.0));
        play(&options).losses
    };
    let (alone, shared) = (losses(None), losses(Some(GOSSIP_MS)));
    assert!(shared * 2 <= alone, "{shared} losses, {alone} unshared");
}

#[test]
fn a_run_repeats_from_its_seed() {
    let options = options(24, Some(GOSSIP_MS));
    let first = format!("{:?}", play(&options));
    assert_eq!(first, format!("{:?}", play(&options)));
}

/// Few engines and long shared prompts: the engines keep up only if sessions stay where their
/// prompts are cached, also while prompts wait.
fn few_engines(seed: u64, engines: usize) -> Options {
    let class = |name: &str, per_s, session_tokens, own_tokens, answer_tokens, target_ms| Class {
        name: name.to_owned(),
        per_s,
        common_tokens: 300,
        session_tokens,
        own_tokens,
        sessions: 40,
        own_sigma: 0.0,
        hot_share: 0.0,
        answer_tokens,
        target_ms,
    };
    Options {
        seed,
        daemons: 6,
        engines,
        zones: 4,
        profile: Profile {
            slots: 64,
            prefill_per_ms: 36.7,
            cache_tokens: 400_000,
            interleaves: false,
        },
        classes: vec![
            class("brief", 8.9, 13_000, 3_720, 120, 1_200.0),
            class("spec", 6.2, 6_000, 2_890, 52, 1_000.0),
            class("shade", 10.0, 50, 1_110, 172, 800.0),
        ],
        span_ms: 40_000.0,
        warm_up_ms: 6_000.0,
        gossip_ms: Some((100.0, 150.0)),
        dark: None,
        churn: None,
        tight_target: None,
        placement: Placement::Product,
        scarcity: None,
        spread: Spread::default(),
    }
}

#[test]
fn sessions_stay_at_their_engines_while_prompts_wait() {
    // Three engines can't read all prompts even if sessions stay; four can.
    for (engines, least) in [(3, 0.4), (4, 0.85)] {
        for seed in 1..=4 {
            let summary = play(&few_engines(seed, engines));
            let on_time = summary.classes["brief"].on_time_share();
            assert!(
                on_time >= least,
                "{engines} engines, seed {seed}: {on_time:.3}"
            );
        }
    }
}
