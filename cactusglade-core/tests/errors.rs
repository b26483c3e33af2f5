//! The answers to the error kinds.

use std::collections::BTreeSet;

use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;

#[test]
fn every_kind_is_listed_once_and_has_a_unique_code() {
    let kinds = Kind::ALL.iter().collect::<BTreeSet<_>>();
    let codes = Kind::ALL.iter().map(|kind| kind.answer().code);
    let codes = codes.collect::<BTreeSet<_>>();
    assert_eq!(kinds.len(), Kind::ALL.len());
    assert_eq!(codes.len(), Kind::ALL.len());
}

#[test]
fn statuses_are_errors_and_a_retry_is_suggested_only_where_it_is_safe() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind:?}");
        // A retry with an unsettled key is answered from its row and never runs the request again.
        if answer.retry_after.is_some() && kind != Kind::KeyUnsettled {
            assert_eq!(answer.ran, Ran::No, "{kind:?}");
        }
    }
}
