//! The counters of a process and their Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Counts the leading host's answers for long prompts, by outcome.
pub const ASSIGNMENTS: &str = "hibiscushoist_assignments_total";
/// Counts ejections of upstreams by the reason of the last failure.
pub const EJECTIONS: &str = "hibiscushoist_ejections_total";
/// Gives how many hosts are present, this one included.
pub const HOSTS: &str = "hibiscushoist_hosts";
/// Counts imports of cached blocks by how they ended.
pub const IMPORTS: &str = "hibiscushoist_imports_total";
/// Counts changes in the view of the fleet.
pub const MEMBERSHIP_CHANGES: &str = "hibiscushoist_membership_changes_total";
/// Gives the index of the newest committed entry known here.
pub const LOG_COMMITTED: &str = "hibiscushoist_log_committed";
/// Counts reads of the list of upstreams that failed.
pub const LIST_FAILURES: &str = "hibiscushoist_list_failures_total";
/// Counts messages of the replicated log that were dropped because their channel was full.
pub const LOG_DROPS: &str = "hibiscushoist_log_drops_total";
/// Counts synced writes of the replicated log.
pub const LOG_SYNCS: &str = "hibiscushoist_log_syncs_total";
/// Gives the newest term seen here.
pub const LOG_TERM: &str = "hibiscushoist_log_term";
/// Counts orders to plain services by how they ended.
pub const ORDERS: &str = "hibiscushoist_orders_total";
/// Counts asks for what this host lacks that a voter did not answer.
pub const OUTLOOK_FAILURES: &str = "hibiscushoist_outlook_failures_total";
/// Gives how many upstreams this host owns.
pub const OWNED_UPSTREAMS: &str = "hibiscushoist_owned_upstreams";
/// Counts requests that this host placed itself because the owner could not be asked.
pub const OWNER_AWAY: &str = "hibiscushoist_owner_away_total";
/// Counts connections to other daemons that could not be opened.
pub const PEER_CONNECT_FAILURES: &str = "hibiscushoist_peer_connect_failures_total";
/// Counts connections to other daemons that were opened.
pub const PEER_CONNECTIONS: &str = "hibiscushoist_peer_connections_total";
/// Counts bytes from other daemons.
pub const PEER_RECEIVED_BYTES: &str = "hibiscushoist_peer_received_bytes_total";
/// Counts connections of other daemons that were refused, by reason.
pub const PEER_REFUSALS: &str = "hibiscushoist_peer_refusals_total";
/// Counts bytes to other daemons.
pub const PEER_SENT_BYTES: &str = "hibiscushoist_peer_sent_bytes_total";
/// Counts connections to other daemons that were replaced because they fell silent.
pub const PEER_SILENCES: &str = "hibiscushoist_peer_silences_total";
/// Counts requests that were held back because they crashed upstreams.
pub const QUARANTINED: &str = "hibiscushoist_quarantined_total";
/// Counts orders to load newer weights, by outcome.
pub const RELOADS: &str = "hibiscushoist_reloads_total";
/// Counts requests by path class and outcome.
pub const REQUESTS: &str = "hibiscushoist_requests_total";
/// Counts refusals by reason.
pub const REFUSALS: &str = "hibiscushoist_refusals_total";
/// Counts retries by the reason for which the attempt before failed.
pub const RETRIES: &str = "hibiscushoist_retries_total";
/// Counts retries that were not made by the reason.
pub const RETRY_DENIALS: &str = "hibiscushoist_retry_denials_total";
/// Counts runs on model engines by how they ended.
pub const RUNS: &str = "hibiscushoist_runs_total";
/// Counts callers that were given up because they read too slowly.
pub const SLOW_CALLERS: &str = "hibiscushoist_slow_callers_total";
/// Counts steps of roll-outs, by step.
pub const ROLLOUT_STEPS: &str = "hibiscushoist_rollout_steps_total";
/// Gives the revision of the table in force here.
pub const TABLE_REVISION: &str = "hibiscushoist_table_revision";

/// Counts commands that voters refused or whose outcome stayed unknown, by reason.
pub const VOTER_REFUSALS: &str = "hibiscushoist_voter_refusals_total";
/// Counts commands that were sent to the voters again, by reason.
pub const VOTER_RETRIES: &str = "hibiscushoist_voter_retries_total";

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process once and returns its handle.
///
/// # Panics
///
/// Panics when another recorder was installed before.
pub fn install() -> PrometheusHandle {
    let build = || {
        PrometheusBuilder::new()
            .install_recorder()
            .expect("no other recorder is installed")
    };
    RECORDER.get_or_init(build).clone()
}
