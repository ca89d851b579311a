//! Course of a trial: start, steady load, events, end and report.

use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use hawthorntide_client::{CallError, CallerSocket};
use hawthorntide_emulator::StoreFaults;
use hawthorntide_timeline::{
    Component, Event, EventKind, HybridClock, ProcessName, TimedEvent, Timeline, merge,
};
use hawthorntide_types::{DurationMs, PerMille, Urgency, WorkKind};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::callers::Callers;
use crate::deployment::Deployment;
use crate::event::{EventName, TrialEvent};
use crate::measure::{self, Collected, Flood, LoadSample, UpstreamLoad};
use crate::observer::Observer;
use crate::operator::Operator;
use crate::report::TrialReport;
use crate::world::{World, WorldError};

/// Time for the first heartbeats to arrive.
const SETTLE: Duration = Duration::from_millis(1500);
/// Longest time for all flows to open.
const OPENING_LIMIT: Duration = Duration::from_mins(1);
/// Load before the measured part.
const WARM_UP: Duration = Duration::from_secs(2);
/// Interval of samples of the upstreams' load.
const SAMPLE: Duration = Duration::from_millis(50);
/// Longest wait for requests in progress at the end.
const FINISH_LIMIT: Duration = Duration::from_secs(15);
/// Time between a stop of a balancer and the end of its packets from the fabric.
const DEREGISTRATION: Duration = Duration::from_millis(500);
/// Time after which the fabric notices that a balancer is dead.
const DEAD_BALANCER_NOTICED: Duration = Duration::from_millis(300);
/// Longest graceful shutdown of a balancer.
const BALANCER_DRAIN_LIMIT: DurationMs = DurationMs(10_000);
const UPSTREAM_DRAIN_LIMIT: DurationMs = DurationMs(3_600_000);
/// Length of a flood.
const FLOOD: Duration = Duration::from_secs(10);
/// Rate of a flood in relation to the capacity of its service.
const FLOOD_FACTOR: f64 = 10.0;
/// Pause of a balancer.
const PAUSE: Duration = Duration::from_millis(2500);
/// Part of the caller addresses that fall silent.
const SILENT_SHARE: PerMille = PerMille(100);
/// Interval at which silenced sockets are looked at.
const SILENCE_POLL: Duration = Duration::from_millis(10);
/// Longest time for which a silenced socket is looked at.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Delay of a slow store.
const SLOW_STORE: DurationMs = DurationMs(1000);
/// Writes whose answers are lost.
const LOST_ANSWERS: u32 = 3;
/// Operator events that the time line keeps.
const TIMELINE_EVENTS: usize = 1024;

/// What to run.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// Deployment to run.
    pub deployment: Deployment,
    /// Length of the measured part.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Events in any order.
    pub events: Vec<TrialEvent>,
}

/// Failure to run a trial.
#[derive(Debug, Display)]
pub enum TrialError {
    /// cannot start the deployment: {0}
    World(WorldError),
    /// cannot start the callers: {0}
    Callers(CallError),
    /// only {open} of {wanted} flows were open after {seconds} s
    Opening {
        /// Flows that were open.
        open: u64,
        /// Flows that were wanted.
        wanted: u64,
        /// Time that was waited.
        seconds: u64,
    },
}

impl std::error::Error for TrialError {}

impl From<WorldError> for TrialError {
    fn from(error: WorldError) -> Self {
        Self::World(error)
    }
}

/// Outcome of a trial.
#[derive(Debug)]
pub struct TrialOutcome {
    /// Measures.
    pub report: TrialReport,
    /// Events of callers and operators in causal order.
    pub timeline: Vec<TimedEvent>,
    pub(crate) collected: Collected,
    pub(crate) observer: Arc<Observer>,
    pub(crate) deployment: Deployment,
    /// Service of each upstream in the order of the samples.
    pub(crate) upstream_services: Vec<hawthorntide_types::ServiceName>,
}

/// Runs a trial.
pub async fn run(options: TrialOptions) -> Result<TrialOutcome, TrialError> {
    let clock = Arc::new(HybridClock::default());
    let observer = Arc::new(Observer::new(Arc::clone(&clock)));
    let world = World::spawn(&options.deployment, options.seed).await?;
    tokio::time::sleep(SETTLE).await;
    let mut callers = Vec::new();
    for index in 0..options.deployment.services.len() {
        let bound = Callers::bind(&world, index, Arc::clone(&observer), options.seed);
        callers.push(bound.map_err(TrialError::Callers)?);
    }
    let store = world.open_store()?;
    let trial = Trial {
        world,
        callers,
        observer,
        timeline: Timeline::new(ProcessName("trial".to_owned()), clock, TIMELINE_EVENTS),
        samples: Vec::new(),
        floods: Vec::new(),
        happened: Vec::new(),
        silent_flows: None,
        next_victim: options.seed as usize,
        operator: Operator::new(store),
        changes: 0,
    };
    trial.watch_balancers();
    trial.open_flows().await?;
    trial.start_load().await;
    trial.run(options).await
}

