//! Accepts connections of other daemons.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tarpc::ClientMessage;
use tarpc::Response;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::metric;
use crate::peer_handshake;
use crate::peer_handshake::Connection;
use crate::peer_handshake::Identity;
use protocol::peer::PeerRequest;
use protocol::peer::PeerResponse;

const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
const HANDSHAKES_AT_ONCE: usize = 256;

/// Carries requests from a peer and responses to it.
pub type Inbound = Connection<Response<PeerResponse>, ClientMessage<PeerRequest>>;

/// Tells about a client that was turned away.
pub type Refused = peer_handshake::Error;

/// Accepts peers for ever and hands each proved connection to `serve`, in a task of its own.
///
/// A client that fails the handshake is reported to `refused`; one without a key gets no answer.
pub async fn run<Served>(
    listener: TcpListener,
    identity: impl Into<Arc<Identity>>,
    serve: impl Fn(Inbound) -> Served + Clone + Send + 'static,
    refused: impl Fn(Refused) + Clone + Send + 'static,
) where
    Served: Future<Output = ()> + Send + 'static,
{
    let identity = identity.into();
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_AT_ONCE));
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            metrics::counter!(metric::PEER_REFUSALS, "reason" => "handshakes").increment(1);
            continue;
        };
        let identity = Arc::clone(&identity);
        let serve = serve.clone();
        let refused = refused.clone();
        tokio::spawn(async move {
            let opened = peer_handshake::accept(stream, &identity, HANDSHAKE_LIMIT).await;
            drop(permit);
            match opened {
                Err(error) => {
                    metrics::counter!(metric::PEER_REFUSALS, "reason" => reason(&error))
                        .increment(1);
                    refused(error);
                }
                Ok(connection) => serve(connection).await,
            }
        });
    }
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    let accepted: io::Result<_> = listener.accept().await;
    match accepted {
        Err(_) => {
            sleep(ACCEPT_PAUSE).await;
            None
        }
        Ok((stream, _)) => Some(stream),
    }
}

fn reason(error: &peer_handshake::Error) -> &'static str {
    match error {
        peer_handshake::Error::Form(_) => "form",
        peer_handshake::Error::Io(_) => "closed",
        peer_handshake::Error::Key => "key",
        peer_handshake::Error::Refused(peer_handshake::Refusal::Fleet { .. }) => "fleet",
        peer_handshake::Error::Refused(peer_handshake::Refusal::Version { .. }) => "version",
        peer_handshake::Error::Timeout { .. } => "timeout",
    }
}
