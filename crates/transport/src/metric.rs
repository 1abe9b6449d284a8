//! The names of the metrics, and the recorder that exports them to Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Counter of the leading host's answers for long prompts, by outcome.
pub const ASSIGNMENTS: &str = "hibiscushoist_assignments_total";
/// Gauge of the long prompts that wait at the leading host until an engine has room for them.
pub const ASSIGNMENTS_WAITING: &str = "hibiscushoist_assignments_waiting";
/// Gauge of the short requests that wait at this host while all upstreams are full.
pub const SHORT_WAITING: &str = "hibiscushoist_short_waiting";
/// Counter of short requests that were rejected because they would not be served in time, by
/// service.
pub const FORECAST_REJECTIONS: &str = "hibiscushoist_forecast_rejections_total";
/// Counter of engines that crashed under requests of this host, by request.
pub const CRASHES: &str = "hibiscushoist_crashes_total";
/// Counter of ejections of upstreams, by the reason of the last failure.
pub const EJECTIONS: &str = "hibiscushoist_ejections_total";
/// Counter of failed reads of the platform's list of hosts.
pub const HOST_LIST_FAILURES: &str = "hibiscushoist_host_list_failures_total";
/// Gauge of the malformed entries in the platform's list of hosts.
pub const HOST_LIST_MALFORMED_ENTRIES: &str = "hibiscushoist_host_list_malformed_entries";
/// Gauge of the hosts that are present, this one included.
pub const HOSTS: &str = "hibiscushoist_hosts";
/// Counter of imports of cached blocks, by outcome.
pub const IMPORTS: &str = "hibiscushoist_imports_total";
/// Counter of changes in this host's view of the fleet.
pub const MEMBERSHIP_CHANGES: &str = "hibiscushoist_membership_changes_total";
/// Gauge of the index of the newest log entry that this host knows to be committed.
pub const LOG_COMMITTED: &str = "hibiscushoist_log_committed";
/// Counter of failed reads of the list of upstreams.
pub const LIST_FAILURES: &str = "hibiscushoist_list_failures_total";
/// Gauge of the malformed entries in the list of upstreams, on the leading host.
pub const LIST_MALFORMED_ENTRIES: &str = "hibiscushoist_list_malformed_entries";
/// Counter of messages of the replicated log that were dropped because their channel was full.
pub const LOG_DROPS: &str = "hibiscushoist_log_drops_total";
/// Counter of synced writes of the replicated log.
pub const LOG_SYNCS: &str = "hibiscushoist_log_syncs_total";
/// Gauge of the newest term that this host has seen.
pub const LOG_TERM: &str = "hibiscushoist_log_term";
/// Counter of orders to plain services, by outcome.
pub const ORDERS: &str = "hibiscushoist_orders_total";
/// Counter of changes of the quarantined prompt parts, by kind of change.
pub const PART_QUARANTINES: &str = "hibiscushoist_part_quarantines_total";
/// Counter of requests for routing updates that a voter did not answer.
pub const OUTLOOK_FAILURES: &str = "hibiscushoist_outlook_failures_total";
/// Gauge of the upstreams that this host owns.
pub const OWNED_UPSTREAMS: &str = "hibiscushoist_owned_upstreams";
/// Counter of requests that this host placed itself because the owner was unreachable.
pub const OWNER_AWAY: &str = "hibiscushoist_owner_away_total";
/// Counter of connections to other daemons that could not be opened.
pub const PEER_CONNECT_FAILURES: &str = "hibiscushoist_peer_connect_failures_total";
/// Counter of connections to other daemons that were opened.
pub const PEER_CONNECTIONS: &str = "hibiscushoist_peer_connections_total";
/// Counter of bytes received from other daemons.
pub const PEER_RECEIVED_BYTES: &str = "hibiscushoist_peer_received_bytes_total";
/// Counter of connections of other daemons that were refused, by reason.
pub const PEER_REFUSALS: &str = "hibiscushoist_peer_refusals_total";
/// Counter of bytes sent to other daemons.
pub const PEER_SENT_BYTES: &str = "hibiscushoist_peer_sent_bytes_total";
/// Counter of connections to other daemons that were replaced because they became unresponsive.
pub const PEER_SILENCES: &str = "hibiscushoist_peer_silences_total";
/// Counter of requests that were quarantined because they crashed upstreams.
pub const QUARANTINED: &str = "hibiscushoist_quarantined_total";
/// Counter of orders to load newer weights, by outcome.
pub const RELOADS: &str = "hibiscushoist_reloads_total";
/// Counter of requests, by path class and outcome.
pub const REQUESTS: &str = "hibiscushoist_requests_total";
/// Counter of refusals, by reason.
pub const REFUSALS: &str = "hibiscushoist_refusals_total";
/// Counter of retries, by the reason why the previous attempt failed.
pub const RETRIES: &str = "hibiscushoist_retries_total";
/// Counter of retries that were not allowed, by reason.
pub const RETRY_DENIALS: &str = "hibiscushoist_retry_denials_total";
/// Counter of runs on model engines, by outcome.
pub const RUNS: &str = "hibiscushoist_runs_total";
/// Counter of callers that were disconnected because they read too slowly.
pub const SLOW_CALLERS: &str = "hibiscushoist_slow_callers_total";
/// Gauge of how far the upstreams of a service differ in pace, in percent, by service.
pub const PACE_SPREAD: &str = "hibiscushoist_pace_spread_percent";
/// Counter of suspicions that an upstream is silent, by evidence.
pub const SUSPICIONS: &str = "hibiscushoist_upstream_suspicions_total";
/// Gauge of the upstreams that the leading host publishes as silent.
pub const SILENT_UPSTREAMS: &str = "hibiscushoist_silent_upstreams";
/// Counter of holds of upstreams, by what the upstream asked for.
pub const UPSTREAM_HOLDS: &str = "hibiscushoist_upstream_holds_total";
/// Counter of steps of roll-outs, by step.
pub const ROLLOUT_STEPS: &str = "hibiscushoist_rollout_steps_total";
/// Gauge of the table revision in force on this host.
pub const TABLE_REVISION: &str = "hibiscushoist_table_revision";

