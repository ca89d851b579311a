//! Profiles: how each kind of work is treated when the service is calm and when it is crowded.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::{DurationMs, PerMille, ProfileName, RatePerSecond, newtype::ParseValueError};

/// Kind of work that a caller asks for.
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
    /// All kinds in ascending order.
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

/// Order in which waiting work is served; higher goes first.
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

/// Treatment of one kind of work in one half of a profile.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Treatment {
    /// Order among the kinds of work.
    pub urgency: Urgency,
    /// Part of the slots that this kind gets at least while it has work waiting.
    pub share_per_mille: PerMille,
    /// Longest wait in the queue before the request is refused.
    pub queue_wait_ms: DurationMs,
    /// Deadline of a request that names none, and the longest that one may name.
    pub deadline_ms: DurationMs,
    /// New flows per second that one balancer lets through for this kind.
    pub new_flows_per_second: RatePerSecond,
    /// Retries allowed in relation to the recent rate of requests.
    pub retry_budget_per_mille: PerMille,
}

/// Treatment of one kind of work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkProfile {
    /// Kind of work.
    pub kind: WorkKind,
    /// Whether running a request twice has the effect of running it once.
    pub idempotent: bool,
    /// Treatment while the service is calm.
    pub calm: Treatment,
    /// Treatment while the service is crowded.
    pub crowded: Treatment,
}

/// Named set of treatments that services follow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name by which services pick the profile.
    pub name: ProfileName,
    /// Queue delay above which a service counts as crowded.
    pub target_delay_ms: DurationMs,
    /// Longest time that a drain waits for open flows.
    pub drain_limit_ms: DurationMs,
    /// Kinds of work in ascending order.
    pub work: Vec<WorkProfile>,
}

/// {field}: {reason}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ProfileProblem {
    /// Path of the field.
    pub field: String,
    /// What is wrong and what is accepted.
    pub reason: String,
}

/// Longest deadline or wait that a profile may set: one day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;
/// Whole of a share in thousandths.
const WHOLE_PER_MILLE: u16 = 1000;

impl Profile {
    /// Returns the treatment of `kind`, if the profile has one.
    pub fn work(&self, kind: WorkKind) -> Option<&WorkProfile> {
        let index = self
            .work
            .binary_search_by_key(&kind, |work| work.kind)
            .ok()?;
        self.work.get(index)
    }

    /// Checks ranges and contradictions.
    pub fn check(&self) -> Vec<ProfileProblem> {
        let mut problems = Vec::new();
        check_duration("target_delay_ms", self.target_delay_ms, &mut problems);
        check_duration("drain_limit_ms", self.drain_limit_ms, &mut problems);
        if self.work.is_empty() {
            add(&mut problems, "work", "at least one kind of work is needed");
        }
        if !self.work.is_sorted_by(|a, b| a.kind < b.kind) {
            add(
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
        half: &str,
        share: impl Fn(&WorkProfile) -> PerMille,
        problems: &mut Vec<ProfileProblem>,
    ) {
        let sum: u32 = self
            .work
            .iter()
            .map(|work| u32::from(share(work).get()))
            .sum();
        if sum > u32::from(WHOLE_PER_MILLE) {
            let reason =
                format!("shares of the {half} half add up to {sum}, at most 1000 is accepted");
            add(problems, "work", &reason);
        }
    }
}

impl WorkProfile {
    fn check(&self, problems: &mut Vec<ProfileProblem>) {
        if self.kind == WorkKind::Reservation && self.idempotent {
            add(
                problems,
                "work.reservation.idempotent",
                "reservations are never idempotent",
            );
        }
        for (half, treatment) in [("calm", &self.calm), ("crowded", &self.crowded)] {
            treatment.check(
                &format!("work.{}.{half}", self.kind),
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
            add(
                problems,
                &format!("{path}.queue_wait_ms"),
                "must not exceed deadline_ms",
            );
        }
        if self.share_per_mille.get() == 0 || self.share_per_mille.get() > WHOLE_PER_MILLE {
            add(
                problems,
                &format!("{path}.share_per_mille"),
                "1 to 1000 is accepted",
            );
        }
        if self.new_flows_per_second.get() == 0 {
            add(
                problems,
                &format!("{path}.new_flows_per_second"),
                "1 or more is accepted",
            );
        }
        if self.retry_budget_per_mille.get() > WHOLE_PER_MILLE {
            add(
                problems,
                &format!("{path}.retry_budget_per_mille"),
                "0 to 1000 is accepted",
            );
        }
        if !idempotent && self.retry_budget_per_mille.get() != 0 {
            add(
                problems,
                &format!("{path}.retry_budget_per_mille"),
                "must be 0 for work that is not idempotent",
            );
        }
    }
}

fn check_duration(field: &str, duration: DurationMs, problems: &mut Vec<ProfileProblem>) {
    if duration.get() == 0 || duration.get() > MAX_DURATION_MS {
        add(
            problems,
            field,
            &format!("1 to {MAX_DURATION_MS} is accepted"),
        );
    }
}

fn add(problems: &mut Vec<ProfileProblem>, field: &str, reason: &str) {
    problems.push(ProfileProblem {
        field: field.to_owned(),
        reason: reason.to_owned(),
    });
}
