//! One run of a request on one upstream.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::answer::Part;
use crate::context::Context;
use crate::import;
use crate::job::Job;
use crate::suspects::Pass;
use coordination::broker::Grant;
use coordination::broker::ProgressReport;
use coordination::report::Progress;
use coordination::retry::Reason;
use coordination::stream::Assembler;
use coordination::stream::Finish;
use coordination::stream::ResumePoint;
use coordination::stream::StreamError;
use protocol::engine;
use protocol::engine::Code;
use protocol::refusal::NotRun;
use state::ident::Incarnation;
use state::rank::Rank;
use transport::engine::Client;
use transport::engine::Item;
use transport::engine::Stream;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::upstream::EngineIdentity;
use transport::upstream::Error;
use transport::upstream::Limits;

/// Bounds the tries to stop a run.
const CANCELS: usize = 5;
/// Gives the pause between them.
const CANCEL_PAUSE: Duration = Duration::from_millis(20);
/// Bounds the exchanges that carry answers.
const LIMITS: Limits = Limits {
    body_limit: 1 << 20,
    connect_timeout: Duration::from_millis(1_000),
    head_timeout: Duration::from_millis(3_000),
    idle_timeout: Duration::from_millis(3_000),
};
/// Bounds the exchanges that stop a run, tell a crash from a cut connection, and read an engine's
/// identity.
const SHORT_LIMITS: Limits = Limits {
    body_limit: 1 << 20,
    connect_timeout: Duration::from_millis(300),
    head_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_millis(500),
};
/// Bounds how long a caller may take none of the parts that wait for it.
const SLOW_CALLER: Duration = Duration::from_secs(30);

/// Tells how an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ended {
    /// Means that the attempt failed.
    Broken(Broken),
    /// Means that the caller left.
    Left,
    /// Means that the whole answer came.
    Whole(Finish),
}

/// Tells how an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Broken {
    /// Tells whether another attempt may succeed.
    pub hopeful: bool,
    /// Tells whether the request ran.
    pub not_run: NotRun,
    /// Tells why.
    pub reason: Reason,
}

/// Tells what became of a run on its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// Means that the upstream crashed while the request was in flight on it.
    Crashed,
    /// Means that the request no longer runs, or never did.
    Stopped,
    /// Means that the request may still run.
    Unknown,
}

/// Holds what an attempt needs and changes.
pub struct Attempt<'a> {
    /// Tells whether no other suspect may run on the upstream.
    pub alone: bool,
    /// Accepts the answer.
    pub answer: &'a mut Assembler,
    /// Holds what the host knows.
    pub context: &'a Context,
    /// Reaches the upstream.
    pub grant: &'a Grant,
    /// Names the run of the upstream that the request was sent to, as far as it is known.
    pub incarnation: Option<Incarnation>,
    /// Holds the request.
    pub job: &'a Job,
    /// Numbers the attempt from 1.
    pub number: u32,
    /// Receives the text.
    pub parts: &'a mpsc::Sender<Part>,
    /// Names the run to the owner of the digest.
    pub pass: Pass,
    /// Tells whether the first token came, and when.
    pub started: Option<u64>,
    /// Counts the blocks of the prompt, once the engine has told.
    pub usage: Option<engine::Usage>,
}

