//! Report of a trial and the promises that it checks.

use std::collections::BTreeMap;

use displaydoc::Display;
use hawthorntide_types::ServiceName;
use serde::Serialize;

/// Limit of promise 6: time between the beginning of a drain and the last new work.
const MAX_NEW_WORK_AFTER_DRAIN_MS: u64 = 3000;
/// Limit of promise 8: time until an accepted change is in force on every balancer.
const MAX_CONFIGURATION_IN_FORCE_MS: u64 = 4000;

/// Measures of a trial; `None` means that a measure was not taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TrialReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the random choices.
    pub seed: u64,
    /// Length of the measured part.
    pub seconds: u64,
    /// Flows that callers opened.
    pub flows_opened: Option<u64>,
    /// Flows that ended because of a planned change or for no known cause.
    pub broken_flows: Option<u64>,
    /// Flows whose upstream or agent was killed.
    pub flows_lost_to_kills: Option<u64>,
    /// Flows that continued on a new port or connection.
    pub flows_resumed: Option<u64>,
    /// Local ports of callers that the fabric silenced.
    pub silent_flows: Option<u64>,
    /// Longest time until a silenced socket moved to another port.
    pub silence_found_ms_max: Option<u64>,
    /// Attempts to open a flow that failed.
    pub flow_opens_failed: Option<u64>,
    /// Requests that an upstream or caller of another service saw.
    pub misdelivered_packets: Option<u64>,
    /// Largest over mean in-flight work of the upstreams, by service.
    pub imbalance: BTreeMap<ServiceName, Option<f64>>,
    /// Largest over mean number of open streams of the upstreams, by service.
    pub stream_imbalance: BTreeMap<ServiceName, Option<f64>>,
    /// Service that was flooded.
    pub flooding_service: Option<ServiceName>,
    /// Goodput during the flood in relation to before, by service, without the flooding work.
    pub goodput_kept_percent: BTreeMap<ServiceName, Option<f64>>,
    /// Median time beyond the service time, by service, kind of work and part of the trial.
    pub wait_ms_p50: BTreeMap<String, f64>,
    /// 99th percentile of the same time.
    pub wait_ms_p99: BTreeMap<String, f64>,
    /// 99.9th percentile of the same time.
    pub wait_ms_p999: BTreeMap<String, f64>,
    /// Reservations that callers asked for.
    pub reservations: Option<u64>,
    /// Non-idempotent work that upstreams ran more than once.
    pub run_twice: Option<u64>,
    /// Work that was reported as not run although an upstream ran it.
    pub not_run_but_run: Option<u64>,
    /// Requests with an unknown outcome.
    pub unknown: Option<u64>,
    /// Answers that were reported as whole and were not the answer to the request.
    pub answers_incomplete: Option<u64>,
    /// Requests of any kind that callers made.
    pub requests: Option<u64>,
    /// Requests whose answer was whole and in time.
    pub answered: Option<u64>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Longest time from an accepted change to its use on every balancer.
    pub config_in_force_ms_max: Option<u64>,
    /// Changes of profiles that the store accepted.
    pub config_accepted: Option<u64>,
    /// Changes that were refused because the store did not answer or had a newer version.
    pub config_not_accepted: Option<u64>,
    /// Changes with an open outcome.
    pub config_open: Option<u64>,
    /// Balancers that went back to an older version.
    pub config_reverted: Option<u64>,
    /// Time from the beginning of a drain to the last new work, largest of all drains.
    pub last_new_work_after_drain_ms: Option<u64>,
    /// Control bytes sent and received by the balancer with the most, without IP and UDP headers.
    pub control_bytes_per_second_max: Option<u64>,
    /// Promises that the measures contradict.
    pub broken_promises: Vec<String>,
    /// Calls to the platform store per second over all processes.
    pub store_calls_per_second: Option<f64>,
}

/// Promise that a trial found broken.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Promise {
    /// an open stream survives every planned change
    OpenStreams,
    /// a packet never reaches another service
    Delivery,
    /// a caller receives the whole response to its own request
    WholeAnswers,
    /// work reported as not run was not run
    NotRun,
    /// non-idempotent work runs at most once
    AtMostOnce,
    /// a draining upstream gets no new work after 3 s
    DrainSeen,
    /// an accepted change is in force everywhere within 4 s
    ChangeInForce,
    /// an accepted change never reverts
    ChangeKept,
}

impl TrialReport {
    /// Returns the promises that the measures contradict; a missing measure contradicts none.
    pub fn broken_promises(&self) -> Vec<Promise> {
        let over = |measure: Option<u64>, limit: u64| measure.is_some_and(|value| value > limit);
        let checks = [
            (Promise::OpenStreams, over(self.broken_flows, 0)),
            (Promise::Delivery, over(self.misdelivered_packets, 0)),
            (Promise::WholeAnswers, over(self.answers_incomplete, 0)),
            (Promise::NotRun, over(self.not_run_but_run, 0)),
            (Promise::AtMostOnce, over(self.run_twice, 0)),
            (
                Promise::DrainSeen,
                over(
                    self.last_new_work_after_drain_ms,
                    MAX_NEW_WORK_AFTER_DRAIN_MS,
                ),
            ),
            (
                Promise::ChangeInForce,
                over(self.config_in_force_ms_max, MAX_CONFIGURATION_IN_FORCE_MS),
            ),
            (Promise::ChangeKept, over(self.config_reverted, 0)),
        ];
        let broken = checks.into_iter().filter(|(_, is_broken)| *is_broken);
        broken.map(|(promise, _)| promise).collect()
    }

    /// Returns the report as a table with one measure per line.
    pub fn table(&self) -> String {
        let serde_json::Value::Object(measures) = serde_json::json!(self) else {
            return String::new();
        };
        let width = measures.keys().map(String::len).max().unwrap_or(0);
        let lines = measures.iter().map(|(name, value)| {
            let value = match value {
                serde_json::Value::Null => "not measured".to_owned(),
                serde_json::Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            format!("{name:width$}  {value}\n")
        });
        lines.collect()
    }
}
