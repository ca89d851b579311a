//! Runs the soak: starts the deployment, injects the faults, and checks the recovery.

use std::collections::BinaryHeap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_standins::{CallError, Caller, ProxyMode, UpstreamBehavior};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers::{self, CallerKind, FLOOD};
use crate::cli::{Cli, FaultMix};
use crate::deployment::{AgentVm, Deployment, EXTRA_SERVICE, FAILURE_DOMAINS, extra_address};
use crate::evacuations::DomainState;
use crate::faults::{Fault, PlannedFault, plan_faults};
use crate::process::Signal;
use crate::record::RunRecord;
use crate::scheduling::SchedulingProbe;

/// All balancers must become ready within this time.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The deployment must recover within this time after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Requests are counted for this long to check the recovery.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);

/// A changed route must be in force at all balancers within this time.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(3);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_secs(1);

/// Flows by which a route is checked, for each balancer; the router spreads them.
const FLOWS_PER_BALANCER: usize = 2;

/// Callers of a flood for each caller that calls at all times.
const FLOOD_FACTOR: u8 = 2;

/// Number of the first caller of a flood.
const FIRST_FLOOD_CALLER: u8 = 121;

/// Number of the last caller of a flood.
const LAST_FLOOD_CALLER: u8 = 240;

/// Time from the drain of an upstream until it stops.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Delay before a killed process is restarted, as on the platform.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Begin or end of the fault with this index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Begin(usize),
    End(usize),
}

/// Step with its due time; ordered so that a `BinaryHeap` returns the earliest one first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ScheduledStep {
    at: Duration,
    step: Step,
}

impl Ord for ScheduledStep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

impl PartialOrd for ScheduledStep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Running soak.
pub(crate) struct Run {
    pub(crate) deployment: Deployment,
    pub(crate) record: Arc<RunRecord>,
    faults: Vec<PlannedFault>,
    /// Time of the last change of the extra route.
    route_changed_at: Instant,
    has_extra_route: bool,
    /// Time of the last copy of the store.
    copied_at: Instant,
    scheduling: SchedulingProbe,
    /// States of the failure domains, by number.
    pub(crate) domains: [DomainState; FAILURE_DOMAINS as usize],
}

/// Runs the soak and returns the number of violations.
pub(crate) async fn run(cli: &Cli) -> anyhow::Result<usize> {
    let directory = directory(cli)?;
    println!("soak: seed {}, logs in {}", cli.seed, directory.display());
    let record = Arc::new(RunRecord::new(matches!(
        cli.mix,
        FaultMix::Planned | FaultMix::Logs
    )));
    let deployment = Deployment::spawn(cli, &directory).await?;
    wait_until_ready(&deployment, cli).await?;
    let mut random = ChaCha8Rng::seed_from_u64(cli.seed);
    let duration = Duration::from_secs(cli.seconds);
    let faults = plan_faults(
        &mut random,
        cli.mix,
        duration,
        usize::from(cli.balancers),
        usize::from(cli.agents),
    );
    let mut tasks = JoinSet::new();
    let flood_callers = cli.callers.saturating_mul(FLOOD_FACTOR);
    let last = LAST_FLOOD_CALLER.min(FIRST_FLOOD_CALLER.saturating_add(flood_callers - 1));
    let steady = (1..=cli.callers).map(|it| (CallerKind::Steady, it));
    let flood = (FIRST_FLOOD_CALLER..=last).map(|it| (CallerKind::Flood, it));
    for (kind, number) in steady.chain(flood) {
        let seed = cli.seed ^ (u64::from(number) << 32);
        let address = deployment.caller_address(number);
        let router = Arc::clone(&deployment.router);
        tasks.spawn(callers::run(
            kind,
            number,
            address,
            router,
            Arc::clone(&record),
            seed,
        ));
    }
    let mut run = Run {
        deployment,
        record: Arc::clone(&record),
        faults,
        route_changed_at: Instant::now(),
        has_extra_route: false,
        copied_at: Instant::now(),
        scheduling: SchedulingProbe::default(),
        domains: Default::default(),
    };
    run.run_faults().await?;
    run.check_recovery().await?;
    run.scheduling.print_summary(&record);
    let (answered, failed) = record.request_totals();
    let violations = record.violation_count();
    record.print(&format!(
        "{answered} requests answered, {failed} not, {violations} promises broken"
    ));
    Ok(violations)
}

