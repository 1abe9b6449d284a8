//! Answers one request over as many attempts as it takes, and passes its parts on in order.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::answer::Failure;
use crate::answer::Part;
use crate::attempt::Attempt;
use crate::attempt::Broken;
use crate::attempt::Ended;
use crate::attempt::Fate;
use crate::broker;
use crate::context::Context;
use crate::job::Job;
use crate::story::Story;
use crate::suspects::Pass;
use coordination::admission;
use coordination::broker::Grant;
use coordination::broker::PlacementId;
use coordination::broker::ProgressReport;
use coordination::quarantine;
use coordination::quarantine::Outcome;
use coordination::quarantine::Verdict;
use coordination::report::Progress;
use coordination::retry;
use coordination::retry::Denial;
use coordination::stream::Assembler;
use coordination::stream::Limits;
use protocol::completion::PromptTokensDetails;
use protocol::completion::Usage;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use state::column::Column;
use state::sheet::Sheet;
use state::time::Instant;

const BUFFERED_PARTS: usize = 32;
/// Bounds the text of an answer, in bytes.
const LONGEST_ANSWER: u64 = 16 << 20;
/// Gives the pause before a suspect asks for another upstream, in milliseconds.
const ISOLATION_PAUSE: u64 = 20;

/// Bounds how long a request that failed waits for any upstream to take it, in milliseconds.
const RECOVERY_LIMIT: u64 = 5_000;
/// Gives the pause before such a request asks again, in milliseconds.
const RECOVERY_PAUSE: u64 = 100;

/// Starts to answer `job`; the parts arrive in order and end with an end or a failure.
pub fn start(context: Arc<Context>, job: Job) -> mpsc::Receiver<Part> {
    let (sender, receiver) = mpsc::channel(BUFFERED_PARTS);
    tokio::spawn(async move {
        let bound = Limits {
            bytes: LONGEST_ANSWER,
            tokens: job.max_tokens,
        };
        let relay = Relay {
            answer: Assembler::new(bound),
            attempts: 0,
            cached_blocks: 0,
            context: &context,
            failed: BTreeSet::new(),
            job: &job,
            not_run: NotRun::True,
            parts: &sender,
            recovery: None,
            story: Story::new(&job),
        };
        relay.run().await;
    });
    receiver
}

struct Relay<'a> {
    answer: Assembler,
    attempts: u32,
    cached_blocks: u64,
    context: &'a Context,
    failed: BTreeSet<String>,
    job: &'a Job,
    not_run: NotRun,
    parts: &'a mpsc::Sender<Part>,
    recovery: Option<Instant>,
    story: Story,
}

struct Place {
    address: SocketAddr,
    alone: bool,
    grant: Grant,
    pass: Pass,
}

enum Next {
    Again,
    Left,
    Whole(String),
}

