//! Allotments under load and under failure: a holder and the purses of many hosts, without a
//! network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use coordination::allotment::LEASE_MS;
use coordination::allotment::holder::Holder;
use coordination::allotment::kind::Kind;
use coordination::allotment::kind::Size;
use coordination::allotment::message::Draw;
use coordination::allotment::message::Drawing;
use coordination::allotment::message::Drawn;
use coordination::allotment::till::Charge;
use coordination::allotment::till::Till;
use state::routing::Allotment;
use state::routing::Table;
use state::routing::Unit;
use state::routing::Workspace;
use state::time::Instant;

const HOSTS: usize = 57;
const POLL_MS: u64 = 100;
const STEP_MS: u64 = 10;

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

/// A request that ran: when, and what it cost.
type Run = (Instant, u64);

struct World {
    /// Longest time after which the answer to a draw arrives, in milliseconds.
    answer_ms: u64,
    /// Answers to draws on their way: when they arrive, the host and the number of the draw.
    answers: Vec<(Instant, usize, u64, Option<Drawing>)>,
    cut_off: BTreeSet<usize>,
    /// Draws by host.
    draws: Vec<u64>,
    holder: Holder,
    /// Part of the updates that are lost on either way, in percent.
    loss_percent: u64,
    now: Instant,
    /// Requests that wait for a draw, by host and number.
    queued: BTreeMap<(usize, u64), (String, u64)>,
    random: ChaCha8Rng,
    refused: u64,
    /// Most units in a bucket beyond those lent while a draw refused a short request.
    refused_beside: i64,
    runs: Vec<(String, Run)>,
    table: Table,
    term: u64,
    tills: Vec<Till>,
}

/// Returns the tills of all hosts, whose processes are numbered from `first`.
fn tills(first: u64) -> Vec<Till> {
    let hosts = 0..HOSTS as u64;
    hosts
        .map(|n| Till::new(format!("h{n}"), first + n))
        .collect()
}

fn allotment(rate: u64, burst: u64) -> Allotment {
    Allotment {
        burst,
        plain_cost: 200,
        rate,
        unit: Unit::Tokens,
    }
}

fn table(workspaces: &[(&str, Allotment)]) -> Table {
    let workspaces = workspaces.iter().map(|(name, allotment)| Workspace {
        allotment: Some(*allotment),
        isolated: false,
        keys: Vec::new(),
        name: (*name).to_owned(),
        rank: 0,
    });
    Table {
        version: 1,
        workspaces: workspaces.collect(),
        ..Table::default()
    }
}

impl World {
    /// Returns a world whose first holder has led for long enough to lend everything.
    fn new(seed: u64, table: Table) -> Self {
        let mut world = Self {
            answer_ms: 0,
            answers: Vec::new(),
            cut_off: BTreeSet::new(),
            draws: vec![0; HOSTS],
            holder: Holder::default(),
            loss_percent: 0,
            now: Instant(1),
            queued: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            refused: 0,
            refused_beside: i64::MIN,
            runs: Vec::new(),
            table,
            term: 1,
            tills: tills(0),
        };
        world.advance(LEASE_MS * 2);
        world
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    /// Lets the hosts poll whose turn it is.
    fn step(&mut self) {
        self.now = self.now + STEP_MS;
        self.settle();
        let turn = self.now.0 / STEP_MS;
        for host in 0..HOSTS {
            if turn % (POLL_MS / STEP_MS) == host as u64 % (POLL_MS / STEP_MS) {
                self.poll(host);
            }
            self.draw(host);
        }
    }

    fn poll(&mut self, host: usize) {
        let report = self.tills[host].purse().report(self.now);
        if self.cut_off.contains(&host) || self.is_lost() {
            return;
        }
        let name = format!("h{host}");
        let batch = self
            .holder
            .exchange(self.now, self.term, &self.table, &name, &report);
        if !self.is_lost() {
            let outcomes = self.tills[host].apply(self.now, self.now, batch);
            self.tell(host, outcomes);
        }
    }

    fn replace(&mut self, workspaces: &[(&str, Allotment)]) {
        let version = self.table.version + 1;
        self.table = Table {
            version,
            ..table(workspaces)
        };
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..100) < self.loss_percent
    }

