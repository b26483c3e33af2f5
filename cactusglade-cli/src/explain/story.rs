//! What happened to one request, and what the daemons concerned believed meanwhile.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;

use super::line::Line;

/// Events that change what a daemon believes, with the field that tells beliefs of one kind apart.
const BELIEFS: [(&str, &str, Option<&str>); 14] = [
    ("configuration_in_force", "configuration", None),
    ("configuration_refused", "refused configuration", None),
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
/// Time around the request in which what other requests met at the same upstream is shown.
const AROUND: Millis = Millis(5_000);
/// Events that say nothing wrong of an upstream.
const ROUTINE: [&str; 2] = ["placed", "request"];
/// Lines about one upstream that are shown.
const MOST: usize = 8;

/// `Story` of one request.
#[derive(Clone, Debug)]
pub struct Story {
    id: String,
    own: Vec<Line>,
    beliefs: BTreeMap<String, Vec<(String, Line)>>,
    upstreams: BTreeMap<String, Vec<Line>>,
}

impl Story {
    /// Puts the story of a request together, nothing where no line names it.
    #[must_use]
    pub fn find(id: &str, lines: &[Line]) -> Option<Self> {
        let own = lines.iter().filter(|line| line.request() == Some(id));
        let mut own = own.cloned().collect::<Vec<_>>();
        own.sort_by_key(|line| line.at);
        let last = own.last()?.at;
        let daemons = own.iter().map(|line| line.daemon.clone());
        let beliefs = daemons.collect::<BTreeSet<_>>().into_iter().map(|daemon| {
            let known = beliefs(lines, &daemon, last);
            (daemon, known)
        });
        let upstreams = own.iter().filter_map(|line| line.field("upstream"));
        let upstreams = upstreams.collect::<BTreeSet<_>>().into_iter().map(|name| {
            let near = around(lines, id, name, own[0].at, last);
            (name.to_owned(), near)
        });
        Some(Self {
            id: id.to_owned(),
            beliefs: beliefs.collect(),
            upstreams: upstreams.collect(),
            own,
        })
    }

    /// How it ended, in words.
    #[must_use]
    pub fn verdict(&self) -> String {
        let end = self.own.iter().rev().find(|line| line.event == "request");
        let Some(end) = end else {
            return "no daemon has logged its end: it is still open, or the daemon was killed"
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

    /// The story as text, in the order of time.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("request {}: {}\n", self.id, self.verdict());
        let start = self.own.first().map_or(Millis(0), |line| line.at);
        for line in &self.own {
            // Writing to a string does not fail.
            let _ = writeln!(text, "  {} {}: {line}", span(start, line.at), line.daemon);
        }
        let last = self.own.last().map_or(start, |line| line.at);
        for (daemon, beliefs) in &self.beliefs {
            let _ = writeln!(text, "what {daemon} believed at the end:");
            for (subject, line) in beliefs {
                let age = span(last, line.at);
                let _ = writeln!(text, "  {subject}, since {age}: {line}");
            }
        }
        for (upstream, lines) in &self.upstreams {
            let _ = writeln!(text, "what else was logged of {upstream} about then:");
            for line in lines {
                let at = span(start, line.at);
                let request = line.request().unwrap_or("-");
                let _ = writeln!(text, "  {at} {} (request {request}): {line}", line.daemon);
            }
            if lines.is_empty() {
                text.push_str("  nothing\n");
            }
        }
        text.trim_end().to_owned()
    }
}

/// The last word of each kind that a daemon had logged by a time.
fn beliefs(lines: &[Line], daemon: &str, until: Millis) -> Vec<(String, Line)> {
    let mut known: BTreeMap<String, &Line> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.daemon == daemon) {
        let belief = BELIEFS.iter().find(|(event, ..)| *event == line.event);
        let Some((_, subject, field)) = belief.filter(|_| line.at <= until) else {
            continue;
        };
        let which = field.and_then(|field| line.field(field));
        let subject = which.map_or((*subject).to_owned(), |which| {
            format!("{subject} ({which})")
        });
        let newest = known.entry(subject).or_insert(line);
        if line.at >= newest.at {
            *newest = line;
        }
    }
    let known = known.into_iter();
    known
        .map(|(subject, line)| (subject, line.clone()))
        .collect()
}

/// What went wrong at an upstream about the time of a request, other than by the request itself.
fn around(lines: &[Line], id: &str, upstream: &str, from: Millis, to: Millis) -> Vec<Line> {
    let near = lines.iter().filter(|line| {
        let is_other = line.request() != Some(id) && !ROUTINE.contains(&line.event.as_str());
        let is_near = line.at + AROUND >= from && line.at <= to + AROUND;
        is_other && is_near && line.field("upstream") == Some(upstream)
    });
    let mut near = near.cloned().collect::<Vec<_>>();
    near.sort_by_key(|line| line.at);
    near.truncate(MOST);
    near
}

/// A span from one time to another, with its sign.
fn span(from: Millis, to: Millis) -> String {
    if to >= from {
        format!("+{} ms", (to - from).0)
    } else {
        format!("-{} ms", (from - to).0)
    }
}
