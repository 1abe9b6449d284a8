//! Tests of peer calls between daemons over loopback: authentication, refusals and liveness.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

use coordination::admission;
use coordination::allotment::message;
use coordination::assignment;
use coordination::broker;
use coordination::broker::Grant;
use coordination::broker::InFlightRequest;
use coordination::broker::ProgressReport;
use coordination::choice;
use coordination::choice::Choice;
use coordination::gossip::Body;
use coordination::gossip::Message;
use coordination::host::Version;
use coordination::quarantine;
use coordination::routing_update;
use coordination::routing_update::RoutingUpdate;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use protocol::operator::History;
use protocol::operator::Voters;
use protocol::peer::Peer;
use protocol::voter::DataFolder;
use protocol::voter::MessageBatch;
use protocol::voter::Rejection;
use protocol::voter::TableUpdate;
use protocol::voter::VoterChange;
use transport::peer::Client;
use transport::peer::Error;
use transport::peer::Options;
use transport::peer_handshake;
use transport::peer_handshake::Identity;
use transport::peer_handshake::Refusal;
use transport::peer_key::Key;
use transport::peer_key::Keyring;
use transport::peer_server;

const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Peer that returns gossip messages, or never answers them if `hangs`.
#[derive(Clone)]
struct Echo {
    calls: Arc<AtomicUsize>,
    hangs: bool,
}

impl Peer for Echo {
    async fn gossip(self, _: Context, message: Message) -> Message {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.hangs {
            std::future::pending::<()>().await;
        }
        message
    }

    async fn ping(self, _: Context) {}

    async fn replicate(self, _: Context, _: MessageBatch) {}

    async fn propose(self, _: Context, _: Command) -> Result<Answer, Rejection> {
        Err(Rejection::Ended)
    }

    async fn data_folder(self, _: Context) -> Option<DataFolder> {
        None
    }

    async fn table_update(self, _: Context, _: u64) -> TableUpdate {
        TableUpdate::UpToDate
    }

    async fn change_voters(self, _: Context, _: VoterChange) -> Result<(), Rejection> {
        Err(Rejection::Ended)
    }

    async fn voters(self, _: Context) -> Option<Voters> {
        None
    }

    async fn history(self, _: Context, _: u64) -> Option<History> {
        None
    }

    async fn quarantine(self, _: Context, _: quarantine::Call) -> quarantine::Answer {
        quarantine::Answer::Done
    }

    async fn place(
        self,
        _: Context,
        request: broker::PlacementRequest,
    ) -> Result<Box<Grant>, admission::Refusal> {
        Err(admission::Refusal {
            reason: admission::Reason::NoUpstream,
            retry_after_ms: 0,
            placement_id: request.placement_id,
        })
    }

    async fn report_progress(self, _: Context, _: ProgressReport) {}

    async fn report_in_flight(self, _: Context, _: InFlightRequest) {}

    async fn routing_update(
        self,
        _: Context,
        _: routing_update::Request,
    ) -> Result<RoutingUpdate, Rejection> {
        Err(Rejection::Ended)
    }

    async fn routing_source(self, _: Context) -> Result<Arc<String>, Rejection> {
        Err(Rejection::Ended)
    }

    async fn assign(
        self,
        _: Context,
        _: assignment::Request,
    ) -> Result<Result<Choice, choice::Refusal>, Rejection> {
        Err(Rejection::Ended)
    }

    async fn draw(self, _: Context, _: message::Draw) -> Result<message::Drawing, Rejection> {
        Err(Rejection::Ended)
    }
}

fn message() -> Message {
    Message {
        body: Body::Probe,
        digest: 7,
        from: "host-1".to_owned(),
        updates: Vec::new(),
        version: Version::default(),
    }
}

struct TestServer {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    refused: mpsc::UnboundedReceiver<peer_handshake::Error>,
}

fn identity(fleet: &str, current: u8, previous: Option<u8>) -> Identity {
    Identity {
        fleet: fleet.to_owned(),
        host: format!("host-{current}"),
        keys: Keyring {
            current: Key::new([current; 32]),
            previous: previous.map(|byte| Key::new([byte; 32])),
        },
    }
}

async fn start_server(identity: Identity, hangs: bool) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let echo = Echo {
        calls: Arc::clone(&calls),
        hangs,
    };
    let (report, refused) = mpsc::unbounded_channel();
    let serve = move |connection: peer_server::InboundConnection| {
        let echo = echo.clone();
        async move {
            BaseChannel::with_defaults(connection.frames)
                .execute(echo.serve())
                .for_each_concurrent(None, |response| response)
                .await;
        }
    };
    tokio::spawn(peer_server::run(listener, identity, serve, move |error| {
        let _ = report.send(error);
    }));
    TestServer {
        address,
        calls,
        refused,
    }
}

async fn ping(client: &Client) -> Result<(), Error> {
    client
        .call(CALL_TIMEOUT, |peer, context| async move {
            peer.ping(context).await
        })
        .await
}

async fn gossip(client: &Client) -> Result<Message, Error> {
    client
        .call(CALL_TIMEOUT, |peer, context| async move {
            peer.gossip(context, message()).await
        })
        .await
}

fn client(identity: Identity, address: SocketAddr) -> Client {
    Client::new(identity, address, None, Options::default())
}

