//! Tests of the standing of an upstream after a sequence of signals.

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

fn answered_leaving(incarnation: u64) -> Signal {
    Signal::Answered {
        incarnation: Incarnation(incarnation),
        leaving: true,
    }
}

fn listed(edition: u64, listed: Listed) -> Signal {
    Signal::Listed { edition, listed }
}

fn peer_reported_leaving(incarnation: u64) -> Signal {
    Signal::PeerReportedLeaving {
        incarnation: Incarnation(incarnation),
    }
}

#[test]
fn each_sequence_of_signals_leads_to_its_standing() {
    use Listed::Gone;
    use Listed::Leaving;
    use Listed::Live;
    let cases: Vec<(&str, Vec<Signal>, Standing)> = vec![
        ("no signal", vec![], Standing::Unknown),
        (
            "listed, not yet called",
            vec![listed(1, Live)],
            Standing::Unknown,
        ),
        (
            "not listed yet",
            vec![listed(1, Gone), answered(1)],
            Standing::Serving,
        ),
        ("answers", vec![answered(1)], Standing::Serving),
        ("the first call failed", vec![FAILED], Standing::Down),
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
            "an older list does not revoke leaving",
            vec![answered(1), listed(5, Leaving), listed(4, Live)],
            Standing::Leaving,
        ),
        (
            "an answer does not revoke leaving",
            vec![answered(1), listed(5, Leaving), answered(1)],
            Standing::Leaving,
        ),
        (
            "a later list revokes what a list said",
            vec![answered(1), listed(5, Leaving), listed(6, Live)],
            Standing::Serving,
        ),
        (
            "the list does not revoke what the upstream said",
            vec![answered_leaving(1), listed(9, Live)],
            Standing::Leaving,
        ),
        (
            "another host reported that it leaves",
            vec![answered(1), peer_reported_leaving(1)],
            Standing::Leaving,
        ),
        (
            "a peer report about an earlier process",
            vec![answered(2), peer_reported_leaving(1)],
            Standing::Serving,
        ),
        (
            "a new process after leaving",
            vec![answered_leaving(1), answered(2)],
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
            vec![answered_leaving(1), FAILED, FAILED],
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
fn an_answer_of_a_new_process_reports_a_lost_cache() {
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
fn a_peer_report_about_a_later_process_reports_a_lost_cache() {
    let mut tracker = Tracker::default();
    tracker.step(answered(1));
    let standing_change = Change::StandingChanged {
        from: Standing::Serving,
        to: Standing::Leaving,
    };
    let expected = [Change::CacheLost(Incarnation(2)), standing_change];
    assert_eq!(tracker.step(peer_reported_leaving(2)), expected);
}
