//! Runs a placed request on an upstream and passes its parts on.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;

use crate::answer::Failure;
use crate::answer::Part;
use crate::broker;
use crate::context::Context;
use crate::job::Job;
use coordination::admission;
use coordination::broker::Grant;
use coordination::broker::Report;
use coordination::report::Progress;
use protocol::engine;
use protocol::refusal::NotRun;
use protocol::refusal::Reason;
use state::column::Column;
use state::rank::Rank;
use state::sheet::Sheet;
use transport::engine::Client;
use transport::engine::Item;
use transport::engine::Stream;
use transport::upstream;
use transport::upstream::Limits;

const BUFFERED_PARTS: usize = 32;

/// Starts to answer `job`; the parts arrive in order and end with an end or a failure.
pub fn start(context: Arc<Context>, job: Job) -> mpsc::Receiver<Part> {
    let (sender, receiver) = mpsc::channel(BUFFERED_PARTS);
    tokio::spawn(async move {
        if let Err(failure) = run(&context, &job, &sender).await {
            let _ = sender.send(Part::Failed(failure)).await;
        }
    });
    receiver
}

async fn run(context: &Context, job: &Job, parts: &mpsc::Sender<Part>) -> Result<(), Failure> {
    let grant = context.broker.place(job.ask.clone()).await;
    let grant = grant.map_err(|error| refused(&error))?;
    let mut placed = Placed {
        context,
        grant,
        progress: Progress::Failed,
    };
    let address = address(context, &placed.grant)?;
    let client = Client::new(address, Limits::default());
    let request = request(job, &placed.grant);
    let stream = client.complete(&request, None).await;
    let mut stream = stream.map_err(|error| broken(&error))?;
    placed.pass_on(&mut stream, parts).await
}

struct Placed<'a> {
    context: &'a Context,
    grant: Grant,
    progress: Progress,
}

impl Placed<'_> {
    async fn pass_on(
        &mut self,
        stream: &mut Stream,
        parts: &mpsc::Sender<Part>,
    ) -> Result<(), Failure> {
        let mut finish = None;
        while let Some(item) = stream.next().await.map_err(|error| broken(&error))? {
            match item {
                Item::End => {
                    let finish = finish.unwrap_or_else(|| "stop".to_owned());
                    self.progress = Progress::Finished;
                    let _ = parts.send(Part::End { finish }).await;
                    return Ok(());
                }
                Item::Heartbeat => {}
                Item::Piece(piece) => {
                    if self.progress == Progress::Failed {
                        self.progress = Progress::FirstToken;
                        self.report();
                    }
                    finish = piece.finish.map(|finish| finish.to_string());
                    if parts.send(Part::Text(piece.text)).await.is_err() {
                        self.progress = Progress::Finished;
                        return Ok(());
                    }
                }
            }
        }
        Err(Failure {
            not_run: NotRun::False,
            reason: Reason::AnswerCut,
            retry_after_ms: None,
        })
    }

    fn report(&self) {
        let _ = self.context.broker.settle(Report {
            progress: self.progress,
            ticket: self.grant.ticket,
        });
    }
}

impl Drop for Placed<'_> {
    fn drop(&mut self) {
        if self.progress == Progress::FirstToken {
            self.progress = Progress::Failed;
        }
        self.report();
    }
}

fn address(context: &Context, grant: &Grant) -> Result<SocketAddr, Failure> {
    let table = context.table();
    let row = table.get(Sheet::Upstreams, grant.upstream.as_str());
    let address = row.and_then(|row| row.address(Column::Address));
    address.ok_or_else(|| Failure::before_run(Reason::NoUpstream))
}

fn broken(error: &upstream::Error) -> Failure {
    Failure {
        not_run: error.not_run(),
        reason: Reason::UpstreamFailed,
        retry_after_ms: None,
    }
}

fn refused(error: &broker::Error) -> Failure {
    let broker::Error::Refused(refusal) = error else {
        return Failure::before_run(Reason::Overloaded);
    };
    let reason = match refusal.reason {
        admission::Reason::CallerLimit => Reason::CallerLimit,
        admission::Reason::Deadline => Reason::Deadline,
        admission::Reason::KindLimit => Reason::KindLimit,
        admission::Reason::NoUpstream => Reason::NoUpstream,
        admission::Reason::Overloaded => Reason::Overloaded,
        admission::Reason::RateLimit => Reason::RateLimit,
        admission::Reason::WorkspaceLimit => Reason::WorkspaceLimit,
    };
    Failure {
        retry_after_ms: Some(refusal.retry_after_ms),
        ..Failure::before_run(reason)
    }
}

/// Returns the request as the engine reads it, with its blocks named for the weights it serves;
/// without names where these are unknown.
fn request(job: &Job, grant: &Grant) -> engine::Request {
    let ask = &job.ask;
    let version = grant.version.as_deref();
    let blocks = version.map(|v| ask.blocks.iter().map(|block| block.under(v)).collect());
    engine::Request {
        cache: engine::Cache {
            block_bytes: job.block_bytes as u64,
            blocks: blocks.unwrap_or_default(),
            salt: ask.workspace.clone(),
        },
        id: format!("{}-{:x}", job.id, ask.ticket.0),
        max_tokens: job.max_tokens,
        model: ask.model.clone(),
        priority: match grant.priority {
            Rank::Background => 1,
            Rank::Urgent => 0,
        },
        prompt: job.prompt.clone(),
        resume: None,
        rest: job.request.rest.clone(),
    }
}