fn directory(cli: &Cli) -> anyhow::Result<PathBuf> {
    let name = format!("hawthorntide-soak-{}-{}", cli.seed, std::process::id());
    let default = std::env::temp_dir().join(name);
    let directory = cli.directory.clone().unwrap_or(default);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

async fn wait_until_ready(deployment: &Deployment, cli: &Cli) -> anyhow::Result<()> {
    let started_at = Instant::now();
    while deployment.router.ready_count() < usize::from(cli.balancers) {
        anyhow::ensure!(
            started_at.elapsed() < START_TIMEOUT,
            "not all balancers became ready"
        );
        sleep(POLL_INTERVAL).await;
    }
    // New agents accept flows one second after they are registered in the directory.
    sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Returns the name under which pauses of an agent are recorded.
pub(crate) fn pause_of(agent: &str) -> String {
    format!("pause of {agent}")
}

/// Returns the name under which misleading upstreams of an agent are recorded.
pub(crate) fn misleading_upstream_of(agent: &str) -> String {
    format!("misleading upstream of {agent}")
}

/// Returns the name under which disturbances between a balancer and the platform store are recorded.
pub(crate) fn store_path(balancer: &str) -> String {
    format!("store of {balancer}")
}

impl Run {
    /// Runs the fault schedule.
    async fn run_faults(&mut self) -> anyhow::Result<()> {
        let started_at = Instant::now();
        let mut schedule: BinaryHeap<ScheduledStep> = (0..self.faults.len())
            .map(|index| ScheduledStep {
                at: self.faults[index].at,
                step: Step::Begin(index),
            })
            .collect();
        while let Some(next) = schedule.peek().copied() {
            self.collect_reports();
            self.confirm_evacuations();
            self.check_return().await;
            self.sample_scheduling();
            if self.copied_at.elapsed() >= COPY_INTERVAL {
                self.copied_at = Instant::now();
                self.deployment.copy_store();
            }
            if started_at.elapsed() < next.at {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            schedule.pop();
            match next.step {
                Step::Begin(index) => {
                    let planned = self.faults[index];
                    self.record
                        .print(&format!("{:?} for {:?}", planned.fault, planned.duration));
                    let duration = self.begin_fault(planned).await?;
                    schedule.push(ScheduledStep {
                        at: started_at.elapsed() + duration,
                        step: Step::End(index),
                    });
                }
                Step::End(index) => self.end_fault(self.faults[index]).await?,
            }
        }
        Ok(())
    }

    fn sample_scheduling(&mut self) {
        let deployment = &self.deployment;
        let agents = deployment.agents.iter().map(|vm| &vm.process);
        let processes = deployment.balancers.iter().chain(agents);
        self.scheduling.sample(&self.record, processes);
    }

    /// Sleeps, and samples the waits of the processes meanwhile.
    async fn sleep(&mut self, duration: Duration) {
        let started_at = Instant::now();
        while started_at.elapsed() < duration {
            self.sample_scheduling();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Begins a fault and returns its duration.
    async fn begin_fault(&mut self, planned: PlannedFault) -> anyhow::Result<Duration> {
        let record = Arc::clone(&self.record);
        let mut duration = planned.duration;
        match planned.fault {
            Fault::KillBalancer(index) | Fault::PauseBalancer(index) => {
                let is_kill = matches!(planned.fault, Fault::KillBalancer(_));
                let balancer = &mut self.deployment.balancers[index];
                record.begin_disturbance(&balancer.name);
                record.begin_disturbance("router");
                balancer.signal(if is_kill { Signal::Kill } else { Signal::Stop })?;
                duration = if is_kill { RESTART_PAUSE } else { duration };
            }
            Fault::TerminateBalancer(index) => {
                let balancer = &mut self.deployment.balancers[index];
                record.begin_disturbance(&balancer.name);
                balancer.signal(Signal::Terminate)?;
                duration = Duration::from_secs(6);
            }
            Fault::KillAgent(index) | Fault::PauseAgent(index) => {
                let is_kill = matches!(planned.fault, Fault::KillAgent(_));
                let agent = &mut self.deployment.agents[index].process;
                record.begin_disturbance(&agent.name);
                if !is_kill {
                    record.begin_disturbance(&pause_of(&agent.name));
                }
                agent.signal(if is_kill { Signal::Kill } else { Signal::Stop })?;
                duration = if is_kill { RESTART_PAUSE } else { duration };
            }
            Fault::TerminateAgent(index) => {
                let agent = &mut self.deployment.agents[index].process;
                record.begin_disturbance(&agent.name);
                agent.signal(Signal::Terminate)?;
            }
            Fault::CrashUpstream(index) => self.stop_upstream(index),
            Fault::ReplaceUpstream(index) | Fault::RetireUpstream(index) => {
                if let Some(upstream) = &self.deployment.agents[index].upstream {
                    upstream.drain();
                }
                duration = DRAIN_TIME;
            }
            Fault::KillAll => {
                record.begin_disturbance("router");
                self.collect_reports();
                self.domains.iter_mut().for_each(DomainState::lose);
                let agents = self.deployment.agents.iter_mut().map(|vm| &mut vm.process);
                for process in self.deployment.balancers.iter_mut().chain(agents) {
                    record.begin_disturbance(&process.name);
                    process.signal(Signal::Kill)?;
                }
                duration = RESTART_PAUSE;
            }
            Fault::ReloadAll => {
                let agents = self.deployment.agents.iter_mut().map(|vm| &mut vm.process);
                for process in self.deployment.balancers.iter_mut().chain(agents) {
                    process.signal(Signal::Reload)?;
                }
            }
            Fault::Store(mode) => {
                record.begin_disturbance("store");
                self.deployment.set_store_proxy_mode(mode);
            }
            Fault::StoreExceptFor { served, mode } => self.set_store_mode_except(served, mode),
            // No disturbance of the balancers: the store serves them all.
            Fault::SilenceStoreConnections => {
                self.deployment.silence_balancer_store_connections();
            }
            Fault::RestoreStore {
                age_s,
                is_route_changed,
                writes,
            } => {
                self.restore_store(age_s, is_route_changed, writes);
            }
            Fault::ChangeRoute => {
                self.change_route();
                duration = CONFIGURATION_TIMEOUT;
            }
            Fault::Evacuate(domain) => self.set_evacuated(domain, true),
            Fault::EvacuateAll => self.set_all_evacuated(true),
            Fault::RenewEvacuation(domain) => self.renew_evacuation(domain),
            Fault::AddAgent => {
                self.deployment.add_agent().await?;
                if let Some(vm) = self.deployment.agents.last() {
                    record.end_disturbance(&vm.process.name);
                }
            }
            Fault::MisleadUpstream { agent, behavior } => self.mislead_upstream(agent, behavior),
            Fault::Flood => record.begin_disturbance(FLOOD),
            Fault::PauseBalancerLog(index) => self.deployment.balancers[index].set_log_paused(true),
            Fault::PauseAgentLog(index) => {
                self.deployment.agents[index].process.set_log_paused(true);
            }
        }
        Ok(duration)
    }

    async fn end_fault(&mut self, planned: PlannedFault) -> anyhow::Result<()> {
        let record = Arc::clone(&self.record);
        match planned.fault {
            Fault::KillBalancer(index)
            | Fault::TerminateBalancer(index)
            | Fault::PauseBalancer(index) => {
                let balancer = &mut self.deployment.balancers[index];
                balancer.signal(Signal::Continue)?;
                balancer.start()?;
                record.end_disturbance(&balancer.name);
                record.end_disturbance("router");
            }
            Fault::KillAgent(index) | Fault::PauseAgent(index) => {
                let agent = &mut self.deployment.agents[index].process;
                agent.signal(Signal::Continue)?;
                agent.start()?;
                record.end_disturbance(&agent.name);
                if matches!(planned.fault, Fault::PauseAgent(_)) {
                    record.end_disturbance(&pause_of(&agent.name));
                }
            }
            Fault::TerminateAgent(index) => {
                while self.deployment.agents[index].process.is_terminating() {
                    self.collect_reports();
                    sleep(POLL_INTERVAL).await;
                }
                let agent = &mut self.deployment.agents[index].process;
                agent.start()?;
                record.end_disturbance(&agent.name);
            }
            Fault::CrashUpstream(index) => self.start_upstream(index).await?,
            Fault::RetireUpstream(index) => {
                let vm = &self.deployment.agents[index];
                if let Some(upstream) = &vm.upstream {
                    // Its flows end with it from here on.
                    record.begin_disturbance(&vm.upstream_name(vm.incarnations()));
                    // The agent may be away; the upstream exits anyway.
                    let status = upstream.deregister().await;
                    record.print(&format!("deregistration answered with {status:?}"));
                }
                self.stop_upstream(index);
                self.start_upstream(index).await?;
            }
            Fault::ReplaceUpstream(index) => {
                self.stop_upstream(index);
                self.start_upstream(index).await?;
            }
            Fault::KillAll => {
                let agents = self.deployment.agents.iter_mut().map(|vm| &mut vm.process);
                for process in self.deployment.balancers.iter_mut().chain(agents) {
                    process.start()?;
                    record.end_disturbance(&process.name);
                }
                record.end_disturbance("router");
            }
            Fault::ReloadAll
            | Fault::SilenceStoreConnections
            | Fault::RenewEvacuation(_)
            | Fault::AddAgent => {}
            Fault::Store(_) | Fault::RestoreStore { .. } => {
                self.deployment.set_store_proxy_mode(ProxyMode::Pass);
                record.end_disturbance("store");
            }
            Fault::StoreExceptFor { served, .. } => {
                self.set_store_mode_except(served, ProxyMode::Pass);
            }
            Fault::ChangeRoute => {
                self.check_route().await;
                self.check_route_at_each_balancer().await;
            }
            Fault::Evacuate(domain) => self.set_evacuated(domain, false),
            Fault::EvacuateAll => self.set_all_evacuated(false),
            Fault::MisleadUpstream { agent, .. } => self.end_misleading(agent),
            Fault::Flood => record.end_disturbance(FLOOD),
            Fault::PauseBalancerLog(index) => {
                self.deployment.balancers[index].set_log_paused(false);
            }
            Fault::PauseAgentLog(index) => {
                self.deployment.agents[index].process.set_log_paused(false);
            }
        }
        Ok(())
    }

    /// The store is away and comes back from a copy; the operator writes again what was lost.
    fn restore_store(&mut self, age_s: usize, is_route_changed: bool, writes: u64) {
        self.record.begin_disturbance("store");
        self.deployment.set_store_proxy_mode(ProxyMode::Reset);
        self.deployment.restore_store(age_s);
        if is_route_changed {
            self.change_route();
        }
        for domain in 0..FAILURE_DOMAINS {
            let is_evacuated = self.domains[usize::from(domain)].is_evacuated();
            self.set_evacuated(domain, is_evacuated);
        }
        // The lost revisions are given out again.
        self.deployment.write_others(writes);
    }

    fn mislead_upstream(&self, index: usize, behavior: UpstreamBehavior) {
        let vm = &self.deployment.agents[index];
        let Some(upstream) = &vm.upstream else {
            return;
        };
        upstream.set_behavior(behavior);
        self.record
            .begin_disturbance(&misleading_upstream_of(&vm.process.name));
        // Callers of a slow upstream get their answers.
        if !matches!(behavior, UpstreamBehavior::Slow(_)) {
            self.record
                .begin_disturbance(&vm.upstream_name(vm.incarnations()));
        }
    }

    /// Ends the misleading behavior of an upstream, unless another incarnation runs already.
    fn end_misleading(&self, index: usize) {
        let vm = &self.deployment.agents[index];
        self.record
            .end_disturbance(&misleading_upstream_of(&vm.process.name));
        let Some(upstream) = &vm.upstream else {
            return;
        };
        let behavior = upstream.behavior();
        upstream.set_behavior(UpstreamBehavior::Healthy);
        if matches!(
            behavior,
            UpstreamBehavior::Silent | UpstreamBehavior::Resetting(_)
        ) {
            self.record
                .end_disturbance(&vm.upstream_name(vm.incarnations()));
        }
    }

    /// Stops an upstream. Its flows are lost, so all its incarnations count as disturbed from now on.
    fn stop_upstream(&mut self, index: usize) {
        self.collect_reports();
        let vm = &mut self.deployment.agents[index];
        for incarnation in 1..=vm.incarnations() {
            self.record
                .begin_disturbance(&vm.upstream_name(incarnation));
        }
        vm.upstream = None;
    }

    async fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let vm = &mut self.deployment.agents[index];
        if vm.upstream.is_none() {
            vm.start_upstream().await?;
        }
        Ok(())
    }

    /// Returns whether an agent takes new flows of the extra route, and nothing there was disturbed.
    fn has_agent_for_extra(&self) -> bool {
        let is_open = |vm: &AgentVm| self.domains[usize::from(vm.domain)].is_open();
        let mut agents = self.deployment.agents.iter();
        agents.any(|vm| is_open(vm) && vm.serves_undisturbed(EXTRA_SERVICE, &self.record))
    }

    /// Adds or removes the extra route.
    fn change_route(&mut self) {
        self.has_extra_route = !self.has_extra_route;
        self.deployment.configure(self.has_extra_route);
        self.route_changed_at = Instant::now();
    }

    /// Returns whether all balancers ran lately and the platform store served them.
    fn are_balancers_undisturbed(&self) -> bool {
        let is_undisturbed = |name: &str| self.record.is_undisturbed(name);
        let mut balancers = self.deployment.balancers.iter();
        is_undisturbed("store")
            && is_undisturbed("router")
            && balancers.all(|it| is_undisturbed(&store_path(&it.name)))
    }

    /// Checks that the last change of the extra route is in force, unless it is too recent or something
    /// was disturbed.
    async fn check_route(&mut self) {
        let is_recent = self.route_changed_at.elapsed() < CONFIGURATION_TIMEOUT;
        if is_recent || !self.are_balancers_undisturbed() {
            return;
        }
        let address = self.deployment.caller_address(250);
        let router = Arc::clone(&self.deployment.router);
        let Ok(mut caller) = Caller::bind(address, router).await else {
            self.record
                .record_violation(format!("cannot bind {address}"));
            return;
        };
        // Evacuations may leave no agent for the extra route.
        let has_agent = self.domains.iter().all(DomainState::is_open) || self.has_agent_for_extra();
        for _ in 0..FLOWS_PER_BALANCER * self.deployment.balancers.len() {
            let is_open = caller.open(extra_address()).await.is_ok();
            if is_open && !self.has_extra_route {
                self.record.record_violation(format!(
                    "removed route still accepts flows, version {}",
                    self.deployment.version
                ));
            }
            if !is_open && self.has_extra_route && has_agent && self.are_balancers_undisturbed() {
                self.record.record_violation(format!(
                    "added route accepts no flows, version {}",
                    self.deployment.version
                ));
            }
        }
    }

    /// Sets the mode of the connections of all balancers but `served` to the platform store.
    fn set_store_mode_except(&self, served: usize, mode: ProxyMode) {
        for (index, balancer) in self.deployment.balancers.iter().enumerate() {
            if index == served {
                continue;
            }
            let store_path = store_path(&balancer.name);
            self.deployment.set_balancer_store_proxy_mode(index, mode);
            if mode == ProxyMode::Pass {
                self.record.end_disturbance(&store_path);
            } else {
                self.record.begin_disturbance(&store_path);
            }
        }
    }

    /// Checks that the last change of the extra route is in force at each balancer that runs and that
    /// the store serves, whatever happens to the others.
    async fn check_route_at_each_balancer(&mut self) {
        if self.route_changed_at.elapsed() < CONFIGURATION_TIMEOUT {
            return;
        }
        let record = Arc::clone(&self.record);
        for (index, balancer) in self.deployment.balancers.iter().enumerate() {
            let names = [&balancer.name, &store_path(&balancer.name), "store"];
            if !names.iter().all(|name| record.is_undisturbed(name)) {
                continue;
            }
            let router = Arc::new(self.deployment.router_to(index));
            let address = self.deployment.caller_address(251);
            let Ok(mut caller) = Caller::bind(address, router).await else {
                record.record_violation(format!("cannot bind {address}"));
                return;
            };
            let outcome = caller.open(extra_address()).await;
            let has_agent = self.has_agent_for_extra();
            let is_old = match outcome {
                Ok(_) => !self.has_extra_route,
                Err(CallError::Reset) => self.has_extra_route && has_agent,
                Err(CallError::Timeout) => false,
            };
            if is_old {
                record.record_violation(format!(
                    "{} follows a version before {}, {} ms after its confirmation",
                    balancer.name,
                    self.deployment.version,
                    self.route_changed_at.elapsed().as_millis()
                ));
            }
        }
    }

    /// Ends all faults and checks that requests are answered again.
    async fn check_recovery(&mut self) -> anyhow::Result<()> {
        self.deployment.set_store_proxy_mode(ProxyMode::Pass);
        for index in 0..self.deployment.agents.len() {
            self.start_upstream(index).await?;
            let process = &mut self.deployment.agents[index].process;
            process.signal(Signal::Continue)?;
            process.start()?;
        }
        for balancer in &mut self.deployment.balancers {
            balancer.signal(Signal::Continue)?;
            balancer.start()?;
        }
        self.record.print("all faults ended");
        self.sleep(RECOVERY_TIME).await;
        let (answered, failed) = self.record.request_totals();
        self.sleep(RECOVERY_WINDOW).await;
        let (answered_after, failed_after) = self.record.request_totals();
        let answered = answered_after - answered;
        let failed = failed_after - failed;
        if answered == 0 || failed * 10 > answered {
            self.record
                .record_violation(format!("not recovered: {answered} answered, {failed} not"));
        }
        self.collect_reports();
        self.check_return().await;
        self.check_route().await;
        self.collect_reports();
        Ok(())
    }
}