impl Attempt<'_> {
    /// Runs the attempt on the engine at `address` until it ends, and makes sure that it did.
    pub async fn run(&mut self, address: SocketAddr) -> (Ended, Fate) {
        let context = self.context;
        let renewal = context
            .suspects
            .renew(&self.grant.upstream, self.pass, self.alone);
        let parts = self.parts.clone();
        let ended = tokio::select! {
            ended = self.exchange(address) => ended,
            () = parts.closed() => Ended::Left,
            () = renewal => Ended::Left,
        };
        let fate = match &ended {
            Ended::Broken(broken) if broken.not_run == NotRun::True => Fate::Stopped,
            Ended::Broken(_) | Ended::Left => self.stop(address).await,
            Ended::Whole(_) => Fate::Stopped,
        };
        (named(ended, fate), fate)
    }

    /// Cancels the run and tells what became of it.
    ///
    /// After a crash the engine takes no connection or is another run. One that does not answer in
    /// time has not been seen to crash, but may still be running the request.
    async fn stop(&self, address: SocketAddr) -> Fate {
        let client = Client::new(address, SHORT_LIMITS);
        for _ in 0..CANCELS {
            match client.cancel(self.id()).await {
                Err(Error::Connect { .. }) => return Fate::Crashed,
                Err(Error::Disconnected { .. }) => tokio::time::sleep(CANCEL_PAUSE).await,
                Err(_) => return Fate::Unknown,
                Ok(identified) => {
                    let found = identified.identity.incarnation;
                    self.context.health.observe(&self.grant.upstream, found);
                    return match self.incarnation == Some(found) {
                        false => Fate::Crashed,
                        true => Fate::Stopped,
                    };
                }
            }
        }
        Fate::Unknown
    }

    fn id(&self) -> String {
        format!("{}-{}", self.job.id, self.number)
    }

    async fn exchange(&mut self, address: SocketAddr) -> Ended {
        let table = self.context.table();
        import::run(&table, &self.job.ask, self.grant, address).await;
        let client = Client::new(address, LIMITS);
        let upstream = &self.grant.upstream;
        let planned = self.planned(address).await;
        let known = planned.as_ref().map(|planned| planned.incarnation);
        let known = known.or(self.grant.incarnation);
        self.incarnation = known.or_else(|| self.context.health.incarnation(upstream));
        let resume = self.answer.resume();
        let version = planned.as_ref().map(|planned| planned.version.as_str());
        let request = self.request(resume, version);
        let opened = client.complete(&request, planned.as_ref()).await;
        let mut stream = match opened {
            Err(error) => return self.broken(&error),
            Ok(stream) => stream,
        };
        let identity = stream.identity().clone();
        self.observe(identity.incarnation);
        if let Err(fault) = self.answer.begin_attempt(request.id, identity.version) {
            return faulty(&fault);
        }
        match self.read(&mut stream).await {
            Err(error) => self.broken(&error),
            Ok(ended) => ended,
        }
    }

    fn observe(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        let upstream = &self.grant.upstream;
        self.context.health.observe(upstream, incarnation);
    }

    async fn read(&mut self, stream: &mut Stream) -> Result<Ended, Error> {
        loop {
            let accepted = match stream.next().await? {
                None => self.answer.close().map(|()| None),
                Some(Item::End) => self.answer.end().map(Some),
                Some(Item::Heartbeat) => Ok(None),
                Some(Item::Piece(piece)) => {
                    self.usage = self.usage.or(piece.usage);
                    let piece = piece.into();
                    let accepted = self.answer.push(&piece).map(|()| None);
                    if accepted.is_ok() && piece.tokens > 0 && !self.pass_on(piece.text).await {
                        return Ok(Ended::Left);
                    }
                    accepted
                }
            };
            match accepted {
                Err(fault) => return Ok(faulty(&fault)),
                Ok(None) => {}
                Ok(Some(finish)) => return Ok(Ended::Whole(finish)),
            }
        }
    }

    /// Passes text on and returns whether the caller still takes it.
    async fn pass_on(&mut self, text: String) -> bool {
        if self.started.is_none() {
            self.started = Some(transport::clock::wall_millis());
            let _ = self.context.broker.settle(ProgressReport {
                progress: Progress::FirstToken,
                placement_id: self.grant.placement_id,
            });
        }
        let sent = self.parts.send_timeout(Part::Text(text), SLOW_CALLER).await;
        if let Err(mpsc::error::SendTimeoutError::Timeout(_)) = sent {
            metrics::counter!(metric::SLOW_CALLERS).increment(1);
        }
        sent.is_ok()
    }

    fn broken(&mut self, error: &Error) -> Ended {
        let reason = match error {
            Error::BodyTooLong { .. } | Error::Format { .. } => Reason::Format,
            Error::Connect { .. } | Error::ConnectTimeout { .. } => Reason::Connect,
            Error::Disconnected { .. } => Reason::Cut,
            Error::InactivityTimeout { .. } => Reason::Idle,
            Error::Mismatch { found, .. } => {
                self.observe(found.incarnation);
                Reason::Mismatch
            }
            Error::Refused { .. } => Reason::Refused,
            Error::Status { .. } => Reason::Status,
        };
        let unreadable = |code| matches!(code, Code::BadRequest);
        let hopeful = !matches!(error, Error::Refused { refusal, .. } if unreadable(refusal.code));
        Ended::Broken(Broken {
            hopeful,
            not_run: error.not_run(),
            reason,
        })
    }

    /// Returns the identity that the answer must come from: the one that the broker knew, or else
    /// the one that the engine tells.
    ///
    /// A broker that has no load report of the engine grants without an identity.
    async fn planned(&self, address: SocketAddr) -> Option<EngineIdentity> {
        if let (Some(incarnation), Some(version)) = (self.grant.incarnation, &self.grant.version) {
            return Some(EngineIdentity {
                incarnation,
                version: version.clone(),
            });
        }
        match Client::new(address, SHORT_LIMITS).state().await {
            Err(error) => {
                let upstream = self.grant.upstream.clone();
                let details = slog::o!("upstream" => upstream, "error" => error.to_string());
                event::emit(&self.context.log, Event::VersionUnknown, details);
                None
            }
            Ok(state) => Some(EngineIdentity {
                incarnation: state.incarnation,
                version: state.version,
            }),
        }
    }

    /// Returns the request as the engine reads it, with its blocks named for the weights it serves;
    /// without names where these are unknown.
    fn request(&self, resume: ResumePoint, version: Option<&str>) -> engine::Request {
        let ask = &self.job.ask;
        let blocks = version.map(|v| {
            ask.blocks
                .iter()
                .map(|block| block.with_version(v))
                .collect()
        });
        let resume = (resume.offset > 0).then_some(engine::Resume {
            offset: resume.offset,
            text: resume.text,
        });
        engine::Request {
            cache: engine::Cache {
                block_bytes: self.job.block_bytes as u64,
                blocks: blocks.unwrap_or_default(),
                salt: ask.workspace.clone(),
            },
            id: self.id(),
            max_tokens: self.job.max_tokens,
            model: ask.model.clone(),
            priority: match self.grant.priority {
                Rank::Background => 1,
                Rank::Urgent => 0,
            },
            prompt: self.job.prompt.clone(),
            resume,
            rest: self.job.request.rest.clone(),
        }
    }
}

/// Names a cut by its cause where that was a crash.
fn named(ended: Ended, fate: Fate) -> Ended {
    match ended {
        Ended::Broken(broken) if fate == Fate::Crashed => Ended::Broken(Broken {
            reason: Reason::Crash,
            ..broken
        }),
        ended => ended,
    }
}

fn faulty(fault: &StreamError) -> Ended {
    let reason = match fault {
        StreamError::Cancelled { .. } => Reason::Refused,
        StreamError::Crossed { .. } => Reason::Crossed,
        StreamError::Extra { .. }
        | StreamError::Gap { .. }
        | StreamError::LimitExceeded { .. }
        | StreamError::Repeat { .. } => Reason::Gap,
        StreamError::NoEnd { .. } => Reason::NoEnd,
        StreamError::Version { .. } => Reason::Mismatch,
    };
    Ended::Broken(Broken {
        hopeful: true,
        not_run: NotRun::Unknown,
        reason,
    })
}
