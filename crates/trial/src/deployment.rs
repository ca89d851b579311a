//! Deployment file: failure domains, balancers, services, upstreams and the load that callers
//! generate.

use std::path::Path;

use displaydoc::Display;
use hawthorntide_types::{
    ByteCount, DurationMs, FailureDomain, PerMille, Profile, ProfileName, RatePerSecond, Region,
    ServiceName, SlotCount, WorkKind,
};
use serde::Deserialize;

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct DelayUs(pub u64);

impl From<DelayUs> for std::time::Duration {
    fn from(delay: DelayUs) -> Self {
        Self::from_micros(delay.0)
    }
}

/// Contents of a deployment file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name shown in reports.
    pub name: String,
    /// Share of the configured connections that the trial opens; 1 to 1000.
    pub connection_scale_per_mille: u32,
    /// One-way delay between failure domains.
    pub domain_delay_us: DelayUs,
    /// One-way delay between callers and the VMs of the balancers.
    pub caller_delay_us: DelayUs,
    pub failure_domains: Vec<DomainEntry>,
    pub balancers: Vec<BalancerGroup>,
    /// Profiles that services refer to by name.
    pub profiles: Vec<Profile>,
    pub services: Vec<ServiceEntry>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainEntry {
    pub name: FailureDomain,
    pub region: Region,
}

/// Balancers in one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BalancerGroup {
    pub failure_domain: FailureDomain,
    pub count: u32,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    pub name: ServiceName,
    /// Name of the profile.
    pub profile: ProfileName,
    /// Number of service addresses.
    #[serde(default = "one")]
    pub addresses: u32,
    /// Upstreams, each with its agent.
    pub upstreams: Vec<UpstreamGroup>,
    /// Connections per upstream, before `connection_scale_per_mille` is applied.
    pub connections_per_upstream: u32,
    /// Flow churn: callers replace this many flows per second.
    #[serde(default)]
    pub new_flows_per_second: RatePerSecond,
    /// Load by kind of work.
    pub callers: Vec<CallerMix>,
}

/// Upstreams of one service in one failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    pub failure_domain: FailureDomain,
    pub count: u32,
    /// Slots per upstream.
    pub slots: SlotCount,
    /// Mean time for which a reservation or sheet occupies a slot.
    pub service_time_ms: DurationMs,
    /// Period after the start during which work takes longer.
    #[serde(default)]
    pub cold_start_ms: DurationMs,
    /// Accuracy of health and load reports.
    #[serde(default)]
    pub reports: ReportMode,
}

/// How far the health and load reports of an upstream follow its actual state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum ReportMode {
    /// Reports the current state.
    #[default]
    Truthful,
    /// Reports the load of three seconds ago, and the current health.
    Lagging,
    /// Always reports serving and idle.
    AlwaysIdle,
    /// Always reports failed and all slots in use.
    AlwaysFailed,
}

/// Load of one kind of work that callers generate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerMix {
    pub kind: WorkKind,
    /// Request rate relative to the capacity of all slots; for reservations and sheets.
    #[serde(default)]
    pub load_per_mille: u32,
    /// Share of connections with an open stream; for streams.
    #[serde(default)]
    pub connections_per_mille: PerMille,
    /// Share of requests sent twice under the same sequence; for reservations.
    #[serde(default)]
    pub resent_per_mille: PerMille,
    /// For reservations and sheets.
    #[serde(default)]
    pub answer_bytes: ByteCount,
    /// Deadline of each request.
    pub deadline_ms: DurationMs,
}

/// {file}: {field}: {reason}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct DeploymentProblem {
    pub file: String,
    /// Path of the field, such as `services.orders.addresses`.
    pub field: String,
    /// What is wrong, or which values are accepted.
    pub reason: String,
}

impl std::error::Error for DeploymentProblem {}

/// Limit of balancers and of upstreams: a trial runs each of them instead of simulating a large
/// cluster.
const MAX_PROCESSES: u32 = 200;
/// Limit of connections: each needs about 60 KiB of memory in the callers and agents.
const MAX_CONNECTIONS: u64 = 40_000;
/// One second.
const MAX_DELAY_US: u64 = 1_000_000;
const MAX_PER_MILLE: u32 = 1000;
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

const fn one() -> u32 {
    1
}

