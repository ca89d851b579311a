//! Random schedule of overlapping faults and configuration changes.

use std::time::Duration;

use hawthorntide_standins::{ProxyMode, UpstreamBehavior};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::cli::FaultMix;
use crate::deployment::{FAILURE_DOMAINS, MAX_COPIES};

/// Fault or configuration change, with the index of its target, if any.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Kills and restarts a balancer.
    KillBalancer(usize),
    /// Shuts a balancer down by SIGTERM and restarts it.
    TerminateBalancer(usize),
    /// Pauses a balancer by SIGSTOP.
    PauseBalancer(usize),
    /// Kills and restarts an agent; its upstream continues.
    KillAgent(usize),
    /// Pauses an agent by SIGSTOP.
    PauseAgent(usize),
    /// Crashes an upstream; a new incarnation starts later.
    CrashUpstream(usize),
    /// Drains an upstream, stops it and starts a new incarnation.
    ReplaceUpstream(usize),
    /// Shuts an agent down by SIGTERM and restarts it; its upstream continues.
    TerminateAgent(usize),
    /// Drains an upstream, which deregisters and stops, and starts a new incarnation.
    RetireUpstream(usize),
    /// Kills and restarts all balancers and agents at once.
    KillAll,
    /// Sends SIGHUP to all processes.
    ReloadAll,
    /// Injects a fault into the connections to the platform store.
    Store(ProxyMode),
    /// Injects a fault into the connections of all balancers but one to the platform store.
    StoreExceptFor {
        /// Balancer that the store serves as usual.
        served: usize,
        mode: ProxyMode,
    },
    /// Silences all open connections of the balancers to the platform store for good; it serves new ones.
    SilenceStoreConnections,
    /// The platform store is away and comes back from a copy; the operator writes the lost
    /// configuration again before any process reaches the store.
    RestoreStore {
        /// Age of the copy, in seconds.
        age_s: usize,
        /// The operator also adds or removes the extra route.
        is_route_changed: bool,
        /// Writes of other programs that give out lost revisions again before any process calls.
        writes: u64,
    },
    /// Adds or removes the extra route.
    ChangeRoute,
    /// Evacuates the failure domain with this number.
    Evacuate(u8),
    /// Evacuates all failure domains.
    EvacuateAll,
    /// Removes the entry of an evacuated failure domain and makes it again at once.
    RenewEvacuation(u8),
    /// Adds an agent with an upstream.
    AddAgent,
    /// An upstream treats requests in another way than its heartbeats promise.
    MisleadUpstream {
        agent: usize,
        behavior: UpstreamBehavior,
    },
    /// Many callers call one service without pauses.
    Flood,
    /// Nobody reads the log of a balancer.
    PauseBalancerLog(usize),
    /// Nobody reads the log of an agent.
    PauseAgentLog(usize),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) fault: Fault,
}

/// Generates the faults of a run.
pub(crate) fn plan_faults(
    random: &mut ChaCha8Rng,
    mix: FaultMix,
    run: Duration,
    balancers: usize,
    agents: usize,
) -> Vec<PlannedFault> {
    let random_fault = |random: &mut ChaCha8Rng| random_fault(random, balancers, agents);
    let process_fault = |random: &mut ChaCha8Rng| random_process_fault(random, balancers, agents);
    let mut faults = match mix {
        FaultMix::All | FaultMix::Failures => plan_failures(random, run, random_fault),
        FaultMix::Evacuations | FaultMix::Overload => plan_failures(random, run, process_fault),
        FaultMix::Configuration => plan_configuration(random, run, balancers, agents),
        FaultMix::Planned | FaultMix::Logs => plan_planned_work(random, run, balancers, agents),
    };
    if matches!(mix, FaultMix::All | FaultMix::Evacuations) {
        faults.extend(plan_evacuations(random, run));
    }
    if matches!(mix, FaultMix::All | FaultMix::Overload) {
        faults.extend(plan_overload(random, run, agents));
    }
    if matches!(mix, FaultMix::All | FaultMix::Logs) {
        faults.extend(plan_unread_logs(random, run, balancers, agents));
    }
    faults
}

