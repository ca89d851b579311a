//! Metrics of the process in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of latency histograms. They range from a hop within a failure domain to
/// the longest time that callers wait.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 10_000.0,
];

/// Suffix by which latency histograms are recognized.
const LATENCY_SUFFIX: &str = "_ms";

static PROMETHEUS_HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the global metrics recorder; further calls have no effect.
///
/// If it was not called, or another recorder is already installed, [`render_metrics`] returns an empty
/// string.
pub fn install_metrics() {
    PROMETHEUS_HANDLE.get_or_init(|| {
        let suffix = Matcher::Suffix(LATENCY_SUFFIX.to_owned());
        let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, &LATENCY_BUCKETS_MS);
        builder.ok()?.install_recorder().ok()
    });
}

/// Returns the metrics of the process in the Prometheus text format.
pub fn render_metrics() -> String {
    let handle = PROMETHEUS_HANDLE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}