    /// A request arrives at a host; returns whether it ran at once.
    fn ask(&mut self, host: usize, workspace: &str, kind: Kind, units: u64) -> bool {
        let random = self.random.next_u64();
        let purse = self.tills[host].purse();
        if purse
            .admit(self.now, workspace, kind, units, random)
            .is_err()
        {
            self.refused += 1;
            return false;
        }
        self.charge(host, workspace, kind, units)
    }

    fn charge(&mut self, host: usize, workspace: &str, kind: Kind, units: u64) -> bool {
        let charge = self.tills[host].charge(self.now, workspace, kind, units);
        let ran = self.runs.len();
        match charge {
            Charge::Covered => self.runs.push((workspace.to_owned(), (self.now, units))),
            Charge::Queued(id) => {
                let request = (workspace.to_owned(), units);
                self.queued.insert((host, id), request);
                self.draw(host);
            }
            Charge::Refused { .. } | Charge::Unanswered => self.refused += 1,
        }
        self.runs.len() > ran
    }

    /// Draws for the requests that wait at a host.
    fn draw(&mut self, host: usize) {
        while let Some(draw) = self.tills[host].draw(self.now) {
            self.draws[host] += 1;
            let is_cut_off = self.cut_off.contains(&host);
            let drawing =
                (!is_cut_off).then(|| self.holder.draw(self.now, self.term, &self.table, &draw));
            self.watch(&draw, drawing.as_ref());
            let arrives_at = self.now + self.random.random_range(0..=self.answer_ms);
            self.answers.push((arrives_at, host, draw.number, drawing));
            self.settle();
        }
    }

    fn watch(&mut self, draw: &Draw, drawing: Option<&Drawing>) {
        let grants = drawing.into_iter().flat_map(|drawing| &drawing.grants);
        for (workspace, grant) in grants {
            let wants = draw.wants[workspace].iter().zip(&grant.verdicts);
            let mut short = wants.filter(|(want, _)| want.kind == SHORT);
            if short.any(|(_, verdict)| *verdict != Drawn::Charged) {
                let mut summaries = self.holder.summaries();
                let (_, summary) = summaries.find(|(name, _)| name == workspace).unwrap();
                let beside = summary.level - summary.lent as i64;
                self.refused_beside = self.refused_beside.max(beside);
            }
        }
    }

    /// Lets the answers arrive whose time has come.
    fn settle(&mut self) {
        let now = self.now;
        for (_, host, number, drawing) in self
            .answers
            .extract_if(.., |(at, ..)| *at <= now)
            .collect::<Vec<_>>()
        {
            let outcomes = self.tills[host].settle(now, number, drawing);
            self.tell(host, outcomes);
        }
    }

    /// Records how charges of requests that waited have ended.
    fn tell(&mut self, host: usize, outcomes: Vec<(u64, Charge)>) {
        for (id, outcome) in outcomes {
            let (workspace, units) = self.queued.remove(&(host, id)).unwrap();
            match outcome {
                Charge::Covered => self.runs.push((workspace, (self.now, units))),
                _ => self.refused += 1,
            }
        }
    }

    /// Another host leads from now on, and knows nothing of what was lent.
    fn change_leader(&mut self) {
        self.term += 1;
        self.holder = Holder::default();
    }

    /// Callers ask for `units_per_s` in short requests for a time, at hosts drawn by `pick`.
    fn load(
        &mut self,
        millis: u64,
        workspace: &str,
        units_per_s: u64,
        mut pick: impl FnMut(&mut ChaCha8Rng) -> usize,
    ) {
        let mut due = 0;
        for _ in 0..millis / STEP_MS {
            self.step();
            due += units_per_s * STEP_MS / 1_000;
            while due >= SHORT_UNITS {
                due -= SHORT_UNITS;
                let host = pick(&mut self.random);
                self.ask(host, workspace, SHORT, SHORT_UNITS);
            }
        }
    }