struct Trial {
    world: World,
    callers: Vec<Arc<Callers>>,
    observer: Arc<Observer>,
    timeline: Timeline,
    samples: Vec<LoadSample>,
    floods: Vec<Flood>,
    happened: Vec<(Duration, EventName)>,
    silent_flows: Option<u64>,
    next_victim: usize,
    operator: Operator,
    changes: usize,
}

impl Trial {
    async fn open_flows(&self) -> Result<(), TrialError> {
        let deployment = &self.world.deployment;
        let mut wanted = 0;
        for callers in &self.callers {
            let count = deployment.connections(callers.entry());
            callers.spawn_flows(count);
            wanted += count;
        }
        let end = Instant::now() + OPENING_LIMIT;
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
                return Err(TrialError::Opening {
                    open: open as u64,
                    wanted,
                    seconds: OPENING_LIMIT.as_secs(),
                });
            }
            tokio::time::sleep(SAMPLE).await;
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
        let calls_before = self.world.store.handle().counts().total();
        let stop_watch = CancellationToken::new();
        tokio::spawn(self.operator.clone().watch(stop_watch.clone()));
        let mut ticks = tokio::time::interval(SAMPLE);
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
        let store_calls = self.world.store.handle().counts().total() - calls_before;
        self.finish().await;
        stop_watch.cancel();
        let collected = Collected {
            began,
            ended,
            samples: self.samples,
            floods: self.floods,
            events: self.happened,
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
        measure::report(&self.world, &self.observer, &collected, &mut report);
        let upstreams = self.world.upstreams.iter();
        let balancers = self.world.balancers.iter();
        let own = [self.observer.timeline.events(), self.timeline.events()];
        let timelines = own
            .into_iter()
            .chain(balancers.map(|it| it.timeline.events()));
        Ok(TrialOutcome {
            report,
            timeline: merge(timelines),
            collected,
            upstream_services: upstreams.map(|u| u.service.clone()).collect(),
            observer: self.observer,
            deployment: options.deployment,
        })
    }

    /// Ends the requests, waits for those in progress and stops counting losses.
    async fn finish(&self) {
        for callers in &self.callers {
            callers.stop_requests();
        }
        let end = Instant::now() + FINISH_LIMIT;
        let is_busy =
            || self.observer.in_progress.load(Ordering::Relaxed) > 0 || !self.operator.is_settled();
        while is_busy() && Instant::now() < end {
            tokio::time::sleep(SAMPLE).await;
        }
        let upstreams = self.world.upstreams.iter();
        let killed = upstreams.filter(|upstream| upstream.was_killed);
        let killed: Vec<_> = killed.map(|upstream| upstream.endpoint).collect();
        for callers in &self.callers {
            callers.count_unnoticed_losses(&killed);
        }
        self.observer.begin_stop();
    }

