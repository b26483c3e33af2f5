//! Runs one case of the review: `review-2 CASE PROGRAM FOLDER`. PROGRAM is the daemon, and FOLDER gets
//! the record. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//! With TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod scene;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use scene::Scene;
use scene::Verdict;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments = std::env::args().collect::<Vec<_>>();
    let [_, case, program, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = Scene::new(Path::new(folder)).and_then(|mut scene| {
        let verdict = cases::run(case, &mut scene, Path::new(program), has_trouble);
        scene.record.flush();
        verdict
    });
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(reason) => {
            eprintln!("{case}: {reason}");
            ExitCode::from(2)
        }
    }
}
