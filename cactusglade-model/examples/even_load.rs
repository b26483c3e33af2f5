//! Prints how evenly requests are spread, by rule, age of information, daemons and load.
//!
//! `cargo run --release -p cactusglade-model --example even_load [quick] [KIND...] [LOAD...]`; the
//! kinds are `asds` and `prl` (application servers), and `engines`. See `docs/design/even-load.md`.

use cactusglade_core::units::Millis;
use cactusglade_model::engine::Profile;
use cactusglade_model::fleet;
use cactusglade_model::fleet::Noise;
use cactusglade_model::fleet::Options;
use cactusglade_model::fleet::Placement;
use cactusglade_model::fleet::Rule;
use cactusglade_model::fleet::Spread;
use cactusglade_model::load::Class;
use cactusglade_policy::estimate::Tuning;

/// Share of the engines that are slow, and by how much, as on the deployments' data sheets.
const NOISE: Noise = Noise {
    share: 0.15,
    factor: 2.5,
    period_ms: 600.0,
};
/// Share of the nominal capacity that is left with [`NOISE`].
const NOISY_CAPACITY: f64 = 0.85 + 0.15 / 2.5;
const AGES_MS: [f64; 4] = [50.0, 200.0, 500.0, 1_000.0];
const DAEMONS: [usize; 4] = [8, 77, 195, 400];
const LOADS: [f64; 3] = [0.5, 0.8, 0.95];
/// Daemons and ages of the quick table.
const QUICK: [(usize, f64); 4] = [(8, 50.0), (8, 500.0), (77, 500.0), (400, 500.0)];

/// `Case` is a rule of the table.
struct Case {
    name: String,
    rule: Rule,
    /// Weights of the estimate, where it is used.
    tuning: Option<Tuning>,
}

/// Returns the bounds, the former rule, the estimate, and variants of it: factors of the deviation
/// and of the return time, separated by a comma.
fn cases(variants: &[String]) -> Vec<Case> {
    let case = |name: &str, rule, tuning| Case {
        name: name.to_owned(),
        rule,
        tuning,
    };
    let mut cases = vec![
        case("random", Rule::Random, None),
        case("former", Rule::Known, None),
        case("estimate", Rule::Known, Some(Tuning::default())),
    ];
    for variant in variants {
        let numbers = variant.split(',').filter_map(|number| number.parse().ok());
        if let [deviation, return_time] = numbers.collect::<Vec<f64>>()[..] {
            let tuning = Tuning {
                deviation,
                return_time,
            };
            cases.push(case(variant, Rule::Known, Some(tuning)));
        }
    }
    cases.push(case("exact", Rule::Exact, None));
    cases
}

/// `Kind` is a service and its upstreams.
struct Kind {
    name: &'static str,
    engines: usize,
    slots: usize,
    /// Time of a request without a prompt in milliseconds.
    work_ms: Option<f64>,
    /// Number of plays of each cell.
    seeds: u32,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "asds",
        engines: 5,
        slots: 6,
        work_ms: Some(60.0),
        seeds: 3,
    },
    Kind {
        name: "prl",
        engines: 4,
        slots: 6,
        work_ms: Some(15.0),
        seeds: 1,
    },
    Kind {
        name: "engines",
        engines: 90,
        slots: 16,
        work_ms: None,
        seeds: 1,
    },
];

/// Engine time of a decoding step at a middling load, in milliseconds.
const STEP_MS: f64 = 4.8;
const PREFILL_PER_MS: f64 = 112.0;

fn class(name: &str, weight: f64, tokens: [u64; 3], answer_tokens: u64) -> Class {
    let [common_tokens, session_tokens, own_tokens] = tokens;
    Class {
        name: name.to_owned(),
        per_s: weight,
        common_tokens,
        session_tokens,
        own_tokens,
        own_sigma: 0.0,
        sessions: 800,
        hot_share: 0.0,
        answer_tokens,
        target_ms: 500.0,
    }
}

