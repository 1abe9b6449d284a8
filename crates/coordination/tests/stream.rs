//! Tests that an answer is assembled completely, in order and from its own attempts only.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use coordination::stream::Assembler;
use coordination::stream::Finish;
use coordination::stream::Limits;
use coordination::stream::Piece;
use coordination::stream::StreamError;

const LIMITS: Limits = Limits {
    bytes: 40,
    tokens: 4,
};

fn piece(offset: u64) -> Piece {
    Piece {
        finish: None,
        id: "a".to_owned(),
        offset,
        text: format!("{offset} "),
        tokens: 1,
    }
}

fn finishing(offset: u64) -> Piece {
    Piece {
        finish: Some(Finish::Stop),
        text: String::new(),
        tokens: 0,
        ..piece(offset)
    }
}

fn started() -> Assembler {
    let mut answer = Assembler::new(LIMITS);
    answer.begin_attempt("a", "v1").unwrap();
    answer.push(&piece(0)).unwrap();
    answer.push(&piece(1)).unwrap();
    answer
}

#[test]
fn each_invalid_piece_is_refused_and_leaves_the_answer_unchanged() {
    let foreign = Piece {
        id: "b".to_owned(),
        ..piece(2)
    };
    let cancelled = Piece {
        finish: Some(Finish::Cancelled),
        ..piece(2)
    };
    let too_many_tokens = Piece {
        tokens: 3,
        ..piece(2)
    };
    let too_many_bytes = Piece {
        text: "x".repeat(37),
        ..piece(2)
    };
    let cases = [
        (cancelled, StreamError::Cancelled { at: 2 }),
        (
            foreign,
            StreamError::Crossed {
                expected: "a".to_owned(),
                found: "b".to_owned(),
            },
        ),
        (
            piece(3),
            StreamError::Gap {
                expected: 2,
                found: 3,
            },
        ),
        (too_many_tokens, StreamError::LimitExceeded { limit: 4 }),
        (too_many_bytes, StreamError::LimitExceeded { limit: 40 }),
        (
            piece(1),
            StreamError::Repeat {
                expected: 2,
                found: 1,
            },
        ),
    ];
    for (invalid, error) in cases {
        let mut answer = started();
        assert_eq!(answer.push(&invalid), Err(error));
        assert_eq!((answer.text(), answer.len()), ("0 1 ", 2));
    }
}

#[test]
fn a_piece_after_the_end_is_refused() {
    let mut answer = started();
    answer.push(&finishing(2)).unwrap();
    assert_eq!(answer.push(&piece(2)), Err(StreamError::Extra { found: 2 }));
}

#[test]
fn an_answer_is_complete_after_its_finishing_piece_and_its_end_mark() {
    let mut answer = started();
    assert_eq!(answer.end(), Err(StreamError::NoEnd { at: 2 }));
    answer.push(&finishing(2)).unwrap();
    assert_eq!(answer.close(), Err(StreamError::NoEnd { at: 2 }));
    assert!(!answer.is_complete());
    assert_eq!(answer.end(), Ok(Finish::Stop));
    assert_eq!(answer.close(), Ok(()));
    assert!(answer.is_complete());
}

#[test]
fn an_answer_without_its_end_mark_ends_in_the_next_attempt() {
    let mut answer = started();
    answer.push(&finishing(2)).unwrap();
    assert_eq!(answer.resume().offset, 2);
    answer.begin_attempt("b", "v1").unwrap();
    let again = Piece {
        id: "b".to_owned(),
        ..finishing(2)
    };
    answer.push(&again).unwrap();
    assert_eq!(answer.end(), Ok(Finish::Stop));
}

#[test]
fn a_late_piece_of_an_earlier_attempt_is_refused() {
    let mut answer = started();
    let resume = answer.resume();
    assert_eq!((resume.offset, resume.text.as_str()), (2, "0 1 "));
    assert_eq!(resume.version.as_deref(), Some("v1"));
    let foreign = StreamError::Crossed {
        expected: String::new(),
        found: "a".to_owned(),
    };
    assert_eq!(answer.push(&piece(2)), Err(foreign));
    answer.begin_attempt("b", "v1").unwrap();
    let foreign = StreamError::Crossed {
        expected: "b".to_owned(),
        found: "a".to_owned(),
    };
    assert_eq!(answer.push(&piece(2)), Err(foreign));
}

#[test]
fn tokens_of_two_weights_versions_are_never_mixed() {
    let mut answer = started();
    answer.resume();
    let error = StreamError::Version {
        expected: "v1".to_owned(),
        found: "v2".to_owned(),
    };
    assert_eq!(answer.begin_attempt("b", "v2"), Err(error));
}

#[test]
fn an_answer_without_tokens_may_change_its_weights_version() {
    let mut answer = Assembler::new(LIMITS);
    answer.begin_attempt("a", "v1").unwrap();
    assert_eq!(answer.resume().version, None);
    assert_eq!(answer.begin_attempt("b", "v2"), Ok(()));
}

proptest! {
    #[test]
    fn the_text_is_always_a_prefix_of_the_answer(
        moves in vec((any::<bool>(), 0_u64..12, 0_u64..3), 0..60),
    ) {
        let limits = Limits { bytes: 1_000, tokens: 10 };
        let mut answer = Assembler::new(limits);
        let mut attempt = 0;
        for (restart, offset, id) in moves {
            if restart {
                answer.resume();
                attempt += 1;
                answer.begin_attempt(format!("a{attempt}"), "v1").unwrap();
            }
            let finish = (offset == 10).then_some(Finish::Length);
            let tokens = u64::from(finish.is_none());
            let text = if tokens == 1 { format!("{offset} ") } else { String::new() };
            let id = format!("a{}", attempt + id);
            let accepted = answer.push(&Piece { finish, id: id.clone(), offset, text, tokens });
            let current = format!("a{attempt}");
            prop_assert!(accepted.is_err() || id == current);
        }
        let expected: String = (0..answer.len()).map(|i| format!("{i} ")).collect();
        prop_assert_eq!(answer.text(), expected);
    }
}
