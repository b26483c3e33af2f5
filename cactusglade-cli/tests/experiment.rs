//! Experiments that are described in files.

use cactusglade_cli::experiment::Estimate;
use cactusglade_cli::experiment::Run;
use cactusglade_cli::experiment::Settings;

const ALONE: &str = include_str!("../../examples/experiments/hot-session-alone.toml");
const SHARED: &str = include_str!("../../examples/experiments/hot-session-shared.toml");

fn settings(text: &str) -> Settings {
    Settings::try_new(text).expect("the example is valid")
}

#[test]
fn the_examples_show_what_shared_sightings_are_for() {
    let alone = Run::try_new(&settings(ALONE), 3).expect("the example is played");
    let shared = Run::try_new(&settings(SHARED), 3).expect("the example is played");
    let comparison = alone.compare(&shared);
    let [_, _, difference] = comparison.figures["review: on time"];
    assert!(
        difference.mean > 0.0 && difference.is_significant(),
        "{difference}"
    );
}

#[test]
fn an_experiment_repeats() {
    let estimates = || {
        let run = Run::try_new(&settings(SHARED), 2).expect("the example is played");
        run.estimates()
    };
    assert_eq!(estimates(), estimates());
}

#[test]
fn invalid_experiments_are_refused_with_the_field() {
    for (from, to, field) in [
        (
            "daemons = 195",
            "daemons = 0",
            "daemons is 0, expected at least 1",
        ),
        ("per_s = 123", "per_s = 0", "per_s of class review is 0"),
        (
            "hot_share = 0.26",
            "hot_share = 1.5",
            "hot_share of class review",
        ),
        ("span_ms = 20000", "span_ms = 5000", "span_ms is 5000"),
        ("slots = 12", "slot = 12", "slot"),
    ] {
        let text = ALONE.replacen(from, to, 1);
        let error = Settings::try_new(&text).expect_err("the experiment is not valid");
        assert!(error.to_string().contains(field), "{error}");
    }
}

#[test]
fn a_confidence_interval_has_the_width_of_students_distribution() {
    let estimate = Estimate::new(&[1.0, 2.0, 3.0]);
    assert!((estimate.mean - 2.0).abs() < 1e-9);
    let half_width = estimate.half_width.expect("there are three observations");
    assert!((half_width - 4.303 / 3.0_f64.sqrt()).abs() < 1e-6);
    assert_eq!(Estimate::new(&[1.0]).half_width, None);
}
