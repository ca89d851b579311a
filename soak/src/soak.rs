//! One run: start, faults, recovery, verdict.

use std::collections::BinaryHeap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_standins::{Caller, ProxyMode};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::callers;
use crate::cli::Cli;
use crate::deployment::{Fleet, extra_address};
use crate::faults::{Fault, PlannedFault, draw};
use crate::process::Signal;
use crate::record::Ledger;

/// Longest time until every balancer is ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Time after the last fault after which requests are served again.
const RECOVERY: Duration = Duration::from_secs(6);

/// Time over which recovery is judged.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);

/// Time after which a changed route is in force everywhere.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(3);

/// Pause between two looks at the upstreams.
const STEP: Duration = Duration::from_millis(20);

/// Time between the drain of an upstream and its end.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time in which a platform starts a process again that ended.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Something that follows from a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Begin(usize),
    End(usize),
}

/// Order of steps: the earliest first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Due {
    at: Duration,
    step: Step,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// State of a run.
struct Run {
    fleet: Fleet,
    ledger: Arc<Ledger>,
    faults: Vec<PlannedFault>,
    /// Since when the extra route is there or not there.
    route_changed: Instant,
    has_extra_route: bool,
}

/// Runs the soak and returns how many promises were broken.
pub(crate) async fn run(cli: &Cli) -> anyhow::Result<usize> {
    let directory = directory(cli)?;
    println!("soak: seed {}, logs in {}", cli.seed, directory.display());
    let ledger = Arc::new(Ledger::new());
    let fleet = Fleet::spawn(cli, &directory).await?;
    wait_until_ready(&fleet, cli).await?;
    let mut random = ChaCha8Rng::seed_from_u64(cli.seed);
    let length = Duration::from_secs(cli.seconds);
    let faults = draw(
        &mut random,
        length,
        usize::from(cli.balancers),
        usize::from(cli.agents),
    );
    let mut tasks = JoinSet::new();
    for number in 1..=cli.callers {
        let seed = cli.seed ^ (u64::from(number) << 32);
        let address = fleet.caller_address(number);
        let router = Arc::clone(&fleet.router);
        tasks.spawn(callers::run(
            number,
            address,
            router,
            Arc::clone(&ledger),
            seed,
        ));
    }
    let mut run = Run {
        fleet,
        ledger: Arc::clone(&ledger),
        faults,
        route_changed: Instant::now(),
        has_extra_route: false,
    };
    run.play().await?;
    run.recover(cli).await?;
    let (answered, failed) = ledger.totals();
    let broken = ledger.broken_count();
    ledger.note(&format!(
        "{answered} requests answered, {failed} not, {broken} promises broken"
    ));
    Ok(broken)
}

