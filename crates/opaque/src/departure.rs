//! Deregistration of an agent's upstream.

use hawthorntide_types::{DurationMs, TimeMs};

use crate::record::UpstreamIncarnation;

/// Message of an upstream that it ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamDeregistration {
    /// Name of the upstream.
    pub id: String,
    /// Start time, in milliseconds of the upstream's clock; not all upstreams send it here.
    pub born_ms: Option<u64>,
}

/// Whether the upstream has deregistered.
#[derive(Clone, Debug, Default)]
pub(crate) enum Departure {
    #[default]
    None,
    /// A deregistration arrived before it was known whose it is.
    Unconfirmed(UpstreamDeregistration),
    /// This incarnation of the upstream has deregistered.
    Gone {
        incarnation: UpstreamIncarnation,
        /// When the first heartbeat of the incarnation arrived after that.
        heartbeat_since: Option<TimeMs>,
    },
}

impl UpstreamDeregistration {
    fn is_of(&self, incarnation: &UpstreamIncarnation) -> bool {
        let is_born_then = self.born_ms.is_none_or(|it| it == incarnation.born_ms);
        self.id == incarnation.id && is_born_then
    }
}

impl Departure {
    pub(crate) const fn is_gone(&self) -> bool {
        matches!(self, Self::Gone { .. })
    }

    /// Handles a deregistration. `known` is the incarnation of the upstream, if it has reported it. Returns
    /// false if the deregistration is another upstream's, or an earlier incarnation's.
    pub(crate) fn deregister(
        &mut self,
        deregistration: UpstreamDeregistration,
        known: Option<&UpstreamIncarnation>,
    ) -> bool {
        match known {
            Some(incarnation) if !deregistration.is_of(incarnation) => return false,
            Some(_) if self.is_gone() => {}
            Some(incarnation) => *self = Self::gone(incarnation),
            None => *self = Self::Unconfirmed(deregistration),
        }
        true
    }

    /// Decides about an unconfirmed deregistration: the upstream is, or was before the agent started,
    /// `incarnation`.
    pub(crate) fn confirm(&mut self, incarnation: &UpstreamIncarnation) {
        if matches!(self, Self::Unconfirmed(it) if it.is_of(incarnation)) {
            *self = Self::gone(incarnation);
        }
    }

    /// Confirms an unconfirmed deregistration: no upstream sends heartbeats that would contradict it.
    pub(crate) fn confirm_unheard(&mut self) {
        if let Self::Unconfirmed(deregistration) = self {
            *self = Self::gone(&UpstreamIncarnation {
                id: std::mem::take(&mut deregistration.id),
                born_ms: deregistration.born_ms.unwrap_or_default(),
            });
        }
    }

    /// Handles a heartbeat of the incarnation that the upstream has now. One that was sent before the
    /// deregistration may arrive after it, but an upstream whose heartbeats go on has not left: another one
    /// of the same name has.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: TimeMs,
        incarnation: &UpstreamIncarnation,
        heartbeat_ms: DurationMs,
    ) {
        self.confirm(incarnation);
        let has_left = match self {
            Self::Gone {
                incarnation: gone,
                heartbeat_since,
            } => {
                let since = *heartbeat_since.get_or_insert(now);
                gone == incarnation && now.since(since) < heartbeat_ms
            }
            Self::None | Self::Unconfirmed(_) => false,
        };
        if !has_left {
            *self = Self::None;
        }
    }

    fn gone(incarnation: &UpstreamIncarnation) -> Self {
        Self::Gone {
            incarnation: incarnation.clone(),
            heartbeat_since: None,
        }
    }
}
