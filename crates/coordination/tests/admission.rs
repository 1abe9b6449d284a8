//! Who is served next, who is refused, and what is left to others in a flood.

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
use support::Desk;
use support::SLOTS;
use support::ask;
use support::grants;
use support::refusals;

type Setting = fn(&mut Desk);

const SERVICE_MS: u64 = 400;

/// Counts what was granted, by a label of the ask.
#[derive(Default)]
struct Flood {
    arrivals: Vec<(u64, PlacementRequest)>,
    granted: Vec<(u64, PlacementRequest)>,
}

impl Flood {
    /// Adds `count` asks a second for the given time.
    fn from(mut self, rank: Rank, workspace: &str, caller: &str, count: u64, millis: u64) -> Self {
        for at in 0..count * millis / 1_000 {
            let serial = self.arrivals.len() as u128;
            let due = 1_000 + at * 1_000 / count;
            let mut ask = ask(serial, rank, workspace, caller, 0);
            ask.prompt_tokens = 1_000;
            self.arrivals.push((due, ask));
        }
        self
    }

    /// Runs the asks against one upstream that takes a fixed time for each.
    fn run(mut self, millis: u64) -> Self {
        let mut desk = Desk::new(&["a"]);
        let mut ends: Vec<(u64, PlacementId)> = Vec::new();
        let mut arrivals = std::mem::take(&mut self.arrivals);
        arrivals.sort_by_key(|(at, _)| *at);
        let mut arrivals = arrivals.into_iter().peekable();
        let mut asks = std::collections::HashMap::new();
        while desk.now < 1_000 + millis {
            let mut effects = desk.tick(5);
            while let Some((_, ask)) = arrivals.next_if(|(at, _)| *at <= desk.now) {
                asks.insert(ask.placement_id, ask.clone());
                effects.extend(desk.ask(ask));
            }
            let now = desk.now;
            for (_, placement_id) in ends.extract_if(.., |(at, _)| *at <= now) {
                effects.extend(desk.report(placement_id, Progress::FirstToken));
                effects.extend(desk.report(placement_id, Progress::Finished));
            }
            for grant in grants(&effects) {
                ends.push((now + SERVICE_MS, grant.placement_id));
                self.granted.push((now, asks[&grant.placement_id].clone()));
            }
        }
        self
    }

    fn count(&self, wanted: impl Fn(&PlacementRequest) -> bool) -> usize {
        self.granted.iter().filter(|(_, ask)| wanted(ask)).count()
    }
}

#[test]
fn flood_of_background_leaves_urgent_all_it_asks_for() {
    let flood = Flood::default()
        .from(Rank::Background, "shops", "b", 100, 10_000)
        .from(Rank::Urgent, "maps", "u", 4, 10_000)
        .run(10_000);
    assert_eq!(flood.count(|ask| ask.rank == Rank::Urgent), 40);
}

#[test]
fn flood_of_urgent_leaves_background_its_floor() {
    let flood = Flood::default()
        .from(Rank::Background, "shops", "b", 20, 10_000)
        .from(Rank::Urgent, "maps", "u", 100, 10_000)
        .run(10_000);
    let background = flood.count(|ask| ask.rank == Rank::Background);
    let share = 100 * background / flood.granted.len();
    assert!((18..=25).contains(&share), "background got {share} %");
}

#[test]
fn small_caller_is_served_beside_a_large_one() {
    for rank in [Rank::Background, Rank::Urgent] {
        let flood = Flood::default()
            .from(rank, "maps", "large", 200, 10_000)
            .from(rank, "maps", "small", 2, 10_000)
            .run(10_500);
        assert_eq!(flood.count(|ask| ask.caller == "small"), 20, "{rank}");
    }
}

#[test]
fn small_workspace_is_served_beside_a_large_one() {
    let flood = Flood::default()
        .from(Rank::Background, "large", "c", 200, 10_000)
        .from(Rank::Background, "small", "c", 2, 10_000)
        .run(10_500);
    assert_eq!(flood.count(|ask| ask.workspace == "small"), 20);
}

#[test]
fn caller_queue_is_bounded() {
    let mut desk = Desk::new(&["a"]);
    let mut refused = Vec::new();
    for serial in 0..1_000 {
        let effects = desk.ask(ask(serial, Rank::Background, "maps", "c", 2));
        refused.extend(refusals(&effects));
    }
    assert_eq!(desk.broker.queued(Rank::Background), 256);
    assert_eq!(refused[0], Reason::Overloaded);
}

