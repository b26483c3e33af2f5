//! The timeline of a request from the logs of several daemons.

use cactusglade_cli::explain::Line;
use cactusglade_cli::explain::Timeline;

const LOGS: &str = r#"
 12.1 front-a ts=1000 level=INFO event=configuration_in_force daemon=a version=13 before=0 routes=9
ts=4000 level=INFO event=fleet_changed daemon=a daemons=7 heard=6 daemons_before=7 heard_before=7
ts=4500 level=WARN event=store_lost daemon=a source=operator reason="no answer" revision=9
ts=4600 level=INFO event=store_regained daemon=a source=operator revision=10
ts=4900 level=INFO event=configuration_in_force daemon=b version=99 before=13 routes=9
ts=5000 level=INFO event=sending_failed daemon=a id=r1 upstream=i-1 outcome=Lost next="Give(UpstreamLost)" sent=1
this is no line of a log
ts=5001 level=INFO event=request daemon=a id=r1 code=upstream_lost sent=1 took_ms=200 version=13
ts=5050 level=INFO event=placed daemon=b id=r2 upstream=i-1 load=2
ts=5100 level=INFO event=sending_failed daemon=b id=r2 upstream=i-1 outcome=Unsent next=Again sent=0
ts=5200 level=INFO event=sending_failed daemon=b id=r3 upstream=i-2 outcome=Unsent next=Again sent=0
ts=7700 level=INFO event=upstream_leaving daemon=b upstream=i-1 service=app own=0
ts=9000 level=INFO event=configuration_in_force daemon=a version=14 before=13 routes=9
"#;

fn lines() -> Vec<Line> {
    LOGS.lines()
        .filter_map(|text| Line::try_new(text).ok())
        .collect()
}

#[test]
fn a_timeline_has_the_request_the_daemons_state_and_other_upstream_events() {
    let timeline = Timeline::find("r1", &lines()).expect("the logs contain the request id");
    let text = timeline.text();
    let expected = "\
request r1: upstream_lost (502) after 200 ms; it ran: maybe
  +0 ms a: sending_failed upstream=i-1 outcome=Lost next=Give(UpstreamLost) sent=1
  +1 ms a: request code=upstream_lost sent=1 took_ms=200 version=13
last state logged by a before the end:
  configuration, since -4001 ms: configuration_in_force version=13 before=0 routes=9
  other daemons, since -1001 ms: fleet_changed daemons=7 heard=6 daemons_before=7 heard_before=7
  store (operator), since -401 ms: store_regained source=operator revision=10
other events of i-1 around the request:
  +100 ms b (request r2): sending_failed upstream=i-1 outcome=Unsent next=Again sent=0
  +2700 ms b (request -): upstream_leaving upstream=i-1 service=app own=0";
    assert_eq!(text, expected);
}

#[test]
fn a_request_without_an_end_is_reported_as_open() {
    let timeline = Timeline::find("r2", &lines()).expect("the logs contain the request id");
    assert!(
        timeline
            .outcome()
            .starts_with("no daemon has logged the end of the request")
    );
}

#[test]
fn a_request_without_log_lines_has_no_timeline() {
    assert!(Timeline::find("r9", &lines()).is_none());
}

#[test]
fn quoted_values_keep_spaces_and_quotes() {
    let text = r#"ts=1 level=INFO event=x daemon=d reason="a \"b\" c" last=1"#;
    let line = Line::try_new(text).expect("the text is a log line");
    assert_eq!(line.field("reason"), Some(r#"a "b" c"#));
    assert_eq!(line.field("last"), Some("1"));
}

#[test]
fn text_without_the_required_fields_is_refused() {
    for text in [
        "",
        "hello",
        "ts=x event=e daemon=d",
        "ts=1 daemon=d",
        "ts=1 event=e",
    ] {
        assert!(Line::try_new(text).is_err(), "{text}");
    }
}
