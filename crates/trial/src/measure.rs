//! Measures taken from what callers saw and what the emulated upstreams recorded.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hawthorntide_types::{Ran, ResultCode, ServiceName, WorkKind};

use crate::cluster::Cluster;
use crate::event::EventName;
use crate::observer::{Observer, Seen, WorkOutcome};
use crate::operator::ChangeCounts;
use crate::process::UpstreamProcess;
use crate::report::TrialReport;
use crate::series;

/// Shortest window over which goodput is compared.
const MIN_GOODPUT_WINDOW: Duration = Duration::from_secs(2);

/// State of all upstreams at one moment.
#[derive(Clone, Debug)]
pub(crate) struct LoadSample {
    pub(crate) at: Duration,
    /// Work in slots and open streams of each upstream, in the order of the world.
    pub(crate) loads: Vec<UpstreamLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamLoad {
    pub(crate) in_flight: u32,
    pub(crate) open_streams: u32,
    pub(crate) is_serving: bool,
}

/// Flood of a trial.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flood {
    /// Position of the service in the deployment file.
    pub(crate) service: usize,
    pub(crate) kind: WorkKind,
    pub(crate) began: Duration,
    pub(crate) ended: Duration,
}

/// Everything that a trial collected.
#[derive(Debug)]
pub(crate) struct Collected {
    /// Beginning and end of the measured part.
    pub(crate) began: Duration,
    pub(crate) ended: Duration,
    pub(crate) samples: Vec<LoadSample>,
    pub(crate) floods: Vec<Flood>,
    pub(crate) events: Vec<(Duration, EventName)>,
    pub(crate) silent_flows: Option<u64>,
    pub(crate) store_calls: u64,
    pub(crate) changes: ChangeCounts,
}

impl Collected {
    /// Returns the length of the measured part.
    pub(crate) fn length(&self) -> Duration {
        self.ended.saturating_sub(self.began)
    }
}

/// Fills a report.
pub(crate) fn report(
    cluster: &Cluster,
    observer: &Observer,
    collected: &Collected,
    report: &mut TrialReport,
) {
    let seen = observer.seen();
    let runs = runs_by_work(&cluster.upstreams);
    count_flows(cluster, observer, &seen, report);
    count_work(&seen, &runs, report);
    report.silent_flows = collected.silent_flows;
    let found = seen.silences_found.iter().max();
    report.silence_found_ms_max = found.map(|found| found.as_millis() as u64);
    let misdelivered = cluster
        .upstreams
        .iter()
        .map(|u| u.upstream.counts().misdelivered);
    let foreign = seen.outcomes.iter().filter(|outcome| outcome.is_foreign);
    report.misdelivered_packets = Some(
        misdelivered.sum::<u64>()
            + foreign.count() as u64
            + seen.foreign_messages
            + cluster.fabric.counts().misdelivered,
    );
    let services = cluster.deployment.services.iter();
    for (index, service) in services.enumerate() {
        let name = &service.name;
        let slots = imbalance(cluster, collected, name, |load| load.in_flight);
        let streams = imbalance(cluster, collected, name, |load| load.open_streams);
        report.imbalance.insert(name.clone(), slots);
        report.stream_imbalance.insert(name.clone(), streams);
        let kept = goodput_kept(&seen.outcomes, collected, index);
        report.goodput_kept_percent.insert(name.clone(), kept);
    }
    for waits in series::waits(&cluster.deployment, collected, &seen.outcomes) {
        let at = |percentile| (waits.name.clone(), waits.percentile_ms(percentile));
        report.wait_ms_p50.extend([at(50.0)]);
        report.wait_ms_p99.extend([at(99.0)]);
        report.wait_ms_p999.extend([at(99.9)]);
    }
    let flood = collected.floods.first();
    report.flooding_service =
        flood.map(|flood| cluster.deployment.services[flood.service].name.clone());
    count_changes(&collected.changes, report);
    report.last_new_work_after_drain_ms = last_new_work(&cluster.upstreams);
    let balancers = cluster.balancers.iter();
    report.control_bytes_per_second_max = balancers
        .filter_map(|process| process.control_traffic.bytes_per_second())
        .max();
    let seconds = collected.length().as_secs_f64();
    report.store_calls_per_second = Some(collected.store_calls as f64 / seconds);
    let broken = report.broken_promises().into_iter();
    report.broken_promises = broken.map(|promise| promise.to_string()).collect();
}