/// Starts a proxy that forwards connections; after a signal, the open ones stay open but forward
/// nothing, as on a network that drops packets.
async fn start_proxy(target: SocketAddr) -> (SocketAddr, watch::Sender<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (cut, cuts) = watch::channel(0);
    tokio::spawn(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            let far = TcpStream::connect(target).await.unwrap();
            let mut cuts = cuts.clone();
            cuts.mark_unchanged();
            tokio::spawn(async move {
                let (mut near, mut far) = (near, far);
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    _ = cuts.changed() => {
                        tokio::time::sleep(CALL_TIMEOUT * 2).await;
                    }
                }
            });
        }
    });
    (address, cut)
}

#[tokio::test]
async fn a_call_reaches_a_daemon_of_the_same_fleet() {
    let server = start_server(identity("salt", 1, None), false).await;
    let client = client(identity("salt", 1, None), server.address);
    assert_matches!(gossip(&client).await, Ok(answer) if answer == message());
    assert_eq!(server.calls.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_client_without_a_shared_key_gets_no_answer() {
    let mut server = start_server(identity("salt", 1, None), false).await;
    let client = client(identity("salt", 2, None), server.address);
    let error = ping(&client).await.unwrap_err();
    assert!(error.not_sent());
    assert_matches!(
        error,
        Error::Connect {
            source: peer_handshake::Error::Io(_),
            ..
        }
    );
    assert_matches!(
        server.refused.recv().await,
        Some(peer_handshake::Error::NoSharedKey)
    );
}

#[tokio::test]
async fn both_keys_are_accepted_during_a_rotation() {
    let rotated = start_server(identity("salt", 2, Some(1)), false).await;
    let old = start_server(identity("salt", 1, None), false).await;
    for (client_identity, address) in [
        (identity("salt", 1, None), rotated.address),
        (identity("salt", 2, None), rotated.address),
        (identity("salt", 1, Some(2)), rotated.address),
        (identity("salt", 2, Some(1)), old.address),
    ] {
        let client = client(client_identity, address);
        assert_matches!(ping(&client).await, Ok(()));
    }
}

#[tokio::test]
async fn a_client_of_another_fleet_is_refused() {
    let mut server = start_server(identity("salt", 1, None), false).await;
    let client = client(identity("pepper", 1, None), server.address);
    let expected = Refusal::Fleet {
        expected: "salt".to_owned(),
        found: "pepper".to_owned(),
    };
    assert_matches!(
        ping(&client).await,
        Err(Error::Connect { source: peer_handshake::Error::Refused(refusal), .. })
            if refusal == expected
    );
    assert_matches!(
        server.refused.recv().await,
        Some(peer_handshake::Error::Refused(refusal)) if refusal == expected
    );
}

/// Guards against calls that reach another host that took over the address.
#[tokio::test]
async fn another_host_at_the_address_is_refused() {
    let server = start_server(identity("salt", 1, None), false).await;
    let client = Client::new(
        identity("salt", 1, None),
        server.address,
        Some("host-9".to_owned()),
        Options::default(),
    );
    assert_matches!(
        ping(&client).await,
        Err(Error::WrongHost { expected, found, .. }) if expected == "host-9" && found == "host-1"
    );
}

/// A connection whose packets are dropped stays open; only unanswered pings show that it is dead.
#[tokio::test]
async fn an_unresponsive_connection_is_replaced() {
    let server = start_server(identity("salt", 1, None), false).await;
    let (address, cut) = start_proxy(server.address).await;
    let options = Options::default()
        .heartbeat_interval(Duration::from_millis(20))
        .ping_timeout(Duration::from_millis(100));
    let client = Client::new(identity("salt", 1, None), address, None, options);
    ping(&client).await.unwrap();
    cut.send(1).unwrap();
    let broken = tokio::time::timeout(CALL_TIMEOUT / 2, gossip(&client))
        .await
        .unwrap();
    assert_matches!(broken, Err(Error::Lost { .. }));
    assert!(!broken.unwrap_err().not_sent());
    assert_eq!(server.calls.load(Ordering::SeqCst), 0);
    assert_matches!(gossip(&client).await, Ok(answer) if answer == message());
}

/// A peer that answers pings is alive, however long a call takes.
#[tokio::test]
async fn a_slow_call_does_not_make_a_connection_unresponsive() {
    let server = start_server(identity("salt", 1, None), true).await;
    let options = Options::default()
        .heartbeat_interval(Duration::from_millis(10))
        .ping_timeout(Duration::from_millis(500));
    let client = Client::new(identity("salt", 1, None), server.address, None, options);
    let limit = Duration::from_millis(1_500);
    let answer = client
        .call(limit, |peer, context| async move {
            peer.gossip(context, message()).await
        })
        .await;
    assert_matches!(answer, Err(Error::DeadlineExceeded { .. }));
}

#[tokio::test]
async fn calls_in_flight_are_limited() {
    let server = start_server(identity("salt", 1, None), true).await;
    let options = Options::default().max_in_flight(1);
    let client = Client::new(identity("salt", 1, None), server.address, None, options);
    let first = client.clone();
    tokio::spawn(async move { gossip(&first).await });
    while server.calls.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    assert_matches!(gossip(&client).await, Err(Error::Busy { limit: 1, .. }));
}