    fn ran(&self, workspace: &str, since: Instant) -> u64 {
        let runs = self.runs.iter();
        let runs = runs.filter(|(w, (at, _))| w == workspace && *at >= since);
        runs.map(|(_, (_, units))| units).sum()
    }

    /// Checks that in no window from `since` on more ran than the rate and the burst allow.
    fn assert_within(&self, workspace: &str, since: Instant, allotment: Allotment) {
        let (mut filled_milli, mut last) = (0, since);
        for (_, (at, units)) in self.runs.iter().filter(|(w, _)| w == workspace) {
            if *at < since {
                continue;
            }
            filled_milli = u64::saturating_sub(filled_milli, at.since(last) * allotment.rate);
            filled_milli += units * 1_000;
            last = *at;
            assert!(
                filled_milli <= allotment.burst * 1_000,
                "{} over the burst at {at:?}",
                filled_milli / 1_000 - allotment.burst,
            );
        }
    }
}

fn any(random: &mut ChaCha8Rng) -> usize {
    random.random_range(0..HOSTS)
}

/// Most callers come to a few hosts.
fn few(random: &mut ChaCha8Rng) -> usize {
    match random.random_range(0..10) {
        0 => random.random_range(0..HOSTS),
        _ => random.random_range(0..4),
    }
}

#[test]
fn uneven_demand_within_the_allotment_is_never_refused() {
    let allotment = allotment(670_000, 670_000);
    let mut world = World::new(1, table(&[("w", allotment)]));
    let began_at = world.now;
    world.load(3_000, "w", 600_000, few);
    world.load(3_000, "w", 600_000, any);
    for host in [7, 30, 55] {
        world.load(1_000, "w", 600_000, |_| host);
    }
    assert_eq!(world.refused, 0);
    world.assert_within("w", began_at, allotment);
}

/// A flood at all hosts, some of which lose updates, vanish or are led anew.
#[test]
fn a_flood_never_passes_the_allotment_under_failures() {
    for seed in 0..20 {
        let allotment = allotment(200_000, 300_000);
        let mut world = World::new(seed, table(&[("w", allotment)]));
        world.loss_percent = 20;
        world.answer_ms = 250;
        for round in 0..6 {
            world.load(700, "w", 700_000, few);
            let host = any(&mut world.random);
            world.cut_off.insert(host);
            world.load(400, "w", 700_000, any);
            world.change_leader();
            // A leader that is replaced at once.
            if round % 2 == 0 {
                world.load(150, "w", 700_000, any);
                world.change_leader();
            }
            world.load(LEASE_MS + 200, "w", 700_000, any);
            world.cut_off.clear();
        }
        world.assert_within("w", Instant(0), allotment);
    }
}

/// A flood of short requests beside large ones that draw, at hosts that come and go.
#[test]
fn both_sizes_are_served_in_a_flood_and_use_most_of_the_allotment() {
    let allotment = allotment(200_000, 200_000);
    let mut world = World::new(3, table(&[("w", allotment)]));
    let began_at = world.now;
    for turn in 0..1_500 {
        world.step();
        if turn % 4 == 0 {
            let host = any(&mut world.random);
            world.ask(host, "w", LONG, LONG_UNITS);
        }
        for _ in 0..8 {
            let host = any(&mut world.random);
            world.ask(host, "w", SHORT, SHORT_UNITS);
        }
    }
    let ran = |cost| {
        let runs = world.runs.iter().map(|(_, (_, units))| *units);
        runs.filter(|units| *units == cost).sum::<u64>()
    };
    let (long_ran, short_ran) = (ran(LONG_UNITS), ran(SHORT_UNITS));
    let allowed = 200_000 * 15 + 200_000;
    world.assert_within("w", began_at, allotment);
    assert!(
        long_ran + short_ran >= allowed * 85 / 100,
        "{long_ran} {short_ran}"
    );
    assert!(
        long_ran >= allowed * 12 / 100,
        "long requests got {long_ran}"
    );
    // Short ones are the more urgent: they get all but the floor of the long ones.
    assert!(
        short_ran >= allowed * 60 / 100,
        "short requests got {short_ran}"
    );
}

