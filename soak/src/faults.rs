//! Faults and changes, drawn from the seed, in series that overlap.

use std::time::Duration;

use hawthorntide_standins::ProxyMode;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Kind of a fault or change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// A balancer is killed and started again.
    KillBalancer(usize),
    /// A balancer is stopped as planned and started again.
    TerminateBalancer(usize),
    /// A balancer stands still for some time.
    PauseBalancer(usize),
    /// An agent is killed and started again; its upstream goes on.
    KillAgent(usize),
    /// An agent stands still for some time.
    PauseAgent(usize),
    /// An upstream crashes; a new life of it starts later.
    CrashUpstream(usize),
    /// An upstream drains, ends, and a new life of it starts.
    ReplaceUpstream(usize),
    /// All balancers and agents are killed at once.
    KillAll,
    /// Processes read their settings again.
    ReloadAll,
    /// The way to the platform store is disturbed.
    Store(ProxyMode),
    /// The route that comes and goes changes its state.
    ChangeRoute,
}

/// Fault at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: Fault,
}

/// Draws the faults of a run; the mean pause between two is shorter than their length.
pub(crate) fn draw(
    random: &mut ChaCha8Rng,
    run: Duration,
    balancers: usize,
    agents: usize,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < run {
        let length = Duration::from_millis(random.random_range(300..4_000));
        let fault = draw_one(random, balancers, agents);
        faults.push(PlannedFault { at, length, fault });
        at += Duration::from_millis(random.random_range(100..2_500));
    }
    faults
}

fn draw_one(random: &mut ChaCha8Rng, balancers: usize, agents: usize) -> Fault {
    let balancer = random.random_range(0..balancers);
    let agent = random.random_range(0..agents);
    let modes = [
        ProxyMode::Delay(Duration::from_millis(300)),
        ProxyMode::Reset,
        ProxyMode::Stall,
        ProxyMode::DropAnswers,
    ];
    let mode = modes.choose(random).copied().unwrap_or_default();
    match random.random_range(0..20) {
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
        _ => Fault::ChangeRoute,
    }
}
