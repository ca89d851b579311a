//! Computes the report from the callers' observations and the records of the emulated upstreams.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hawthorntide_types::{Ran, ResultCode, ServiceName, WorkKind};

use crate::cluster::Cluster;
use crate::event::EventName;
use crate::observer::{Observations, Observer, WorkOutcome};
use crate::operator::ChangeCounts;
use crate::process::UpstreamProcess;
use crate::report::TrialReport;
use crate::series;

/// Minimum length of the periods before and during a flood for which goodput is compared.
const MIN_GOODPUT_WINDOW: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
pub(crate) struct LoadSample {
    pub(crate) at: Duration,
    /// Load of each upstream, in the order of `Cluster::upstreams`.
    pub(crate) loads: Vec<UpstreamLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamLoad {
    pub(crate) in_flight: u32,
    pub(crate) open_streams: u32,
    pub(crate) is_serving: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Flood {
    /// Index of the service in the deployment file.
    pub(crate) service: usize,
    pub(crate) kind: WorkKind,
    pub(crate) began: Duration,
    pub(crate) ended: Duration,
}

/// Raw measurements of a trial.
#[derive(Debug)]
pub(crate) struct Measurements {
    /// Start of the measured part.
    pub(crate) began: Duration,
    pub(crate) ended: Duration,
    pub(crate) samples: Vec<LoadSample>,
    pub(crate) floods: Vec<Flood>,
    pub(crate) events: Vec<(Duration, EventName)>,
    pub(crate) silent_flows: Option<u64>,
    pub(crate) store_calls: u64,
    pub(crate) changes: ChangeCounts,
}

impl Measurements {
    /// Length of the measured part.
    pub(crate) fn length(&self) -> Duration {
        self.ended.saturating_sub(self.began)
    }
}

/// Fills in all measured values of `report` and the promises that they violate.
pub(crate) fn report(
    cluster: &Cluster,
    observer: &Observer,
    measurements: &Measurements,
    report: &mut TrialReport,
) {
    let observations = observer.observations();
    let runs = runs_by_work(&cluster.upstreams);
    count_flows(cluster, observer, &observations, report);
    count_work(&observations, &runs, report);
    report.silent_flows = measurements.silent_flows;
    let longest_delay = observations.port_change_delays.iter().max();
    report.silence_found_ms_max =
        longest_delay.map(|longest_delay| longest_delay.as_millis() as u64);
    let misdelivered = cluster
        .upstreams
        .iter()
        .map(|u| u.upstream.counts().misdelivered);
    let other_service = observations
        .outcomes
        .iter()
        .filter(|outcome| outcome.names_other_service);
    report.misdelivered_packets = Some(
        misdelivered.sum::<u64>()
            + other_service.count() as u64
            + observations.other_service_messages
            + cluster.fabric.counts().misdelivered,
    );
    let services = cluster.deployment.services.iter();
    for (index, service) in services.enumerate() {
        let name = &service.name;
        let slots = imbalance(cluster, measurements, name, |load| load.in_flight);
        let streams = imbalance(cluster, measurements, name, |load| load.open_streams);
        report.imbalance.insert(name.clone(), slots);
        report.stream_imbalance.insert(name.clone(), streams);
        let kept = goodput_kept(&observations.outcomes, measurements, index);
        report.goodput_kept_percent.insert(name.clone(), kept);
    }
    for waits in series::waits(&cluster.deployment, measurements, &observations.outcomes) {
        let at = |percentile| (waits.name.clone(), waits.percentile_ms(percentile));
        report.wait_ms_p50.extend([at(50.0)]);
        report.wait_ms_p99.extend([at(99.0)]);
        report.wait_ms_p999.extend([at(99.9)]);
    }
    let flood = measurements.floods.first();
    report.flooding_service =
        flood.map(|flood| cluster.deployment.services[flood.service].name.clone());
    count_changes(&measurements.changes, report);
    report.last_new_work_after_drain_ms = last_new_work(&cluster.upstreams);
    let balancers = cluster.balancers.iter();
    report.control_bytes_per_second_max = balancers
        .filter_map(|process| process.control_traffic.bytes_per_second())
        .max();
    let seconds = measurements.length().as_secs_f64();
    report.store_calls_per_second = Some(measurements.store_calls as f64 / seconds);
    let broken = report.broken_promises().into_iter();
    report.broken_promises = broken.map(|promise| promise.to_string()).collect();
}

/// Fills in the values about profile changes; leaves them unset if no change was attempted.
fn count_changes(changes: &ChangeCounts, report: &mut TrialReport) {
    if changes.attempted == 0 {
        return;
    }
    report.config_accepted = Some(changes.accepted);
    report.config_not_accepted = Some(changes.not_accepted);
    report.config_open = Some(changes.open);
    report.config_reverted = Some(changes.reverted);
    let longest = changes.in_force.iter().max();
    report.config_in_force_ms_max = longest.map(|longest| longest.as_millis() as u64);
}

fn count_flows(
    cluster: &Cluster,
    observer: &Observer,
    observations: &Observations,
    report: &mut TrialReport,
) {
    let killed = cluster
        .upstreams
        .iter()
        .filter(|upstream| upstream.was_killed);
    let killed: Vec<_> = killed.map(|upstream| upstream.endpoint).collect();
    let is_killed = |endpoint| killed.contains(&endpoint);
    let losses = observations.losses.iter();
    let lost_to_kills = losses
        .filter(|loss| loss.endpoint.is_some_and(is_killed))
        .count() as u64;
    report.flows_opened = Some(observer.flows_opened.load(Ordering::Relaxed));
    report.flows_resumed = Some(observer.flows_resumed.load(Ordering::Relaxed));
    report.flow_opens_failed = Some(observer.failed_opens.load(Ordering::Relaxed));
    report.flows_lost_to_kills = Some(lost_to_kills);
    report.broken_flows = Some(observations.losses.len() as u64 - lost_to_kills);
}

fn count_work(observations: &Observations, runs: &BTreeMap<u64, u32>, report: &mut TrialReport) {
    let outcomes = &observations.outcomes;
    let runs_of = |outcome: &&WorkOutcome| runs.get(&outcome.work_id).copied().unwrap_or(0);
    let count = |accepts: &dyn Fn(&&WorkOutcome) -> bool| {
        Some(outcomes.iter().filter(|outcome| accepts(outcome)).count() as u64)
    };
    let is_reservation = |outcome: &&WorkOutcome| outcome.kind == WorkKind::Reservation;
    report.requests = count(&|_| true);
    report.answered = count(&|outcome| outcome.is_good());
    report.reservations = count(&is_reservation);
    report.run_twice = count(&|outcome| is_reservation(outcome) && runs_of(outcome) > 1);
    let was_run = |work: &&u64| runs.contains_key(work);
    let contradicted_refusals = observations
        .contradicted_refusals
        .iter()
        .filter(was_run)
        .count() as u64;
    let not_run_but_run = count(&|outcome| outcome.code.ran() == Ran::No && runs_of(outcome) > 0);
    report.not_run_but_run = not_run_but_run.map(|count| count + contradicted_refusals);
    report.unknown = count(&|outcome| outcome.code.ran() == Ran::Unknown);
    let incomplete = outcomes
        .iter()
        .filter(|outcome| outcome.code == ResultCode::Ok && !outcome.is_correct_answer);
    report.answers_incomplete = Some(incomplete.count() as u64 + observations.wrong_messages);
    let mut codes: BTreeMap<String, u64> = BTreeMap::new();
    for outcome in outcomes {
        *codes.entry(outcome.code.name().to_owned()).or_default() += 1;
    }
    report.outcomes = codes;
}

/// Number of runs by work id, summed over all upstreams and sessions.
fn runs_by_work(upstreams: &[UpstreamProcess]) -> BTreeMap<u64, u32> {
    let mut runs = BTreeMap::new();
    for upstream in upstreams {
        for record in upstream.upstream.records() {
            *runs.entry(record.work_id).or_default() += record.runs;
        }
    }
    runs
}

/// Ratio of the highest to the mean load, among the upstreams that served throughout the trial.
fn imbalance(
    cluster: &Cluster,
    measurements: &Measurements,
    service: &ServiceName,
    load: impl Fn(&UpstreamLoad) -> u32,
) -> Option<f64> {
    let samples = &measurements.samples;
    let mut sums = Vec::new();
    for (index, upstream) in cluster.upstreams.iter().enumerate() {
        let is_steady = |sample: &LoadSample| {
            let load = sample.loads.get(index);
            load.is_some_and(|load| load.is_serving)
        };
        if upstream.service == *service && samples.iter().all(is_steady) {
            let loads = samples.iter().map(|sample| load(&sample.loads[index]));
            sums.push(loads.map(f64::from).sum::<f64>());
        }
    }
    max_over_mean(&sums)
}

/// Ratio of the highest value to the mean; `None` if the mean is not positive.
pub(crate) fn max_over_mean(values: &[f64]) -> Option<f64> {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let max = values.iter().copied().fold(0.0, f64::max);
    (mean > 0.0).then(|| max / mean)
}

/// Goodput during the first flood as a percentage of the goodput before it, excluding the flooding
/// work.
fn goodput_kept(
    outcomes: &[WorkOutcome],
    measurements: &Measurements,
    service: usize,
) -> Option<f64> {
    let flood = measurements.floods.first()?;
    let flood_end = flood.ended.min(measurements.ended);
    let length_before = flood.began.saturating_sub(measurements.began);
    let length_during = flood_end.saturating_sub(flood.began);
    if length_before < MIN_GOODPUT_WINDOW || length_during < MIN_GOODPUT_WINDOW {
        return None;
    }
    let is_other = |outcome: &&WorkOutcome| {
        outcome.service == service && !(service == flood.service && outcome.kind == flood.kind)
    };
    let rate = |from: Duration, until: Duration| {
        let answered = outcomes
            .iter()
            .filter(is_other)
            .filter(|outcome| outcome.is_good() && (from..until).contains(&outcome.sent_at));
        answered.count() as f64 / until.saturating_sub(from).as_secs_f64()
    };
    let before = rate(measurements.began, flood.began);
    (before > 0.0).then(|| 100.0 * rate(flood.began, flood_end) / before)
}

/// Longest time in milliseconds from the start of a drain to the last work started after it.
fn last_new_work(upstreams: &[UpstreamProcess]) -> Option<u64> {
    let now = Instant::now();
    let delays = upstreams.iter().filter_map(|upstream| {
        let drain_began = upstream.drain_began?;
        let last_start = upstream.upstream.counts().since_last_start;
        let last_start = last_start.and_then(|since| now.checked_sub(since));
        let delay = last_start.map(|start| start.saturating_duration_since(drain_began));
        Some(delay.unwrap_or_default().as_millis() as u64)
    });
    delays.max()
}
