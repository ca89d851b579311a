//! Report of a trial, and the check of the guarantees (promises) of the system against it.

use std::collections::BTreeMap;

use displaydoc::Display;
use hawthorntide_types::ServiceName;
use serde::Serialize;

/// Limit of [`Promise::NoWorkAfterDrain`]: time from the start of a drain to the last new work.
const MAX_NEW_WORK_AFTER_DRAIN_MS: u64 = 3000;
/// Limit of [`Promise::ChangeInForce`]: time until an accepted change is in force on every balancer.
const MAX_CONFIGURATION_IN_FORCE_MS: u64 = 4000;

/// Measured values of a trial; `None` where nothing was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TrialReport {
    pub deployment: String,
    pub seed: u64,
    /// Length of the measured part of the trial.
    pub seconds: u64,
    pub flows_opened: Option<u64>,
    /// Flows that ended although their upstream and agent were not killed.
    pub broken_flows: Option<u64>,
    /// Flows that ended because their upstream and agent were killed.
    pub flows_lost_to_kills: Option<u64>,
    /// Flows whose session continued on a new connection.
    pub flows_resumed: Option<u64>,
    /// Caller ports that the fabric silenced.
    pub silent_flows: Option<u64>,
    /// Longest time until the caller of a silenced port switched to another port.
    pub silence_found_ms_max: Option<u64>,
    /// Failed attempts to open a flow.
    pub flow_opens_failed: Option<u64>,
    /// Requests, answers and packets that reached an upstream or a caller of another service.
    pub misdelivered_packets: Option<u64>,
    /// Ratio of the highest to the mean in-flight work of the upstreams, by service.
    pub imbalance: BTreeMap<ServiceName, Option<f64>>,
    /// Ratio of the highest to the mean number of open streams of the upstreams, by service.
    pub stream_imbalance: BTreeMap<ServiceName, Option<f64>>,
    /// Service whose work flooded the system.
    pub flooding_service: Option<ServiceName>,
    /// Goodput during the flood relative to before, by service, excluding the flooding work.
    pub goodput_kept_percent: BTreeMap<ServiceName, Option<f64>>,
    /// Median response time in excess of the service time, by service, kind of work and part of the
    /// trial.
    pub wait_ms_p50: BTreeMap<String, f64>,
    /// 99th percentile of the time in `wait_ms_p50`.
    pub wait_ms_p99: BTreeMap<String, f64>,
    /// 99.9th percentile of the time in `wait_ms_p50`.
    pub wait_ms_p999: BTreeMap<String, f64>,
    /// Reservations that callers requested.
    pub reservations: Option<u64>,
    /// Reservations, which are not idempotent, that upstreams ran more than once.
    pub run_twice: Option<u64>,
    /// Work that was reported as not run although an upstream ran it.
    pub not_run_but_run: Option<u64>,
    /// Requests with an unknown outcome.
    pub unknown: Option<u64>,
    /// Answers reported as complete, and stream messages, that differ from the expected bytes.
    pub answers_incomplete: Option<u64>,
    /// Requests that callers sent, of any kind except streams.
    pub requests: Option<u64>,
    /// Requests answered correctly before their deadline.
    pub answered: Option<u64>,
    /// Number of requests by result code.
    pub outcomes: BTreeMap<String, u64>,
    /// Longest time until an accepted change was in force on every balancer.
    pub config_in_force_ms_max: Option<u64>,
    /// Profile changes that the store accepted.
    pub config_accepted: Option<u64>,
    /// Profile changes that failed because the store was unavailable or had a newer version.
    pub config_not_accepted: Option<u64>,
    /// Profile changes whose outcome is open.
    pub config_open: Option<u64>,
    /// Number of times a balancer went back to an older version of a profile.
    pub config_reverted: Option<u64>,
    /// Longest time from the start of a drain to the last new work on the draining upstream.
    pub last_new_work_after_drain_ms: Option<u64>,
    /// Highest rate of control bytes sent and received by one balancer, excluding IP and UDP
    /// headers.
    pub control_bytes_per_second_max: Option<u64>,
    /// Promises that the measured values violate.
    pub broken_promises: Vec<String>,
    /// Calls to the platform store by all processes.
    pub store_calls_per_second: Option<f64>,
}

/// Guarantee of the system that a trial checks; the text says what is guaranteed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Promise {
    /// an open stream survives every planned change
    OpenStreams,
    /// a packet never reaches another service
    ServiceIsolation,
    /// a caller receives the whole response to its own request
    WholeAnswers,
    /// work reported as not run was not run
    NotRun,
    /// non-idempotent work runs at most once
    AtMostOnce,
    /// a draining upstream gets no new work after 3 s
    NoWorkAfterDrain,
    /// an accepted change is in force everywhere within 4 s
    ChangeInForce,
    /// an accepted change never reverts
    ChangeNotReverted,
}

impl TrialReport {
    /// Returns the promises that the measured values violate; a missing value violates none.
    pub fn broken_promises(&self) -> Vec<Promise> {
        let over = |measure: Option<u64>, limit: u64| measure.is_some_and(|value| value > limit);
        let checks = [
            (Promise::OpenStreams, over(self.broken_flows, 0)),
            (
                Promise::ServiceIsolation,
                over(self.misdelivered_packets, 0),
            ),
            (Promise::WholeAnswers, over(self.answers_incomplete, 0)),
            (Promise::NotRun, over(self.not_run_but_run, 0)),
            (Promise::AtMostOnce, over(self.run_twice, 0)),
            (
                Promise::NoWorkAfterDrain,
                over(
                    self.last_new_work_after_drain_ms,
                    MAX_NEW_WORK_AFTER_DRAIN_MS,
                ),
            ),
            (
                Promise::ChangeInForce,
                over(self.config_in_force_ms_max, MAX_CONFIGURATION_IN_FORCE_MS),
            ),
            (Promise::ChangeNotReverted, over(self.config_reverted, 0)),
        ];
        let broken = checks.into_iter().filter(|(_, is_broken)| *is_broken);
        broken.map(|(promise, _)| promise).collect()
    }

    /// Formats the report as text, one value per line.
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
