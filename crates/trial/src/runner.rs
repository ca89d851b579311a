//! Runs a trial: startup, steady load, injected events, shutdown and report.

use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use hawthorntide_client::{CallError, CallerSocket};
use hawthorntide_emulator::{StoreCopy, StoreFaults};
use hawthorntide_timeline::{
    Component, Event, EventKind, HybridClock, ProcessName, TimedEvent, Timeline, merge,
};
use hawthorntide_types::{DurationMs, PerMille, Urgency, WorkKind};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::callers::Callers;
use crate::cluster::{Cluster, ClusterError};
use crate::deployment::Deployment;
use crate::event::{EventName, TrialEvent};
use crate::measure::{self, Flood, LoadSample, Measurements, UpstreamLoad};
use crate::observer::Observer;
use crate::operator::Operator;
use crate::report::TrialReport;

/// Wait after startup for the first heartbeats to arrive.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1500);
/// Time limit for opening all flows.
const OPENING_TIMEOUT: Duration = Duration::from_mins(1);
/// Time under load before the measured part.
const WARM_UP: Duration = Duration::from_secs(2);
/// Interval at which the load of the upstreams is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit at the end of a trial for requests in progress and pending changes.
const FINISH_TIMEOUT: Duration = Duration::from_secs(15);
/// The fabric stops sending packets to a balancer this long after its shutdown starts.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(500);
/// The fabric stops sending packets to a balancer this long after it was killed.
const DEAD_BALANCER_DETECTION_DELAY: Duration = Duration::from_millis(300);
const BALANCER_DRAIN_LIMIT: DurationMs = DurationMs(10_000);
const UPSTREAM_DRAIN_LIMIT: DurationMs = DurationMs(3_600_000);
const FLOOD_DURATION: Duration = Duration::from_secs(10);
/// Request rate of a flood as a multiple of its service's capacity.
const FLOOD_FACTOR: f64 = 10.0;
const PAUSE_DURATION: Duration = Duration::from_millis(2500);
/// Share of the caller addresses that a `silent-flows` event silences.
const SILENT_SHARE: PerMille = PerMille(100);
/// Interval at which silenced sockets are checked for a change of port.
const PORT_CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for a silenced socket to change its port.
const PORT_CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of each store call after a `platform-slow` event.
const SLOW_STORE_DELAY: DurationMs = DurationMs(1000);
/// Number of writes whose responses a `lost-answers` event loses.
const LOST_ANSWER_COUNT: u32 = 3;
/// Capacity of the timeline for injected events.
const TIMELINE_EVENTS: usize = 1024;

#[derive(Clone, Debug)]
pub struct TrialOptions {
    pub deployment: Deployment,
    /// Length of the measured part of the trial.
    pub seconds: u64,
    /// Seed for all random choices.
    pub seed: u64,
    /// Events to inject, in any order.
    pub events: Vec<TrialEvent>,
}

#[derive(Debug, Display)]
pub enum TrialError {
    /// cannot start the deployment: {0}
    Cluster(ClusterError),
    /// cannot start the callers: {0}
    Callers(CallError),
    /// only {open} of {wanted} flows were open after {seconds} s
    FlowsNotOpened {
        open: u64,
        wanted: u64,
        seconds: u64,
    },
}

impl std::error::Error for TrialError {}

impl From<ClusterError> for TrialError {
    fn from(error: ClusterError) -> Self {
        Self::Cluster(error)
    }
}

#[derive(Debug)]
pub struct TrialOutcome {
    pub report: TrialReport,
    /// Events of callers, balancers and the trial, in causal order.
    pub timeline: Vec<TimedEvent>,
    pub(crate) measurements: Measurements,
    pub(crate) observer: Arc<Observer>,
    pub(crate) deployment: Deployment,
    /// Service of each upstream, in the order of `LoadSample::loads`.
    pub(crate) upstream_services: Vec<hawthorntide_types::ServiceName>,
}

