//! Guards against a retry of a request that must not run twice, and against an error that states
//! that a request did not run although it may have.

use bolero::TypeGenerator;
use cactusglade_check::check;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::errors::Ran;
use cactusglade_policy::attempt::Attempt;
use cactusglade_policy::attempt::Next;
use cactusglade_policy::attempt::Outcome;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Unsent,
    Misdirected,
    NotRun,
    Lost,
    Failed(bool),
    Broken,
    Begin,
}

const SEMANTICS: [Semantics; 4] = [
    Semantics::Idempotent,
    Semantics::AtMostOnce,
    Semantics::Resumable,
    Semantics::Stream,
];

fn outcome(step: Step) -> Option<Outcome> {
    Some(match step {
        Step::Unsent => Outcome::Unsent,
        Step::Misdirected => Outcome::Misdirected,
        Step::NotRun => Outcome::Unrun,
        Step::Lost => Outcome::Lost,
        Step::Failed(says_not_run) => Outcome::Failed {
            is_promise: says_not_run,
        },
        Step::Broken => Outcome::Broken,
        Step::Begin => return None,
    })
}

fn may_have_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Lost | Outcome::Failed { .. } | Outcome::Broken
    )
}

fn run_steps(semantics: Semantics, max_sent: u64, steps: &[Step]) {
    let mut attempt = Attempt::new(semantics, max_sent);
    let mut possible_runs = 0;
    let mut has_begun = false;
    for step in steps {
        let Some(outcome) = outcome(*step) else {
            attempt.begin_answer();
            has_begun = true;
            continue;
        };
        possible_runs += u64::from(may_have_run(outcome));
        let next = attempt.record_failure(outcome);
        assert_eq!(attempt.may_have_run(), possible_runs > 0);
        match next {
            Next::Again => {
                assert!(
                    possible_runs == 0 || semantics.is_retryable(),
                    "{semantics:?} is retried although it may have run"
                );
                assert!(
                    possible_runs < max_sent,
                    "the request may have run on more upstreams than its route allows"
                );
                continue;
            }
            Next::Give(kind) => {
                assert!(
                    !has_begun,
                    "an answer that has begun was replaced by an error"
                );
                let claims_not_run = kind.answer().ran == Ran::No;
                assert!(
                    !claims_not_run || possible_runs == 0,
                    "{kind:?} states \"not run\" after {possible_runs} possible runs"
                );
            }
            Next::Pass => assert!(matches!(outcome, Outcome::Failed { .. }) && !has_begun),
            Next::Abort => assert!(has_begun),
        }
        return;
    }
}

#[test]
fn any_order_of_outcomes_allows_no_unsafe_retry() {
    check::run::<(u8, u8, Vec<Step>)>(20_000, |(semantics, max_sent, steps)| {
        let semantics = SEMANTICS[usize::from(*semantics) % SEMANTICS.len()];
        run_steps(semantics, u64::from(*max_sent % 4) + 1, steps);
    });
}

#[test]
fn an_error_that_only_says_not_run_is_not_forwarded() {
    let mut attempt = Attempt::new(Semantics::AtMostOnce, 1);
    let next = attempt.record_failure(Outcome::Failed { is_promise: true });
    let Next::Give(kind) = next else {
        panic!("expected an error of the daemon, found {next:?}");
    };
    assert_eq!(kind.answer().ran, Ran::Maybe);
}

#[test]
fn an_upstream_that_received_nothing_costs_no_attempt() {
    let mut attempt = Attempt::new(Semantics::Stream, 1);
    assert_eq!(attempt.record_failure(Outcome::Unsent), Next::Again);
    assert!(!attempt.is_retry());
    assert_eq!(attempt.sent(), 0);
}
