//! Checks that a refusal which an upstream writes once more is taken for no other request's.

mod routed_upstream;

use serde_json::json;

use routed_upstream::Mode;
use routed_upstream::Upstream;
use routed_upstream::refuser::RawUpstream;
use routed_upstream::refuser::RepeatedId;
use routed_upstream::refuser::Trick;
use routed_upstream::setup::Answer;
use routed_upstream::setup::SHORT_LIFETIME;
use routed_upstream::setup::Setup;

/// Number of requests of each kind that the upstream has to play its trick on.
const ROUNDS: usize = 3;
/// Bounds the requests that are sent until it has; others go to the second upstream.
const MAX_REQUESTS: usize = 100;

/// A host in front of the upstream that plays tricks and of another one, `second`.
struct Bench {
    raw: RawUpstream,
    sent: usize,
    setup: Setup,
}

impl Bench {
    async fn start(service: &str) -> Self {
        let first = Upstream::start("i-1", service).await;
        let second = Upstream::start("i-2", service).await;
        let raw = RawUpstream::start(service).await;
        let entries = [raw.list_entry(), second.list_entry()];
        let page = json!({"instances": entries, "next": null}).to_string();
        let list = routed_upstream::start_page(move || page.clone()).await;
        let setup = Setup::with_list(SHORT_LIFETIME, "", list, first, second).await;
        setup.apply_table().await;
        Self {
            raw,
            sent: 0,
            setup,
        }
    }

    /// Sends a request with a path and an id of its own.
    async fn send(&mut self, prefix: &str) -> (String, Answer) {
        self.sent += 1;
        let path = format!("{prefix}{}", self.sent);
        let mut request = self.setup.request(&path, "k1");
        let id = format!("9c41d07be2a3{:04x}", self.sent);
        request
            .headers_mut()
            .insert("x-request-id", id.parse().unwrap());
        let answer = self.setup.call(request).await;
        (path, answer)
    }

    /// Sends requests of a kind until the upstream has played its trick on some of them, and passes
    /// each of these to `check`.
    async fn play(&mut self, trick: Trick, prefix: &str, check: impl Fn(&Self, &str, &Answer)) {
        let mut played = 0;
        for _ in 0..MAX_REQUESTS {
            self.lead_to_raw(Trick::None, prefix).await;
            self.raw.set_trick(trick);
            let (path, answer) = self.send(prefix).await;
            if self.raw.tricked(&path) {
                check(self, &path, &answer);
                played += 1;
            }
            if played == ROUNDS {
                return;
            }
        }
        panic!("the upstream got {played} requests of {prefix} on kept connections");
    }

    /// Has a request refused by the second upstream, which the host then avoids for a while, and
    /// answered by the one with the trick.
    async fn lead_to_raw(&mut self, trick: Trick, prefix: &str) {
        let prefix = match prefix {
            "/order/" | "/read/" => "/read/",
            _ => "/stream/",
        };
        self.raw.set_trick(trick);
        self.setup.second.set_mode(Mode::Rejecting);
        self.send(prefix).await;
        self.setup.second.set_mode(Mode::Working);
    }

    /// Returns how often a request ran.
    fn runs(&self, path: &str) -> usize {
        self.raw.runs(path) + self.setup.arrivals(path)
    }
}

/// Checks that a request that may run once ran once, and that its caller is not told otherwise.
fn check_once(bench: &Bench, path: &str, answer: &Answer) {
    assert_eq!(bench.runs(path), 1, "{path}");
    assert!(
        [200, 502].contains(&answer.status),
        "{path}: {}",
        answer.status
    );
}

/// Checks that a request that may be repeated is answered.
fn check_answered(_: &Bench, path: &str, answer: &Answer) {
    assert_eq!(answer.status, 200, "{path}");
    assert!(answer.body.is_ok(), "{path}");
}

const REPEATS: [Trick; 3] = [
    Trick::Repeat(RepeatedId::None),
    Trick::Repeat(RepeatedId::Earlier),
    Trick::Repeat(RepeatedId::OtherCase),
];

// A refusal of an earlier request must not stand for an order that runs: its caller would send the
// order again.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_not_taken_for_that_of_an_order() {
    let mut bench = Bench::start("desk").await;
    for trick in REPEATS {
        bench.play(trick, "/order/", check_once).await;
    }
}

// Where the other upstream refuses the order, a caller that is told "not run" sends it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_not_told_that_an_order_which_runs_did_not_run() {
    let mut bench = Bench::start("desk").await;
    for trick in REPEATS {
        bench.lead_to_raw(Trick::None, "/order/").await;
        bench.raw.set_trick(trick);
        bench.setup.second.set_mode(Mode::Rejecting);
        let (path, answer) = bench.send("/order/").await;
        assert!(bench.raw.tricked(&path), "{trick:?}");
        assert_eq!(
            (bench.raw.runs(&path), answer.status),
            (1, 502),
            "{trick:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_not_taken_for_that_of_a_stream() {
    let mut bench = Bench::start("engines").await;
    for trick in REPEATS {
        bench.play(trick, "/once/", check_once).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_behind_a_repeated_refusal_is_answered() {
    let mut bench = Bench::start("desk").await;
    for trick in REPEATS {
        bench.play(trick, "/read/", check_answered).await;
    }
    let mut bench = Bench::start("engines").await;
    for trick in REPEATS {
        bench.play(trick, "/stream/", check_answered).await;
    }
}

// Bytes behind a whole answer belong to no request, whenever they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_on_an_idle_connection_belongs_to_no_order() {
    let mut bench = Bench::start("desk").await;
    for trick in [Trick::Behind, Trick::Idle] {
        bench.raw.set_trick(trick);
        for _ in 0..MAX_REQUESTS {
            let (path, answer) = bench.send("/order/").await;
            check_once(&bench, &path, &answer);
        }
    }
}

// A refusal of the request itself still lets it run at the other upstream.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_names_its_order_moves_the_order_to_the_other_upstream() {
    let check_moved = |bench: &Bench, path: &str, answer: &Answer| {
        assert_eq!(answer.status, 200, "{path}");
        assert_eq!((bench.raw.runs(path), bench.runs(path)), (0, 1), "{path}");
    };
    let mut bench = Bench::start("desk").await;
    bench.play(Trick::Refuse, "/order/", check_moved).await;
}

// The first answer on a connection is nobody else's, whatever it names.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_on_a_new_connection_moves_the_order_to_the_other_upstream() {
    let mut bench = Bench::start("desk").await;
    for _ in 0..MAX_REQUESTS {
        bench.lead_to_raw(Trick::Close, "/order/").await;
        bench.raw.set_trick(Trick::RefuseUnnamed);
        let (path, answer) = bench.send("/order/").await;
        if bench.raw.tricked(&path) {
            assert_eq!((answer.status, bench.runs(&path)), (200, 1), "{path}");
            return;
        }
    }
    panic!("the upstream got no order");
}
