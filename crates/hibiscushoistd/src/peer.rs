//! Answers the calls of other daemons.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use futures::StreamExt;
use slog::Logger;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::allotment_desk;
use crate::assign_desk::Desk;
use crate::broker::Error;
use crate::broker::Handle;
use crate::gateway_crash;
use crate::member;
use crate::owner::Part;
use crate::suspects::Suspects;
use crate::voter;
use crate::voter_reads::Reads;
use coordination::admission::Reason;
use coordination::admission::Refusal;
use coordination::allotment::message;
use coordination::assignment;
use coordination::broker;
use coordination::broker::Grant;
use coordination::broker::InFlightRequest;
use coordination::broker::ProgressReport;
use coordination::choice;
use coordination::choice::Choice;
use coordination::fleet_log::FleetLog;
use coordination::gossip::Message;
use coordination::load::silent_reports::Collector;
use coordination::part_evidence::EvidenceCollector;
use coordination::prefix_log;
use coordination::prefix_log::PrefixLog;
use coordination::quarantine;
use coordination::routing_update;
use coordination::routing_update::RoutingUpdate;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use coordination::upstream_load::LoadAggregator;
use coordination::version_history::VersionHistory;
use protocol::operator::History;
use protocol::operator::Voters;
use protocol::peer::Peer;
use protocol::voter::DataFolder;
use protocol::voter::MessageBatch;
use protocol::voter::Rejection;
use protocol::voter::TableUpdate;
use protocol::voter::VoterChange;
use state::naming;
use transport::clock::Clock;
use transport::clock::wall_millis;
use transport::event;
use transport::event::Event;
use transport::metric;
use transport::peer_handshake;
use transport::peer_handshake::Identity;
use transport::peer_server;

const BUSY_MS: u64 = 100;
const CALLS_AT_ONCE: usize = 1_024;

/// Hands the calls of other daemons to the duties of this one.
#[derive(Clone)]
pub struct Service {
    /// Lends the allotments of workspaces while this host leads.
    pub allotments: allotment_desk::Desk,
    /// Reaches the broker of the upstreams that this host owns.
    pub broker: Handle,
    /// Passes what hosts have seen on to the others while this one leads.
    pub bulletin: Arc<Mutex<PrefixLog>>,
    /// Reads the clock.
    pub clock: Clock,
    /// Assigns engines to long prompts while this host leads.
    pub desk: Desk,
    /// Shows the upstreams of routed services, as this host published them while it led.
    pub fleet: watch::Receiver<Arc<FleetLog>>,
    /// Collects evidence on prompt parts that crash engines while this host leads.
    pub evidence: Arc<Mutex<EvidenceCollector>>,
    /// Receives the events.
    pub log: Logger,
    /// Reaches the duty that knows the fleet.
    pub member: member::Handle,
    /// Reads the replicated state while this host leads.
    pub reads: Reads,
    /// Adds up what hosts have under way at upstreams.
    pub tally: Arc<Mutex<LoadAggregator>>,
    /// Pools which upstreams hosts suspect to be silent while this host leads.
    pub silent: Arc<Mutex<Collector>>,
    /// Answers for the requests that may crash upstreams.
    pub suspects: Suspects,
    /// Knows since when each weights version has been named.
    pub versions: Arc<Mutex<VersionHistory>>,
    /// Reaches the voters.
    pub voter: voter::Handle,
}

impl Peer for Service {
    async fn gossip(self, _: Context, message: Message) -> Message {
        match self.member.gossip(message).await {
            Err(_) => std::future::pending().await,
            Ok(answer) => answer,
        }
    }

    async fn ping(self, _: Context) {}

    async fn replicate(self, _: Context, packet: MessageBatch) {
        self.voter.replicate(packet);
    }

    async fn propose(self, _: Context, command: Command) -> Result<Answer, Rejection> {
        self.voter.propose_here(command).await
    }

    async fn data_folder(self, _: Context) -> Option<DataFolder> {
        self.voter.folder()
    }

    async fn table_update(self, _: Context, after: u64) -> TableUpdate {
        self.voter.spread(after).await
    }

    async fn change_voters(self, _: Context, ask: VoterChange) -> Result<(), Rejection> {
        self.voter.member_here(ask).await
    }

    async fn voters(self, _: Context) -> Option<Voters> {
        self.voter.voters_here()
    }

    async fn history(self, _: Context, after: u64) -> Option<History> {
        self.voter.history_here(after).await.ok()
    }

    async fn quarantine(self, _: Context, call: quarantine::Call) -> quarantine::Answer {
        self.suspects.answer(call)
    }

