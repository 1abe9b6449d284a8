//! Asks the owner of a request's digest whether the request may run.
//!
//! An owner that does not answer in time is passed over for a while in favour of the next in rank,
//! at last this host. Two hosts that see different owners each keep to the bound on their own.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use crate::member;
use crate::pool::Pool;
use coordination::quarantine;
use coordination::quarantine::Answer;
use coordination::quarantine::Call;
use coordination::quarantine::Outcome;
use coordination::quarantine::Policy;
use coordination::quarantine::Quarantine;
use coordination::quarantine::RunId;
use coordination::quarantine::Verdict;
use coordination::shard;
use coordination::view::Member;
use coordination::view::View;
use state::ident::Digest;
use state::table::Table;
use state::time::Instant;
use transport::clock::Clock;
use transport::metric;

/// Bounds the wait for an owner.
const CALL_LIMIT: Duration = Duration::from_millis(250);
/// Counts the hosts next in rank that must hear of a crash before its request goes on.
const HEIRS: usize = 3;
/// Bounds the wait for them.
const HEIRS_LIMIT: Duration = Duration::from_millis(750);
/// Bounds the owners that are asked in turn.
const OWNERS: usize = 2;
/// Gives how long an owner that did not answer is passed over, in milliseconds.
const PASSED_OVER: u64 = 1_000;
/// Bounds how often a host is told of a crash.
const TELLS: u32 = 6;
/// Gives the pause before a host is told again; it doubles each time.
const TELL_PAUSE: Duration = Duration::from_millis(50);
/// Gives the time between renewals of a run.
const RENEWAL: Duration = Duration::from_secs(5);

/// Reaches the owners of digests.
#[derive(Clone)]
pub struct Suspects {
    clock: Clock,
    member: member::Handle,
    pool: Option<Pool>,
    shared: Arc<Mutex<Shared>>,
    table: watch::Receiver<Arc<Table>>,
}

struct Shared {
    own: Quarantine,
    silent: BTreeMap<String, Instant>,
}

/// Names one run of a request.
#[derive(Clone, Copy, Debug)]
pub struct Pass {
    /// Identifies the request's content.
    pub digest: Digest,
    /// Names the run.
    pub run_id: RunId,
}

impl Suspects {
    /// Returns suspects that nobody was told of yet.
    pub fn new(
        clock: Clock,
        member: member::Handle,
        pool: Option<Pool>,
        table: watch::Receiver<Arc<Table>>,
    ) -> Self {
        let shared = Shared {
            own: Quarantine::new(Policy::default()),
            silent: BTreeMap::new(),
        };
        Self {
            clock,
            member,
            pool,
            shared: Arc::new(Mutex::new(shared)),
            table,
        }
    }

    /// Answers a call for what this host owns.
    pub fn answer(&self, call: Call) -> Answer {
        let now = self.clock.now();
        self.lock().own.answer(now, call)
    }

    /// Asks whether the request may run.
    pub async fn enter(&self, pass: Pass) -> Verdict {
        let call = Call::Enter(pass.digest, pass.run_id);
        let Answer::Verdict(verdict) = self.ask_owner(pass.digest, call).await else {
            return Verdict::Run;
        };
        if let Verdict::Quarantined(_) = verdict {
            metrics::counter!(metric::QUARANTINED).increment(1);
        }
        verdict
    }

    /// Asks to be the only suspect on `upstream`.
    pub async fn isolate(&self, upstream: &str, pass: Pass) -> bool {
        let call = Call::Isolate(upstream.to_owned(), pass.run_id);
        self.ask_broker(upstream, call).await == Answer::Isolated(true)
    }

    /// Tells how a run ended.
    pub async fn leave(&self, pass: Pass, outcome: Outcome) {
        let name: &'static str = outcome.into();
        metrics::counter!(metric::RUNS, "outcome" => name).increment(1);
        let call = Call::Leave(pass.digest, pass.run_id, outcome);
        let answer = self.ask_owner(pass.digest, call).await;
        if let (Outcome::Crashed, Answer::Left(crashes)) = (outcome, answer) {
            let adopt = Call::Adopt(pass.digest, crashes);
            self.spread(pass.digest, &adopt).await;
        }
    }

    /// Frees `upstream` for other suspects.
    pub async fn release(&self, upstream: &str, pass: Pass) {
        let call = Call::Release(upstream.to_owned(), pass.run_id);
        self.ask_broker(upstream, call).await;
    }

    /// Keeps the run on `upstream` counted, and alone where it is, for as long as this is polled.
    pub async fn renew(&self, upstream: &str, pass: Pass, alone: bool) {
        loop {
            tokio::time::sleep(RENEWAL).await;
            let call = Call::Renew(pass.digest, pass.run_id);
            self.ask_owner(pass.digest, call).await;
            if alone {
                self.isolate(upstream, pass).await;
            }
        }
    }

    async fn ask_broker(&self, upstream: &str, call: Call) -> Answer {
        let view = self.view();
        let shards = shard::count(&self.table.borrow());
        let owner = shard::owner(&view, shard::of_upstream(upstream, shards));
        self.ask(owner.into_iter().collect(), &view, call).await
    }

    async fn ask_owner(&self, digest: Digest, call: Call) -> Answer {
        let view = self.view();
        self.ask(quarantine::ranked_owners(&view, digest), &view, call)
            .await
    }

    async fn ask(&self, owners: Vec<&Member>, view: &View, call: Call) -> Answer {
        for owner in owners.into_iter().take(OWNERS) {
            let host = &owner.record.host;
            if *host == view.me {
                break;
            }
            if self.is_silent(host) {
                continue;
            }
            match self.send(owner, call.clone()).await {
                None => self.pass_over(host),
                Some(answer) => return answer,
            }
        }
        self.answer(call)
    }

    async fn send(&self, member: &Member, call: Call) -> Option<Answer> {
        let record = &member.record;
        let host = Some(record.host.clone());
        let client = self.pool.as_ref()?.client(record.profile.peer, host);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.quarantine(context, call).await
        });
        let answered = tokio::time::timeout(CALL_LIMIT, call).await;
        answered.ok()?.ok()
    }

    /// Tells all other hosts, so that whichever owns the digest next knows of its crashes, and
    /// waits a little for those that are next in rank.
    async fn spread(&self, digest: Digest, call: &Call) {
        let view = self.view();
        self.answer(call.clone());
        let ranked = quarantine::ranked_owners(&view, digest);
        let next: Vec<&String> = ranked.iter().take(HEIRS).map(|m| &m.record.host).collect();
        let mut heirs = Vec::new();
        for member in &view.hosts {
            if member.record.host == view.me {
                continue;
            }
            let telling = tokio::spawn(self.clone().tell(member.clone(), call.clone()));
            if next.contains(&&member.record.host) {
                heirs.push(telling);
            }
        }
        let _ = tokio::time::timeout(HEIRS_LIMIT, futures::future::join_all(heirs)).await;
    }

    /// Tells one host, again where no answer came.
    async fn tell(self, member: Member, call: Call) {
        let mut pause = TELL_PAUSE;
        for _ in 0..TELLS {
            if self.send(&member, call.clone()).await.is_some() {
                return;
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
    }

    fn is_silent(&self, host: &str) -> bool {
        let now = self.clock.now();
        self.lock()
            .silent
            .get(host)
            .is_some_and(|until| now < *until)
    }

    fn pass_over(&self, host: &str) {
        let until = self.clock.now() + PASSED_OVER;
        self.lock().silent.insert(host.to_owned(), until);
    }

    fn view(&self) -> Arc<View> {
        self.member.view().borrow().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