/// Runs a trial to its end.
pub async fn run(options: TrialOptions) -> Result<TrialOutcome, TrialError> {
    let clock = Arc::new(HybridClock::default());
    let observer = Arc::new(Observer::new(Arc::clone(&clock)));
    let cluster = Cluster::spawn(&options.deployment, options.seed).await?;
    tokio::time::sleep(HEARTBEAT_WAIT).await;
    let mut callers = Vec::new();
    for index in 0..options.deployment.services.len() {
        let bound = Callers::bind(&cluster, index, Arc::clone(&observer), options.seed);
        callers.push(bound.map_err(TrialError::Callers)?);
    }
    let store = cluster.open_store()?;
    let store_copy = cluster.store.handle().copy();
    let trial = Trial {
        cluster,
        callers,
        observer,
        timeline: Timeline::new(ProcessName("trial".to_owned()), clock, TIMELINE_EVENTS),
        samples: Vec::new(),
        floods: Vec::new(),
        injected: Vec::new(),
        store_copy,
        silent_flows: None,
        next_choice: options.seed as usize,
        operator: Operator::new(store),
        profile_changes: 0,
    };
    trial.update_operator_balancers();
    trial.open_flows().await?;
    trial.start_load().await;
    trial.run(options).await
}

struct Trial {
    cluster: Cluster,
    callers: Vec<Arc<Callers>>,
    observer: Arc<Observer>,
    timeline: Timeline,
    samples: Vec<LoadSample>,
    floods: Vec<Flood>,
    injected: Vec<(Duration, EventName)>,
    /// Copy of the store: of the last event that took one, or of the start.
    store_copy: StoreCopy,
    silent_flows: Option<u64>,
    next_choice: usize,
    operator: Operator,
    profile_changes: usize,
}