/// Measures exist only when a change was asked for.
fn count_changes(changes: &ChangeCounts, report: &mut TrialReport) {
    if changes.asked == 0 {
        return;
    }
    report.config_accepted = Some(changes.accepted);
    report.config_not_accepted = Some(changes.not_accepted);
    report.config_open = Some(changes.open);
    report.config_reverted = Some(changes.reverted);
    let longest = changes.in_force.iter().max();
    report.config_in_force_ms_max = longest.map(|longest| longest.as_millis() as u64);
}

fn count_flows(cluster: &Cluster, observer: &Observer, seen: &Seen, report: &mut TrialReport) {
    let killed = cluster
        .upstreams
        .iter()
        .filter(|upstream| upstream.was_killed);
    let killed: Vec<_> = killed.map(|upstream| upstream.endpoint).collect();
    let is_killed = |endpoint| killed.contains(&endpoint);
    let losses = seen.losses.iter();
    let lost_to_kills = losses
        .filter(|loss| loss.endpoint.is_some_and(is_killed))
        .count() as u64;
    report.flows_opened = Some(observer.flows_opened.load(Ordering::Relaxed));
    report.flows_resumed = Some(observer.flows_resumed.load(Ordering::Relaxed));
    report.flow_opens_failed = Some(observer.opens_failed.load(Ordering::Relaxed));
    report.flows_lost_to_kills = Some(lost_to_kills);
    report.broken_flows = Some(seen.losses.len() as u64 - lost_to_kills);
}

fn count_work(seen: &Seen, runs: &BTreeMap<u64, u32>, report: &mut TrialReport) {
    let outcomes = &seen.outcomes;
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
    let false_refusals = seen.false_refusals.iter().filter(was_run).count() as u64;
    let not_run_but_run = count(&|outcome| outcome.code.ran() == Ran::No && runs_of(outcome) > 0);
    report.not_run_but_run = not_run_but_run.map(|count| count + false_refusals);
    report.unknown = count(&|outcome| outcome.code.ran() == Ran::Unknown);
    let incomplete = outcomes
        .iter()
        .filter(|outcome| outcome.code == ResultCode::Ok && !outcome.is_own_answer);
    report.answers_incomplete = Some(incomplete.count() as u64 + seen.wrong_messages);
    let mut codes: BTreeMap<String, u64> = BTreeMap::new();
    for outcome in outcomes {
        *codes.entry(outcome.code.name().to_owned()).or_default() += 1;
    }
    report.outcomes = codes;
}

/// Returns the runs of each work over all upstreams and all sessions.
fn runs_by_work(upstreams: &[UpstreamProcess]) -> BTreeMap<u64, u32> {
    let mut runs = BTreeMap::new();
    for upstream in upstreams {
        for record in upstream.upstream.records() {
            *runs.entry(record.work_id).or_default() += record.runs;
        }
    }
    runs
}

/// Returns the largest over the mean load of the upstreams that served all the time.
fn imbalance(
    cluster: &Cluster,
    collected: &Collected,
    service: &ServiceName,
    load: impl Fn(&UpstreamLoad) -> u32,
) -> Option<f64> {
    let samples = &collected.samples;
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

/// Returns the largest over the mean value, or `None` without any load.
pub(crate) fn max_over_mean(values: &[f64]) -> Option<f64> {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let max = values.iter().copied().fold(0.0, f64::max);
    (mean > 0.0).then(|| max / mean)
}

/// Returns the goodput during the floods in relation to before them, without the flooding work.
fn goodput_kept(outcomes: &[WorkOutcome], collected: &Collected, service: usize) -> Option<f64> {
    let flood = collected.floods.first()?;
    let flood_end = flood.ended.min(collected.ended);
    let calm = flood.began.saturating_sub(collected.began);
    let flooded = flood_end.saturating_sub(flood.began);
    if calm < MIN_GOODPUT_WINDOW || flooded < MIN_GOODPUT_WINDOW {
        return None;
    }
    let is_other = |outcome: &&WorkOutcome| {
        outcome.service == service && !(service == flood.service && outcome.kind == flood.kind)
    };
    let rate = |from: Duration, until: Duration| {
        let answered = outcomes
            .iter()
            .filter(is_other)
            .filter(|outcome| outcome.is_good() && (from..until).contains(&outcome.asked));
        answered.count() as f64 / until.saturating_sub(from).as_secs_f64()
    };
    let before = rate(collected.began, flood.began);
    (before > 0.0).then(|| 100.0 * rate(flood.began, flood_end) / before)
}

/// Returns the longest time from the beginning of a drain to the last new work.
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
