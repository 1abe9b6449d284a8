//! The HTTP server: an accept loop with limits around a gotham router, and a graceful shutdown.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use slog::Logger;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::event;
use crate::event::Event;
use crate::place::AnswerGuard;
use crate::place::Place;
use crate::place::Places;
use crate::place::RecordedStream;
use crate::place::Recorder;
use crate::write_timeout;
use coordination::door::connections;

/// Delay after a failed accept, so that the loop does not spin while accepts keep failing.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bytes of an answer that the kernel takes beyond those that it sends at once, so that a caller
/// who does not read is noticed early.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Length of the shortest header field, in bytes.
const SHORTEST_FIELD_BYTES: usize = "a:\r\n".len();

/// Most fields for which a map of headers can reserve room; it panics beyond.
const MAX_FIELDS: usize = 24_576;

/// Header that tells callers how long an idle connection stays open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Body of a response, which may be a stream.
pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, io::Error>;

/// Limits on the connections and requests of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections that may be open at the same time.
    pub max_connections: usize,
    /// Size limit of a request's header, in bytes.
    pub max_header_bytes: usize,
    /// Time limit for the arrival of a request's header, which begins when the connection is idle.
    pub header_timeout: Duration,
    /// Longest time for which the write of a response may make no progress.
    pub write_timeout: Duration,
}

/// A function that puts the values shared by all handlers into the state of a request.
pub type Prepare = Arc<dyn Fn(&mut State) + Send + Sync>;

/// A server that accepts connections and passes each request to a handler.
pub struct Server<H> {
    /// Handler of the requests, usually a router.
    pub handler: H,
    /// Limits on connections and requests.
    pub limits: Limits,
    /// Logger of the events.
    pub log: Logger,
    /// Function that prepares the state of each request.
    pub prepare: Prepare,
}

impl<H: NewHandler + Clone + 'static> Server<H> {
    /// Serves `listener` until `stop` turns true, and returns when the open requests have ended.
    pub async fn run(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let server = Arc::new(self);
        let graceful = GracefulShutdown::new();
        let places = Arc::new(Places::new(server.limits.max_connections));
        while !*stop.borrow() {
            let accepted = tokio::select! {
                accepted = server.accept(&listener, &places) => accepted,
                _ = stop.changed() => break,
            };
            let Some((stream, peer, place)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            server.clone().spawn(stream, peer, place, &graceful);
        }
        drop(listener);
        graceful.shutdown().await;
    }

    async fn accept(
        &self,
        listener: &TcpListener,
        places: &Arc<Places>,
    ) -> Option<(TcpStream, SocketAddr, Place)> {
        let (stream, peer) = listener.accept().await.ok()?;
        stream.set_nodelay(true).ok()?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES).ok()?;
        if places.is_full() {
            event::emit(&self.log, Event::ConnectionLimit, slog::o!());
        }
        let place = places.take().await;
        Some((stream, peer, place))
    }

    fn spawn(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        place: Place,
        graceful: &GracefulShutdown,
    ) {
        let max_header_bytes = self.limits.max_header_bytes;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(max_header_bytes)
            .max_header_size(max_header_bytes)
            .max_headers((max_header_bytes / SHORTEST_FIELD_BYTES).min(MAX_FIELDS))
            .half_close(false);
        let server = self.clone();
        let recorder = place.recorder();
        let service =
            service_fn(move |request| server.clone().handle(request, peer, recorder.clone()));
        let stream = write_timeout::WriteTimeoutStream::new(stream, self.limits.write_timeout);
        let stream = RecordedStream::new(stream, place.recorder());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let served = graceful.watch(connection);
        tokio::spawn(async move {
            let failed = tokio::select! {
                served = served => served.err().map(|error| error.to_string()),
                () = place.yields() => Some("yielded its place to a new connection".to_owned()),
            };
            if let Some(error) = failed {
                let details = slog::o!("peer" => peer.to_string(), "error" => error);
                event::emit(&self.log, Event::ConnectionFailed, details);
            }
        });
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
        recorder: Recorder,
    ) -> Result<Response<Body>, Infallible> {
        recorder.record(connections::Event::Requested);
        let guard = AnswerGuard(recorder);
        let stays = stays_open(&request);
        let mut state = State::from_request(request, peer);
        (self.prepare)(&mut state);
        let handler = Arc::new(self.handler.clone());
        let answer = call_handler(handler, AssertUnwindSafe(state)).await;
        let mut answer =
            answer.unwrap_or_else(|_| empty_response(StatusCode::INTERNAL_SERVER_ERROR));
        let headers = answer.headers_mut();
        if let Some(told) = told_idle_time(self.limits.header_timeout)
            && stays
            && !headers.contains_key(CONNECTION)
        {
            headers.insert(KEEP_ALIVE, told);
        }
        Ok(answer.map(|body| guarded(body, guard)))
    }
}

/// Returns whether the connection stays open after the answer to `request`.
fn stays_open(request: &Request<Incoming>) -> bool {
    let options = request.headers().get_all(CONNECTION).iter();
    let texts = options.filter_map(|value| value.to_str().ok());
    let mut options = texts.flat_map(|text| text.split(','));
    let closes = options.any(|option| option.trim().eq_ignore_ascii_case("close"));
    request.version() == Version::HTTP_11 && !closes
}

/// Returns the time for which callers are told to keep an idle connection, where it is a second or
/// more.
///
/// The connection stays open for a quarter longer, so that no request that a caller sends within
/// that time crosses the close.
fn told_idle_time(limit: Duration) -> Option<HeaderValue> {
    let seconds = (limit * 4 / 5).as_secs();
    let told = HeaderValue::try_from(format!("timeout={seconds}")).ok()?;
    (seconds > 0).then_some(told)
}

/// Returns `body`, which drops `guard` when it has been taken for sending.
fn guarded(body: Body, guard: AnswerGuard) -> Body {
    let body = body.map_err(move |error| {
        let _held = &guard;
        error
    });
    Body::new(body)
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}
