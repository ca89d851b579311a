//! Events that a trial injects, such as `balancer-kill@5`.

use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;

#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum EventName {
    /// balancer-stop
    BalancerStop,
    /// balancer-kill
    BalancerKill,
    /// balancer-join
    BalancerJoin,
    /// upstream-drain
    UpstreamDrain,
    /// upstream-kill
    UpstreamKill,
    /// upstream-join
    UpstreamJoin,
    /// platform-down
    PlatformDown,
    /// platform-up
    PlatformUp,
    /// platform-slow
    PlatformSlow,
    /// platform-copy
    PlatformCopy,
    /// platform-restore
    PlatformRestore,
    /// lost-answers
    LostAnswers,
    /// profile-change
    ProfileChange,
    /// flood-least
    FloodLeast,
    /// flood-most
    FloodMost,
    /// silent-flows
    SilentFlows,
    /// pause-balancer
    PauseBalancer,
}

impl EventName {
    pub const ALL: [Self; 17] = [
        Self::BalancerStop,
        Self::BalancerKill,
        Self::BalancerJoin,
        Self::UpstreamDrain,
        Self::UpstreamKill,
        Self::UpstreamJoin,
        Self::PlatformDown,
        Self::PlatformUp,
        Self::PlatformSlow,
        Self::PlatformCopy,
        Self::PlatformRestore,
        Self::LostAnswers,
        Self::ProfileChange,
        Self::FloodLeast,
        Self::FloodMost,
        Self::SilentFlows,
        Self::PauseBalancer,
    ];

    /// Returns true if the event ends a process abruptly.
    pub const fn is_kill(self) -> bool {
        matches!(self, Self::BalancerKill | Self::UpstreamKill)
    }

    pub const fn is_flood(self) -> bool {
        matches!(self, Self::FloodLeast | Self::FloodMost)
    }
}

/// Event to inject at a given time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialEvent {
    pub name: EventName,
    /// Time since the start of the measured part.
    pub at: Duration,
}

/// cannot read event {text:?}: NAME@SECONDS is expected, with one of {names}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ParseEventError {
    pub text: String,
    /// Accepted event names, separated by commas.
    pub names: String,
}

impl std::error::Error for ParseEventError {}

/// One day.
const MAX_EVENT_SECONDS: f64 = 86_400.0;

impl FromStr for TrialEvent {
    type Err = ParseEventError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseEventError {
            text: text.chars().take(80).collect(),
            names: EventName::ALL.map(|name| name.to_string()).join(", "),
        })
    }
}

fn parse(text: &str) -> Option<TrialEvent> {
    let (name, seconds) = text.split_once('@')?;
    let name = EventName::ALL
        .into_iter()
        .find(|known| known.to_string() == name)?;
    let seconds: f64 = seconds.parse().ok()?;
    if !(0.0..=MAX_EVENT_SECONDS).contains(&seconds) {
        return None;
    }
    Some(TrialEvent {
        name,
        at: Duration::from_secs_f64(seconds),
    })
}
