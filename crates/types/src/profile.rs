//! Profiles: limits and priorities of each kind of work, for a service under normal load (calm) and
//! under overload (crowded).
//!
//! The kinds of work are streams (open-ended sequences of messages), reservations (requests that must
//! not run twice) and sheets (requests that may be idempotent).

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{DurationMs, PerMille, ProfileName, RatePerSecond, newtype::ParseValueError};

/// Kind of work that a request asks for, chosen by the caller.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// stream
    Stream,
    /// reservation
    Reservation,
    /// sheet
    Sheet,
}

impl WorkKind {
    /// All kinds in the order in which a profile lists them.
    pub const ALL: [Self; 3] = [Self::Stream, Self::Reservation, Self::Sheet];
}

impl std::str::FromStr for WorkKind {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "stream" => Ok(Self::Stream),
            "reservation" => Ok(Self::Reservation),
            "sheet" => Ok(Self::Sheet),
            _ => Err(ParseValueError {
                text: text.chars().take(80).collect(),
                expected: "kind of work (stream, reservation or sheet)".to_owned(),
            }),
        }
    }
}

/// Priority of waiting requests, set by operators; a higher one is served first.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// low
    Low,
    /// normal
    Normal,
    /// high
    High,
}

/// Limits and priority of one kind of work, for either a calm or a crowded service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Treatment {
    /// Priority among the kinds of work that wait for a slot.
    pub urgency: Urgency,
    /// Guaranteed share of the slots while requests of this kind wait; 1 to 1000.
    pub share_per_mille: PerMille,
    /// Longest wait in the queue before a request is refused; 1 ms to one day, at most `deadline_ms`.
    pub queue_wait_ms: DurationMs,
    /// Default deadline of a request, and the longest that a caller may ask for; 1 ms to one day.
    pub deadline_ms: DurationMs,
    /// New flows per second that each balancer admits for this kind; at least 1.
    pub new_flows_per_second: RatePerSecond,
    /// Retries allowed per thousand recent requests; 0 to 1000, and 0 for work that is not idempotent.
    pub retry_budget_per_mille: PerMille,
}

/// Part of a profile that covers one kind of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkProfile {
    /// Kind that this part covers; each kind appears at most once in a profile.
    pub kind: WorkKind,
    /// Whether executing a request twice has the same effect as executing it once, so that it may be
    /// retried; never true for reservations.
    pub idempotent: bool,
    /// Applies while the service is not crowded.
    pub calm: Treatment,
    /// Applies while the service is crowded, that is, its queue delay exceeds `target_delay_ms`.
    pub crowded: Treatment,
}

/// Named set of limits and priorities; operators store it, and services refer to it by name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Unique name, to which [`Service::profile`](crate::Service::profile) refers.
    pub name: ProfileName,
    /// Queue delay above which a service counts as crowded; 1 ms to one day.
    pub target_delay_ms: DurationMs,
    /// Longest time that a drain waits for open flows; 1 ms to one day.
    pub drain_limit_ms: DurationMs,
    /// One entry for each kind of work that is allowed, in ascending order of kinds.
    pub work: Vec<WorkProfile>,
}

/// {field}: {reason}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ProfileProblem {
    /// Dotted path of the field, such as `work.stream.calm.deadline_ms`.
    pub field: String,
    /// Why the value was refused, or which values are accepted; text for operators.
    pub reason: String,
}

/// One day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_PER_MILLE: u16 = 1000;

impl Profile {
    /// Returns the entry for `kind`, or `None` if the profile does not allow that kind.
    pub fn work(&self, kind: WorkKind) -> Option<&WorkProfile> {
        let index = self
            .work
            .binary_search_by_key(&kind, |work| work.kind)
            .ok()?;
        self.work.get(index)
    }

    /// Validates ranges and fields against each other; returns every problem found.
    pub fn check(&self) -> Vec<ProfileProblem> {
        let mut problems = Vec::new();
        check_duration("target_delay_ms", self.target_delay_ms, &mut problems);
        check_duration("drain_limit_ms", self.drain_limit_ms, &mut problems);
        if self.work.is_empty() {
            add_problem(
                &mut problems,
                "work",
                "at least one kind of work is required",
            );
        }
        if !self.work.is_sorted_by(|a, b| a.kind < b.kind) {
            add_problem(
                &mut problems,
                "work",
                "kinds must be in ascending order (stream, reservation, sheet), each once",
            );
        }
        for work in &self.work {
            work.check(&mut problems);
        }
        self.check_shares("calm", |work| work.calm.share_per_mille, &mut problems);
        self.check_shares(
            "crowded",
            |work| work.crowded.share_per_mille,
            &mut problems,
        );
        problems
    }

    fn check_shares(
        &self,
        condition: &str,
        share: impl Fn(&WorkProfile) -> PerMille,
        problems: &mut Vec<ProfileProblem>,
    ) {
        let sum: u32 = self
            .work
            .iter()
            .map(|work| u32::from(share(work).get()))
            .sum();
        if sum > u32::from(MAX_PER_MILLE) {
            let reason = format!("{condition} shares add up to {sum}, at most 1000 is accepted");
            add_problem(problems, "work", &reason);
        }
    }
}

impl WorkProfile {
    fn check(&self, problems: &mut Vec<ProfileProblem>) {
        if self.kind == WorkKind::Reservation && self.idempotent {
            add_problem(
                problems,
                "work.reservation.idempotent",
                "reservations are never idempotent",
            );
        }
        for (condition, treatment) in [("calm", &self.calm), ("crowded", &self.crowded)] {
            treatment.check(
                &format!("work.{}.{condition}", self.kind),
                self.idempotent,
                problems,
            );
        }
    }
}

impl Treatment {
    fn check(&self, path: &str, idempotent: bool, problems: &mut Vec<ProfileProblem>) {
        check_duration(
            &format!("{path}.queue_wait_ms"),
            self.queue_wait_ms,
            problems,
        );
        check_duration(&format!("{path}.deadline_ms"), self.deadline_ms, problems);
        if self.queue_wait_ms > self.deadline_ms {
            add_problem(
                problems,
                &format!("{path}.queue_wait_ms"),
                "must not exceed deadline_ms",
            );
        }
        if self.share_per_mille.get() == 0 || self.share_per_mille.get() > MAX_PER_MILLE {
            add_problem(
                problems,
                &format!("{path}.share_per_mille"),
                "1 to 1000 is accepted",
            );
        }
        if self.new_flows_per_second.get() == 0 {
            add_problem(
                problems,
                &format!("{path}.new_flows_per_second"),
                "1 or more is accepted",
            );
        }
        if self.retry_budget_per_mille.get() > MAX_PER_MILLE {
            add_problem(
                problems,
                &format!("{path}.retry_budget_per_mille"),
                "0 to 1000 is accepted",
            );
        }
        if !idempotent && self.retry_budget_per_mille.get() != 0 {
            add_problem(
                problems,
                &format!("{path}.retry_budget_per_mille"),
                "must be 0 for work that is not idempotent",
            );
        }
    }
}

fn check_duration(field: &str, duration: DurationMs, problems: &mut Vec<ProfileProblem>) {
    if duration.get() == 0 || duration.get() > MAX_DURATION_MS {
        add_problem(
            problems,
            field,
            &format!("1 to {MAX_DURATION_MS} is accepted"),
        );
    }
}

fn add_problem(problems: &mut Vec<ProfileProblem>, field: &str, reason: &str) {
    problems.push(ProfileProblem {
        field: field.to_owned(),
        reason: reason.to_owned(),
    });
}