/// Plans pauses of the readers of logs, which are long enough to fill the pipes and overlap.
fn plan_unread_logs(
    random: &mut ChaCha8Rng,
    run: Duration,
    balancers: usize,
    agents: usize,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < run {
        let index = random.random_range(0..balancers + agents);
        let fault = match index.checked_sub(balancers) {
            None => Fault::PauseBalancerLog(index),
            Some(agent) => Fault::PauseAgentLog(agent),
        };
        faults.push(PlannedFault {
            at,
            duration: random_ms(random, 4_000..15_000),
            fault,
        });
        at += random_ms(random, 200..2_500);
    }
    faults
}

/// Plans faults that `draw` returns. The mean time between two faults is shorter than their duration, so
/// that they overlap.
fn plan_failures(
    random: &mut ChaCha8Rng,
    run: Duration,
    draw: impl Fn(&mut ChaCha8Rng) -> Fault,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < run {
        let duration = random_ms(random, 300..4_000);
        let fault = draw(random);
        faults.push(PlannedFault {
            at,
            duration,
            fault,
        });
        at += random_ms(random, 100..2_500);
    }
    faults
}

/// Plans rounds of a few seconds. In each, a route changes, the store fails for all balancers but one or
/// its open connections fall silent, and a route changes again, while up to three process faults occur.
fn plan_configuration(
    random: &mut ChaCha8Rng,
    run: Duration,
    balancers: usize,
    agents: usize,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut round = Duration::from_millis(1_500);
    while round < run {
        let mut plan = |at, duration, fault| {
            faults.push(PlannedFault {
                at,
                duration,
                fault,
            });
        };
        let served = random.random_range(0..balancers);
        let store_fault = match random.random_range(0..8) {
            0..=4 => Fault::StoreExceptFor {
                served,
                mode: ProxyMode::Stall,
            },
            5 => Fault::StoreExceptFor {
                served,
                mode: ProxyMode::Reset,
            },
            _ => Fault::SilenceStoreConnections,
        };
        let change_before = round.saturating_sub(random_ms(random, 300..700));
        plan(change_before, Duration::ZERO, Fault::ChangeRoute);
        plan(round, random_ms(random, 3_500..5_000), store_fault);
        let change_after = round + random_ms(random, 20..250);
        plan(change_after, Duration::ZERO, Fault::ChangeRoute);
        for _ in 0..random.random_range(0..=3) {
            let at = round + random_ms(random, 0..3_000);
            let duration = random_ms(random, 300..3_000);
            plan(
                at,
                duration,
                random_process_fault(random, balancers, agents),
            );
        }
        round += random_ms(random, 6_000..8_000);
    }
    faults
}

/// Plans drains of upstreams, with restarts of their agents and of other processes at the same time.
fn plan_planned_work(
    random: &mut ChaCha8Rng,
    run: Duration,
    balancers: usize,
    agents: usize,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < run {
        let agent = random.random_range(0..agents);
        let other = random.random_range(0..agents);
        let balancer = random.random_range(0..balancers);
        // Time in which the platform starts a terminated process again.
        let duration = random_ms(random, 300..1_500);
        let mut plan = |delay_ms, fault| {
            let at = at + Duration::from_millis(delay_ms);
            faults.push(PlannedFault {
                at,
                duration,
                fault,
            });
        };
        match random.random_range(0..8) {
            0..=3 => {
                plan(0, Fault::RetireUpstream(agent));
                plan(
                    random.random_range(100..2_000),
                    Fault::TerminateAgent(agent),
                );
                plan(
                    random.random_range(1_000..5_000),
                    Fault::TerminateAgent(other),
                );
            }
            4..=5 => plan(random.random_range(0..2_000), Fault::TerminateAgent(other)),
            6 => plan(0, Fault::TerminateBalancer(balancer)),
            _ => plan(0, Fault::ReloadAll),
        }
        at += random_ms(random, 300..2_500);
    }
    faults
}

