//! Guards against duplicate or missing tokens when the attempts of a stream overlap.

use cactusglade_check::check;
use cactusglade_policy::stream::Cursor;
use cactusglade_policy::stream::Verdict;

#[test]
fn any_arrival_order_passes_each_token_once_in_order() {
    check::run::<Vec<u8>>(5_000, |indices| {
        let mut cursor = Cursor::default();
        let mut passed = Vec::new();
        for index in indices {
            let index = u64::from(index % 16);
            match cursor.accept(index) {
                Verdict::Pass => passed.push(index),
                Verdict::Drop => assert!(passed.contains(&index)),
                Verdict::Gap => assert!(!passed.contains(&index)),
            }
        }
        let count = u64::try_from(passed.len()).expect("the length fits u64");
        assert_eq!(passed, (0..count).collect::<Vec<_>>());
        assert!(cursor.is_complete(count));
        assert!(!cursor.is_complete(count + 1));
    });
}
