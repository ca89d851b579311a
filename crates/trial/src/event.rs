//! Events that a trial injects.

use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;

/// Kind of event.
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
    /// All events in ascending order.
    pub const ALL: [Self; 15] = [
        Self::BalancerStop,
        Self::BalancerKill,
        Self::BalancerJoin,
        Self::UpstreamDrain,
        Self::UpstreamKill,
        Self::UpstreamJoin,
        Self::PlatformDown,
        Self::PlatformUp,
        Self::PlatformSlow,
        Self::LostAnswers,
        Self::ProfileChange,
        Self::FloodLeast,
        Self::FloodMost,
        Self::SilentFlows,
        Self::PauseBalancer,
    ];

    /// Returns whether a process is lost without notice.
    pub const fn is_kill(self) -> bool {
        matches!(self, Self::BalancerKill | Self::UpstreamKill)
    }

    /// Returns whether the event is a flood.
    pub const fn is_flood(self) -> bool {
        matches!(self, Self::FloodLeast | Self::FloodMost)
    }
}

/// Event and the time at which it happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrialEvent {
    /// What happens.
    pub name: EventName,
    /// Time since the callers are at their steady load.
    pub at: Duration,
}

/// cannot read event {text:?}: NAME@SECONDS is expected, with one of {names}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ParseEventError {
    /// Text that was given.
    pub text: String,
    /// Accepted names.
    pub names: String,
}

impl std::error::Error for ParseEventError {}

/// Latest time of an event: one day.
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
