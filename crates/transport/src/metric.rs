//! The counters of a process and their Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Counts requests by path class and outcome.
pub const REQUESTS: &str = "hibiscushoist_requests_total";
/// Counts refusals by reason.
pub const REFUSALS: &str = "hibiscushoist_refusals_total";
/// Gives the revision of the table in force here.
pub const TABLE_REVISION: &str = "hibiscushoist_table_revision";

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
