//! The one service that daemons offer each other over an authenticated connection.

use coordination::gossip::Message;

/// Numbers the form of the messages; a connection needs the same number on both ends.
pub const VERSION: u32 = 1;

/// Serves the other daemons of the fleet.
///
/// Methods stand in the order in which they were added, because the order numbers them on the wire.
#[tarpc::service]
pub trait Peer {
    /// Takes a message of the failure detector and returns the reply.
    async fn gossip(message: Message) -> Message;
    /// Returns at once, which shows that the connection works both ways.
    async fn ping();
}