fn directory(cli: &Cli) -> anyhow::Result<PathBuf> {
    let name = format!("hawthorntide-soak-{}-{}", cli.seed, std::process::id());
    let default = std::env::temp_dir().join(name);
    let directory = cli.directory.clone().unwrap_or(default);
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

async fn wait_until_ready(fleet: &Fleet, cli: &Cli) -> anyhow::Result<()> {
    let began = Instant::now();
    while fleet.router.ready_count() < usize::from(cli.balancers) {
        anyhow::ensure!(
            began.elapsed() < START_LIMIT,
            "not all balancers became ready"
        );
        sleep(STEP).await;
    }
    // Agents that the directory did not have before take flows a second after their entry.
    sleep(Duration::from_secs(2)).await;
    Ok(())
}

impl Run {
    /// Plays all faults.
    async fn play(&mut self) -> anyhow::Result<()> {
        let began = Instant::now();
        let mut due: BinaryHeap<Due> = (0..self.faults.len())
            .map(|index| Due {
                at: self.faults[index].at,
                step: Step::Begin(index),
            })
            .collect();
        while let Some(next) = due.peek().copied() {
            self.observe();
            if began.elapsed() < next.at {
                sleep(STEP).await;
                continue;
            }
            due.pop();
            match next.step {
                Step::Begin(index) => {
                    let planned = self.faults[index];
                    self.ledger
                        .note(&format!("{:?} for {:?}", planned.fault, planned.length));
                    let length = self.begin(planned)?;
                    due.push(Due {
                        at: began.elapsed() + length,
                        step: Step::End(index),
                    });
                }
                Step::End(index) => self.end(self.faults[index]).await?,
            }
        }
        Ok(())
    }

    /// Collects what upstreams saw.
    fn observe(&self) {
        for agent in &self.fleet.agents {
            agent.report(&self.ledger);
        }
    }

    /// Begins a fault and returns how long it lasts.
    fn begin(&mut self, planned: PlannedFault) -> anyhow::Result<Duration> {
        let ledger = Arc::clone(&self.ledger);
        let mut length = planned.length;
        match planned.fault {
            Fault::KillBalancer(index) | Fault::PauseBalancer(index) => {
                let is_kill = matches!(planned.fault, Fault::KillBalancer(_));
                let balancer = &mut self.fleet.balancers[index];
                ledger.begin_disturbance(&balancer.name);
                ledger.begin_disturbance("router");
                balancer.signal(if is_kill { Signal::Kill } else { Signal::Stop })?;
                length = if is_kill { RESTART_PAUSE } else { length };
            }
            Fault::TerminateBalancer(index) => {
                let balancer = &mut self.fleet.balancers[index];
                ledger.begin_disturbance(&balancer.name);
                balancer.signal(Signal::Terminate)?;
                length = Duration::from_secs(6);
            }
            Fault::KillAgent(index) | Fault::PauseAgent(index) => {
                let is_kill = matches!(planned.fault, Fault::KillAgent(_));
                let agent = &mut self.fleet.agents[index].process;
                ledger.begin_disturbance(&agent.name);
                agent.signal(if is_kill { Signal::Kill } else { Signal::Stop })?;
                length = if is_kill { RESTART_PAUSE } else { length };
            }
            Fault::CrashUpstream(index) => self.end_upstream(index),
            Fault::ReplaceUpstream(index) => {
                if let Some(upstream) = &self.fleet.agents[index].upstream {
                    upstream.drain();
                }
                length = DRAIN_TIME;
            }
            Fault::KillAll => {
                ledger.begin_disturbance("router");
                let agents = self.fleet.agents.iter_mut().map(|vm| &mut vm.process);
                for process in self.fleet.balancers.iter_mut().chain(agents) {
                    ledger.begin_disturbance(&process.name);
                    process.signal(Signal::Kill)?;
                }
                length = RESTART_PAUSE;
            }
            Fault::ReloadAll => {
                let agents = self.fleet.agents.iter_mut().map(|vm| &mut vm.process);
                for process in self.fleet.balancers.iter_mut().chain(agents) {
                    process.signal(Signal::Reload)?;
                }
            }
            Fault::Store(mode) => {
                ledger.begin_disturbance("store");
                self.fleet.set_store_link(mode);
            }
            Fault::ChangeRoute => {
                self.has_extra_route = !self.has_extra_route;
                self.fleet.configure(self.has_extra_route);
                self.route_changed = Instant::now();
                length = CONFIGURATION_LIMIT + Duration::from_millis(200);
            }
        }
        Ok(length)
    }

    async fn end(&mut self, planned: PlannedFault) -> anyhow::Result<()> {
        let ledger = Arc::clone(&self.ledger);
        match planned.fault {
            Fault::KillBalancer(index)
            | Fault::TerminateBalancer(index)
            | Fault::PauseBalancer(index) => {
                let balancer = &mut self.fleet.balancers[index];
                balancer.signal(Signal::Continue)?;
                balancer.start()?;
                ledger.end_disturbance(&balancer.name);
                ledger.end_disturbance("router");
            }
            Fault::KillAgent(index) | Fault::PauseAgent(index) => {
                let agent = &mut self.fleet.agents[index].process;
                agent.signal(Signal::Continue)?;
                agent.start()?;
                ledger.end_disturbance(&agent.name);
            }
            Fault::CrashUpstream(index) => self.start_upstream(index).await?,
            Fault::ReplaceUpstream(index) => {
                self.end_upstream(index);
                self.start_upstream(index).await?;
            }
            Fault::KillAll => {
                let agents = self.fleet.agents.iter_mut().map(|vm| &mut vm.process);
                for process in self.fleet.balancers.iter_mut().chain(agents) {
                    process.start()?;
                    ledger.end_disturbance(&process.name);
                }
                ledger.end_disturbance("router");
            }
            Fault::ReloadAll => {}
            Fault::Store(_) => {
                self.fleet.set_store_link(ProxyMode::Pass);
                ledger.end_disturbance("store");
            }
            Fault::ChangeRoute => self.check_route().await,
        }
        Ok(())
    }

    /// Ends an upstream; its flows end with it for good.
    fn end_upstream(&mut self, index: usize) {
        let vm = &mut self.fleet.agents[index];
        vm.report(&self.ledger);
        for life in 1..=vm.lives() {
            self.ledger.begin_disturbance(&vm.upstream_name(life));
        }
        vm.upstream = None;
    }

    async fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let vm = &mut self.fleet.agents[index];
        if vm.upstream.is_none() {
            vm.start_upstream().await?;
        }
        Ok(())
    }

    /// Checks that a route that changed long enough ago is in force.
    async fn check_route(&mut self) {
        let is_judged = self.ledger.is_calm("store")
            && self.ledger.is_calm("router")
            && self.route_changed.elapsed() >= CONFIGURATION_LIMIT;
        if !is_judged {
            return;
        }
        let address = self.fleet.caller_address(250);
        let router = Arc::clone(&self.fleet.router);
        let Ok(mut caller) = Caller::bind(address, router).await else {
            self.ledger.broken(format!("cannot bind {address}"));
            return;
        };
        let is_open = caller.open(extra_address()).await.is_ok();
        if is_open && !self.has_extra_route {
            self.ledger.broken(format!(
                "a dropped route is open, version {}",
                self.fleet.version
            ));
        }
        let was_disturbed = !self.ledger.is_calm("router") || !self.ledger.is_calm("store");
        if !is_open && self.has_extra_route && !was_disturbed {
            self.ledger.broken(format!(
                "an added route is closed, version {}",
                self.fleet.version
            ));
        }
    }

    /// Ends all disturbances and checks that callers are served again.
    async fn recover(&mut self, cli: &Cli) -> anyhow::Result<()> {
        self.fleet.set_store_link(ProxyMode::Pass);
        for index in 0..usize::from(cli.agents) {
            self.start_upstream(index).await?;
            let process = &mut self.fleet.agents[index].process;
            process.signal(Signal::Continue)?;
            process.start()?;
        }
        for balancer in &mut self.fleet.balancers {
            balancer.signal(Signal::Continue)?;
            balancer.start()?;
        }
        self.ledger.note("faults are over");
        sleep(RECOVERY).await;
        let (answered, failed) = self.ledger.totals();
        sleep(RECOVERY_WINDOW).await;
        let (answered_after, failed_after) = self.ledger.totals();
        let answered = answered_after - answered;
        let failed = failed_after - failed;
        if answered == 0 || failed * 10 > answered {
            self.ledger
                .broken(format!("not recovered: {answered} answered, {failed} not"));
        }
        self.observe();
        Ok(())
    }
}
