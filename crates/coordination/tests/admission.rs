//! Checks which requests are served next and which are refused, also under overload.

mod support;

use coordination::admission::Reason;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::placement_request::PlacementId;
use coordination::placement_request::PlacementRequest;
use coordination::report::Progress;
use state::column::Column;
use state::rank::Rank;
use state::sheet::Sheet;
use support::BrokerHarness;
use support::SLOTS;
use support::grants;
use support::refusals;
use support::request;

type SetLimit = fn(&mut BrokerHarness);

const SERVICE_TIME_MS: u64 = 400;

/// Simulates arrivals at a broker and records what it grants; times are in milliseconds.
#[derive(Default)]
struct Simulation {
    arrivals: Vec<(u64, PlacementRequest)>,
    granted: Vec<(u64, PlacementRequest)>,
}

impl Simulation {
    /// Adds `count` requests per second for the given time.
    fn with_arrivals(
        mut self,
        rank: Rank,
        workspace: &str,
        caller: &str,
        count: u64,
        millis: u64,
    ) -> Self {
        for at in 0..count * millis / 1_000 {
            let serial = self.arrivals.len() as u128;
            let due = 1_000 + at * 1_000 / count;
            let mut request = request(serial, rank, workspace, caller, 0);
            request.prompt_tokens = 1_000;
            self.arrivals.push((due, request));
        }
        self
    }

    /// Runs the arrivals against one upstream that takes a fixed time for each request.
    fn run(mut self, millis: u64) -> Self {
        let mut harness = BrokerHarness::new(&["a"]);
        let mut completions: Vec<(u64, PlacementId)> = Vec::new();
        let mut arrivals = std::mem::take(&mut self.arrivals);
        arrivals.sort_by_key(|(at, _)| *at);
        let mut arrivals = arrivals.into_iter().peekable();
        let mut requests = std::collections::HashMap::new();
        while harness.now < 1_000 + millis {
            let mut effects = harness.advance(5);
            while let Some((_, request)) = arrivals.next_if(|(at, _)| *at <= harness.now) {
                requests.insert(request.placement_id, request.clone());
                effects.extend(harness.submit(request));
            }
            let now = harness.now;
            for (_, placement_id) in completions.extract_if(.., |(at, _)| *at <= now) {
                effects.extend(harness.report_progress(placement_id, Progress::FirstToken));
                effects.extend(harness.report_progress(placement_id, Progress::Finished));
            }
            for grant in grants(&effects) {
                completions.push((now + SERVICE_TIME_MS, grant.placement_id));
                self.granted
                    .push((now, requests[&grant.placement_id].clone()));
            }
        }
        self
    }

    fn count_granted(&self, is_counted: impl Fn(&PlacementRequest) -> bool) -> usize {
        self.granted
            .iter()
            .filter(|(_, request)| is_counted(request))
            .count()
    }
}

#[test]
fn background_flood_does_not_reduce_urgent_throughput() {
    let simulation = Simulation::default()
        .with_arrivals(Rank::Background, "shops", "b", 100, 10_000)
        .with_arrivals(Rank::Urgent, "maps", "u", 4, 10_000)
        .run(10_000);
    assert_eq!(
        simulation.count_granted(|request| request.rank == Rank::Urgent),
        40
    );
}

#[test]
fn urgent_flood_leaves_background_its_guaranteed_share() {
    let simulation = Simulation::default()
        .with_arrivals(Rank::Background, "shops", "b", 20, 10_000)
        .with_arrivals(Rank::Urgent, "maps", "u", 100, 10_000)
        .run(10_000);
    let background = simulation.count_granted(|request| request.rank == Rank::Background);
    let share = 100 * background / simulation.granted.len();
    assert!((18..=25).contains(&share), "background got {share} %");
}

#[test]
fn small_caller_is_not_starved_by_a_large_one() {
    for rank in [Rank::Background, Rank::Urgent] {
        let simulation = Simulation::default()
            .with_arrivals(rank, "maps", "large", 200, 10_000)
            .with_arrivals(rank, "maps", "small", 2, 10_000)
            .run(10_500);
        assert_eq!(
            simulation.count_granted(|request| request.caller == "small"),
            20,
            "{rank}"
        );
    }
}

#[test]
fn small_workspace_is_not_starved_by_a_large_one() {
    let simulation = Simulation::default()
        .with_arrivals(Rank::Background, "large", "c", 200, 10_000)
        .with_arrivals(Rank::Background, "small", "c", 2, 10_000)
        .run(10_500);
    assert_eq!(
        simulation.count_granted(|request| request.workspace == "small"),
        20
    );
}