impl Trial {
    async fn open_flows(&self) -> Result<(), TrialError> {
        let deployment = &self.cluster.deployment;
        let mut wanted = 0;
        for callers in &self.callers {
            let count = deployment.connections(callers.entry());
            callers.spawn_flows(count);
            wanted += count;
        }
        let end = Instant::now() + OPENING_TIMEOUT;
        loop {
            let open: usize = self
                .callers
                .iter()
                .map(|callers| callers.open_flows())
                .sum();
            if open as u64 == wanted {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(TrialError::FlowsNotOpened {
                    open: open as u64,
                    wanted,
                    seconds: OPENING_TIMEOUT.as_secs(),
                });
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    async fn start_load(&self) {
        for callers in &self.callers {
            callers.spawn_requests();
        }
        tokio::time::sleep(WARM_UP).await;
    }

    async fn run(mut self, options: TrialOptions) -> Result<TrialOutcome, TrialError> {
        let mut events = options.events;
        events.sort_by_key(|event| event.at);
        let mut events = events.into_iter().peekable();
        let began = self.observer.now();
        let started = Instant::now();
        let length = Duration::from_secs(options.seconds);
        let calls_before = self.cluster.store.handle().counts().total();
        let stop_watch = CancellationToken::new();
        tokio::spawn(self.operator.clone().watch(stop_watch.clone()));
        let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
        let mut progress = Progress::default();
        while started.elapsed() < length {
            ticks.tick().await;
            while let Some(event) = events.next_if(|event| event.at <= started.elapsed()) {
                self.inject(event.name).await?;
            }
            self.sample();
            progress.show(&self, started.elapsed());
        }
        progress.end();
        let ended = self.observer.now();
        let store_calls = self.cluster.store.handle().counts().total() - calls_before;
        self.finish().await;
        stop_watch.cancel();
        let measurements = Measurements {
            began,
            ended,
            samples: self.samples,
            floods: self.floods,
            events: self.injected,
            silent_flows: self.silent_flows,
            store_calls,
            changes: self.operator.counts(),
        };
        let mut report = TrialReport {
            deployment: options.deployment.name.clone(),
            seed: options.seed,
            seconds: options.seconds,
            ..TrialReport::default()
        };
        measure::report(&self.cluster, &self.observer, &measurements, &mut report);
        let upstreams = self.cluster.upstreams.iter();
        let balancers = self.cluster.balancers.iter();
        let local = [self.observer.timeline.events(), self.timeline.events()];
        let timelines = local
            .into_iter()
            .chain(balancers.map(|process| process.timeline.events()));
        Ok(TrialOutcome {
            report,
            timeline: merge(timelines),
            measurements,
            upstream_services: upstreams.map(|u| u.service.clone()).collect(),
            observer: self.observer,
            deployment: options.deployment,
        })
    }

    /// Stops the requests, waits for those in progress and stops recording lost flows.
    async fn finish(&self) {
        for callers in &self.callers {
            callers.stop_requests();
        }
        let end = Instant::now() + FINISH_TIMEOUT;
        let is_busy =
            || self.observer.in_progress.load(Ordering::Relaxed) > 0 || !self.operator.is_settled();
        while is_busy() && Instant::now() < end {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        let upstreams = self.cluster.upstreams.iter();
        let killed = upstreams.filter(|upstream| upstream.was_killed);
        let killed: Vec<_> = killed.map(|upstream| upstream.endpoint).collect();
        for callers in &self.callers {
            callers.count_unnoticed_losses(&killed);
        }
        self.observer.begin_stop();
    }

    fn sample(&mut self) {
        let at = self.observer.now();
        for process in &mut self.cluster.balancers {
            process.sample_control_bytes(at);
        }
        let loads = self.cluster.upstreams.iter().map(|process| {
            let counts = process.upstream.counts();
            UpstreamLoad {
                in_flight: counts.in_flight,
                open_streams: counts.open_streams,
                is_serving: process.is_serving(),
            }
        });
        let sample = LoadSample {
            at,
            loads: loads.collect(),
        };
        self.samples.push(sample);
    }

    async fn inject(&mut self, name: EventName) -> Result<(), TrialError> {
        log::info!("trial: Injecting event {name}.");
        self.injected.push((self.observer.now(), name));
        let kind = match name {
            EventName::ProfileChange => EventKind::OperatorChange,
            EventName::BalancerStop | EventName::UpstreamDrain => EventKind::DrainBegan,
            _ => EventKind::FaultInjected,
        };
        self.timeline.record(Event::new(Component::Trial, kind));
        match name {
            EventName::BalancerStop => self.stop_balancer(),
            EventName::BalancerKill => self.kill_balancer(),
            EventName::BalancerJoin => self.join_balancer().await?,
            EventName::UpstreamDrain => self.drain_upstream(),
            EventName::UpstreamKill => self.kill_upstream(),
            EventName::UpstreamJoin => self.join_upstream().await?,
            EventName::PlatformDown => self.set_faults(|faults| faults.is_down = true),
            EventName::PlatformUp => self.set_faults(|faults| *faults = StoreFaults::default()),
            EventName::PlatformSlow => self.set_faults(|faults| faults.delay_ms = SLOW_STORE_DELAY),
            EventName::PlatformCopy => self.store_copy = self.cluster.store.handle().copy(),
            EventName::PlatformRestore => self.cluster.store.handle().restore(&self.store_copy),
            EventName::LostAnswers => self
                .cluster
                .store
                .handle()
                .lose_next_answers(LOST_ANSWER_COUNT),
            EventName::ProfileChange => self.change_profile(),
            EventName::FloodLeast => self.flood(Urgency::Low),
            EventName::FloodMost => self.flood(Urgency::High),
            EventName::SilentFlows => self.silence_flows(),
            EventName::PauseBalancer => self.pause_balancer(),
        }
        self.update_operator_balancers();
        Ok(())
    }

    fn update_operator_balancers(&self) {
        let balancers = self.cluster.balancers.iter();
        let serving = balancers.filter_map(|process| {
            let control = process.balancer.as_ref()?.control();
            Some((process.control_address, control))
        });
        self.operator.set_balancers(serving.collect());
    }

    fn change_profile(&mut self) {
        let profiles = &self.cluster.deployment.profiles;
        let profile = profiles[self.profile_changes % profiles.len()].clone();
        self.profile_changes += 1;
        tokio::spawn(self.operator.clone().change(profile));
    }

    fn choose_balancer(&mut self) -> Option<usize> {
        let balancers = self.cluster.balancers.iter().enumerate();
        let serving: Vec<_> = balancers
            .filter_map(|(index, balancer)| balancer.is_serving().then_some(index))
            .collect();
        if serving.len() < 2 {
            log::warn!("trial: Event skipped: fewer than two balancers are serving.");
            return None;
        }
        Some(self.choose(&serving))
    }

    /// Chooses an upstream of the service that has the most serving upstreams.
    fn choose_upstream(&mut self) -> Option<usize> {
        let services = self.cluster.deployment.services.iter();
        let serving = services.map(|service| {
            let upstreams = self.cluster.upstreams.iter().enumerate();
            let candidates = upstreams.filter(|(_, u)| u.service == service.name && u.is_serving());
            candidates.map(|(index, _)| index).collect::<Vec<_>>()
        });
        let largest = serving.max_by_key(Vec::len)?;
        if largest.len() < 2 {
            log::warn!("trial: Event skipped: no service has two serving upstreams.");
            return None;
        }
        Some(self.choose(&largest))
    }

    fn choose(&mut self, candidates: &[usize]) -> usize {
        self.next_choice += 1;
        candidates[self.next_choice % candidates.len()]
    }

    fn stop_balancer(&mut self) {
        let Some(index) = self.choose_balancer() else {
            return;
        };
        let balancer = &mut self.cluster.balancers[index];
        if balancer.begin_stop(BALANCER_DRAIN_LIMIT).is_none() {
            log::warn!("trial: The balancer has already ended.");
        }
        self.detach_later(index, DEREGISTRATION_DELAY);
    }

    fn kill_balancer(&mut self) {
        let Some(index) = self.choose_balancer() else {
            return;
        };
        self.cluster.balancers[index].kill();
        self.detach_later(index, DEAD_BALANCER_DETECTION_DELAY);
    }

    fn detach_later(&self, index: usize, after: Duration) {
        let address = self.cluster.balancers[index].data_address;
        let fabric = self.cluster.fabric.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            fabric.detach_balancer(address);
        });
    }

    async fn join_balancer(&mut self) -> Result<(), TrialError> {
        let domains = self.cluster.deployment.failure_domains.clone();
        let number = self.cluster.balancers.len() % domains.len();
        self.cluster
            .join_balancer(domains[number].name.clone())
            .await?;
        Ok(())
    }

    fn pause_balancer(&mut self) {
        if let Some(index) = self.choose_balancer() {
            self.cluster.balancers[index].pause(PAUSE_DURATION);
        }
    }

    fn drain_upstream(&mut self) {
        let Some(index) = self.choose_upstream() else {
            return;
        };
        if self.cluster.upstreams[index]
            .begin_drain(UPSTREAM_DRAIN_LIMIT)
            .is_none()
        {
            log::warn!("trial: The upstream has already ended.");
        }
    }

    fn kill_upstream(&mut self) {
        if let Some(index) = self.choose_upstream() {
            self.cluster.upstreams[index].kill();
        }
    }

    async fn join_upstream(&mut self) -> Result<(), TrialError> {
        let services = self.cluster.deployment.services.clone();
        let number = self.cluster.upstreams.len() % services.len();
        let service = &services[number];
        self.cluster
            .join_upstream(service, &service.upstreams[0])
            .await?;
        Ok(())
    }

    fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        let store = self.cluster.store.handle();
        let mut faults = store.faults();
        change(&mut faults);
        store.set_faults(faults);
    }

    /// Floods the system with its least urgent work if `urgency` is `Low`, and with its most urgent
    /// work otherwise.
    fn flood(&mut self, urgency: Urgency) {
        let Some((service, kind)) = self.flooding_work(urgency) else {
            log::warn!(
                "trial: Event skipped: callers request no work that could flood the system."
            );
            return;
        };
        let callers = &self.callers[service];
        let rate = callers.entry().capacity_per_second() * FLOOD_FACTOR;
        let end = CancellationToken::new();
        callers.spawn_flood(kind, rate, end.clone());
        tokio::spawn(async move {
            tokio::time::sleep(FLOOD_DURATION).await;
            end.cancel();
        });
        let began = self.observer.now();
        self.floods.push(Flood {
            service,
            kind,
            began,
            ended: began + FLOOD_DURATION,
        });
    }

    fn flooding_work(&self, urgency: Urgency) -> Option<(usize, WorkKind)> {
        let deployment = &self.cluster.deployment;
        let services = deployment.services.iter().enumerate();
        let works = services.flat_map(|(index, service)| {
            let profile = deployment.profile(&service.profile);
            let kinds = service.callers.iter().map(|mix| mix.kind);
            kinds
                .filter(|kind| *kind != WorkKind::Stream)
                .filter_map(move |kind| {
                    let work = profile?.work(kind)?;
                    Some((work.calm.urgency, index, kind))
                })
        });
        let chosen = if urgency == Urgency::Low {
            works.min()
        } else {
            works.max_by_key(|(urgency, index, _)| (*urgency, std::cmp::Reverse(*index)))
        };
        chosen.map(|(_, index, kind)| (index, kind))
    }

    fn silence_flows(&mut self) {
        let silenced = self.cluster.fabric.silence_share(SILENT_SHARE);
        let mut count = 0;
        for callers in &self.callers {
            for socket in callers.sockets() {
                let address = socket.local_address();
                if address.is_ok_and(|address| silenced.contains(&address)) {
                    count += 1;
                    tokio::spawn(measure_port_change(
                        socket.clone(),
                        Arc::clone(&self.observer),
                    ));
                }
            }
        }
        self.silent_flows = Some(self.silent_flows.unwrap_or(0) + count);
    }
}

/// Measures the time until a silenced socket changes its local port.
async fn measure_port_change(socket: CallerSocket, observer: Arc<Observer>) {
    let Ok(before) = socket.local_address() else {
        return;
    };
    let began = Instant::now();
    while began.elapsed() < PORT_CHANGE_TIMEOUT {
        tokio::time::sleep(PORT_CHANGE_POLL_INTERVAL).await;
        if socket.local_address().is_ok_and(|now| now != before) {
            break;
        }
    }
    observer
        .observations()
        .port_change_delays
        .push(began.elapsed());
}

/// Progress line on a terminal, rewritten each second.
#[derive(Debug, Default)]
struct Progress {
    shown_seconds: u64,
}

impl Progress {
    fn show(&mut self, trial: &Trial, elapsed: Duration) {
        let seconds = elapsed.as_secs();
        let mut stderr = std::io::stderr();
        if seconds == self.shown_seconds || !stderr.is_terminal() {
            return;
        }
        self.shown_seconds = seconds;
        let flows: usize = trial
            .callers
            .iter()
            .map(|callers| callers.open_flows())
            .sum();
        let (requests, losses) = {
            let observations = trial.observer.observations();
            (observations.outcomes.len(), observations.losses.len())
        };
        let in_progress = trial.observer.in_progress.load(Ordering::Relaxed);
        let line = format!(
            "\r{seconds:4} s  {flows} flows, {losses} lost, {requests} requests, {in_progress} in progress  "
        );
        // Write errors are ignored, so that a closed terminal does not end the trial.
        let _ = stderr.write_all(line.as_bytes());
    }

    fn end(&self) {
        if self.shown_seconds > 0 {
            eprintln!();
        }
    }
}