/// Plans evacuations of single and of all failure domains, in series and overlapping.
fn plan_evacuations(random: &mut ChaCha8Rng, run: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(700);
    while at < run {
        let domain = random.random_range(0..FAILURE_DOMAINS);
        let duration = random_ms(random, 2_000..16_000);
        let delay = random_ms(random, 20..6_000);
        let mut plan = |at, duration, fault| {
            faults.push(PlannedFault {
                at,
                duration,
                fault,
            });
        };
        match random.random_range(0..8) {
            0..=2 => plan(at, duration, Fault::Evacuate(domain)),
            3 => plan(at, duration / 2, Fault::EvacuateAll),
            4..=5 => {
                plan(at, duration + delay, Fault::Evacuate(domain));
                plan(at + delay, Duration::ZERO, Fault::RenewEvacuation(domain));
            }
            6 => {
                plan(at, duration + delay, Fault::Evacuate(domain));
                plan(at + delay, Duration::ZERO, Fault::AddAgent);
            }
            _ => {
                plan(at, Duration::ZERO, Fault::SilenceStoreConnections);
                plan(at + delay / 20, duration, Fault::Evacuate(domain));
            }
        }
        at += random_ms(random, 1_000..6_000);
    }
    faults
}

/// Plans misleading upstreams and floods, which overlap.
fn plan_overload(random: &mut ChaCha8Rng, run: Duration, agents: usize) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(900);
    while at < run {
        let behavior = match random.random_range(0..4) {
            0 => Some(UpstreamBehavior::Silent),
            1 => Some(UpstreamBehavior::Slow(random.random_range(3..=20))),
            2 => Some(UpstreamBehavior::Resetting(random.random_range(2..=10))),
            _ => None,
        };
        let agent = random.random_range(0..agents);
        let fault = behavior.map_or(Fault::Flood, |behavior| Fault::MisleadUpstream {
            agent,
            behavior,
        });
        let duration = random_ms(random, 500..5_000);
        faults.push(PlannedFault {
            at,
            duration,
            fault,
        });
        at += random_ms(random, 300..4_000);
    }
    faults
}

fn random_ms(random: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

/// Draws a fault of single processes or upstreams, which leaves the store and the routes as they are.
fn random_process_fault(random: &mut ChaCha8Rng, balancers: usize, agents: usize) -> Fault {
    loop {
        let fault = random_fault(random, balancers, agents);
        match fault {
            Fault::KillAll
            | Fault::Store(_)
            | Fault::StoreExceptFor { .. }
            | Fault::SilenceStoreConnections
            | Fault::RestoreStore { .. }
            | Fault::ChangeRoute
            | Fault::Evacuate(_)
            | Fault::EvacuateAll
            | Fault::RenewEvacuation(_)
            | Fault::AddAgent
            | Fault::MisleadUpstream { .. }
            | Fault::Flood
            | Fault::PauseBalancerLog(_)
            | Fault::PauseAgentLog(_) => {}
            Fault::TerminateAgent(_)
            | Fault::RetireUpstream(_)
            | Fault::KillBalancer(_)
            | Fault::TerminateBalancer(_)
            | Fault::PauseBalancer(_)
            | Fault::KillAgent(_)
            | Fault::PauseAgent(_)
            | Fault::CrashUpstream(_)
            | Fault::ReplaceUpstream(_)
            | Fault::ReloadAll => return fault,
        }
    }
}

fn random_fault(random: &mut ChaCha8Rng, balancers: usize, agents: usize) -> Fault {
    let balancer = random.random_range(0..balancers);
    let agent = random.random_range(0..agents);
    let modes = [
        ProxyMode::Delay(Duration::from_millis(300)),
        ProxyMode::Reset,
        ProxyMode::Stall,
        ProxyMode::DropAnswers,
    ];
    let mode = modes.choose(random).copied().unwrap_or_default();
    match random.random_range(0..23) {
        0..=2 => Fault::KillBalancer(balancer),
        3..=4 => Fault::TerminateBalancer(balancer),
        5 => Fault::PauseBalancer(balancer),
        6..=8 => Fault::KillAgent(agent),
        9 => Fault::PauseAgent(agent),
        10..=11 => Fault::CrashUpstream(agent),
        12..=13 => Fault::ReplaceUpstream(agent),
        14 => Fault::KillAll,
        15 => Fault::ReloadAll,
        16..=17 => Fault::Store(mode),
        18..=20 => Fault::RestoreStore {
            age_s: random.random_range(0..MAX_COPIES),
            is_route_changed: random.random_bool(0.5),
            writes: random.random_range(0..100),
        },
        _ => Fault::ChangeRoute,
    }
}
