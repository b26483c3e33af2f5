//! What the demonstration found: events, figures and invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_daemon::boot::Daemon;
use cactusglade_standin::service::Run;

use crate::demo::Error;
use crate::demo::Result;
use crate::demo::load::Tally;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// `Verdict` gathers events and invariants.
pub struct Verdict {
    lines: Vec<String>,
    invariants: BTreeMap<&'static str, bool>,
    counters: BTreeMap<&'static str, u64>,
}

impl Verdict {
    /// Starts with the seed, which repeats the callers' choices.
    pub fn new(seed: u64) -> Self {
        Self {
            lines: vec![format!("cactusglade demo, seed {seed}")],
            invariants: BTreeMap::new(),
            counters: BTreeMap::new(),
        }
    }

    /// Prints an event as it happens and keeps it for the report.
    pub fn log_event(&mut self, line: String) {
        eprintln!("{line}");
        self.lines.push(line);
    }

    /// Notes whether an invariant held; once broken it stays so.
    pub fn check(&mut self, held: bool, invariant: &'static str) {
        *self.invariants.entry(invariant).or_insert(true) &= held;
    }

    /// Adds a daemon's own counters.
    pub fn add_counters(&mut self, daemon: &Daemon) {
        let metrics = &daemon.metrics;
        let counters = [
            ("tokens given to callers", metrics.tokens.get()),
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

    /// Judges what the callers saw against what the booking services ran.
    pub fn check_answers(&mut self, tally: &Tally, runs: &[Run]) {
        for broken in &tally.broken {
            self.lines.push(format!("broken: {broken}"));
        }
        self.check(
            tally.broken.is_empty(),
            "every accepted request is answered once and whole",
        );
        self.check(tally.complete > 0, "chats were answered");
        let mut times: BTreeMap<&str, u64> = BTreeMap::new();
        for run in runs {
            *times.entry(run.body.as_str()).or_default() += 1;
        }
        self.check(
            times.values().all(|times| *times == 1),
            "no keyed booking ran twice",
        );
        for (name, answers) in &tally.bookings {
            let slot = name.split('/').nth(1).unwrap_or_default();
            let body = format!("{{\"slot\":\"{slot}\"}}");
            let ran = times.contains_key(body.as_str());
            let good = answers.iter().filter(|answer| answer.status == 201);
            let bodies = good.map(|answer| &answer.body).collect::<BTreeSet<_>>();
            self.check(
                bodies.len() <= 1,
                "every repeat of a booking got the same answer",
            );
            self.check(bodies.is_empty() || ran, "a confirmed booking ran");
            let all_no = answers
                .iter()
                .all(|answer| answer.ran.as_deref() == Some("no"));
            self.check(
                !(all_no && ran),
                "where only \"not run\" was said, nothing ran",
            );
        }
        self.add_statistics(tally, runs.len());
    }

    fn add_statistics(&mut self, tally: &Tally, runs: usize) {
        let versions = tally.versions.iter();
        let versions = versions.map(|(version, count)| format!("{version} {count}"));
        let versions = versions.collect::<Vec<_>>().join(", ");
        self.lines
            .push(format!("chats whole: {} ({versions})", tally.complete));
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

    /// The whole report, as an error where an invariant did not hold.
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
