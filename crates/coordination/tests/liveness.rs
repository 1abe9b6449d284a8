//! Tests of what an upstream is held to be, as a table of signals.

use coordination::liveness::Change;
use coordination::liveness::Listed;
use coordination::liveness::Signal;
use coordination::liveness::Standing;
use coordination::liveness::Tracker;
use state::ident::Incarnation;

const FAILED: Signal = Signal::Failed;

fn answered(incarnation: u64) -> Signal {
    Signal::Answered {
        incarnation: Incarnation(incarnation),
        leaving: false,
    }
}

fn says_leaving(incarnation: u64) -> Signal {
    Signal::Answered {
        incarnation: Incarnation(incarnation),
        leaving: true,
    }
}

fn listed(edition: u64, listed: Listed) -> Signal {
    Signal::Listed { edition, listed }
}

fn noticed(incarnation: u64) -> Signal {
    Signal::PeerReportedLeaving {
        incarnation: Incarnation(incarnation),
    }
}

#[test]
fn signals_lead_to_standings() {
    use Listed::Gone;
    use Listed::Leaving;
    use Listed::Live;
    let cases: Vec<(&str, Vec<Signal>, Standing)> = vec![
        ("nothing heard", vec![], Standing::Unknown),
        (
            "listed, not heard",
            vec![listed(1, Live)],
            Standing::Unknown,
        ),
        (
            "not listed yet",
            vec![listed(1, Gone), answered(1)],
            Standing::Serving,
        ),
        ("answers", vec![answered(1)], Standing::Serving),
        ("never answered", vec![FAILED], Standing::Down),
        ("one failure", vec![answered(1), FAILED], Standing::Suspect),
        (
            "two failures",
            vec![answered(1), FAILED, FAILED],
            Standing::Down,
        ),
        (
            "answers again",
            vec![answered(1), FAILED, FAILED, answered(1)],
            Standing::Serving,
        ),
        (
            "the list does not override a failure",
            vec![answered(1), FAILED, FAILED, listed(9, Live)],
            Standing::Down,
        ),
        (
            "the list does not clear a suspicion",
            vec![answered(1), FAILED, listed(9, Live)],
            Standing::Suspect,
        ),
        (
            "listed as leaving",
            vec![answered(1), listed(1, Leaving)],
            Standing::Leaving,
        ),
        (
            "gone from the list",
            vec![answered(1), listed(1, Gone)],
            Standing::Leaving,
        ),
        (
            "an older list does not take back leaving",
            vec![answered(1), listed(5, Leaving), listed(4, Live)],
            Standing::Leaving,
        ),
        (
            "an answer does not take back leaving",
            vec![answered(1), listed(5, Leaving), answered(1)],
            Standing::Leaving,
        ),
        (
            "a later list takes back what a list said",
            vec![answered(1), listed(5, Leaving), listed(6, Live)],
            Standing::Serving,
        ),
        (
            "the list does not take back what the upstream said",
            vec![says_leaving(1), listed(9, Live)],
            Standing::Leaving,
        ),
        (
            "another host noticed",
            vec![answered(1), noticed(1)],
            Standing::Leaving,
        ),
        (
            "a notice about an earlier run",
            vec![answered(2), noticed(1)],
            Standing::Serving,
        ),
        (
            "a new process after leaving",
            vec![says_leaving(1), answered(2)],
            Standing::Serving,
        ),
        (
            "the same list again after a new process",
            vec![
                answered(1),
                listed(5, Leaving),
                answered(2),
                listed(5, Leaving),
            ],
            Standing::Serving,
        ),
        (
            "a later list still says leaving after a new process",
            vec![
                answered(1),
                listed(5, Leaving),
                answered(2),
                listed(6, Leaving),
            ],
            Standing::Leaving,
        ),
        (
            "listed as leaving while down, then answers",
            vec![answered(1), FAILED, FAILED, listed(1, Leaving), answered(1)],
            Standing::Leaving,
        ),
        (
            "a late answer of an earlier process",
            vec![answered(2), FAILED, answered(1)],
            Standing::Suspect,
        ),
        (
            "fails while leaving",
            vec![says_leaving(1), FAILED, FAILED],
            Standing::Down,
        ),
    ];
    for (name, signals, expected) in cases {
        let mut tracker = Tracker::default();
        for signal in signals {
            tracker.step(signal);
        }
        assert_eq!(tracker.standing(), expected, "{name}");
        assert_eq!(
            tracker.takes_work(),
            expected == Standing::Serving,
            "{name}"
        );
    }
}

#[test]
fn another_process_is_told_to_be_empty() {
    let mut tracker = Tracker::default();
    tracker.step(answered(1));
    assert_eq!(
        tracker.step(answered(2)),
        [Change::CacheLost(Incarnation(2))]
    );
    assert_eq!(tracker.step(answered(2)), []);
    assert_eq!(tracker.step(answered(1)), []);
    assert_eq!(tracker.incarnation(), Some(Incarnation(2)));
}

#[test]
fn a_notice_of_a_later_run_tells_that_the_upstream_is_empty() {
    let mut tracker = Tracker::default();
    tracker.step(answered(1));
    let moved = Change::StandingChanged {
        from: Standing::Serving,
        to: Standing::Leaving,
    };
    let expected = [Change::CacheLost(Incarnation(2)), moved];
    assert_eq!(tracker.step(noticed(2)), expected);
}
