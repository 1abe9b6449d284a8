//! Sends messages of the replicated log, one queue for each other member.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::runtime;
use tokio::sync::mpsc;

use crate::pool::Pool;
use coordination::quorum::MemberId;
use coordination::raft_message::Envelope;
use protocol::voter::MessageBatch;
use transport::metric;

const CALL_LIMIT: Duration = Duration::from_millis(1_000);
const PACKET_BYTES: usize = 2 << 20;
const QUEUE: usize = 256;

/// Knows how to reach the other members.
pub struct Routes {
    addresses: HashMap<MemberId, SocketAddr>,
    own: SocketAddr,
    pool: Option<Pool>,
    queues: HashMap<SocketAddr, mpsc::Sender<Envelope>>,
    runtime: runtime::Handle,
}

impl Routes {
    /// Returns routes that answers come back to at `own`.
    pub fn new(own: SocketAddr, pool: Option<Pool>, runtime: runtime::Handle) -> Self {
        Self {
            addresses: HashMap::new(),
            own,
            pool,
            queues: HashMap::new(),
            runtime,
        }
    }

    /// Learns where a member is.
    pub fn learn(&mut self, identity: MemberId, address: SocketAddr) {
        if self.addresses.insert(identity, address) != Some(address) {
            let used: Vec<SocketAddr> = self.addresses.values().copied().collect();
            self.queues.retain(|address, _| used.contains(address));
        }
    }

    /// Sends a message, or drops it when its queue is full.
    pub fn send(&mut self, envelope: Envelope) {
        let Some(address) = self.addresses.get(&envelope.to).copied() else {
            return;
        };
        let Some(pool) = &self.pool else {
            return;
        };
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE);
            let run = run(receiver, pool.clone(), self.own, address);
            self.runtime.spawn(run);
            sender
        });
        if queue.try_send(envelope).is_err() {
            metrics::counter!(metric::LOG_DROPS).increment(1);
        }
    }
}

async fn run(
    mut queue: mpsc::Receiver<Envelope>,
    pool: Pool,
    own: SocketAddr,
    address: SocketAddr,
) {
    while let Some(first) = queue.recv().await {
        let mut bytes = first.size();
        let mut envelopes = vec![first];
        while bytes < PACKET_BYTES
            && let Ok(next) = queue.try_recv()
        {
            bytes += next.size();
            envelopes.push(next);
        }
        let packet = MessageBatch {
            address: own,
            envelopes,
        };
        let client = pool.client(address, None);
        let call = client.call(CALL_LIMIT, |peer, context| async move {
            peer.replicate(context, packet).await
        });
        if call.await.is_err() {
            metrics::counter!(metric::LOG_DROPS).increment(1);
        }
    }
}