impl Deployment {
    /// Reads and validates a deployment file.
    pub fn read(path: &Path) -> Result<Self, Vec<DeploymentProblem>> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, &file),
            Err(error) => Err(vec![DeploymentProblem {
                file,
                field: "file".to_owned(),
                reason: format!("cannot be read: {error}"),
            }]),
        }
    }

    /// Parses and validates a deployment in JSON with comments; `file` is its name in error
    /// messages.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<DeploymentProblem>> {
        let options = jsonc_parser::ParseOptions::default();
        let deployment: Self = match jsonc_parser::parse_to_serde_value(text, &options) {
            Ok(deployment) => deployment,
            Err(error) => {
                return Err(vec![DeploymentProblem {
                    file: file.to_owned(),
                    field: "syntax".to_owned(),
                    reason: error.to_string(),
                }]);
            }
        };
        let mut validator = Validator {
            file,
            problems: Vec::new(),
        };
        validator.check(&deployment);
        if validator.problems.is_empty() {
            Ok(deployment)
        } else {
            Err(validator.problems)
        }
    }

    pub fn profile(&self, name: &ProfileName) -> Option<&Profile> {
        self.profiles.iter().find(|profile| profile.name == *name)
    }

    /// Number of connections that the trial opens to `service`, after scaling; at least one unless
    /// `connections_per_upstream` is 0.
    pub fn connections(&self, service: &ServiceEntry) -> u64 {
        let all = u64::from(service.upstream_count()) * u64::from(service.connections_per_upstream);
        let scaled = all * u64::from(self.connection_scale_per_mille) / u64::from(MAX_PER_MILLE);
        scaled.max(u64::from(service.connections_per_upstream.min(1)))
    }
}

impl ServiceEntry {
    pub fn upstream_count(&self) -> u32 {
        let counts = self.upstreams.iter().map(|group| group.count);
        counts.fold(0, u32::saturating_add)
    }

    /// Requests per second that occupy all slots at the mean service time.
    pub fn capacity_per_second(&self) -> f64 {
        let groups = self.upstreams.iter();
        groups
            .map(|group| {
                let slots = f64::from(group.count) * f64::from(group.slots.get());
                slots * 1000.0 / group.service_time_ms.get() as f64
            })
            .sum()
    }

    /// Load of one kind of work, if callers generate any.
    pub fn mix(&self, kind: WorkKind) -> Option<&CallerMix> {
        self.callers.iter().find(|mix| mix.kind == kind)
    }
}

struct Validator<'a> {
    file: &'a str,
    problems: Vec<DeploymentProblem>,
}

