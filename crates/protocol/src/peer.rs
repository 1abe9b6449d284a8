//! The service that daemons offer each other over an authenticated connection.

use std::sync::Arc;

use crate::operator::History;
use crate::operator::Voters;
use crate::voter::DataFolder;
use crate::voter::MessageBatch;
use crate::voter::Rejection;
use crate::voter::TableUpdate;
use crate::voter::VoterChange;
use coordination::admission::Refusal;
use coordination::allotment::message;
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

/// Version of the message formats; both ends of a connection need the same one.
pub const VERSION: u32 = 9;

/// Service for the other daemons of the fleet.
///
/// New methods are appended, because the position of a method identifies it on the wire.
#[tarpc::service]
pub trait Peer {
    /// Handles a message of the failure detector and returns the reply.
    async fn gossip(message: Message) -> Message;
    /// Returns at once, to check that the connection works in both directions.
    async fn ping();
    /// Handles messages of the replicated log.
    async fn replicate(batch: MessageBatch);
    /// Replicates a command, if the host's voter is the leader.
    async fn propose(command: Command) -> Result<Answer, Rejection>;
    /// Returns the identity of the voter's data folder, if the host has a working voter.
    async fn data_folder() -> Option<DataFolder>;
    /// Waits a limited time for a table newer than revision `after`.
    async fn table_update(after: u64) -> TableUpdate;
    /// Changes the voters, if the host's voter is the leader.
    async fn change_voters(change: VoterChange) -> Result<(), Rejection>;
    /// Returns the voters, if the host has a working voter.
    async fn voters() -> Option<Voters>;
    /// Returns the edits after a revision, if the host has a working voter.
    async fn history(after: u64) -> Option<History>;
    /// Handles a call about requests that may crash upstreams.
    async fn quarantine(call: quarantine::Call) -> quarantine::Answer;
    /// Places a request on an upstream that the host owns, after waiting for free capacity.
    async fn place(request: broker::PlacementRequest) -> Result<Box<Grant>, Refusal>;
    /// Reports the progress of a granted request to the owner of its upstream.
    async fn report_progress(report: ProgressReport);
    /// Reports a request in flight to the new owner of its upstream.
    async fn report_in_flight(request: InFlightRequest);
    /// Returns the routing state that a host which serves callers does not have yet; only the
    /// leading voter can.
    async fn routing_update(request: routing_update::Request) -> Result<RoutingUpdate, Rejection>;
    /// Returns the routed table as the operator sent it; only the leading voter can.
    async fn routing_source() -> Result<Arc<String>, Rejection>;
    /// Assigns an engine to a long prompt; only the host of the leading voter can.
    async fn assign(
        request: assignment::Request,
    ) -> Result<Result<Choice, choice::Refusal>, Rejection>;
    /// Charges work to the allotment of its workspace; only the leading voter's host can.
    async fn draw(draw: message::Draw) -> Result<message::Drawn, Rejection>;
}