    fn sample(&mut self) {
        let at = self.observer.now();
        for process in &mut self.world.balancers {
            process.sample_control_bytes(at);
        }
        let loads = self.world.upstreams.iter().map(|process| {
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
        log::info!("trial: Event {name}.");
        self.happened.push((self.observer.now(), name));
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
            EventName::PlatformDown => self.set_store(|faults| faults.is_down = true),
            EventName::PlatformUp => self.set_store(|faults| *faults = StoreFaults::default()),
            EventName::PlatformSlow => self.set_store(|faults| faults.delay_ms = SLOW_STORE),
            EventName::LostAnswers => self.world.store.handle().lose_next_answers(LOST_ANSWERS),
            EventName::ProfileChange => self.change_profile(),
            EventName::FloodLeast => self.flood(Urgency::Low),
            EventName::FloodMost => self.flood(Urgency::High),
            EventName::SilentFlows => self.silence_flows(),
            EventName::PauseBalancer => self.pause_balancer(),
        }
        self.watch_balancers();
        Ok(())
    }

    /// Tells the operator which balancers serve.
    fn watch_balancers(&self) {
        let balancers = self.world.balancers.iter();
        let serving = balancers.filter_map(|process| {
            let control = process.balancer.as_ref()?.control();
            Some((process.control_address, control))
        });
        self.operator.set_balancers(serving.collect());
    }

    fn change_profile(&mut self) {
        let profiles = &self.world.deployment.profiles;
        let profile = profiles[self.changes % profiles.len()].clone();
        self.changes += 1;
        tokio::spawn(self.operator.clone().change(profile));
    }

    fn serving_balancer(&mut self) -> Option<usize> {
        let balancers = self.world.balancers.iter().enumerate();
        let serving: Vec<_> = balancers
            .filter_map(|(index, balancer)| balancer.is_serving().then_some(index))
            .collect();
        if serving.len() < 2 {
            log::warn!("trial: The last balancer is left alone.");
            return None;
        }
        Some(self.choose(&serving))
    }

    /// Picks one upstream of the service that has most of them left.
    fn serving_upstream(&mut self) -> Option<usize> {
        let services = self.world.deployment.services.iter();
        let serving = services.map(|service| {
            let upstreams = self.world.upstreams.iter().enumerate();
            let own = upstreams.filter(|(_, u)| u.service == service.name && u.is_serving());
            own.map(|(index, _)| index).collect::<Vec<_>>()
        });
        let largest = serving.max_by_key(Vec::len)?;
        if largest.len() < 2 {
            log::warn!("trial: The last upstream of a service is left alone.");
            return None;
        }
        Some(self.choose(&largest))
    }

    fn choose(&mut self, candidates: &[usize]) -> usize {
        self.next_victim += 1;
        candidates[self.next_victim % candidates.len()]
    }

    fn stop_balancer(&mut self) {
        let Some(index) = self.serving_balancer() else {
            return;
        };
        let balancer = &mut self.world.balancers[index];
        if balancer.begin_stop(BALANCER_DRAIN_LIMIT).is_none() {
            log::warn!("trial: The balancer has ended before.");
        }
        self.detach_later(index, DEREGISTRATION);
    }

    fn kill_balancer(&mut self) {
        let Some(index) = self.serving_balancer() else {
            return;
        };
        self.world.balancers[index].kill();
        self.detach_later(index, DEAD_BALANCER_NOTICED);
    }

    fn detach_later(&self, index: usize, after: Duration) {
        let address = self.world.balancers[index].data_address;
        let fabric = self.world.fabric.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            fabric.detach_balancer(address);
        });
    }

    async fn join_balancer(&mut self) -> Result<(), TrialError> {
        let domains = self.world.deployment.failure_domains.clone();
        let number = self.world.balancers.len() % domains.len();
        self.world
            .join_balancer(domains[number].name.clone())
            .await?;
        Ok(())
    }

    fn pause_balancer(&mut self) {
        if let Some(index) = self.serving_balancer() {
            self.world.balancers[index].pause(PAUSE);
        }
    }

    fn drain_upstream(&mut self) {
        let Some(index) = self.serving_upstream() else {
            return;
        };
        if self.world.upstreams[index]
            .begin_drain(UPSTREAM_DRAIN_LIMIT)
            .is_none()
        {
            log::warn!("trial: The upstream has ended before.");
        }
    }

    fn kill_upstream(&mut self) {
        if let Some(index) = self.serving_upstream() {
            self.world.upstreams[index].kill();
        }
    }

    async fn join_upstream(&mut self) -> Result<(), TrialError> {
        let services = self.world.deployment.services.clone();
        let number = self.world.upstreams.len() % services.len();
        let service = &services[number];
        self.world
            .join_upstream(service, &service.upstreams[0])
            .await?;
        Ok(())
    }

    fn set_store(&self, change: impl FnOnce(&mut StoreFaults)) {
        let store = self.world.store.handle();
        let mut faults = store.faults();
        change(&mut faults);
        store.set_faults(faults);
    }

    /// Floods the kind of work whose urgency is nearest to `urgency`.
    fn flood(&mut self, urgency: Urgency) {
        let Some((service, kind)) = self.flooding_work(urgency) else {
            log::warn!("trial: No work can flood the system.");
            return;
        };
        let callers = &self.callers[service];
        let rate = callers.entry().capacity_per_second() * FLOOD_FACTOR;
        let end = CancellationToken::new();
        callers.spawn_flood(kind, rate, end.clone());
        tokio::spawn(async move {
            tokio::time::sleep(FLOOD).await;
            end.cancel();
        });
        let began = self.observer.now();
        self.floods.push(Flood {
            service,
            kind,
            began,
            ended: began + FLOOD,
        });
    }

    fn flooding_work(&self, urgency: Urgency) -> Option<(usize, WorkKind)> {
        let deployment = &self.world.deployment;
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
        let silenced = self.world.fabric.silence_share(SILENT_SHARE);
        let mut count = 0;
        for callers in &self.callers {
            for socket in callers.sockets() {
                let address = socket.local_address();
                if address.is_ok_and(|address| silenced.contains(&address)) {
                    count += 1;
                    tokio::spawn(time_move(socket.clone(), Arc::clone(&self.observer)));
                }
            }
        }
        self.silent_flows = Some(self.silent_flows.unwrap_or(0) + count);
    }
}

/// Measures the time until a silenced socket sends from another port.
async fn time_move(socket: CallerSocket, observer: Arc<Observer>) {
    let Ok(before) = socket.local_address() else {
        return;
    };
    let began = Instant::now();
    while began.elapsed() < SILENCE_LIMIT {
        tokio::time::sleep(SILENCE_POLL).await;
        if socket.local_address().is_ok_and(|now| now != before) {
            break;
        }
    }
    observer.seen().silences_found.push(began.elapsed());
}

/// Progress on a terminal, one line that is written again each second.
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
            let seen = trial.observer.seen();
            (seen.outcomes.len(), seen.losses.len())
        };
        let in_progress = trial.observer.in_progress.load(Ordering::Relaxed);
        let line = format!(
            "\r{seconds:4} s  {flows} flows, {losses} lost, {requests} requests, {in_progress} in progress  "
        );
        // Progress is an extra; a closed terminal must not end the trial.
        let _ = stderr.write_all(line.as_bytes());
    }

    fn end(&self) {
        if self.shown_seconds > 0 {
            eprintln!();
        }
    }
}
