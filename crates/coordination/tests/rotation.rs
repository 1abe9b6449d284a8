//! Tests of the rotation over the hosts that are asked for a newer table.

use coordination::rotation::Outcome;
use coordination::rotation::Rotation;

const TURNS: usize = 20;

/// Lets two hosts without a table ask each other or a third one that has it, each beginning at the
/// given index, and returns whether both got the table.
fn both_get_the_table(begin: [usize; 2]) -> bool {
    let sources = [["second", "keeper"], ["first", "keeper"]];
    let mut rotations = begin.map(Rotation::new);
    let mut has = [false, false];
    for _ in 0..TURNS {
        for host in 0..2 {
            let source = rotations[host].source(&sources[host]);
            let is_newer = match source {
                Some("keeper") => !has[host],
                Some(_) => has[1 - host] && !has[host],
                None => false,
            };
            has[host] |= is_newer;
            rotations[host].record(match is_newer {
                false => Outcome::Unchanged,
                true => Outcome::Newer,
            });
        }
    }
    has == [true, true]
}

#[test]
fn hosts_without_a_table_do_not_ask_only_each_other() {
    for begin in [[0, 0], [0, 1], [1, 0], [1, 1]] {
        assert!(both_get_the_table(begin), "{begin:?}");
    }
}

#[test]
fn a_source_with_a_newer_table_is_asked_again() {
    let mut rotation = Rotation::new(1);
    rotation.record(Outcome::Newer);
    assert_eq!(rotation.source(&["a", "b"]), Some("b"));
}

#[test]
fn after_a_source_without_a_newer_table_the_next_one_is_asked() {
    for outcome in [Outcome::NoAnswer, Outcome::Unchanged] {
        let mut rotation = Rotation::new(1);
        rotation.record(outcome);
        assert_eq!(rotation.source(&["a", "b"]), Some("a"), "{outcome:?}");
    }
    assert_eq!(Rotation::new(3).source::<u8>(&[]), None);
}
