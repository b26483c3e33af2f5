//! Counts of refusals from the logs of several daemons.

use std::process::Command;

use cactusglade_cli::explain::Line;
use cactusglade_cli::refusals::Tally;

const FIRST: &str = r#"
ts=1 level=INFO event=not_placed daemon=a id=r1 kind=LimitExceeded reason=quota next="Give(LimitExceeded)" tried=0
ts=1 level=INFO event=request daemon=a id=r1 code=limit_exceeded reason=quota sent=0 organisation=north route=chat
ts=2 level=INFO event=request daemon=a id=r2 code=ok sent=1 organisation=north route=chat
ts=3 level=INFO event=request daemon=a id=r3 code=unknown_route reason=unknown_route
ts=4 level=INFO event=request daemon=a id=r4 code=upstream_lost sent=1 organisation=north route=chat
this is no line of a log
"#;
const SECOND: &str = "
 3.1 front-b ts=1 level=INFO event=request daemon=b id=r5 code=limit_exceeded reason=quota sent=0 organisation=south route=chat
ts=2 level=INFO event=request daemon=b id=r6 code=limit_exceeded reason=quota sent=0 organisation=north route=chat
ts=3 level=INFO event=request daemon=b id=r7 code=upstream_lost reason=retry_budget sent=1 organisation=north route=read
ts=4 level=INFO event=zone_evacuated daemon=b zone=z reason=other
";
const TABLE: &str = "\
reason=quota count=3
  route=chat organisation=north count=2
  route=chat organisation=south count=1
reason=retry_budget count=1
  route=read organisation=north count=1
reason=unknown_route count=1
  route=- organisation=- count=1
5 of 7 requests refused";

/// A refusal that is logged where it is decided and at the end of its request counted twice, and one
/// by an upstream as the system's.
#[test]
fn each_refused_request_is_counted_once() {
    let mut tally = Tally::default();
    let lines = FIRST.lines().chain(SECOND.lines());
    for line in lines.filter_map(|text| Line::try_new(text).ok()) {
        tally.add(&line);
    }
    assert_eq!(tally.text(), TABLE);
    assert_eq!((tally.refused(), tally.requests()), (5, 7));
}

#[test]
fn the_command_reads_any_number_of_logs() {
    let folder = std::env::temp_dir().join(format!("refusals-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    let files = [("a.log", FIRST), ("b.log", SECOND), ("c.log", "no log\n")].map(|(name, text)| {
        let file = folder.join(name);
        std::fs::write(&file, text).expect("the file can be written");
        file
    });
    let run = |files: &[std::path::PathBuf]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cactusglade"));
        let output = command.arg("refusals").args(files).output();
        let output = output.expect("the command runs");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let expected = format!("{TABLE}\n(from 9 log lines; 4 other lines ignored)\n");
    assert_eq!(run(&files), (Some(0), expected));
    assert_eq!(run(&files[2..]).0, Some(1), "no log at all");
    assert_eq!(run(&[folder.join("absent")]).0, Some(2), "no file");
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}
