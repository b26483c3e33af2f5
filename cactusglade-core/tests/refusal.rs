//! The closed list of reasons for refusals.

use std::collections::BTreeSet;

use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::refusal::Reason;

/// Two reasons of one name could not be told apart in the metrics.
#[test]
fn every_reason_is_listed_once_and_has_a_unique_name() {
    let reasons = Reason::ALL.iter().collect::<BTreeSet<_>>();
    let names = Reason::ALL.iter().map(|reason| reason.as_str());
    let names = names.collect::<BTreeSet<_>>();
    assert_eq!(reasons.len(), Reason::ALL.len());
    assert_eq!(names.len(), Reason::ALL.len());
}

/// An error after which the request may have run is no refusal by the system.
#[test]
fn only_kinds_of_requests_that_did_not_run_imply_a_reason() {
    for kind in Kind::ALL {
        if Reason::implied(kind).is_some() {
            assert_eq!(kind.answer().ran, Ran::No, "{kind:?}");
        }
    }
}
