//! The events of one request, the state of the daemons involved, and concurrent upstream failures.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;

use super::line::Line;

/// Events that report a change of a daemon's state: the event, the subject shown for it, and the
/// field that distinguishes several subjects of the same kind.
const STATE_EVENTS: [(&str, &str, Option<&str>); 15] = [
    ("configuration_in_force", "configuration", None),
    ("configuration_refused", "refused configuration", None),
    (
        "configuration_behind",
        "newer configuration elsewhere",
        None,
    ),
    ("generation_in_force", "configuration", None),
    ("fleet_changed", "other daemons", None),
    ("store_lost", "store", Some("source")),
    ("store_regained", "store", Some("source")),
    ("history_lost", "history", Some("source")),
    ("answer_outdated", "outdated answer", Some("source")),
    ("version_withheld", "withheld version", Some("service")),
    ("version_vetoed", "vetoed version", Some("rollout")),
    ("duties", "duties", None),
    ("draining", "shutdown", None),
    ("host_reclaimed", "own host", None),
    ("daemon_started", "start", None),
];
/// Time before and after the request in which other events of its upstreams are shown.
const CONTEXT_WINDOW: Millis = Millis(5_000);
/// Events of normal operation, which indicate no fault of an upstream.
const ROUTINE_EVENTS: [&str; 2] = ["placed", "request"];
/// Maximum number of other log lines shown per upstream.
const MAX_CONTEXT_LINES: usize = 8;

/// `Timeline` holds the log lines that explain one request.
#[derive(Clone, Debug)]
pub struct Timeline {
    id: String,
    events: Vec<Line>,
    states: BTreeMap<String, Vec<(String, Line)>>,
    upstreams: BTreeMap<String, Vec<Line>>,
}

impl Timeline {
    /// Builds the timeline of a request, or returns `None` if no line has its id.
    #[must_use]
    pub fn find(id: &str, lines: &[Line]) -> Option<Self> {
        let events = lines.iter().filter(|line| line.request() == Some(id));
        let mut events = events.cloned().collect::<Vec<_>>();
        events.sort_by_key(|line| line.at);
        let last = events.last()?.at;
        let daemons = events.iter().map(|line| line.daemon.clone());
        let states = daemons.collect::<BTreeSet<_>>().into_iter().map(|daemon| {
            let latest = states(lines, &daemon, last);
            (daemon, latest)
        });
        let upstreams = events.iter().filter_map(|line| line.field("upstream"));
        let upstreams = upstreams.collect::<BTreeSet<_>>().into_iter().map(|name| {
            let context = context_lines(lines, id, name, events[0].at, last);
            (name.to_owned(), context)
        });
        Some(Self {
            id: id.to_owned(),
            states: states.collect(),
            upstreams: upstreams.collect(),
            events,
        })
    }

    /// Describes how the request ended: code, HTTP status, duration, and whether it ran upstream.
    #[must_use]
    pub fn outcome(&self) -> String {
        let end = self
            .events
            .iter()
            .rev()
            .find(|line| line.event == "request");
        let Some(end) = end else {
            return "no daemon has logged the end of the request: it is still open, or the daemon \
                    was killed"
                .into();
        };
        let code = end.field("code").unwrap_or("-");
        let kind = Kind::ALL
            .into_iter()
            .find(|kind| kind.answer().code == code);
        let took = end.field("took_ms").unwrap_or("?");
        match kind {
            None => format!("{code} after {took} ms"),
            Some(kind) => {
                let answer = kind.answer();
                let ran = answer.ran.as_str();
                format!("{code} ({}) after {took} ms; it ran: {ran}", answer.status)
            }
        }
    }

    /// Formats the timeline as text, in chronological order.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("request {}: {}\n", self.id, self.outcome());
        let start = self.events.first().map_or(Millis(0), |line| line.at);
        for line in &self.events {
            // Writing to a string can't fail.
            let _ = writeln!(text, "  {} {}: {line}", offset(start, line.at), line.daemon);
        }
        let last = self.events.last().map_or(start, |line| line.at);
        for (daemon, states) in &self.states {
            let _ = writeln!(text, "last state logged by {daemon} before the end:");
            for (subject, line) in states {
                let age = offset(last, line.at);
                let _ = writeln!(text, "  {subject}, since {age}: {line}");
            }
        }
        for (upstream, lines) in &self.upstreams {
            let _ = writeln!(text, "other events of {upstream} around the request:");
            for line in lines {
                let at = offset(start, line.at);
                let request = line.request().unwrap_or("-");
                let _ = writeln!(text, "  {at} {} (request {request}): {line}", line.daemon);
            }
            if lines.is_empty() {
                text.push_str("  none\n");
            }
        }
        text.trim_end().to_owned()
    }
}

/// Returns the latest state event of each subject that a daemon logged up to a time, inclusive.
fn states(lines: &[Line], daemon: &str, until: Millis) -> Vec<(String, Line)> {
    let mut latest: BTreeMap<String, &Line> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.daemon == daemon) {
        let state = STATE_EVENTS.iter().find(|(event, ..)| *event == line.event);
        let Some((_, subject, field)) = state.filter(|_| line.at <= until) else {
            continue;
        };
        let which = field.and_then(|field| line.field(field));
        let subject = which.map_or((*subject).to_owned(), |which| {
            format!("{subject} ({which})")
        });
        let newest = latest.entry(subject).or_insert(line);
        if line.at >= newest.at {
            *newest = line;
        }
    }
    let latest = latest.into_iter();
    latest
        .map(|(subject, line)| (subject, line.clone()))
        .collect()
}

/// Returns the events of an upstream around the time of a request, without routine events and the
/// request's own.
fn context_lines(lines: &[Line], id: &str, upstream: &str, from: Millis, to: Millis) -> Vec<Line> {
    let context = lines.iter().filter(|line| {
        let is_other = line.request() != Some(id) && !ROUTINE_EVENTS.contains(&line.event.as_str());
        let is_in_window = line.at + CONTEXT_WINDOW >= from && line.at <= to + CONTEXT_WINDOW;
        is_other && is_in_window && line.field("upstream") == Some(upstream)
    });
    let mut context = context.cloned().collect::<Vec<_>>();
    context.sort_by_key(|line| line.at);
    context.truncate(MAX_CONTEXT_LINES);
    context
}

/// Formats the signed difference between two times in milliseconds.
fn offset(from: Millis, to: Millis) -> String {
    if to >= from {
        format!("+{} ms", (to - from).0)
    } else {
        format!("-{} ms", (from - to).0)
    }
}
