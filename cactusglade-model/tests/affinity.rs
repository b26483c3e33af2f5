//! Guards against prompts that are read again although an engine has them cached, while engines come
//! and go.

use cactusglade_core::units::Millis;
use cactusglade_model::engine::Profile;
use cactusglade_model::fleet;
use cactusglade_model::fleet::Churn;
use cactusglade_model::fleet::Options;
use cactusglade_model::fleet::Placement;
use cactusglade_model::fleet::Spread;
use cactusglade_model::fleet::Summary;
use cactusglade_model::load::Class;

/// Interval of heartbeats in a zone of 32 daemons, and time until all zones have a report.
const GOSSIP_MS: (f64, f64) = (200.0, 350.0);
/// Latency target of the model's route, at which the service is latency-critical.
const TIGHT: Option<Millis> = Some(Millis(1_000));

/// Difference between two runs in the requests of the busiest engine over the mean that is chance:
/// some 300 requests an engine.
const CHANCE: f64 = 0.05;

/// Zones that are reclaimed in turn, at the rate of a day with trouble.
const ZONES_LEAVE: Churn = Churn {
    first_ms: 30_000.0,
    interval_ms: 15_000.0,
    reclaims: 6,
    boot_ms: 4_000.0,
};
/// The worst day: some 500 engines in 50 s.
const WORST_DAY: Churn = Churn {
    first_ms: 30_000.0,
    interval_ms: 3_000.0,
    reclaims: 17,
    boot_ms: 4_000.0,
};

fn class(name: &str, per_s: f64, tokens: (u64, u64, u64), sessions: u64) -> Class {
    let (common_tokens, session_tokens, own_tokens) = tokens;
    Class {
        name: name.to_owned(),
        per_s,
        common_tokens,
        session_tokens,
        own_tokens,
        own_sigma: 0.9,
        sessions,
        hot_share: 0.0,
        answer_tokens: 100,
        target_ms: 500.0,
    }
}

fn options(daemons: usize, churn: Option<Churn>, tight_target: Option<Millis>) -> Options {
    let mut review = class("review", 150.0, (512, 4_870, 6_610), 1_250);
    review.target_ms = 800.0;
    review.answer_tokens = 200;
    let query = class("query", 145.0, (119, 79, 628), 524);
    let summary = class("summary", 200.0, (341, 227, 1_800), 974);
    Options {
        seed: 1,
        daemons,
        engines: 90,
        zones: 3,
        profile: Profile {
            slots: 16,
            prefill_per_ms: 66.2,
            cache_tokens: 500_000,
            interleaves: false,
        },
        classes: vec![review, query, summary],
        span_ms: 120_000.0,
        warm_up_ms: 25_000.0,
        gossip_ms: Some(GOSSIP_MS),
        dark: None,
        spread: Spread::default(),
        churn,
        tight_target,
        placement: Placement::Product,
        scarcity: None,
    }
}

fn play(options: &Options) -> Summary {
    let summary = fleet::play(options).expect("the options are valid");
    let on_time = summary.classes.iter();
    let on_time = on_time.map(|(name, one)| format!("{name} {:.4}", one.on_time_share()));
    println!(
        "{} daemons, {:?}, tight {}: found {:.4} (of all {:.3}), busiest/mean {:.3}, {}",
        options.daemons,
        options.placement,
        options.tight_target.is_some(),
        summary.found_share(),
        summary.cached_share(),
        summary.imbalance,
        on_time.collect::<Vec<_>>().join(", ")
    );
    summary
}

/// One session has a fifth of the longest prompts, more than one engine can read. Its spill-over went
/// to engines at random, each time too late for the requests that waited before.
#[test]
fn a_hot_session_uses_as_many_engines_as_it_needs() {
    for daemons in [24, 77, 195, 400] {
        let [today, ranked] = [None, TIGHT].map(|tight| {
            let mut options = options(daemons, None, tight);
            options.classes[0].hot_share = 0.2;
            options.span_ms = 60_000.0;
            play(&options)
        });
        let on_time = |summary: &Summary| summary.classes["review"].on_time_share();
        let (before, after) = (on_time(&today), on_time(&ranked));
        assert!(after >= 0.97, "{daemons} daemons: {after:.3} on time");
        assert!(after > before, "{daemons} daemons: {before:.3} before");
        let imbalance = ranked.imbalance;
        assert!(
            imbalance <= today.imbalance,
            "{daemons} daemons: {imbalance:.2} times the mean"
        );
    }
}

/// While all engines stay, prompts were read again where sessions left their engines for a short wait.
/// The goal is 90% of what could be found, and that no engine gets more than before.
#[test]
fn shared_tokens_are_found_cached_while_engines_stay() {
    for daemons in [24, 77, 195, 400] {
        let [today, ranked] = [None, TIGHT].map(|tight| {
            let mut options = options(daemons, None, tight);
            options.span_ms = 60_000.0;
            play(&options)
        });
        let found = ranked.found_share();
        assert!(found >= 0.9, "{daemons} daemons: {found:.3} found");
        let (before, after) = (today.imbalance, ranked.imbalance);
        assert!(
            after <= before + CHANCE,
            "{daemons} daemons: {before:.2}, {after:.2}"
        );
    }
}

/// Zones of engines leave and come back with nothing cached. All sessions of a new engine began there
/// at the same moment, and engines that had joined last were the busiest.
#[test]
fn a_zone_that_comes_back_is_no_busier_than_the_others() {
    for daemons in [24, 400] {
        let [today, ranked] = [None, TIGHT].map(|tight| {
            let mut options = options(daemons, Some(ZONES_LEAVE), tight);
            options.span_ms = 70_000.0;
            play(&options).imbalance
        });
        assert!(
            ranked <= today,
            "{daemons} daemons: {today:.2}, {ranked:.2}"
        );
    }
}

fn table(load: &str, churn: Option<Churn>, hot_share: f64) {
    for daemons in [24, 77, 195, 400] {
        for (rule, tight) in [
            (Placement::Product, None),
            (Placement::Product, TIGHT),
            (Placement::BoundedLoads(1.25), None),
            (Placement::BoundedLoads(2.0), None),
            (Placement::SharedCaches, None),
        ] {
            let mut options = options(daemons, churn, tight);
            options.placement = rule;
            options.classes[0].hot_share = hot_share;
            print!("{load}: ");
            play(&options);
        }
    }
}

/// The figures of docs/design/affinity.md, for a release build.
#[test]
#[ignore = "prints a table"]
fn table_of_a_calm_load() {
    table("calm", None, 0.0);
}

#[test]
#[ignore = "prints a table"]
fn table_of_zones_that_leave() {
    table("zones leave", Some(ZONES_LEAVE), 0.0);
}

#[test]
#[ignore = "prints a table"]
fn table_of_the_worst_day() {
    table("worst day", Some(WORST_DAY), 0.0);
}

#[test]
#[ignore = "prints a table"]
fn table_of_a_hot_session() {
    table("hot session", None, 0.2);
}
