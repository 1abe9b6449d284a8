//! Event streams that break off at any byte and are resumed from another source.

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;

use protocol::event_stream::Splitter;

fn events(from: u64, to: u64) -> String {
    (from..=to)
        .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

#[test]
fn only_whole_events_are_passed_on() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n"), "");
    assert_eq!(splitter.push(b"\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last(), Some(1));
    assert_eq!(splitter.push(b"ta: b\n\n"), "id: 2\ndata: b\n\n");
}

#[test]
fn events_passed_on_before_are_left_out() {
    let mut splitter = Splitter::new(Some(2));
    assert_eq!(splitter.push(events(1, 4).as_bytes()), events(3, 4));
}

/// A stream that ends inside an event has been broken off, whether or not its body is complete.
#[test]
fn a_stream_is_inside_an_event_until_an_empty_line() {
    for line_end in ["\n", "\r\n"] {
        let mut splitter = Splitter::default();
        for text in ["", "\n", "id: 1\ndata: a\n\n", "\n"] {
            splitter.push(text.replace('\n', line_end).as_bytes());
            assert!(!splitter.is_inside_event(), "after {text:?}");
        }
        for text in ["i", "d: 2", "\n", "data: b\n"] {
            assert_eq!(splitter.push(text.replace('\n', line_end).as_bytes()), "");
            assert!(splitter.is_inside_event(), "after {text:?}");
        }
        let event = "id: 2\ndata: b\n\n".replace('\n', line_end);
        assert_eq!(splitter.push(line_end.as_bytes()), event);
        assert!(!splitter.is_inside_event());
        assert_eq!(splitter.last(), Some(2));
        splitter.push(b"id: 3");
        splitter.restart();
        assert!(!splitter.is_inside_event());
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn a_stream_resumed_from_another_source_is_complete_without_duplicates(
        count in 1_u64..40,
        cut in any::<prop::sample::Index>(),
        sizes in prop::collection::vec(1_usize..50, 1..40),
        overlap in 0_u64..3,
    ) {
        let whole = events(1, count);
        let mut splitter = Splitter::default();
        let mut passed = String::new();
        let mut rest = &whole.as_bytes()[..cut.index(whole.len())];
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, more) = rest.split_at((*size).min(rest.len()));
            passed += std::str::from_utf8(&splitter.push(part)).unwrap();
            rest = more;
        }
        splitter.restart();
        let from = splitter.last().unwrap_or(0).saturating_sub(overlap) + 1;
        let again = events(from, count);
        passed += std::str::from_utf8(&splitter.push(again.as_bytes())).unwrap();
        prop_assert_eq!(passed, whole);
    }
}
