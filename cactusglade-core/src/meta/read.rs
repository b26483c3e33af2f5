//! Reads object files into one [`Document`] and collects every problem of every file.

use std::collections::BTreeMap;

use serde_json::Map;
use serde_json::Value;

use crate::fields::Fields;
use crate::fields::Problem;
use crate::io::Registry;
use crate::meta::Class;
use crate::meta::Document;
use crate::meta::Fencing;
use crate::meta::Model;
use crate::meta::Objective;
use crate::meta::Organisation;
use crate::meta::Rollout;
use crate::meta::Route;
use crate::meta::Service;
use crate::meta::Tenure;
use crate::meta::Upstream;
use crate::meta::Version;
use crate::units::Millis;

const MAX_WEIGHT: u64 = 1_000;
const MAX_TOKENS_PER_SECOND: u64 = 1_000_000_000;
const MAX_SLOTS: u64 = 100_000;
const MAX_PRICE: f64 = 1_000_000.0;
const MAX_DURATION_MS: u64 = 24 * 3_600_000;
const MAX_UNIX_MS: u64 = 1 << 45;
const MAX_EVIDENCE: u64 = 1_000_000;
const MAX_INCARNATION: u64 = 1 << 53;
const DEFAULT_SLOTS: u64 = 16;
const DEFAULT_DEADLINE_MS: u64 = 30_000;
const DEFAULT_FIRST_TOKEN_MS: u64 = 750;
const DEFAULT_BETWEEN_TOKENS_MS: u64 = 60;
const DEFAULT_STEP_MS: u64 = 10_000;
const DEFAULT_EVIDENCE: u64 = 50;
const KEY_PREFIX: &str = "sha256:";
const RESERVED_PREFIXES: [&str; 2] = ["/resume/", "/work/"];
const KEY_HEX_DIGITS: usize = 64;

/// `Source` is one object file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Name of the file as the operator gave it; its extension selects the reader.
    pub file: String,
    /// Text of the file.
    pub text: String,
}

/// Reads all files; the second value holds the problems of all of them.
#[must_use]
pub fn read(sources: &[Source]) -> (Document, Vec<Problem>) {
    let mut document = Document::default();
    let mut problems = Vec::new();
    for source in sources {
        match parse(source) {
            Ok(value) => read_file(&source.file, &value, &mut document, &mut problems),
            Err(problem) => problems.push(problem),
        }
    }
    (document, problems)
}

fn parse(source: &Source) -> Result<Map<String, Value>, Problem> {
    let problem = |reason: String| Problem {
        file: source.file.clone(),
        path: "(file)".to_owned(),
        reason,
    };
    let extension = source.file.rsplit('.').next().unwrap_or_default();
    let format = Registry::default()
        .find(extension)
        .ok_or_else(|| problem(format!("there is no reader for the extension .{extension}")))?;
    match (format.read)(&source.text) {
        Ok(Value::Object(table)) => Ok(table),
        Ok(_) => Err(problem("must be a table of objects".to_owned())),
        Err(error) => Err(problem(error.to_string())),
    }
}

fn read_file(
    file: &str,
    tables: &Map<String, Value>,
    document: &mut Document,
    problems: &mut Vec<Problem>,
) {
    for (kind, value) in tables {
        let mut section = Section {
            file,
            kind,
            value,
            problems,
        };
        match kind.as_str() {
            "organisation" => section.read(&mut document.organisation, organisation),
            "model" => section.read(&mut document.model, model),
            "version" => section.read(&mut document.version, version),
            "service" => section.read(&mut document.service, service),
            "upstream" => section.read(&mut document.upstream, upstream),
            "route" => section.read(&mut document.route, route),
            "rollout" => section.read(&mut document.rollout, rollout),
            "objective" => section.read(&mut document.objective, objective),
            _ => section.reject(
                kind.clone(),
                "unknown kind of object, expected organisation, model, version, service, \
                 upstream, route, rollout or objective",
            ),
        }
    }
}

struct Section<'a> {
    file: &'a str,
    kind: &'a str,
    value: &'a Value,
    problems: &'a mut Vec<Problem>,
}

