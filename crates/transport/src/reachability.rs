//! Tells an upstream that no longer runs from one whose connections break.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Returns whether the host at `address` is reachable and refuses a new connection within `limit`,
/// as it does where no process listens.
pub async fn refuses_connections(address: SocketAddr, limit: Duration) -> bool {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
