//! Measures the time of decisions by the size of the object set, in a single run.
//!
//! Run with `cargo bench -p cactusglade-policy --bench decisions`.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cactusglade_core::meta;
use cactusglade_core::meta::Document;
use cactusglade_core::meta::Source;
use cactusglade_core::set::Set;
use cactusglade_core::set::digest;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use cactusglade_policy::choice::Cheapest;
use cactusglade_policy::choice::LeastLoaded;
use cactusglade_policy::choice::PrefixOnly;
use cactusglade_policy::choice::RoundRobin;
use cactusglade_policy::choice::Strategy;
use cactusglade_policy::dispatch::Dispatch;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Submission;
use cactusglade_policy::dispatch::Verdict;
use cactusglade_policy::prefix::Prompt;

const SIZES: [usize; 4] = [20, 200, 2_000, 7_700];
const REQUESTS: u64 = 2_000;
const PROMPT_BYTES: usize = 2_000;
const FAR_FUTURE: Millis = Millis(1_000_000);

fn document(upstreams: usize) -> Document {
    let mut text = String::from(
        "[organisation.one]\n[model.m]\nversion = \"v\"\n[version.v]\nmodel = \"m\"\n\
         [route.r]\npath = \"/r\"\nmodel = \"m\"\n",
    );
    for number in 0..upstreams {
        // Writing to a `String` can't fail.
        let _ = writeln!(
            text,
            "[upstream.u{number}]\nhost = \"h{number}\"\nzone = \"z{}\"\nclass = \"reclaimable\"\n\
             address = \"10.{}.{}.1:80\"\nversions = [\"v\"]\n",
            number % 20,
            number / 250,
            number % 250,
        );
    }
    let file = "objects.toml".to_owned();
    let (document, problems) = meta::read(&[Source { file, text }]);
    assert_eq!(problems, []);
    document
}

fn build(document: &Document, generation: u64, before: &Set) -> Arc<Set> {
    let set = Set::try_new(document, Generation(generation), before);
    Arc::new(set.expect("the object set is valid"))
}

/// Returns the mean time that the dispatch spends on one request.
fn requests<R: Strategy>(strategy: R, set: &Arc<Set>) -> Duration {
    let mut dispatch = Dispatch::new("z0", strategy, 1_000);
    dispatch.adopt(Millis(0), Millis(0), set.clone());
    let organisation = set
        .organisations
        .find("one")
        .expect("the set has the organisation `one`");
    let route = set.routes.find("r").expect("the set has the route `r`");
    let prompt = Prompt::new(&"x".repeat(PROMPT_BYTES));
    let started = Instant::now();
    for _ in 0..REQUESTS {
        let submission = Submission {
            organisation,
            route,
            prompt: prompt.clone(),
            cost: 500,
            deadline: FAR_FUTURE,
            draw: 0.5,
        };
        let ticket = dispatch.submit(Millis(1), Millis(1), submission);
        assert_eq!(dispatch.take_actions().len(), 1);
        let report = Report {
            verdict: Verdict::Good,
            tokens: 500,
            first_token: Some(Millis(20)),
        };
        dispatch.finish(Millis(2), Millis(2), ticket, report);
    }
    started.elapsed() / u32::try_from(REQUESTS).expect("the number of requests fits u32")
}

fn main() {
    println!(
        "upstreams | JSON bytes | read and hash ms | build ms | us per request: cheapest, round robin, least loaded, prefix only"
    );
    for size in SIZES {
        let document = document(size);
        let text = serde_json::to_string(&document).expect("the document serialises");
        let started = Instant::now();
        let read: Document = serde_json::from_str(&text).expect("the JSON text parses");
        let address = digest(text.as_bytes());
        let reading = started.elapsed();
        assert_eq!((read, address.len()), (document.clone(), 64));
        let first = build(&document, 1, &Set::default());
        let started = Instant::now();
        let set = build(&document, 2, &first);
        let building = started.elapsed();
        let micros = |time: Duration| time.as_secs_f64() * 1e6;
        println!(
            "{size} | {} | {:.2} | {:.2} | {:.1}, {:.1}, {:.1}, {:.1}",
            text.len(),
            reading.as_secs_f64() * 1e3,
            building.as_secs_f64() * 1e3,
            micros(requests(Cheapest, &set)),
            micros(requests(RoundRobin::default(), &set)),
            micros(requests(LeastLoaded, &set)),
            micros(requests(PrefixOnly, &set)),
        );
    }
}
