//! Runs balancers and agents for opaque flows until a shutdown signal.

use std::path::Path;

use hawthorntide_configuration::{
    HandOffRule, OpaqueAgentSettings, OpaqueBalancerSettings, OpaqueProcessSettings, load_settings,
};
use hawthorntide_opaque::{ColdStartTolerance, HandOff, OpeningPolicy};
use hawthorntide_relay::{
    ProcessOptions, RelayAgent, RelayAgentOptions, RelayBalancer, RelayBalancerOptions, StartError,
};
use hawthorntide_types::ResultCode;

use crate::failure::Failure;
use crate::{role, signal};

pub(crate) fn run_balancer(
    settings: &OpaqueBalancerSettings,
    path: &Path,
) -> Result<ResultCode, Failure> {
    role::run_on_one_thread(settings.process.log, serve_balancer(settings, path))
}

pub(crate) fn run_agent(
    settings: &OpaqueAgentSettings,
    path: &Path,
) -> Result<ResultCode, Failure> {
    role::run_on_one_thread(settings.process.log, serve_agent(settings, path))
}

async fn serve_balancer(
    settings: &OpaqueBalancerSettings,
    path: &Path,
) -> Result<ResultCode, Failure> {
    let options = RelayBalancerOptions {
        process: process_options(&settings.process),
        data_address: settings.data_address,
        ready_address: settings.process.ready_address,
        metrics_address: settings.process.metrics_address,
        has_evacuations: settings.has_evacuations,
        cold_start_tolerance: settings.cold_start.map(|cold_start| ColdStartTolerance {
            excess: cold_start.excess,
            slack: cold_start.slack,
        }),
    };
    log_start("balancer", &options.process);
    let balancer = RelayBalancer::spawn(options).await.map_err(failure)?;
    wait_for_stop(path).await?;
    log::info!("relay: Balancer stops.");
    balancer.drain(settings.drain_limit_ms).await;
    Ok(ResultCode::Ok)
}

async fn serve_agent(settings: &OpaqueAgentSettings, path: &Path) -> Result<ResultCode, Failure> {
    let options = RelayAgentOptions {
        process: process_options(&settings.process),
        service: settings.service.clone(),
        upstream_address: settings.upstream_address,
        upstream_output_address: settings.upstream_output_address,
        heartbeat_address: settings.heartbeat_address,
        ready_address: settings.process.ready_address,
        metrics_address: settings.process.metrics_address,
        caller_port: settings.data_address.port(),
        heartbeat_ms: settings.heartbeat_ms,
        flow_idle_ms: settings.flow_idle_ms,
        opening_policy: OpeningPolicy {
            hand_off: match settings.hand_off {
                HandOffRule::FirstFree => HandOff::FirstFree,
                HandOffRule::LeastLoaded => HandOff::LeastLoaded,
            },
            refuses_when_full: settings.refuses_when_full,
        },
    };
    log_start("agent", &options.process);
    let agent = RelayAgent::spawn(options).await.map_err(failure)?;
    wait_for_stop(path).await?;
    agent.stop().await;
    Ok(ResultCode::Ok)
}

/// Waits for a shutdown signal; validates the settings on each SIGHUP.
async fn wait_for_stop(path: &Path) -> Result<(), Failure> {
    let mut stops = signal::ShutdownSignals::open()?;
    let mut reloads = signal::ReloadSignals::open()?;
    loop {
        tokio::select! {
            () = stops.next() => return Ok(()),
            () = reloads.next() => validate_settings(path),
        }
    }
}

/// Validates changed settings, which take effect at the next start.
fn validate_settings(path: &Path) {
    match load_settings(path) {
        Ok(_) => log::info!("relay: Settings are valid; they take effect at the next start."),
        Err(problems) => {
            log::error!("relay: Invalid settings: {}.", role::to_failure(problems));
        }
    }
}

fn process_options(settings: &OpaqueProcessSettings) -> ProcessOptions {
    ProcessOptions {
        failure_domain: settings.failure_domain.clone(),
        peer_address: settings.peer_address,
        seeds: settings.seed_addresses.clone(),
        store_address: settings.store_address,
        incarnation: role::incarnation(),
        seed: rand::random(),
    }
}

fn log_start(role: &str, process: &ProcessOptions) {
    log::info!(
        role,
        peer:% = process.peer_address,
        incarnation:% = process.incarnation,
        failure_domain:% = process.failure_domain,
        store:% = process.store_address;
        "relay: Process started."
    );
}

fn failure(error: StartError) -> Failure {
    let code = match &error {
        StartError::Bind { .. } => ResultCode::AddressInUse,
        StartError::StoreClient | StartError::ConfigurationClient => ResultCode::Failure,
    };
    Failure::new(code, error)
}
