//! The till of one host alone: who shares a draw, and who is not asked.

use std::collections::BTreeMap;

use coordination::allotment::kind::Kind;
use coordination::allotment::kind::Size;
use coordination::allotment::message::Drawing;
use coordination::allotment::message::Drawn;
use coordination::allotment::message::Grant;
use coordination::allotment::till::Charge;
use coordination::allotment::till::Till;
use state::time::Instant;

const LONG: Kind = Kind {
    rank: 2,
    size: Size::Large,
};
const SHORT: Kind = Kind {
    rank: 0,
    size: Size::Small,
};
const SHORT_UNITS: u64 = 390;
const LONG_UNITS: u64 = 17_000;

/// A crowd at one host while its draw is in flight; the next draw carries all of it.
#[test]
fn a_line_has_one_draw_in_flight_that_carries_all_who_wait() {
    let mut till = Till::new("h", 1);
    let now = Instant(10_000);
    assert_eq!(till.charge(now, "w", SHORT, 1), Charge::Queued(1));
    let first = till.draw(now).unwrap();
    for id in 2..50 {
        let kind = if id % 2 == 0 { LONG } else { SHORT };
        assert_eq!(till.charge(now, "w", kind, 1), Charge::Queued(id));
    }
    assert_eq!((till.draw(now), till.draw_at(now)), (None, None));
    let answer = |verdicts: usize| {
        let verdicts = vec![Drawn::Charged; verdicts];
        let grant = Grant { ahead: 0, verdicts };
        let grants = BTreeMap::from([("w".to_owned(), grant)]);
        Some(Drawing { grants, term: 1 })
    };
    assert_eq!(
        till.settle(now, first.number, answer(1)),
        [(1, Charge::Covered)]
    );
    let wants = till.draw(now).unwrap().wants.remove("w").unwrap();
    let kinds: Vec<Kind> = wants.iter().map(|want| want.kind).collect();
    let mut expected = vec![SHORT, LONG];
    expected.extend([SHORT; 23].into_iter().chain([LONG; 23]));
    assert_eq!(kinds, expected);
}

/// A leader that is too busy to answer is not asked by each further request.
#[test]
fn a_leader_that_did_not_answer_is_left_alone_for_small_requests() {
    let mut till = Till::new("h", 1);
    let now = Instant(10_000);
    till.charge(now, "w", SHORT, SHORT_UNITS);
    till.charge(now, "w", LONG, LONG_UNITS);
    let draw = till.draw(now).unwrap();
    till.charge(now, "other", SHORT, SHORT_UNITS);
    let later = now + 300;
    let outcomes = till.settle(later, draw.number, None);
    assert_eq!(outcomes, [(1, Charge::Unanswered), (3, Charge::Unanswered)]);
    for wait_ms in [0, 100, 249] {
        let charge = till.charge(later + wait_ms, "w", SHORT, SHORT_UNITS);
        assert_eq!(charge, Charge::Unanswered);
    }
    // The long prompt, which can't be covered otherwise, asks again after a pause.
    assert_eq!(
        (till.draw(later), till.draw_at(later)),
        (None, Some(later + 50))
    );
    assert_eq!(till.draw(later + 50).unwrap().wants["w"].len(), 1);
    assert_eq!(
        till.charge(later + 250, "w", SHORT, SHORT_UNITS),
        Charge::Queued(4)
    );
}

/// Units that a draw brings for a caller who has left, or from a leader of another term.
#[test]
fn what_a_draw_brings_in_vain_goes_back() {
    let mut till = Till::new("h", 1);
    let now = Instant(10_000);
    till.charge(now, "w", LONG, LONG_UNITS);
    let draw = till.draw(now).unwrap();
    assert_eq!(till.purse().report(now).drawn, 0);
    till.forget(1);
    let grant = Grant {
        ahead: 500,
        verdicts: vec![Drawn::Charged],
    };
    let grants = BTreeMap::from([("w".to_owned(), grant)]);
    let outcomes = till.settle(now, draw.number, Some(Drawing { grants, term: 7 }));
    assert_eq!(outcomes, []);
    let report = till.purse().report(now);
    assert_eq!(
        (report.drawn, report.uses["w"].returned),
        (1, LONG_UNITS + 500)
    );
}
