//! Command `agent`: runs an agent until a shutdown signal and drains it.

use std::path::Path;

use hawthorntide_agent::{Agent, AgentError, AgentOptions, AgentTls};
use hawthorntide_configuration::{AgentSettings, Settings, TlsMaterial, load_settings};
use hawthorntide_types::{
    DurationMs, PerMille, Profile, RatePerSecond, ResultCode, Treatment, Urgency, WorkKind,
    WorkProfile,
};
use hawthorntide_wire::ControlCodec;

use crate::cli::RoleArguments;
use crate::failure::Failure;
use crate::{opaque, role, signal};

pub(crate) fn run(arguments: &RoleArguments) -> Result<ResultCode, Failure> {
    let path = &arguments.settings;
    match load_settings(path).map_err(role::to_failure)? {
        Settings::Agent(settings) => {
            let serve = serve(&settings, path);
            role::run(settings.log, settings.worker_count, serve)
        }
        Settings::OpaqueAgent(settings) => opaque::run_agent(&settings, path),
        Settings::Balancer(_) | Settings::OpaqueBalancer(_) => Err(role::wrong_role(path, "agent")),
    }
}

fn settings(path: &Path) -> Result<AgentSettings, Failure> {
    match load_settings(path).map_err(role::to_failure)? {
        Settings::Agent(settings) => Ok(*settings),
        _ => Err(role::wrong_role(path, "agent")),
    }
}

async fn serve(settings: &AgentSettings, path: &Path) -> Result<ResultCode, Failure> {
    let agent = Agent::spawn(options(settings)?).await.map_err(failure)?;
    let mut stops = signal::ShutdownSignals::open()?;
    let mut reloads = signal::ReloadSignals::open()?;
    loop {
        tokio::select! {
            () = stops.next() => break,
            () = reloads.next() => match reload(&agent, path) {
                Ok(()) => log::info!("agent: Keys and certificate renewed."),
                Err(failure) => log::error!(
                    "agent: Keys and certificate not renewed, previous ones kept: {failure}."
                ),
            },
        }
    }
    let report = agent.drain(settings.drain_limit_ms).await;
    log::info!(
        "agent: Stopped; {} flows and {} requests were still open.",
        report.open_flows,
        report.requests_in_progress
    );
    Ok(ResultCode::Ok)
}

/// Loads new keys and a new certificate. If a file is unreadable or invalid, the current ones stay
/// in use.
fn reload(agent: &Agent, path: &Path) -> Result<(), Failure> {
    let settings = settings(path)?;
    let keys = settings.key_files.load().map_err(role::to_failure)?;
    let tls = settings.tls_files.load().map_err(role::to_failure)?;
    agent.reload_tls(agent_tls(tls)).map_err(failure)?;
    agent.rotate_keys(keys.ring);
    Ok(())
}

fn options(settings: &AgentSettings) -> Result<AgentOptions, Failure> {
    let keys = settings.key_files.load().map_err(role::to_failure)?;
    let tls = settings.tls_files.load().map_err(role::to_failure)?;
    Ok(AgentOptions {
        service: settings.service.clone(),
        failure_domain: settings.failure_domain.clone(),
        data_address: settings.data_address,
        control_address: settings.control_address,
        upstream_address: settings.upstream_address,
        slots: settings.slots,
        balancers: settings.known_balancers.clone(),
        control: ControlCodec::new(&settings.cluster, keys.cluster),
        keys: keys.ring,
        tls: agent_tls(tls),
        profile: initial_profile(settings)?,
        incarnation: role::incarnation(),
    })
}

fn agent_tls(material: TlsMaterial) -> AgentTls {
    AgentTls {
        certificates: material.certificates,
        key: material.key,
    }
}

/// Profile that applies until the balancers send the profile of the service.
fn initial_profile(settings: &AgentSettings) -> Result<Profile, Failure> {
    let treatment = Treatment {
        urgency: Urgency::Normal,
        share_per_mille: PerMille(300),
        queue_wait_ms: DurationMs(1000),
        deadline_ms: DurationMs(5000),
        new_flows_per_second: RatePerSecond(1000),
        retry_budget_per_mille: PerMille(0),
    };
    let work = WorkKind::ALL.map(|kind| WorkProfile {
        kind,
        idempotent: kind == WorkKind::Sheet,
        calm: treatment,
        crowded: treatment,
    });
    let name = "first".parse();
    Ok(Profile {
        name: name.map_err(|error| Failure::new(ResultCode::Failure, error))?,
        target_delay_ms: DurationMs(20),
        drain_limit_ms: settings.drain_limit_ms,
        work: work.to_vec(),
    })
}

fn failure(error: AgentError) -> Failure {
    let code = match &error {
        AgentError::Bind { .. } => ResultCode::AddressInUse,
        AgentError::Tls(_) => ResultCode::SettingsInvalid,
    };
    Failure::new(code, error)
}
