//! Requests are repeated, and refusals say that they did not run, only where that is true.

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
        Step::Unrun => Outcome::Unrun,
        Step::Lost => Outcome::Lost,
        Step::Failed(is_promise) => Outcome::Failed { is_promise },
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

fn play(repeat: Semantics, most: u64, steps: &[Step]) {
    let mut attempt = Attempt::new(repeat, most);
    let mut runs = 0;
    let mut has_begun = false;
    for step in steps {
        let Some(outcome) = outcome(*step) else {
            attempt.begin();
            has_begun = true;
            continue;
        };
        runs += u64::from(may_run(outcome));
        let next = attempt.ended(outcome);
        assert_eq!(attempt.may_have_run(), runs > 0);
        match next {
            Next::Again => {
                assert!(
                    runs == 0 || repeat.is_retryable(),
                    "{repeat:?} ran and goes out again"
                );
                assert!(
                    runs < most,
                    "it runs on more upstreams than its route allows"
                );
                continue;
            }
            Next::Give(kind) => {
                assert!(!has_begun, "an answer that has begun can't become an error");
                let says_unrun = kind.answer().ran == Ran::No;
                assert!(
                    !says_unrun || runs == 0,
                    "{kind:?} says not run after {runs} runs"
                );
            }
            Next::Pass => assert!(matches!(outcome, Outcome::Failed { .. }) && !has_begun),
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
    let next = attempt.ended(Outcome::Failed { is_promise: true });
    let Next::Give(kind) = next else {
        panic!("{next:?}");
    };
    assert_eq!(kind.answer().ran, Ran::Maybe);
}

#[test]
fn an_upstream_that_was_sent_nothing_costs_no_attempt() {
    let mut attempt = Attempt::new(Semantics::Stream, 1);
    assert_eq!(attempt.ended(Outcome::Unsent), Next::Again);
    assert!(!attempt.is_repeat());
    assert_eq!(attempt.sent(), 0);
}
