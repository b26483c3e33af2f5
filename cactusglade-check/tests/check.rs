//! Guards against inputs that differ between two runs with the same seed.

use std::cell::RefCell;
use std::panic::AssertUnwindSafe;

use cactusglade_check::check;

fn inputs() -> Vec<(u64, Vec<u8>)> {
    let inputs = RefCell::new(Vec::new());
    check::run::<(u64, Vec<u8>)>(200, |input| inputs.borrow_mut().push(input.clone()));
    inputs.into_inner()
}

#[test]
fn two_runs_have_the_same_inputs() {
    assert_eq!(inputs(), inputs());
}

#[test]
fn the_inputs_of_a_run_differ() {
    let mut numbers = inputs();
    numbers.sort_unstable();
    numbers.dedup();
    assert!(numbers.len() > 190, "{} different inputs", numbers.len());
}

#[test]
fn a_failure_ends_the_run() {
    let count = RefCell::new(0);
    let run = std::panic::catch_unwind(AssertUnwindSafe(|| {
        check::run::<u8>(100, |_| {
            *count.borrow_mut() += 1;
            assert!(*count.borrow() < 10, "the tenth input fails");
        });
    }));
    assert!(run.is_err());
    assert_eq!(count.into_inner(), 10);
}
