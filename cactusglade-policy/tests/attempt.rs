//! Guards against a retry of a request that must not run twice, and against an error that states
//! that a request did not run although it may have.

use bolero::TypeGenerator;
use cactusglade_core::catalog::Semantics;
use cactusglade_core::errors::Ran;
use cactusglade_policy::attempt::Attempt;
use cactusglade_policy::attempt::Next;
use cactusglade_policy::attempt::Outcome;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Unsent,
    Misdirected,
    Unrun,
    Lost,
    Failed(bool),
    Broken,
    Begin,
}

const REPEATS: [Semantics; 4] = [
    Semantics::Idempotent,
    Semantics::AtMostOnce,
    Semantics::Resumable,
    Semantics::Stream,
];

fn outcome(step: Step) -> Option<Outcome> {
    Some(match step {
        Step::Unsent => Outcome::Unsent,
        Step::Misdirected => Outcome::Misdirected,
        Step::Unrun => Outcome::NotRun,
        Step::Lost => Outcome::Lost,
        Step::Failed(is_promise) => Outcome::Failed {
            says_not_run: is_promise,
        },
        Step::Broken => Outcome::Broken,
        Step::Begin => return None,
    })
}

fn may_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Lost | Outcome::Failed { .. } | Outcome::Broken
    )
}

fn play(repeat: Semantics, max_sent: u64, steps: &[Step]) {
    let mut attempt = Attempt::new(repeat, max_sent);
    let mut possible_runs = 0;
    let mut has_begun = false;
    for step in steps {
        let Some(outcome) = outcome(*step) else {
            attempt.begin_answer();
            has_begun = true;
            continue;
        };
        possible_runs += u64::from(may_run(outcome));
        let next = attempt.record_failure(outcome);
        assert_eq!(attempt.may_have_run(), possible_runs > 0);
        match next {
            Next::Retry => {
                assert!(
                    possible_runs == 0 || repeat.is_retryable(),
                    "{repeat:?} is retried although it may have run"
                );
                assert!(
                    possible_runs < max_sent,
                    "the request may have run on more upstreams than its route allows"
                );
                continue;
            }
            Next::Fail(kind) => {
                assert!(
                    !has_begun,
                    "an answer that has begun was replaced by an error"
                );
                let says_unrun = kind.answer().ran == Ran::No;
                assert!(
                    !says_unrun || possible_runs == 0,
                    "{kind:?} states \"not run\" after {possible_runs} possible runs"
                );
            }
            Next::Forward => assert!(matches!(outcome, Outcome::Failed { .. }) && !has_begun),
            Next::Abort => assert!(has_begun),
        }
        return;
    }
}

#[test]
fn any_order_of_outcomes_keeps_the_promises() {
    bolero::check!()
        .with_type::<(u8, u8, Vec<Step>)>()
        .with_iterations(20_000)
        .for_each(|(repeat, most, steps)| {
            let repeat = REPEATS[usize::from(*repeat) % REPEATS.len()];
            play(repeat, u64::from(*most % 4) + 1, steps);
        });
}

#[test]
fn a_refusal_that_only_looks_like_a_promise_is_not_passed_on() {
    let mut attempt = Attempt::new(Semantics::AtMostOnce, 1);
    let next = attempt.record_failure(Outcome::Failed { says_not_run: true });
    let Next::Fail(kind) = next else {
        panic!("{next:?}");
    };
    assert_eq!(kind.answer().ran, Ran::Maybe);
}

#[test]
fn an_upstream_that_was_sent_nothing_costs_no_attempt() {
    let mut attempt = Attempt::new(Semantics::Stream, 1);
    assert_eq!(attempt.record_failure(Outcome::Unsent), Next::Retry);
    assert!(!attempt.is_retry());
    assert_eq!(attempt.sent(), 0);
}