#[test]
fn limits_of_rows_hold() {
    let cases: [(Reason, Setting); 4] = [
        (Reason::CallerLimit, |d| {
            d.workspace("maps", &[(Column::CallerLimit, "2")]);
        }),
        (Reason::KindLimit, |d| {
            let cells = [(Column::Rank, "urgent"), (Column::Limit, "2")];
            d.row(Sheet::Kinds, "urgent", &cells);
        }),
        (Reason::RateLimit, |d| {
            d.workspace("maps", &[(Column::Rate, "150")]);
        }),
        (Reason::WorkspaceLimit, |d| {
            d.workspace("maps", &[(Column::Limit, "2")]);
        }),
    ];
    for (reason, limit) in cases {
        let mut desk = Desk::new(&["a"]);
        limit(&mut desk);
        for serial in 0..2 {
            let effects = desk.ask(ask(serial, Rank::Urgent, "maps", "c", 0));
            assert_eq!(refusals(&effects), [], "{reason}");
        }
        let effects = desk.ask(ask(2, Rank::Urgent, "maps", "c", 0));
        assert_eq!(refusals(&effects), [reason]);
        let effects = desk.ask(ask(3, Rank::Urgent, "shops", "c", 0));
        let other = refusals(&effects);
        assert_eq!(other.is_empty(), reason != Reason::KindLimit, "{reason}");
        for serial in 0..2 {
            desk.report(PlacementId(serial), Progress::Finished);
        }
        desk.tick(3_000);
        let effects = desk.ask(ask(4, Rank::Urgent, "maps", "c", 0));
        assert_eq!(refusals(&effects), [], "{reason} is over");
    }
}

#[test]
fn share_of_a_limit_is_all_that_a_broker_uses() {
    let mut desk = Desk::new(&["a"]);
    desk.workspace("maps", &[(Column::Limit, "8")]);
    desk.step(Event::Share(250));
    let mut refused = 0;
    for serial in 0..8 {
        let effects = desk.ask(ask(serial, Rank::Urgent, "maps", "c", 0));
        refused += refusals(&effects).len();
    }
    assert_eq!(refused, 6);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_early() {
    let mut desk = Desk::new(&["a"]);
    for serial in 0..100 {
        desk.ask(ask(serial, Rank::Background, "maps", "c", 2));
    }
    desk.tick(2_000);
    let mut hopeless = ask(200, Rank::Background, "maps", "c", 2);
    hopeless.deadline_ms = 500;
    let effects = desk.ask(hopeless);
    let [Effect::Refuse(refusal)] = effects.as_slice() else {
        panic!("expected a refusal, got {effects:?}");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
    assert!(refusal.retry_after_ms > 500);
}

#[test]
fn deadline_that_passes_in_the_queue_is_refused() {
    let mut desk = Desk::new(&["a"]);
    for serial in 0..u128::from(SLOTS) {
        desk.ask(ask(serial, Rank::Urgent, "maps", "c", 0));
    }
    let mut waiting = ask(50, Rank::Urgent, "maps", "c", 0);
    waiting.deadline_ms = 300;
    desk.ask(waiting);
    assert_eq!(refusals(&desk.tick(299)), []);
    assert_eq!(refusals(&desk.tick(100)), [Reason::Deadline]);
}

#[test]
fn cancelled_request_leaves_queue_and_limits() {
    let mut desk = Desk::new(&["a"]);
    desk.workspace("maps", &[(Column::Limit, "2")]);
    desk.ask(ask(1, Rank::Background, "maps", "c", 9));
    desk.ask(ask(2, Rank::Background, "maps", "c", 9));
    assert_eq!(
        (
            desk.broker.in_flight(),
            desk.broker.queued(Rank::Background)
        ),
        (1, 1)
    );
    desk.step(Event::Cancel(PlacementId(2)));
    assert_eq!(desk.broker.queued(Rank::Background), 0);
    desk.step(Event::Cancel(PlacementId(1)));
    assert_eq!(desk.broker.in_flight(), 0);
    let effects = desk.ask(ask(3, Rank::Background, "maps", "c", 9));
    assert_eq!(grants(&effects).len(), 1);
}
