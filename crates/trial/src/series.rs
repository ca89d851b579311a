//! Time series and distributions for the plots and the report.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorntide_types::{ServiceName, WorkKind};
use hdrhistogram::Histogram;

use crate::deployment::Deployment;
use crate::measure::{Measurements, max_over_mean};
use crate::observer::WorkOutcome;

/// Upper bound of a wait histogram: one hour.
const MAX_WAIT_US: u64 = 3_600_000_000;
const WAIT_SIGNIFICANT_DIGITS: u8 = 3;
/// Resolution of a time series.
const WINDOW: Duration = Duration::from_secs(1);

/// One kind of work of one service, either from the flood or from the regular load.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct WorkClass {
    pub(crate) service: ServiceName,
    pub(crate) kind: WorkKind,
    pub(crate) is_flood: bool,
}

impl std::fmt::Display for WorkClass {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let suffix = if self.is_flood { ".flood" } else { "" };
        write!(f, "{}.{}{suffix}", self.service, self.kind)
    }
}

/// Time in seconds since the start of the measured part, and value.
pub(crate) type Points = Vec<(f64, f64)>;

fn class_of(deployment: &Deployment, outcome: &WorkOutcome) -> WorkClass {
    WorkClass {
        service: deployment.services[outcome.service].name.clone(),
        kind: outcome.kind,
        is_flood: outcome.is_flood,
    }
}

/// Goodput by class of work: requests sent in each second that were answered correctly and in time.
pub(crate) fn goodput(
    deployment: &Deployment,
    measurements: &Measurements,
    outcomes: &[WorkOutcome],
) -> BTreeMap<WorkClass, Points> {
    let seconds = measurements.length().as_secs() as usize;
    let mut counts: BTreeMap<WorkClass, Vec<u32>> = BTreeMap::new();
    for outcome in outcomes {
        let Some(since) = outcome.sent_at.checked_sub(measurements.began) else {
            continue;
        };
        let class = class_of(deployment, outcome);
        let counts = counts.entry(class).or_insert_with(|| vec![0; seconds]);
        if let Some(count) = counts.get_mut(since.as_secs() as usize)
            && outcome.is_good()
        {
            *count += 1;
        }
    }
    let points = |counts: Vec<u32>| {
        let values = counts.into_iter().enumerate();
        values.map(|(second, count)| (second as f64, f64::from(count)))
    };
    counts
        .into_iter()
        .map(|(class, counts)| (class, points(counts).collect()))
        .collect()
}

/// Ratio of the highest to the mean in-flight work of a service's upstreams, for each second.
pub(crate) fn imbalance(
    deployment: &Deployment,
    measurements: &Measurements,
    upstream_services: &[ServiceName],
) -> BTreeMap<ServiceName, Points> {
    let mut series: BTreeMap<ServiceName, Points> = BTreeMap::new();
    let seconds = measurements.length().as_secs();
    for service in &deployment.services {
        for second in 0..seconds {
            let from = measurements.began + WINDOW * second as u32;
            let samples = measurements.samples.iter();
            let window = samples.filter(|sample| (from..from + WINDOW).contains(&sample.at));
            let mut sums = vec![None; upstream_services.len()];
            for sample in window {
                for (index, load) in sample.loads.iter().enumerate() {
                    if upstream_services[index] == service.name && load.is_serving {
                        *sums[index].get_or_insert(0.0) += f64::from(load.in_flight);
                    }
                }
            }
            let sums: Vec<_> = sums.into_iter().flatten().collect();
            if let Some(imbalance) = max_over_mean(&sums) {
                let points = series.entry(service.name.clone()).or_default();
                points.push((second as f64, imbalance));
            }
        }
    }
    series
}

/// Distribution of the waits of one class of work in one part of a trial.
#[derive(Clone, Debug)]
pub(crate) struct Waits {
    /// Class of work and part of the trial, such as `sessions.reservation.calm`.
    pub(crate) name: String,
    pub(crate) histogram: Histogram<u64>,
}

impl Waits {
    pub(crate) fn percentile_ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1000.0
    }
}

/// Part of the trial in which a request was sent. The time after a flood is a separate part, because
/// the queues stay filled for a while after the flood has ended.
fn trial_part(measurements: &Measurements, outcome: &WorkOutcome) -> &'static str {
    let Some(flood) = measurements.floods.first() else {
        return "calm";
    };
    if outcome.sent_at < flood.began {
        "calm"
    } else if outcome.sent_at < flood.ended {
        "flooded"
    } else {
        "after"
    }
}

/// Waits of requests answered correctly and in time: response time less the service's lowest mean
/// service time, by class of work and part of the trial.
pub(crate) fn waits(
    deployment: &Deployment,
    measurements: &Measurements,
    outcomes: &[WorkOutcome],
) -> Vec<Waits> {
    let mut waits: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.is_good()) {
        if outcome.sent_at < measurements.began || outcome.sent_at >= measurements.ended {
            continue;
        }
        let part = trial_part(measurements, outcome);
        let name = format!("{}.{part}", class_of(deployment, outcome));
        let groups = &deployment.services[outcome.service].upstreams;
        let service_time = groups.iter().map(|group| group.service_time_ms).min();
        let service_time = service_time.unwrap_or_default().into();
        let wait_us = outcome.latency.saturating_sub(service_time).as_micros() as u64;
        let histogram = waits.entry(name).or_insert_with(|| {
            Histogram::new_with_max(MAX_WAIT_US, WAIT_SIGNIFICANT_DIGITS)
                .expect("the histogram bounds are valid")
        });
        histogram.saturating_record(wait_us);
    }
    let named = waits.into_iter();
    named
        .map(|(name, histogram)| Waits { name, histogram })
        .collect()
}
