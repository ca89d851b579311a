//! Metrics of balancers and agents for opaque flows.

use hawthorntide_types::{DurationMs, ResultCode};
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};

pub(crate) struct BalancerMetrics {
    pub(crate) forwarded: Counter,
    pub(crate) openings: Counter,
    pub(crate) located: Counter,
    pub(crate) queries: Counter,
    pub(crate) located_flows: Gauge,
    pub(crate) version: Gauge,
    /// 1 while the process watches the configuration in the platform store, otherwise 0.
    pub(crate) watching: Gauge,
}

pub(crate) struct AgentMetrics {
    pub(crate) delivered: Counter,
    pub(crate) replied: Counter,
    pub(crate) forwarded: Counter,
    pub(crate) relayed_queries: Counter,
    pub(crate) refused_openings: Counter,
    pub(crate) ended: Counter,
    pub(crate) held_flows: Gauge,
    pub(crate) registered_flows: Gauge,
    pub(crate) waiting_requests: Gauge,
    pub(crate) discarded: Counter,
    wait: Histogram,
    accept: Histogram,
    answer: Histogram,
}

impl BalancerMetrics {
    pub(crate) fn new() -> Self {
        Self {
            forwarded: counter!("hawthorntide_relay_forwarded_total"),
            openings: counter!("hawthorntide_relay_openings_total"),
            located: counter!("hawthorntide_relay_located_total"),
            queries: counter!("hawthorntide_relay_owner_queries_total"),
            located_flows: gauge!("hawthorntide_relay_located_flows"),
            version: gauge!("hawthorntide_relay_configuration_version"),
            watching: gauge!("hawthorntide_relay_configuration_watching"),
        }
    }
}

impl AgentMetrics {
    pub(crate) fn new() -> Self {
        Self {
            delivered: counter!("hawthorntide_relay_delivered_total"),
            replied: counter!("hawthorntide_relay_replied_total"),
            forwarded: counter!("hawthorntide_relay_passed_on_total"),
            relayed_queries: counter!("hawthorntide_relay_relayed_queries_total"),
            refused_openings: counter!("hawthorntide_relay_refused_openings_total"),
            ended: counter!("hawthorntide_relay_ended_flows_total"),
            held_flows: gauge!("hawthorntide_relay_held_flows"),
            registered_flows: gauge!("hawthorntide_relay_registered_flows"),
            waiting_requests: gauge!("hawthorntide_relay_waiting_requests"),
            discarded: counter!("hawthorntide_relay_discarded_requests_total"),
            wait: histogram!("hawthorntide_relay_wait_ms"),
            accept: histogram!("hawthorntide_relay_accept_ms"),
            answer: histogram!("hawthorntide_relay_answer_ms"),
        }
    }

    /// Records the time from the delivery of an opening packet to its acceptance by the upstream.
    pub(crate) fn record_accept_time(&self, after_ms: DurationMs) {
        self.accept.record(after_ms.get() as f64);
    }

    /// Records how long a request waited for a slot of the upstream.
    pub(crate) fn record_wait(&self, waited_ms: DurationMs) {
        self.wait.record(waited_ms.get() as f64);
    }

    /// Records the time from the arrival of a request to the first packet of its answer.
    pub(crate) fn record_answer_time(&self, after_ms: DurationMs) {
        self.answer.record(after_ms.get() as f64);
    }
}

/// Counts a heartbeat that an agent did not take.
pub(crate) fn count_rejected_heartbeat(reason: &'static str) {
    counter!("hawthorntide_relay_rejected_heartbeats_total", "reason" => reason).increment(1);
}

/// Counts a packet that was dropped or answered with a reset.
pub(crate) fn count_refusal(code: ResultCode, is_reset: bool) {
    if is_reset {
        counter!("hawthorntide_relay_resets_total", "code" => code.name()).increment(1);
    } else {
        counter!("hawthorntide_relay_dropped_total", "code" => code.name()).increment(1);
    }
}

impl std::fmt::Debug for BalancerMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("BalancerMetrics")
    }
}

impl std::fmt::Debug for AgentMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AgentMetrics")
    }
}
