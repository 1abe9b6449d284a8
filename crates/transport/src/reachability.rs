//! Tells an upstream that no longer runs from one whose connections break.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Most connections of one check; a process that runs may close each of them at once.
const MAX_CONNECTIONS: usize = 4;

/// Returns whether the host at `address` is reachable and refuses a new connection within `limit`,
/// as it does where no process listens.
///
/// A process that ends closes its connections and its listener one after the other. So a connection
/// that is accepted is kept until `limit`, and another one is made if it breaks.
pub async fn refuses_connections(address: SocketAddr, limit: Duration) -> bool {
    timeout(limit, is_refused(address)).await.unwrap_or(false)
}

/// Returns whether the host at `address` accepts a connection within `limit`.
pub async fn accepts_connections(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    connected.is_ok_and(|connected| connected.is_ok())
}

/// Returns whether a connection is refused, at the latest once those that were accepted broke.
async fn is_refused(address: SocketAddr) -> bool {
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = match TcpStream::connect(address).await {
            Err(error) if error.kind() == ErrorKind::ConnectionReset => continue,
            Err(error) => return error.kind() == ErrorKind::ConnectionRefused,
            Ok(stream) => stream,
        };
        if stream.read_u8().await.is_ok() {
            return false;
        }
    }
    false
}