impl Relay<'_> {
    async fn run(mut self) {
        let ended = loop {
            match self.step().await {
                Err(failure) => break Err(failure),
                Ok(Next::Again) => {}
                Ok(next) => break Ok(next),
            }
        };
        let context = self.context;
        let (last, outcome, refusal) = match ended {
            Err(failure) => (Some(Part::Failed(failure)), "refused", Some(failure.reason)),
            Ok(Next::Whole(finish)) => {
                let usage = self.usage();
                (Some(Part::End { finish, usage }), "done", None)
            }
            Ok(_) => (None, "left", None),
        };
        context.journal.put(self.story.close(outcome, refusal));
        if let Some(part) = last {
            let _ = self.parts.send(part).await;
        }
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = u64::from(self.job.ask.prompt_tokens);
        let cached_tokens = self.cached_blocks * u64::from(self.job.ask.block_tokens);
        let completion_tokens = self.answer.len();
        Usage {
            completion_tokens,
            prompt_tokens,
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: cached_tokens.min(prompt_tokens),
            },
            total_tokens: prompt_tokens + completion_tokens,
        }
    }

    async fn step(&mut self) -> Result<Next, Failure> {
        let Some(place) = self.place().await? else {
            return Ok(Next::Left);
        };
        self.attempts += 1;
        self.recovery = None;
        let upstream = place.grant.upstream.clone();
        let workspace = &self.job.ask.workspace;
        let first = self.attempts == 1;
        self.context.health.sent(workspace, &upstream, first);
        self.story.begin(&place.grant, self.answer.len());
        let mut attempt = Attempt {
            alone: place.alone,
            answer: &mut self.answer,
            context: self.context,
            grant: &place.grant,
            incarnation: None,
            job: self.job,
            number: self.attempts,
            parts: self.parts,
            pass: place.pass,
            started: None,
            usage: None,
        };
        let (ended, fate) = attempt.run(place.address).await;
        let started = attempt.started;
        self.cached_blocks = attempt.usage.map_or(0, |usage| usage.cached_blocks);
        self.settle(&place, &ended, fate).await;
        match ended {
            Ended::Broken(broken) => {
                self.story.end(broken.reason.to_string(), started);
                self.again(upstream, broken).await
            }
            Ended::Left => {
                self.story.end("left", started);
                Ok(Next::Left)
            }
            Ended::Whole(finish) => {
                self.story.end("done", started);
                Ok(Next::Whole(finish.to_string()))
            }
        }
    }

    async fn again(&mut self, upstream: String, broken: Broken) -> Result<Next, Failure> {
        if broken.not_run != NotRun::True && self.not_run == NotRun::True {
            self.not_run = NotRun::Unknown;
        }
        if !self.answer.is_empty() {
            self.not_run = NotRun::False;
        }
        if !broken.hopeful {
            return Err(self.failure(Reason::UpstreamFailed));
        }
        let failure = retry::Failure {
            attempt: self.attempts,
            deadline: self.job.deadline,
            idempotent: self.is_idempotent(),
            may_have_run: broken.not_run != NotRun::True,
            upstream: upstream.clone(),
            workspace: self.job.ask.workspace.clone(),
        };
        let pause = self.context.health.again(broken.reason, &failure);
        let pause = pause.map_err(|denial| self.denied(denial))?;
        self.failed.insert(upstream);
        self.pause(&broken.reason.to_string(), pause).await;
        Ok(Next::Again)
    }

    /// Waits for a place and for leave to run there, or returns `None` when the caller left.
    async fn place(&mut self) -> Result<Option<Place>, Failure> {
        loop {
            if self.parts.is_closed() {
                return Ok(None);
            }
            let pass = Pass {
                digest: self.job.digest,
                run_id: quarantine::RunId(rand::random()),
            };
            let ask = self.ask()?;
            let granting = self.context.broker.place(ask);
            let (granted, verdict) = tokio::select! {
                both = async { tokio::join!(granting, self.context.suspects.enter(pass)) } => both,
                () = self.parts.closed() => return Ok(None),
            };
            let grant = match granted {
                Err(error) => {
                    self.context.suspects.leave(pass, Outcome::Stopped).await;
                    if let Verdict::Quarantined(millis) = verdict {
                        return Err(self.held(millis));
                    }
                    if !self.may_recover(&error) {
                        return Err(self.refused(&error));
                    }
                    self.failed.clear();
                    self.pause("no_upstream", RECOVERY_PAUSE).await;
                    continue;
                }
                Ok(grant) => grant,
            };
            let (pause, reason) = match self.admit(&grant, pass, verdict).await {
                Admission::Admitted { address, alone } => {
                    return Ok(Some(Place {
                        address,
                        alone,
                        grant,
                        pass,
                    }));
                }
                Admission::Failed(failure) => {
                    self.give_back(&grant, pass).await;
                    return Err(failure);
                }
                Admission::Later { pause, reason } => (pause, reason),
            };
            self.give_back(&grant, pass).await;
            self.pause(reason, pause).await;
        }
    }

    async fn admit(&self, grant: &Grant, pass: Pass, verdict: Verdict) -> Admission {
        let alone = match verdict {
            Verdict::Quarantined(millis) => return Admission::Failed(self.held(millis)),
            Verdict::Run => false,
            Verdict::RunAlone => true,
            Verdict::Wait(pause) => {
                let reason = "unproven";
                return Admission::Later { pause, reason };
            }
        };
        if alone && !self.context.suspects.isolate(&grant.upstream, pass).await {
            return Admission::Later {
                pause: ISOLATION_PAUSE,
                reason: "suspect",
            };
        }
        let table = self.context.table();
        let row = table.get(Sheet::Upstreams, grant.upstream.as_str());
        match row.and_then(|row| row.address(Column::Address)) {
            None => Admission::Failed(self.failure(Reason::NoUpstream)),
            Some(address) => Admission::Admitted { address, alone },
        }
    }

    fn ask(&mut self) -> Result<coordination::broker::PlacementRequest, Failure> {
        let left = self.job.deadline.since(self.context.clock.now());
        if left == 0 {
            return Err(self.failure(Reason::Deadline));
        }
        let table = self.context.table();
        let health = &self.context.health;
        let mut ask = self.job.ask.clone();
        ask.deadline_ms = left;
        ask.excluded = health.excluded(&table, &ask.model, &self.failed);
        ask.placement_id = PlacementId(rand::random());
        ask.version = self.answer.resume().version;
        Ok(ask)
    }

    fn denied(&self, denial: Denial) -> Failure {
        let reason = match denial {
            _ if !self.answer.is_empty() => Reason::AnswerCut,
            Denial::Attempts | Denial::MayHaveRun => Reason::UpstreamFailed,
            Denial::Deadline => Reason::Deadline,
            Denial::UpstreamBudget | Denial::WorkspaceBudget => Reason::RetryBudget,
        };
        self.failure(reason)
    }

    fn failure(&self, reason: Reason) -> Failure {
        Failure {
            not_run: self.not_run,
            reason,
            retry_after_ms: None,
        }
    }

    fn held(&self, millis: u64) -> Failure {
        Failure {
            retry_after_ms: Some(millis),
            ..self.failure(Reason::Quarantined)
        }
    }

    fn is_idempotent(&self) -> bool {
        let table = self.context.table();
        let kind = table.get(Sheet::Kinds, self.job.ask.kind.as_str());
        let cell = kind.and_then(|row| row.flag(Column::Idempotent));
        cell.unwrap_or(true)
    }

    async fn give_back(&self, grant: &Grant, pass: Pass) {
        self.report(grant, Progress::Failed);
        self.context.suspects.leave(pass, Outcome::Stopped).await;
    }

    async fn pause(&mut self, reason: &str, pause: u64) {
        self.story.wait(reason, pause);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Returns whether an upstream that failed this request may soon take it again.
    fn may_recover(&mut self, error: &broker::Error) -> bool {
        let broker::Error::Refused(refusal) = error else {
            return false;
        };
        if self.attempts == 0 || refusal.reason != admission::Reason::NoUpstream {
            return false;
        }
        let now = self.context.clock.now();
        let until = *self.recovery.get_or_insert(now + RECOVERY_LIMIT);
        now + RECOVERY_PAUSE < until.min(self.job.deadline)
    }

    fn refused(&self, error: &broker::Error) -> Failure {
        let broker::Error::Refused(refusal) = error else {
            return self.failure(Reason::Overloaded);
        };
        let reason = match refusal.reason {
            _ if !self.answer.is_empty() => Reason::AnswerCut,
            admission::Reason::CallerLimit => Reason::CallerLimit,
            admission::Reason::Deadline => Reason::Deadline,
            admission::Reason::KindLimit => Reason::KindLimit,
            admission::Reason::NoUpstream | admission::Reason::NotOwner => Reason::NoUpstream,
            admission::Reason::Overloaded => Reason::Overloaded,
            admission::Reason::RateLimit => Reason::RateLimit,
            admission::Reason::WorkspaceLimit => Reason::WorkspaceLimit,
        };
        Failure {
            retry_after_ms: Some(refusal.retry_after_ms),
            ..self.failure(reason)
        }
    }

    fn report(&self, grant: &Grant, progress: Progress) {
        let _ = self.context.broker.settle(ProgressReport {
            progress,
            placement_id: grant.placement_id,
        });
    }

    async fn settle(&self, place: &Place, ended: &Ended, fate: Fate) {
        let upstream = &place.grant.upstream;
        let health = &self.context.health;
        let progress = match ended {
            Ended::Broken(broken) => {
                match broken.reason {
                    retry::Reason::Mismatch => {}
                    retry::Reason::Refused => health.refused(upstream),
                    reason => health.failed(upstream, reason),
                }
                Progress::Failed
            }
            Ended::Left => Progress::Finished,
            Ended::Whole(_) => {
                health.succeeded(upstream);
                Progress::Finished
            }
        };
        self.report(&place.grant, progress);
        let outcome = match (ended, fate) {
            (Ended::Whole(_), _) => Outcome::Whole,
            (_, Fate::Crashed) => Outcome::Crashed,
            (_, Fate::Stopped) => Outcome::Stopped,
            // The run stays counted until its lease is over.
            (_, Fate::Unknown) => return,
        };
        let leave = leave(self.context, place, outcome);
        match outcome {
            Outcome::Crashed | Outcome::Stopped => leave.await,
            // The end of a whole answer does not wait for the owner.
            Outcome::Whole => drop(tokio::spawn(leave)),
        }
    }
}

fn leave(context: &Context, place: &Place, outcome: Outcome) -> impl Future<Output = ()> + use<> {
    let suspects = context.suspects.clone();
    let upstream = place.grant.upstream.clone();
    let (alone, pass) = (place.alone, place.pass);
    async move {
        if alone {
            suspects.release(&upstream, pass).await;
        }
        suspects.leave(pass, outcome).await;
    }
}

enum Admission {
    Admitted { address: SocketAddr, alone: bool },
    Failed(Failure),
    Later { pause: u64, reason: &'static str },
}