/// Returns the classes at a load relative to what the engines can do in time.
#[allow(clippy::cast_precision_loss)]
fn classes(kind: &Kind, load: f64) -> Vec<Class> {
    let (engines, slots) = (kind.engines as f64, kind.slots as f64);
    let mut classes = vec![
        class("review", 1.0, [512, 4_870, 6_610], 120),
        class("query", 1.0, [119, 79, 628], 294),
        class("summary", 2.0, [341, 227, 1_800], 24),
    ];
    let (mut slot_ms, mut prefill_ms) = (0.0, 0.0);
    for class in &classes {
        // A session's part is found in the cache about half of the time.
        let tokens = class.own_tokens + class.session_tokens / 2;
        let prefill = tokens as f64 / PREFILL_PER_MS;
        prefill_ms += class.per_s * prefill;
        slot_ms += class.per_s * (prefill + class.answer_tokens as f64 * STEP_MS);
    }
    if let Some(work_ms) = kind.work_ms {
        (slot_ms, prefill_ms) = (4.0 * work_ms, 0.0);
    }
    let busy_ms = (slot_ms / slots).max(prefill_ms) / engines;
    for class in &mut classes {
        class.per_s *= load * NOISY_CAPACITY * 1_000.0 / busy_ms;
    }
    classes
}

fn play(kind: &Kind, case: &Case, cell: (f64, usize, f64)) -> [f64; 5] {
    let (age_ms, daemons, load) = cell;
    let mut sums = [0.0; 5];
    for seed in 1..=kind.seeds {
        let options = Options {
            seed: seed.into(),
            daemons,
            engines: kind.engines,
            zones: 4,
            profile: Profile {
                slots: kind.slots,
                prefill_per_ms: PREFILL_PER_MS,
                cache_tokens: 1_000_000,
                interleaves: false,
            },
            classes: classes(kind, load),
            span_ms: 14_000.0,
            warm_up_ms: 4_000.0,
            // What is reported waits for half the interval on average.
            gossip_ms: Some((0.4 * age_ms, 0.8 * age_ms)),
            dark: None,
            churn: None,
            tight_target: case.tuning.map(|_| Millis(1_000)),
            placement: Placement::Product,
            scarcity: None,
            spread: Spread {
                rule: case.rule,
                tuning: case.tuning.unwrap_or_default(),
                noise: Some(NOISE),
                work_ms: kind.work_ms,
                states_at_answer: true,
                ..Spread::default()
            },
        };
        let summary = fleet::play(&options).expect("the options are valid");
        let figures = [
            summary.wait(0.99),
            summary.wait(0.5),
            summary.deviation(),
            summary.imbalance,
            summary.needless_share(),
        ];
        for (sum, figure) in sums.iter_mut().zip(figures) {
            *sum += figure / f64::from(kind.seeds);
        }
    }
    sums
}

fn main() {
    let wanted = std::env::args().skip(1).collect::<Vec<_>>();
    let is_quick = wanted.iter().any(|one| one == "quick");
    let cases = cases(&wanted);
    let is_wanted = |kind: &Kind| {
        let all = KINDS
            .iter()
            .all(|kind| !wanted.iter().any(|one| one == kind.name));
        all || wanted.iter().any(|one| one == kind.name)
    };
    println!(
        "kind | load | daemons | age ms | rule: p99 wait ms, median wait ms, deviation, \
         busiest/mean, needless waits"
    );
    for kind in KINDS.iter().filter(|kind| is_wanted(kind)) {
        let named = wanted.iter().filter_map(|one| one.parse::<f64>().ok());
        let named = named.collect::<Vec<_>>();
        let loads = LOADS.iter().copied();
        for load in loads.filter(|load| named.is_empty() || named.contains(load)) {
            for daemons in DAEMONS {
                for age in AGES_MS {
                    if is_quick && !QUICK.contains(&(daemons, age)) {
                        continue;
                    }
                    print!("{} | {load} | {daemons} | {age}", kind.name);
                    for case in &cases {
                        let [p99, median, deviation, busiest, needless] =
                            play(kind, case, (age, daemons, load));
                        print!(
                            " | {}: {p99:.0}, {median:.0}, {deviation:.2}, {busiest:.2}, \
                             {needless:.3}",
                            case.name
                        );
                    }
                    println!();
                }
            }
        }
    }
}