#[test]
fn queued_requests_of_one_caller_are_limited() {
    let mut harness = BrokerHarness::new(&["a"]);
    let mut refused = Vec::new();
    for serial in 0..1_000 {
        let effects = harness.submit(request(serial, Rank::Background, "maps", "c", 2));
        refused.extend(refusals(&effects));
    }
    assert_eq!(harness.broker.queued(Rank::Background), 256);
    assert_eq!(refused[0], Reason::Overloaded);
}

#[test]
fn limits_of_the_table_are_enforced_until_requests_end() {
    let cases: [(Reason, SetLimit); 4] = [
        (Reason::CallerLimit, |d| {
            d.set_workspace("maps", &[(Column::CallerLimit, "2")]);
        }),
        (Reason::KindLimit, |d| {
            let cells = [(Column::Rank, "urgent"), (Column::Limit, "2")];
            d.set_row(Sheet::Kinds, "urgent", &cells);
        }),
        (Reason::RateLimit, |d| {
            d.set_workspace("maps", &[(Column::Rate, "150")]);
        }),
        (Reason::WorkspaceLimit, |d| {
            d.set_workspace("maps", &[(Column::Limit, "2")]);
        }),
    ];
    for (reason, set_limit) in cases {
        let mut harness = BrokerHarness::new(&["a"]);
        set_limit(&mut harness);
        for serial in 0..2 {
            let effects = harness.submit(request(serial, Rank::Urgent, "maps", "c", 0));
            assert_eq!(refusals(&effects), [], "{reason}");
        }
        let effects = harness.submit(request(2, Rank::Urgent, "maps", "c", 0));
        assert_eq!(refusals(&effects), [reason]);
        let effects = harness.submit(request(3, Rank::Urgent, "shops", "c", 0));
        let other = refusals(&effects);
        assert_eq!(other.is_empty(), reason != Reason::KindLimit, "{reason}");
        for serial in 0..2 {
            harness.report_progress(PlacementId(serial), Progress::Finished);
        }
        harness.advance(3_000);
        let effects = harness.submit(request(4, Rank::Urgent, "maps", "c", 0));
        assert_eq!(refusals(&effects), [], "{reason} is over");
    }
}

#[test]
fn broker_admits_only_its_share_of_a_limit() {
    let mut harness = BrokerHarness::new(&["a"]);
    harness.set_workspace("maps", &[(Column::Limit, "8")]);
    harness.step(Event::Share(250));
    let mut refused = 0;
    for serial in 0..8 {
        let effects = harness.submit(request(serial, Rank::Urgent, "maps", "c", 0));
        refused += refusals(&effects).len();
    }
    assert_eq!(refused, 6);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_early() {
    let mut harness = BrokerHarness::new(&["a"]);
    for serial in 0..100 {
        harness.submit(request(serial, Rank::Background, "maps", "c", 2));
    }
    harness.advance(2_000);
    let mut request = request(200, Rank::Background, "maps", "c", 2);
    request.deadline_ms = 500;
    let effects = harness.submit(request);
    let [Effect::Refuse(refusal)] = effects.as_slice() else {
        panic!("expected a refusal, got {effects:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after_ms > 500);
}

#[test]
fn queued_request_is_refused_when_its_deadline_passes() {
    let mut harness = BrokerHarness::new(&["a"]);
    for serial in 0..u128::from(SLOTS) {
        harness.submit(request(serial, Rank::Urgent, "maps", "c", 0));
    }
    let mut waiting = request(50, Rank::Urgent, "maps", "c", 0);
    waiting.deadline_ms = 300;
    harness.submit(waiting);
    assert_eq!(refusals(&harness.advance(299)), []);
    assert_eq!(refusals(&harness.advance(100)), [Reason::Deadline]);
}

#[test]
fn cancelled_request_no_longer_counts_in_queue_and_limits() {
    let mut harness = BrokerHarness::new(&["a"]);
    harness.set_workspace("maps", &[(Column::Limit, "2")]);
    harness.submit(request(1, Rank::Background, "maps", "c", 9));
    harness.submit(request(2, Rank::Background, "maps", "c", 9));
    assert_eq!(
        (
            harness.broker.in_flight(),
            harness.broker.queued(Rank::Background)
        ),
        (1, 1)
    );
    harness.step(Event::Cancel(PlacementId(2)));
    assert_eq!(harness.broker.queued(Rank::Background), 0);
    harness.step(Event::Cancel(PlacementId(1)));
    assert_eq!(harness.broker.in_flight(), 0);
    let effects = harness.submit(request(3, Rank::Background, "maps", "c", 9));
    assert_eq!(grants(&effects).len(), 1);
}
