//! The one service that daemons offer each other over an authenticated connection.

use std::sync::Arc;

use crate::operator::History;
use crate::operator::Voters;
use crate::voter::DataFolder;
use crate::voter::MessageBatch;
use crate::voter::Rejection;
use crate::voter::TableUpdate;
use crate::voter::VoterChange;
use coordination::admission::Refusal;
use coordination::assignment;
use coordination::broker;
use coordination::broker::Grant;
use coordination::broker::InFlightRequest;
use coordination::broker::ProgressReport;
use coordination::choice;
use coordination::choice::Choice;
use coordination::gossip::Message;
use coordination::quarantine;
use coordination::routing_update;
use coordination::routing_update::RoutingUpdate;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;

/// Numbers the form of the messages; a connection needs the same number on both ends.
pub const VERSION: u32 = 5;

/// Serves the other daemons of the fleet.
///
/// Methods stand in the order in which they were added, because the order numbers them on the wire.
#[tarpc::service]
pub trait Peer {
    /// Takes a message of the failure detector and returns the reply.
    async fn gossip(message: Message) -> Message;
    /// Returns at once, which shows that the connection works both ways.
    async fn ping();
    /// Takes messages of the replicated log.
    async fn replicate(batch: MessageBatch);
    /// Has the voter replicate a command, if it leads.
    async fn propose(command: Command) -> Result<Answer, Rejection>;
    /// Tells what the voter's data folder is, where the host has one that works.
    async fn data_folder() -> Option<DataFolder>;
    /// Waits a while for a table after that revision.
    async fn table_update(after: u64) -> TableUpdate;
    /// Has the voter change the voters, if it leads.
    async fn change_voters(change: VoterChange) -> Result<(), Rejection>;
    /// Shows the voters, where the host has one that works.
    async fn voters() -> Option<Voters>;
    /// Shows the edits after a revision, where the host has a voter that works.
    async fn history(after: u64) -> Option<History>;
    /// Answers for the requests that may crash upstreams.
    async fn quarantine(call: quarantine::Call) -> quarantine::Answer;
    /// Asks for a place on an upstream that the host owns, and waits for it.
    async fn place(request: broker::PlacementRequest) -> Result<Box<Grant>, Refusal>;
    /// Tells the owner of an upstream how far a granted request has come.
    async fn report_progress(report: ProgressReport);
    /// Reports a request again to the new owner of its upstream.
    async fn report_in_flight(request: InFlightRequest);
    /// Tells what a host that serves callers lacks; only the voter that leads can.
    async fn routing_update(request: routing_update::Request) -> Result<RoutingUpdate, Rejection>;
    /// Returns the operator's text of the routed table; only the voter that leads can.
    async fn routing_source() -> Result<Arc<String>, Rejection>;
    /// Assigns an engine to a long prompt; only the host whose voter leads can.
    async fn assign(
        request: assignment::Request,
    ) -> Result<Result<Choice, choice::Refusal>, Rejection>;
}
