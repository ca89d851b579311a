//! Metrics of the process in Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder of the process; further calls have no effect.
///
/// Without it, or when another recorder is installed, the metrics are empty.
pub fn install_metrics() {
    HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics of the process as Prometheus text.
pub fn render_metrics() -> String {
    let handle = HANDLE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}
