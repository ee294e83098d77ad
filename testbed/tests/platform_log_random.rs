//! Tests of the log under random appends, expiry and faults, compared with a
//! list of all records.

use proptest::{prelude::*, test_runner};
use testbed::platform;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Append,
    Retain(Option<usize>),
    Read { from: u64, max: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0_u64..400).prop_map(Step::Advance),
        4 => Just(Step::Append),
        1 => proptest::option::of(1_usize..5).prop_map(Step::Retain),
        4 => (0_u64..40, 0_usize..10).prop_map(|(from, max)| Step::Read { from, max }),
    ]
}

/// Checks a read against all records ever appended, by offset.
fn check_read(result: &platform::ReadResult, from: u64, max: usize, appended: &[String]) {
    assert_eq!(result.next_offset, appended.len() as u64);
    assert!(result.first_offset <= result.next_offset);
    let expected_count = if from < result.first_offset {
        0
    } else {
        let remaining = result.next_offset.saturating_sub(from);
        usize::try_from(remaining).expect("few records").min(max)
    };
    assert_eq!(result.records.len(), expected_count);
    for (offset, record) in (from..).zip(&result.records) {
        assert_eq!(record.offset, offset);
        let index = usize::try_from(offset).expect("few records");
        assert_eq!(record.body, appended[index]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn reads_return_the_appended_records(
        retention_ms in 0_u64..1_000,
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut log = platform::Log::new(retention_ms);
        let mut appended: Vec<String> = Vec::new();
        let mut first_offset = 0;
        let mut now_unix_ms = 0;
        for step in steps {
            match step {
                Step::Advance(step_ms) => now_unix_ms += step_ms,
                Step::Append => {
                    let body = format!("record-{}", appended.len());
                    let offset = log.append(now_unix_ms, "stream", &body);
                    prop_assert_eq!(offset, Ok(appended.len() as u64));
                    appended.push(body);
                }
                Step::Retain(retention_records) => log.set_faults(platform::Faults {
                    retention_records,
                    ..platform::Faults::default()
                }),
                Step::Read { from, max } => {
                    let result = log.read(now_unix_ms, "stream", from, max);
                    check_read(&result, from, max, &appended);
                    prop_assert!(result.first_offset >= first_offset);
                    first_offset = result.first_offset;
                }
            }
        }
    }
}
