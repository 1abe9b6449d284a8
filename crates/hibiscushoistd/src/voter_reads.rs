//! Batches reads of the replicated state: the requests that arrive while one read is under way
//! share the next one, so that a busy voter is asked a few hundred times a second at most.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::voter;
use crate::voter_call::Reading;
use protocol::voter::Rejection;

/// Number of requests that may wait for a read; each host that serves callers has a few.
const WAITING_LIMIT: usize = 8_192;

type Reply = oneshot::Sender<Result<Reading, Rejection>>;

/// Access to batched reads.
#[derive(Clone, Debug)]
pub struct Reads {
    waiting: mpsc::Sender<Reply>,
}

impl Reads {
    /// Returns reads of this host's voter, which a task makes until all copies are dropped.
    pub fn start(voter: voter::Handle) -> Self {
        let (waiting, waits) = mpsc::channel(WAITING_LIMIT);
        tokio::spawn(run(voter, waits));
        Self { waiting }
    }

    /// Returns the state under everything acknowledged before; only the voter that leads can.
    ///
    /// # Errors
    ///
    /// Returns why this host's voter cannot tell.
    pub async fn read(&self) -> Result<Reading, Rejection> {
        let (reply, replied) = oneshot::channel();
        self.waiting
            .try_send(reply)
            .map_err(|_| Rejection::Backlog)?;
        replied.await.unwrap_or(Err(Rejection::Unknown))
    }
}

/// Makes one read after the other. A request joins a read only before it begins, because the read
/// has to reflect everything acknowledged before the request.
async fn run(voter: voter::Handle, mut waits: mpsc::Receiver<Reply>) {
    while let Some(first) = waits.recv().await {
        let mut batch = vec![first];
        while let Ok(next) = waits.try_recv() {
            batch.push(next);
        }
        let reading = voter.read_here().await;
        for reply in batch {
            let _ = reply.send(reading.clone());
        }
    }
}