impl Validator<'_> {
    fn add_problem(&mut self, field: impl Into<String>, reason: impl Into<String>) {
        self.problems.push(DeploymentProblem {
            file: self.file.to_owned(),
            field: field.into(),
            reason: reason.into(),
        });
    }

    fn require(&mut self, is_valid: bool, field: impl Into<String>, reason: &str) {
        if !is_valid {
            self.add_problem(field, reason);
        }
    }

    fn check(&mut self, deployment: &Deployment) {
        let scale = deployment.connection_scale_per_mille;
        self.require(
            (1..=MAX_PER_MILLE).contains(&scale),
            "connection_scale_per_mille",
            "1 to 1000 is accepted",
        );
        for (field, delay) in [
            ("domain_delay_us", deployment.domain_delay_us),
            ("caller_delay_us", deployment.caller_delay_us),
        ] {
            self.require(delay.0 <= MAX_DELAY_US, field, "0 to 1000000 is accepted");
        }
        self.check_domains(deployment);
        self.check_balancers(deployment);
        self.check_profiles(deployment);
        self.check_services(deployment);
    }

    fn check_domains(&mut self, deployment: &Deployment) {
        let names: Vec<_> = deployment.failure_domains.iter().map(|d| &d.name).collect();
        self.require(
            !names.is_empty(),
            "failure_domains",
            "at least one is required",
        );
        self.require_unique("failure_domains", &names);
    }

    fn check_balancers(&mut self, deployment: &Deployment) {
        let counts = deployment.balancers.iter().map(|group| group.count);
        let count = counts.fold(0, u32::saturating_add);
        self.require(
            (1..=MAX_PROCESSES).contains(&count),
            "balancers",
            "1 to 200 balancers are accepted",
        );
        for (index, group) in deployment.balancers.iter().enumerate() {
            let field = format!("balancers[{index}].failure_domain");
            self.require_domain(deployment, field, &group.failure_domain);
        }
    }

    fn check_profiles(&mut self, deployment: &Deployment) {
        let names: Vec<_> = deployment.profiles.iter().map(|p| &p.name).collect();
        self.require_unique("profiles", &names);
        for profile in &deployment.profiles {
            for problem in profile.check() {
                let field = format!("profiles.{}.{}", profile.name, problem.field);
                self.add_problem(field, problem.reason);
            }
        }
    }

    fn check_services(&mut self, deployment: &Deployment) {
        let services = &deployment.services;
        self.require(!services.is_empty(), "services", "at least one is required");
        let names: Vec<_> = services.iter().map(|service| &service.name).collect();
        self.require_unique("services", &names);
        let upstreams = services.iter().map(ServiceEntry::upstream_count);
        self.require(
            upstreams.fold(0, u32::saturating_add) <= MAX_PROCESSES,
            "services",
            "at most 200 upstreams are accepted",
        );
        let connections = services
            .iter()
            .map(|service| deployment.connections(service));
        self.require(
            connections.fold(0, u64::saturating_add) <= MAX_CONNECTIONS,
            "connection_scale_per_mille",
            "a trial opens at most 40000 connections; choose a smaller scale",
        );
        for service in services {
            self.check_service(deployment, service);
        }
    }

    fn check_service(&mut self, deployment: &Deployment, service: &ServiceEntry) {
        let path = format!("services.{}", service.name);
        self.require(
            (1..=64).contains(&service.addresses),
            format!("{path}.addresses"),
            "1 to 64 is accepted",
        );
        self.require(
            service.upstream_count() > 0,
            format!("{path}.upstreams"),
            "at least one is required",
        );
        for (index, group) in service.upstreams.iter().enumerate() {
            let path = format!("{path}.upstreams[{index}]");
            self.require_domain(
                deployment,
                format!("{path}.failure_domain"),
                &group.failure_domain,
            );
            self.require(
                group.slots.get() > 0,
                format!("{path}.slots"),
                "1 or more is accepted",
            );
            self.require(
                (1..=60_000).contains(&group.service_time_ms.get()),
                format!("{path}.service_time_ms"),
                "1 to 60000 is accepted",
            );
        }
        let Some(profile) = deployment.profile(&service.profile) else {
            self.add_problem(
                format!("{path}.profile"),
                format!("there is no profile named {}", service.profile),
            );
            return;
        };
        let kinds: Vec<_> = service.callers.iter().map(|mix| mix.kind).collect();
        self.require_unique(&format!("{path}.callers"), &kinds);
        for mix in &service.callers {
            self.check_mix(&format!("{path}.callers.{}", mix.kind), mix, profile);
        }
    }

    fn check_mix(&mut self, path: &str, mix: &CallerMix, profile: &Profile) {
        self.require(
            profile.work(mix.kind).is_some(),
            path,
            "the profile of the service does not define this kind of work",
        );
        self.require(
            mix.deadline_ms.get() > 0,
            format!("{path}.deadline_ms"),
            "1 or more is accepted",
        );
        self.require(
            mix.answer_bytes.get() <= MAX_ANSWER_BYTES,
            format!("{path}.answer_bytes"),
            "0 to 16777216 is accepted",
        );
        let is_stream = mix.kind == WorkKind::Stream;
        self.require(
            !is_stream || mix.load_per_mille == 0,
            format!("{path}.load_per_mille"),
            "streams occupy no slot; use connections_per_mille",
        );
        self.require(
            is_stream || mix.connections_per_mille.get() == 0,
            format!("{path}.connections_per_mille"),
            "applies to streams only; use load_per_mille",
        );
        self.require(
            u32::from(mix.resent_per_mille.get()) <= MAX_PER_MILLE,
            format!("{path}.resent_per_mille"),
            "0 to 1000 is accepted",
        );
        self.require(
            u32::from(mix.connections_per_mille.get()) <= MAX_PER_MILLE,
            format!("{path}.connections_per_mille"),
            "0 to 1000 is accepted",
        );
    }

    fn require_domain(&mut self, deployment: &Deployment, field: String, domain: &FailureDomain) {
        let is_known = deployment.failure_domains.iter().any(|d| d.name == *domain);
        if !is_known {
            self.add_problem(field, format!("there is no failure domain named {domain}"));
        }
    }

    fn require_unique<T: Ord>(&mut self, field: &str, names: &[T]) {
        let mut sorted: Vec<_> = names.iter().collect();
        sorted.sort();
        sorted.dedup();
        self.require(sorted.len() == names.len(), field, "names must be unique");
    }
}
