//! Series over time and distributions for plots and the report.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthorntide_types::{ServiceName, WorkKind};
use hdrhistogram::Histogram;

use crate::deployment::Deployment;
use crate::measure::{Collected, max_over_mean};
use crate::observer::WorkOutcome;

/// Longest wait that a histogram holds: one hour.
const MAX_WAIT_US: u64 = 3_600_000_000;
/// Decimal digits of a histogram.
const WAIT_DIGITS: u8 = 3;
/// Length of one window of a series.
const WINDOW: Duration = Duration::from_secs(1);

/// Work of one kind of one service, with or without the flood.
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

/// Values over time, as seconds since the beginning of the measured part and value.
pub(crate) type Points = Vec<(f64, f64)>;

fn class_of(deployment: &Deployment, outcome: &WorkOutcome) -> WorkClass {
    WorkClass {
        service: deployment.services[outcome.service].name.clone(),
        kind: outcome.kind,
        is_flood: outcome.is_flood,
    }
}

/// Returns good answers per second by class of work and second in which they were asked for.
pub(crate) fn goodput(
    deployment: &Deployment,
    collected: &Collected,
    outcomes: &[WorkOutcome],
) -> BTreeMap<WorkClass, Points> {
    let seconds = collected.length().as_secs() as usize;
    let mut counts: BTreeMap<WorkClass, Vec<u32>> = BTreeMap::new();
    for outcome in outcomes {
        let Some(since) = outcome.asked.checked_sub(collected.began) else {
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

/// Returns the largest over the mean in-flight work by service and second.
pub(crate) fn imbalance(
    deployment: &Deployment,
    collected: &Collected,
    upstream_services: &[ServiceName],
) -> BTreeMap<ServiceName, Points> {
    let mut series: BTreeMap<ServiceName, Points> = BTreeMap::new();
    let seconds = collected.length().as_secs();
    for service in &deployment.services {
        for second in 0..seconds {
            let from = collected.began + WINDOW * second as u32;
            let samples = collected.samples.iter();
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

/// Waits of one class of work in one part of a trial.
#[derive(Clone, Debug)]
pub(crate) struct Waits {
    /// Class of work and part of the trial, such as `sessions.reservation.calm`.
    pub(crate) name: String,
    pub(crate) histogram: Histogram<u64>,
}

impl Waits {
    /// Returns a percentile in milliseconds.
    pub(crate) fn percentile_ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1000.0
    }
}

/// Returns the part of the trial in which a request was made; the queues of a flood outlast it.
fn part_of(collected: &Collected, outcome: &WorkOutcome) -> &'static str {
    let Some(flood) = collected.floods.first() else {
        return "calm";
    };
    if outcome.asked < flood.began {
        "calm"
    } else if outcome.asked < flood.ended {
        "flooded"
    } else {
        "after"
    }
}

/// Returns the time that good answers took beyond the mean service time, by part of the trial.
pub(crate) fn waits(
    deployment: &Deployment,
    collected: &Collected,
    outcomes: &[WorkOutcome],
) -> Vec<Waits> {
    let mut waits: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.is_good()) {
        if outcome.asked < collected.began || outcome.asked >= collected.ended {
            continue;
        }
        let part = part_of(collected, outcome);
        let name = format!("{}.{part}", class_of(deployment, outcome));
        let groups = &deployment.services[outcome.service].upstreams;
        let service_time = groups.iter().map(|group| group.service_time_ms).min();
        let service_time = service_time.unwrap_or_default().into();
        let wait_us = outcome.took.saturating_sub(service_time).as_micros() as u64;
        let histogram = waits.entry(name).or_insert_with(|| {
            Histogram::new_with_max(MAX_WAIT_US, WAIT_DIGITS).expect("the bounds are valid")
        });
        histogram.saturating_record(wait_us);
    }
    let named = waits.into_iter();
    named
        .map(|(name, histogram)| Waits { name, histogram })
        .collect()
}