#[test]
fn quiet_workspaces_are_served_beside_a_hot_one() {
    let hot = allotment(100_000, 100_000);
    let mut world = World::new(4, table(&[("hot", hot), ("quiet", hot)]));
    for _ in 0..600 {
        world.step();
        for _ in 0..15 {
            let host = few(&mut world.random);
            world.ask(host, "hot", SHORT, SHORT_UNITS);
        }
        let host = any(&mut world.random);
        assert!(world.ask(host, "quiet", SHORT, SHORT_UNITS));
    }
    assert!(world.refused > 0);
    world.assert_within("hot", Instant(0), hot);
}

#[test]
fn a_lowered_allotment_binds_also_on_a_host_that_is_cut_off() {
    let mut world = World::new(5, table(&[("w", allotment(600_000, 600_000))]));
    world.load(1_000, "w", 550_000, few);
    world.cut_off.insert(0);
    let lowered = allotment(100_000, 100_000);
    world.replace(&[("w", lowered)]);
    world.load(LEASE_MS, "w", 550_000, few);
    let bound_at = world.now;
    world.load(4_000, "w", 550_000, few);
    world.assert_within("w", bound_at, lowered);
    assert!(!world.ask(0, "w", SHORT, SHORT_UNITS));
    assert!(world.ran("w", bound_at) >= 4 * 100_000 * 85 / 100);
}

#[test]
fn a_raised_allotment_is_used_soon() {
    let mut world = World::new(6, table(&[("w", allotment(100_000, 100_000))]));
    world.load(3_000, "w", 400_000, any);
    let raised = allotment(500_000, 500_000);
    world.replace(&[("w", raised)]);
    world.load(1_000, "w", 400_000, any);
    let refused = world.refused;
    world.load(2_000, "w", 400_000, any);
    assert_eq!(world.refused, refused);
    world.assert_within("w", Instant(0), raised);
}

/// All hosts start anew, or the leader alone, with nothing of what was lent before.
#[test]
fn a_restart_hands_out_no_second_burst() {
    let allotment = allotment(100_000, 400_000);
    for all in [false, true] {
        let mut world = World::new(7, table(&[("w", allotment)]));
        world.load(500, "w", 2_000_000, any);
        world.change_leader();
        if all {
            world.tills = tills(100);
            world.queued.clear();
            world.answers.clear();
        }
        world.load(6_000, "w", 2_000_000, any);
        world.assert_within("w", Instant(0), allotment);
    }
}

/// An answer that a frozen leader sends when it wakes, to a host that was frozen too.
#[test]
fn a_late_lease_covers_nothing() {
    let table = table(&[("w", allotment(100_000, 100_000))]);
    let mut world = World::new(8, table);
    world.load(1_000, "w", 50_000, |_| 0);
    let report = world.tills[0].purse().report(world.now);
    let asked_at = world.now;
    let late = world
        .holder
        .exchange(asked_at, world.term, &world.table, "h0", &report);
    world.now = world.now + LEASE_MS;
    world.tills[0].purse().apply(asked_at, late);
    assert!(!world.tills[0].purse().charge(world.now, "w", 1));
}

#[test]
fn a_request_as_large_as_the_burst_calls_leases_in_and_is_served() {
    let allotment = allotment(47_000, 47_000);
    let mut world = World::new(9, table(&[("w", allotment)]));
    world.load(1_000, "w", 20_000, few);
    let waited = (0..40).take_while(|_| {
        let ran = world.ask(20, "w", LONG, 46_000);
        world.advance(100);
        !ran
    });
    assert!(waited.count() <= 20);
    world.assert_within("w", Instant(0), allotment);
}