/// Counter of commands that voters refused or whose outcome stayed unknown, by reason.
pub const VOTER_REFUSALS: &str = "hibiscushoist_voter_refusals_total";
/// Counter of commands that were sent to the voters again, by reason.
pub const VOTER_RETRIES: &str = "hibiscushoist_voter_retries_total";

/// Counter of calls that charge requests at the holder of the allotments.
pub const ALLOTMENT_DRAW_CALLS: &str = "hibiscushoist_allotment_draw_calls_total";
/// Counter of requests that had to be charged by the holder of the allotments, by outcome.
pub const ALLOTMENT_DRAWS: &str = "hibiscushoist_allotment_draws_total";
/// Gauge of the time since the leases of this host were renewed, in milliseconds.
pub const ALLOTMENT_LEASE_AGE_MS: &str = "hibiscushoist_allotment_lease_age_ms";
/// Gauge of the units that are lent to hosts and not known to be spent, by workspace.
pub const ALLOTMENT_LENT: &str = "hibiscushoist_allotment_lent_units";
/// Gauge of the units that are left in the bucket, by workspace.
pub const ALLOTMENT_LEVEL: &str = "hibiscushoist_allotment_level_units";
/// Gauge of the units that a workspace may use in a second.
pub const ALLOTMENT_RATE: &str = "hibiscushoist_allotment_rate_units";
/// Counter of the units of requests that were refused by an allotment, by workspace.
pub const ALLOTMENT_REFUSED: &str = "hibiscushoist_allotment_refused_units_total";
/// Counter of the units that were given back for requests that did not run, by workspace.
pub const ALLOTMENT_RETURNED: &str = "hibiscushoist_allotment_returned_units_total";
/// Counter of the units that were charged, by workspace.
pub const ALLOTMENT_USED: &str = "hibiscushoist_allotment_used_units_total";

/// Handle of the recorder, which can be installed only once in a process.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process at the first call, and returns its handle.
///
/// # Panics
///
/// Panics when a recorder that this function did not install is in place.
pub fn install() -> PrometheusHandle {
    let install = || {
        PrometheusBuilder::new()
            .install_recorder()
            .expect("no other recorder is installed")
    };
    RECORDER.get_or_init(install).clone()
}
