//! A loopback proxy that delays, resets, silences or cuts one way the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Counts the bytes that one read passes on.
const PIECE: usize = 16 * 1024;

/// Tells what becomes of bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Holds the bytes on their way to the target.
    CutIn,
    /// Holds the bytes on their way from the target.
    CutOut,
    /// Passes bytes on this much later.
    Delay(Duration),
    /// Passes bytes on.
    #[default]
    Pass,
}

/// Tells what becomes of the connections that are open.
#[derive(Clone, Copy, Debug, Default)]
struct Epoch {
    resets: u64,
    silences: u64,
}

#[derive(Debug, Default)]
struct Shared {
    epoch: watch::Sender<Epoch>,
    mode: watch::Sender<Mode>,
}

/// Runs a proxy until it is dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on a listener that is bound.
    pub fn start(bound: std::net::TcpListener, target: SocketAddr) -> Self {
        bound.set_nonblocking(true).expect("the socket can be set");
        let listener = TcpListener::from_std(bound).expect("the socket listens");
        let address = listener.local_addr().expect("it is bound");
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(accept(listener, target, shared.clone()));
        Self {
            address,
            shared,
            task,
        }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches what becomes of bytes.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.shared.epoch.send_modify(|epoch| epoch.resets += 1);
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence(&self) {
        self.shared.epoch.send_modify(|epoch| epoch.silences += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    while let Ok((caller, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            if let Ok(upstream) = TcpStream::connect(target).await {
                relay(caller, upstream, shared).await;
            }
        });
    }
}

/// Passes bytes both ways until one side ends or the connection is reset.
async fn relay(caller: TcpStream, upstream: TcpStream, shared: Arc<Shared>) {
    let mut epoch = shared.epoch.subscribe();
    let before = *epoch.borrow_and_update();
    let _ = caller.set_zero_linger();
    let _ = upstream.set_zero_linger();
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let inward = copy(from_caller, to_upstream, shared.clone(), Mode::CutIn);
    let outward = copy(from_upstream, to_caller, shared.clone(), Mode::CutOut);
    let reset = async {
        let _ = epoch.wait_for(|now| now.resets > before.resets).await;
    };
    tokio::select! {
        () = async { tokio::join!(inward, outward); } => {}
        () = reset => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, shared: Arc<Shared>, cut: Mode) {
    let mut mode = shared.mode.subscribe();
    let mut epoch = shared.epoch.subscribe();
    let before = epoch.borrow_and_update().silences;
    let mut piece = vec![0; PIECE];
    loop {
        let count = from.read(&mut piece).await.unwrap_or(0);
        if mode.wait_for(|mode| *mode != cut).await.is_err() {
            return;
        }
        let delay = match *mode.borrow() {
            Mode::Delay(delay) => delay,
            Mode::CutIn | Mode::CutOut | Mode::Pass => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if epoch.borrow().silences > before {
            std::future::pending::<()>().await;
        }
        if count == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
}
