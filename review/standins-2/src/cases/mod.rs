//! The cases.

mod heads;
mod poison;

use std::io;
use std::path::Path;

use crate::scene::Scene;
use crate::scene::Verdict;

pub fn run(
    case: &str,
    scene: &mut Scene,
    program: &Path,
    has_trouble: bool,
) -> io::Result<Verdict> {
    match case {
        "waves" => poison::run(scene, program, has_trouble, &poison::WAVES),
        "far-waves" => poison::run(scene, program, has_trouble, &poison::FAR_WAVES),
        "unframed" => poison::run(scene, program, has_trouble, &poison::UNFRAMED),
        "late-part" => poison::run(scene, program, has_trouble, &poison::LATE_PART),
        "heads" => heads::run(scene, program, has_trouble),
        "steady" => poison::run(scene, program, has_trouble, &poison::STEADY),
        _ => Err(io::Error::other("there is no such case")),
    }
}