    async fn place(self, _: Context, ask: broker::PlacementRequest) -> Result<Box<Grant>, Refusal> {
        let placement_id = ask.placement_id;
        match self.broker.place_here(Part::Own, ask).await {
            Err(Error::Refused(refusal)) => Err(refusal),
            Err(Error::Ring(_) | Error::Unanswered) => Err(Refusal {
                reason: Reason::Overloaded,
                retry_after_ms: BUSY_MS,
                placement_id,
            }),
            Ok(grant) => Ok(grant),
        }
    }

    async fn report_progress(self, _: Context, report: ProgressReport) {
        let _ = self.broker.feed(broker::Event::Report(report));
    }

    async fn report_in_flight(self, _: Context, held: InFlightRequest) {
        let _ = self.broker.feed(broker::Event::InFlight(held));
    }

    async fn routing_update(
        self,
        _: Context,
        ask: routing_update::Request,
    ) -> Result<RoutingUpdate, Rejection> {
        let reading = self.reads.read().await?;
        let fleet_log = self.fleet.borrow().clone();
        let table = &reading.routed.table;
        let now = self.clock.now();
        self.desk
            .record_report(now, &ask.assignment_ids, &ask.cached_prefixes);
        let models = self.desk.record_samples(now, ask.samples);
        let paces = self.desk.record_told(now, fleet_log.fleet(), &ask.told);
        let allotment_batch = self
            .allotments
            .exchange(&reading, &ask.host, &ask.allotment_report);
        let mut bulletin = self.bulletin.lock().unwrap_or_else(PoisonError::into_inner);
        let (cached_prefixes, prefix_position) = bulletin.exchange(
            reading.term,
            &ask.host,
            ask.cached_prefixes,
            ask.prefix_position,
        );
        drop(bulletin);
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        let (part_verdict, changes) =
            evidence.exchange(now, reading.term, &ask.host, &ask.part_evidence);
        drop(evidence);
        gateway_crash::log_changes(&self.log, changes);
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        let (loads, loads_included) = tally.exchange(
            now,
            ask.host.clone(),
            ask.loads_number,
            ask.loads,
            fleet_log.fleet(),
        );
        let last_byte = |id: &str| tally.last_byte(id);
        let mut silent = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        let silent_news =
            silent.exchange(now, &ask.host, &ask.silent, fleet_log.fleet(), last_byte);
        metrics::gauge!(metric::SILENT_UPSTREAMS).set(silent.silent() as f64);
        drop(silent);
        drop(tally);
        self.desk
            .set_silent_news(now, fleet_log.fleet(), &silent_news);
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let time = naming::Time {
            log_time_ms: reading.log_time_ms,
            unix_ms: wall_millis(),
        };
        versions.record_namings(now, time, &reading.namings);
        versions.record(now, &reading.routed.weights_versions);
        Ok(RoutingUpdate {
            allotment_batch,
            fleet: fleet_log.update_after(ask.edition),
            announcements: prefix_log::announce(fleet_log.fleet(), cached_prefixes),
            loads,
            loads_included,
            models,
            part_verdict,
            paces,
            prefix_position,
            silent: silent_news,
            table: (table.version > ask.table_version).then(|| table.clone()),
            version_ages: versions.ages(now),
            weights: reading.routed.weights_versions.clone(),
        })
    }

    async fn routing_source(self, _: Context) -> Result<Arc<String>, Rejection> {
        let reading = self.voter.read_here().await?;
        Ok(reading.routed.source.clone())
    }

    async fn assign(
        self,
        _: Context,
        ask: assignment::Request,
    ) -> Result<Result<Choice, choice::Refusal>, Rejection> {
        self.desk.assign(ask).await
    }

    async fn draw(self, _: Context, draw: message::Draw) -> Result<message::Drawing, Rejection> {
        self.allotments.draw(draw).await
    }
}

/// Answers the calls of other daemons until the task is dropped.
pub async fn run(listener: TcpListener, identity: Arc<Identity>, service: Service, log: Logger) {
    let serve = move |connection: peer_server::InboundConnection| {
        let service = service.clone();
        async move {
            BaseChannel::with_defaults(connection.frames)
                .max_concurrent_requests(CALLS_AT_ONCE)
                .execute(service.serve())
                .for_each(|response| async move {
                    tokio::spawn(response);
                })
                .await;
        }
    };
    let refused = move |error: peer_handshake::Error| {
        let details = slog::o!("error" => error.to_string());
        event::emit(&log, Event::PeerRefused, details);
    };
    peer_server::run(listener, identity, serve, refused).await;
}