impl Section<'_> {
    fn reject(&mut self, path: String, reason: &str) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            path,
            reason: reason.to_owned(),
        });
    }

    fn read<T>(&mut self, into: &mut BTreeMap<String, T>, reader: fn(&mut Fields<'_>) -> T) {
        let Some(objects) = self.value.as_object() else {
            self.reject(self.kind.to_owned(), "must be a table of objects by name");
            return;
        };
        for (name, value) in objects {
            let path = format!("{}.{name}", self.kind);
            if !is_name(name) {
                self.reject(
                    path,
                    "a name must have 1 to 64 letters, digits, '-', '_' or '.'",
                );
                continue;
            }
            let Some(table) = value.as_object() else {
                self.reject(path, "must be a table");
                continue;
            };
            let mut fields = Fields::new(self.file, path.clone(), table);
            let object = reader(&mut fields);
            self.problems.extend(fields.finish());
            if into.insert(name.clone(), object).is_some() {
                self.reject(path, "is defined twice");
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    const MAX_NAME_BYTES: usize = 64;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

fn organisation(fields: &mut Fields<'_>) -> Organisation {
    let keys = fields.texts("keys");
    for key in &keys {
        let digits = key.strip_prefix(KEY_PREFIX).unwrap_or_default();
        let hexadecimal = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if digits.len() != KEY_HEX_DIGITS || !digits.chars().all(hexadecimal) {
            fields.reject(
                "keys",
                "each key must be sha256: followed by 64 lower-case hexadecimal digits",
            );
        }
    }
    Organisation {
        weight: fields.integer("weight", 1..=MAX_WEIGHT, Some(1)),
        keys: keys
            .iter()
            .map(|key| key.trim_start_matches(KEY_PREFIX).to_owned())
            .collect(),
        tokens_per_second: fields.integer("tokens_per_second", 0..=MAX_TOKENS_PER_SECOND, Some(0)),
    }
}

fn model(fields: &mut Fields<'_>) -> Model {
    Model {
        version: fields.text("version"),
    }
}

fn version(fields: &mut Fields<'_>) -> Version {
    Version {
        model: fields.text("model"),
    }
}

fn service(fields: &mut Fields<'_>) -> Service {
    Service {
        deduplicates: fields.boolean("deduplicates", false),
    }
}

fn upstream(fields: &mut Fields<'_>) -> Upstream {
    let address = fields.text("address");
    if !address.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
        fields.reject("address", format!("{address:?} is not of the form IP:port"));
    }
    let versions = fields.texts("versions");
    let service = fields.optional_text("service");
    if versions.is_empty() == service.is_none() {
        fields.reject("versions", "expected exactly one of versions and service");
    }
    let tenures = [
        ("reclaimable", Tenure::Reclaimable),
        ("on_demand", Tenure::OnDemand),
    ];
    let fencings = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
    Upstream {
        address,
        host: fields.text("host"),
        zone: fields.text("zone"),
        tenure: fields.choice("class", &tenures, None),
        versions,
        service,
        slots: fields.integer("slots", 1..=MAX_SLOTS, Some(DEFAULT_SLOTS)),
        price: fields.number("price", 0.0..=MAX_PRICE, 1.0),
        fencing: fields.choice("fencing", &fencings, Some(Fencing::Ignored)),
        incarnation: fields.integer("incarnation", 0..=MAX_INCARNATION, Some(0)),
    }
}

fn route(fields: &mut Fields<'_>) -> Route {
    let path = fields.text("path");
    if !path.is_empty() && !path.starts_with('/') {
        fields.reject("path", "must start with /");
    }
    if RESERVED_PREFIXES
        .iter()
        .any(|reserved| path.starts_with(reserved))
    {
        fields.reject("path", "must not start with /resume/ or /work/");
    }
    let model = fields.optional_text("model");
    let service = fields.optional_text("service");
    if model.is_some() == service.is_some() {
        fields.reject("model", "expected exactly one of model and service");
    }
    let methods = [
        ("GET", "GET"),
        ("POST", "POST"),
        ("PUT", "PUT"),
        ("DELETE", "DELETE"),
    ];
    let classes = [
        ("interactive", Class::Interactive),
        ("deferrable", Class::Deferrable),
    ];
    let mut duration =
        |field, default| Millis(fields.integer(field, 1..=MAX_DURATION_MS, Some(default)));
    let deadline_ms = duration("deadline_ms", DEFAULT_DEADLINE_MS);
    let first_token_ms = duration("first_token_ms", DEFAULT_FIRST_TOKEN_MS);
    let between_tokens_ms = duration("between_tokens_ms", DEFAULT_BETWEEN_TOKENS_MS);
    Route {
        path,
        method: fields.choice("method", &methods, Some("POST")).to_owned(),
        idempotent: fields.boolean("idempotent", model.is_some()),
        model,
        service,
        class: fields.choice("class", &classes, Some(Class::Interactive)),
        deadline_ms,
        first_token_ms,
        between_tokens_ms,
    }
}

fn rollout(fields: &mut Fields<'_>) -> Rollout {
    let steps = fields.integers("steps");
    let is_rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
    if steps.is_empty() || !is_rising || steps.iter().any(|step| !(1..=100).contains(step)) {
        fields.reject("steps", "must be percentages from 1 to 100 in rising order");
    }
    Rollout {
        model: fields.text("model"),
        from: fields.text("from"),
        to: fields.text("to"),
        steps,
        step_ms: Millis(fields.integer("step_ms", 1..=MAX_DURATION_MS, Some(DEFAULT_STEP_MS))),
        evidence: fields.integer("evidence", 1..=MAX_EVIDENCE, Some(DEFAULT_EVIDENCE)),
        deadline_unix_ms: Millis(fields.integer("deadline_unix_ms", 1..=MAX_UNIX_MS, None)),
    }
}

fn objective(fields: &mut Fields<'_>) -> Objective {
    Objective {
        route: fields.text("route"),
        target: fields.number("target", 0.5..=0.999_999, 0.99),
        latency_ms: Millis(fields.integer(
            "latency_ms",
            1..=MAX_DURATION_MS,
            Some(DEFAULT_FIRST_TOKEN_MS),
        )),
    }
}
