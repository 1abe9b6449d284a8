//! Answers the calls of other daemons.

use std::sync::Arc;

use futures::StreamExt;
use slog::Logger;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

use crate::member;
use coordination::gossip::Message;
use protocol::peer::Peer;
use transport::event;
use transport::event::Event;
use transport::peer_handshake;
use transport::peer_handshake::Identity;
use transport::peer_server;

const CALLS_AT_ONCE: usize = 1_024;

/// Hands the calls of other daemons to the duties of this one.
#[derive(Clone)]
pub struct Service {
    /// Reaches the duty that knows the fleet.
    pub member: member::Handle,
}

impl Peer for Service {
    async fn gossip(self, _: Context, message: Message) -> Message {
        match self.member.gossip(message).await {
            Err(_) => std::future::pending().await,
            Ok(answer) => answer,
        }
    }

    async fn ping(self, _: Context) {}
}

/// Answers the calls of other daemons until the task is dropped.
pub async fn run(listener: TcpListener, identity: Arc<Identity>, service: Service, log: Logger) {
    let serve = move |connection: peer_server::Inbound| {
        let service = service.clone();
        async move {
            BaseChannel::with_defaults(connection.frames)
                .max_concurrent_requests(CALLS_AT_ONCE)
                .execute(service.serve())
                .for_each(|response| async move {
                    tokio::spawn(response);
                })
                .await;
        }
    };
    let refused = move |error: peer_handshake::Error| {
        let details = slog::o!("error" => error.to_string());
        event::emit(&log, Event::PeerRefused, details);
    };
    peer_server::run(listener, identity, serve, refused).await;
}