#[test]
fn a_request_larger_than_the_burst_runs_as_a_debt() {
    let allotment = allotment(10_000, 10_000);
    let mut world = World::new(10, table(&[("w", allotment)]));
    assert!(world.ask(3, "w", LONG, 25_000));
    assert!(!world.ask(4, "w", SHORT, SHORT_UNITS));
    world.advance(1_400);
    assert!(!world.ask(5, "w", SHORT, SHORT_UNITS));
    world.advance(300);
    assert!(world.ask(6, "w", SHORT, SHORT_UNITS));
}

#[test]
fn units_of_requests_that_did_not_run_come_back() {
    let allotment = allotment(5_000, 10_000);
    let mut world = World::new(11, table(&[("w", allotment)]));
    for _ in 0..5 {
        assert!(world.charge(0, "w", LONG, 9_000));
        world.tills[0].purse().give_back("w", 9_000);
        world.advance(POLL_MS);
    }
}

/// A caller who was refused finds room when it comes back as told, although others go on asking.
#[test]
fn callers_who_are_refused_come_back_over_time() {
    let allotment = allotment(100_000, 100_000);
    let mut world = World::new(12, table(&[("w", allotment)]));
    world.load(2_000, "w", 300_000, any);
    let mut times = BTreeSet::new();
    for random in 0..2_000 {
        let now = world.now;
        let admitted = world.tills[9]
            .purse()
            .admit(now, "w", SHORT, 1, random * 7_919);
        times.extend(admitted.err());
    }
    let (first, last) = (times.first().unwrap(), times.last().unwrap());
    assert!(*first >= 500 && *last >= first * 5 / 4, "{first} {last}");
}

/// One workspace asks for five times its allotment at 57 hosts, at last beside long prompts.
#[test]
fn a_hot_workspace_draws_by_time_and_not_by_requests() {
    let allotment = allotment(200_000, 200_000);
    let mut world = World::new(13, table(&[("w", allotment)]));
    world.load(3_000, "w", 150_000, any);
    assert_eq!(world.refused, 0);
    world.draws.fill(0);
    let began_at = world.now;
    world.load(5_000, "w", 1_000_000, any);
    // Whoever is refused by the bucket finds less there than other hosts hold.
    assert!(world.refused_beside <= 0, "{}", world.refused_beside);
    for _ in 0..5 {
        world.load(1_000, "w", 1_000_000, any);
        for _ in 0..20 {
            let host = any(&mut world.random);
            world.ask(host, "w", LONG, LONG_UNITS);
        }
    }
    // Three at once, then one in 100 ms.
    let most = 3 + 10_000 / POLL_MS;
    assert!(
        world.draws.iter().all(|draws| *draws <= most),
        "{:?}",
        world.draws
    );
    world.assert_within("w", Instant(0), allotment);
    let ran = world.ran("w", began_at);
    assert!(ran >= 200_000 * 10 * 9 / 10, "{ran}");
}

/// A report on its way while a draw lends ahead does not tell of the units, which are not spent.
#[test]
fn a_report_that_crosses_a_draw_frees_nothing() {
    let mut world = World::new(14, table(&[("w", allotment(200_000, 200_000))]));
    for _ in 0..6 {
        world.tills[0].charge(world.now, "w", SHORT, SHORT_UNITS);
    }
    let draw = world.tills[0].draw(world.now).unwrap();
    let drawing = world
        .holder
        .draw(world.now, world.term, &world.table, &draw);
    let ahead = drawing.grants["w"].ahead;
    let lent = |world: &World| world.holder.summaries().next().unwrap().1.lent;
    assert_eq!((ahead, lent(&world)), (5 * SHORT_UNITS, ahead));
    world.advance(POLL_MS);
    assert_eq!(lent(&world), ahead);
    let outcomes = world.tills[0].settle(world.now, draw.number, Some(drawing));
    assert!(
        outcomes
            .iter()
            .all(|(_, outcome)| *outcome == Charge::Covered)
    );
    assert!(world.tills[0].purse().charge(world.now, "w", ahead));
    world.advance(POLL_MS);
    assert_eq!(lent(&world), 0);
}
