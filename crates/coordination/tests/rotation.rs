//! Tests of which host is asked for a newer table next.

use coordination::rotation::Outcome;
use coordination::rotation::Rotation;

const TURNS: usize = 20;

/// Has two hosts without a table ask each other or a third that has one, from the places where they
/// begin, and returns whether both got it.
fn both_get_it(begin: [usize; 2]) -> bool {
    let sources = [["second", "keeper"], ["first", "keeper"]];
    let mut rotations = begin.map(Rotation::new);
    let mut has = [false, false];
    for _ in 0..TURNS {
        for host in 0..2 {
            let source = rotations[host].source(&sources[host]);
            let brings = match source {
                Some("keeper") => !has[host],
                Some(_) => has[1 - host] && !has[host],
                None => false,
            };
            has[host] |= brings;
            rotations[host].record(match brings {
                false => Outcome::Unchanged,
                true => Outcome::Newer,
            });
        }
    }
    has == [true, true]
}

#[test]
fn hosts_without_a_table_do_not_wait_for_each_other() {
    for begin in [[0, 0], [0, 1], [1, 0], [1, 1]] {
        assert!(both_get_it(begin), "{begin:?}");
    }
}

#[test]
fn a_source_that_brings_something_is_asked_again() {
    let mut rotation = Rotation::new(1);
    rotation.record(Outcome::Newer);
    assert_eq!(rotation.source(&["a", "b"]), Some("b"));
}

#[test]
fn a_source_that_brings_nothing_is_left_for_the_next() {
    for outcome in [Outcome::NoAnswer, Outcome::Unchanged] {
        let mut rotation = Rotation::new(1);
        rotation.record(outcome);
        assert_eq!(rotation.source(&["a", "b"]), Some("a"), "{outcome:?}");
    }
    assert_eq!(Rotation::new(3).source::<u8>(&[]), None);
}
