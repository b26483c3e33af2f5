//! Burn rates from the counters of several daemons, including counter resets after a restart.

use cactusglade_cli::burn::Goals;
use cactusglade_cli::burn::Key;
use cactusglade_cli::burn::Objective;
use cactusglade_cli::burn::Report;
use cactusglade_cli::burn::Sample;
use cactusglade_cli::burn::Series;
use cactusglade_cli::burn::draw;
use cactusglade_core::units::Millis;

fn metrics(good: u64, late: u64, failed: u64) -> String {
    let line = |result: &str, count: u64| {
        format!(
            "cactusglade_goals_total{{organisation=\"north\",result=\"{result}\",route=\"chat\"}} {count}\n"
        )
    };
    let head = "# HELP cactusglade_goals_total Requests\n# TYPE cactusglade_goals_total counter\n";
    [
        head.to_owned(),
        line("good", good),
        line("late", late),
        line("failed", failed),
    ]
    .concat()
}

fn sample(seconds: u64, daemon: &str, counts: (u64, u64, u64)) -> Sample {
    let text = metrics(counts.0, counts.1, counts.2);
    Sample::try_new(Millis(seconds * 1_000), daemon, &text)
        .expect("the metrics are in Prometheus text format")
}

fn objective() -> Objective {
    Objective {
        target: 0.9,
        fast: Millis(10_000),
        slow: Millis(100_000),
    }
}

fn series(samples: &[Sample]) -> Series {
    let mut series = Series::default();
    for sample in samples {
        series.push(sample);
    }
    series
}

#[test]
fn counts_of_all_daemons_are_merged_over_both_windows() {
    let series = series(&[
        sample(0, "a", (0, 0, 0)),
        sample(0, "b", (1_000, 0, 0)),
        sample(50, "a", (80, 10, 10)),
        sample(50, "b", (1_100, 0, 0)),
        sample(100, "a", (80, 20, 10)),
        sample(100, "b", (1_190, 0, 0)),
    ]);
    let report =
        Report::try_new(&series, objective()).expect("the series has increases between samples");
    let [row] = &report.rows[..] else {
        panic!("{:?}", report.rows);
    };
    let key = Key {
        route: "chat".to_owned(),
        organisation: "north".to_owned(),
    };
    assert_eq!(row.key, key);
    let expected = Goals {
        good: 270.0,
        late: 20.0,
        failed: 10.0,
    };
    assert_eq!(row.goals, expected);
    let near =
        |burn: Option<f64>, expected: f64| burn.is_some_and(|burn| (burn - expected).abs() < 1e-9);
    assert!(near(row.fast, 1.0), "{row:?}");
    assert!(near(row.slow, 1.0), "{row:?}");
    assert!(row.left.abs() < 1e-9, "{row:?}");
    assert!(report.text().contains("no counter resets"));
}

#[test]
fn a_counter_reset_counts_from_zero_and_the_possible_gap_is_reported() {
    let series = series(&[
        sample(0, "a", (500, 0, 0)),
        sample(5, "a", (600, 0, 0)),
        sample(10, "a", (30, 10, 0)),
        sample(15, "a", (60, 10, 0)),
    ]);
    let report =
        Report::try_new(&series, objective()).expect("the series has increases between samples");
    let goals = report.rows[0].goals;
    assert_eq!((goals.good, goals.late), (160.0, 10.0));
    assert_eq!((report.restarts, report.missing), (1, Millis(5_000)));
    assert!(report.text().contains("counter resets: 1; up to 5000 ms"));
}

#[test]
fn one_sample_is_not_enough_for_a_report() {
    let series = series(&[sample(0, "a", (1, 1, 1))]);
    assert!(Report::try_new(&series, objective()).is_err());
}

#[test]
fn the_chart_names_each_route() {
    let series = series(&[sample(0, "a", (0, 0, 0)), sample(60, "a", (10, 5, 0))]);
    let report =
        Report::try_new(&series, objective()).expect("the series has increases between samples");
    let page = draw(&series, &report).expect("the chart can be drawn");
    assert!(page.starts_with("<svg") && page.contains("chat"), "{page}");
}
