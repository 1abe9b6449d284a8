//! Server that accepts and authenticates connections of other daemons.

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

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_CONCURRENT_HANDSHAKES: usize = 256;

/// Connection that a peer opened, with its requests and the responses to them.
pub type InboundConnection = Connection<Response<PeerResponse>, ClientMessage<PeerRequest>>;

/// Reason why the handshake with a client failed.
pub type HandshakeError = peer_handshake::Error;

/// Accepts connections forever and passes each authenticated one to `serve`, in a task of its own.
///
/// A failed handshake is reported to `on_refused`; a client without a shared key gets no answer.
/// Connections beyond `MAX_CONCURRENT_HANDSHAKES` unfinished handshakes are dropped.
pub async fn run<ServeFuture>(
    listener: TcpListener,
    identity: impl Into<Arc<Identity>>,
    serve: impl Fn(InboundConnection) -> ServeFuture + Clone + Send + 'static,
    on_refused: impl Fn(HandshakeError) + Clone + Send + 'static,
) where
    ServeFuture: Future<Output = ()> + Send + 'static,
{
    let identity = identity.into();
    let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
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
        let on_refused = on_refused.clone();
        tokio::spawn(async move {
            let opened = peer_handshake::accept(stream, &identity, HANDSHAKE_TIMEOUT).await;
            drop(permit);
            match opened {
                Err(error) => {
                    metrics::counter!(metric::PEER_REFUSALS, "reason" => reason_label(&error))
                        .increment(1);
                    on_refused(error);
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
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
        Ok((stream, _)) => Some(stream),
    }
}

fn reason_label(error: &peer_handshake::Error) -> &'static str {
    match error {
        peer_handshake::Error::Encoding(_) => "form",
        peer_handshake::Error::Io(_) => "closed",
        peer_handshake::Error::NoSharedKey => "key",
        peer_handshake::Error::Refused(peer_handshake::Refusal::Fleet { .. }) => "fleet",
        peer_handshake::Error::Refused(peer_handshake::Refusal::Version { .. }) => "version",
        peer_handshake::Error::Timeout { .. } => "timeout",
    }
}
