//! The results of the demonstration: events, statistics and invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_daemon::boot::Daemon;
use cactusglade_standin::service::Run;

use crate::demo::Error;
use crate::demo::Result;
use crate::demo::load::Tally;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// `Verdict` collects events, counters and the invariants that held or broke.
pub struct Verdict {
    lines: Vec<String>,
    invariants: BTreeMap<&'static str, bool>,
    counters: BTreeMap<&'static str, u64>,
}

impl Verdict {
    /// Creates a verdict whose report begins with the seed of the callers' random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            lines: vec![format!("cactusglade demo, seed {seed}")],
            invariants: BTreeMap::new(),
            counters: BTreeMap::new(),
        }
    }

    /// Prints an event to standard error at once and adds it to the report.
    pub fn log_event(&mut self, line: String) {
        eprintln!("{line}");
        self.lines.push(line);
    }

    /// Records one check of an invariant; an invariant that failed once counts as broken.
    pub fn check(&mut self, held: bool, invariant: &'static str) {
        *self.invariants.entry(invariant).or_insert(true) &= held;
    }

    /// Adds a daemon's counters to the sums over all daemons.
    pub fn add_counters(&mut self, daemon: &Daemon) {
        let metrics = &daemon.metrics;
        let counters = [
            ("tokens sent to callers", metrics.tokens.get()),
            ("tokens computed", metrics.computed.get()),
            ("tokens recomputed", metrics.recomputed.get()),
            ("attempts beyond the first", metrics.retries.get()),
            ("streams moved off leaving upstreams", metrics.moves.get()),
            ("answers of another attempt", metrics.mismatches.get()),
        ];
        for (name, count) in counters {
            *self.counters.entry(name).or_default() += count;
        }
    }

    /// Checks the callers' answers against the runs that the booking services recorded.
    pub fn check_answers(&mut self, tally: &Tally, runs: &[Run]) {
        for broken in &tally.broken {
            self.lines.push(format!("broken: {broken}"));
        }
        self.check(
            tally.broken.is_empty(),
            "every accepted request is answered once and completely",
        );
        self.check(tally.complete > 0, "chats were answered");
        let mut run_counts: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs {
            *run_counts.entry(run.body.as_str()).or_default() += 1;
        }
        self.check(
            run_counts.values().all(|count| *count == 1),
            "no keyed booking ran twice",
        );
        for (name, answers) in &tally.bookings {
            let slot = name.split('/').nth(1).unwrap_or_default();
            let body = format!("{{\"slot\":\"{slot}\"}}");
            let ran = run_counts.contains_key(body.as_str());
            let good = answers.iter().filter(|answer| answer.status == 201);
            let bodies = good.map(|answer| &answer.body).collect::<BTreeSet<_>>();
            self.check(
                bodies.len() <= 1,
                "every repeat of a booking got the same answer",
            );
            self.check(bodies.is_empty() || ran, "a confirmed booking ran");
            let all_not_run = answers
                .iter()
                .all(|answer| answer.ran.as_deref() == Some("no"));
            self.check(
                !(all_not_run && ran),
                "no booking ran whose answers all said \"not run\"",
            );
        }
        self.add_statistics(tally, runs.len());
    }

    fn add_statistics(&mut self, tally: &Tally, runs: usize) {
        let versions = tally.versions.iter();
        let versions = versions.map(|(version, count)| format!("{version} {count}"));
        let versions = versions.collect::<Vec<_>>().join(", ");
        self.lines
            .push(format!("complete chats: {} ({versions})", tally.complete));
        let milliseconds = |micros: u64| {
            #[allow(clippy::cast_precision_loss)]
            let micros = micros as f64;
            micros / MICROS_PER_MILLI
        };
        for (name, histogram) in [
            ("first token", &tally.first_token),
            ("between tokens", &tally.between_tokens),
        ] {
            self.lines.push(format!(
                "{name}: p50 {:.1} ms, p95 {:.1} ms",
                milliseconds(histogram.value_at_quantile(0.50)),
                milliseconds(histogram.value_at_quantile(0.95)),
            ));
        }
        let calls = tally.bookings.values().map(Vec::len).sum::<usize>();
        let keys = tally.bookings.len();
        let checks = tally.checks;
        self.lines.push(format!(
            "bookings: {keys} keys, {calls} calls, {runs} runs; status checks: {checks}"
        ));
        for (code, count) in &tally.refused {
            self.lines.push(format!("refused with {code}: {count}"));
        }
        for (name, count) in &self.counters {
            self.lines.push(format!("{name}: {count}"));
        }
    }

    /// Returns the report, as an error if an invariant did not hold.
    pub fn report(mut self) -> Result<String> {
        let held = self.invariants.values().all(|held| *held);
        for (invariant, held) in &self.invariants {
            let word = if *held { "held" } else { "BROKEN" };
            self.lines.push(format!("{word}: {invariant}"));
        }
        let text = self.lines.join("\n");
        if held { Ok(text) } else { Err(Error(text)) }
    }
}
