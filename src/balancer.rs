//! Command `balancer`: runs a balancer until a drain request or shutdown signal and drains it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use hawthorntide_admin::{AdminOptions, AdminServer, Operations};
use hawthorntide_balancer::{
    Balancer, BalancerError, BalancerOperations, BalancerOptions, Ingress, StoreLink,
};
use hawthorntide_configuration::{BalancerSettings, IngressSettings, Settings, load_settings};
use hawthorntide_store::{ObjectStore, StoreOptions};
use hawthorntide_timeline::{Component, Event, EventKind, Timeline};
use hawthorntide_types::{NodeId, ResultCode};
use hawthorntide_wire::ControlCodec;
use tokio_util::sync::CancellationToken;

use crate::cli::RoleArguments;
use crate::failure::Failure;
use crate::{opaque, role, signal};

/// Time limit for the store link to release its watcher slot at the end of the process.
const STORE_LINK_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) fn run(arguments: &RoleArguments) -> Result<ResultCode, Failure> {
    let path = &arguments.settings;
    match load_settings(path).map_err(role::to_failure)? {
        Settings::Balancer(settings) => {
            let serve = serve(&settings, path);
            role::run(settings.log, settings.worker_count, serve)
        }
        Settings::OpaqueBalancer(settings) => opaque::run_balancer(&settings, path),
        Settings::Agent(_) | Settings::OpaqueAgent(_) => Err(role::wrong_role(path, "balancer")),
    }
}

fn settings(path: &Path) -> Result<BalancerSettings, Failure> {
    match load_settings(path).map_err(role::to_failure)? {
        Settings::Balancer(settings) => Ok(*settings),
        _ => Err(role::wrong_role(path, "balancer")),
    }
}

async fn serve(settings: &BalancerSettings, path: &Path) -> Result<ResultCode, Failure> {
    let store = ObjectStore::open(settings.store_address, StoreOptions::default());
    let store = Arc::new(store.map_err(|error| Failure::new(ResultCode::Failure, error))?);
    let timeline = Timeline::for_process(format!("balancer {}", settings.control_address));
    let options = options(settings, Arc::clone(&timeline))?;
    let balancer = Balancer::spawn(options).await.map_err(failure)?;
    let node = NodeId::of_address(balancer.control_address());
    timeline.record(Event::new(Component::Balancer, EventKind::ProcessStarted));
    let (control, events) = (balancer.control(), Some(Arc::clone(&timeline)));
    let operations = BalancerOperations::new(node, control.clone(), Arc::clone(&store), events);
    let operations = Arc::new(operations);
    let stop = CancellationToken::new();
    let domain = settings.failure_domain.clone();
    let link = StoreLink::new(node, domain, control, store, stop.clone());
    let link = tokio::spawn(link.run());
    let _admin = admin(settings, Arc::clone(&operations)).await?;
    wait_for_shutdown(&balancer, &operations, path).await?;
    operations.begin_drain();
    timeline.record(Event::new(Component::Balancer, EventKind::DrainBegan));
    stop.cancel();
    log::info!("balancer: Drain started.");
    let report = balancer.drain(settings.drain_limit_ms).await;
    let link_result = tokio::time::timeout(STORE_LINK_TIMEOUT, link).await;
    log::info!(
        "balancer: Stopped; {} packets forwarded, {} replied, {} dropped, store link ended in time: {}.",
        report.packets_forwarded,
        report.packets_replied,
        report.packets_dropped,
        link_result.is_ok()
    );
    Ok(ResultCode::Ok)
}

async fn admin(
    settings: &BalancerSettings,
    operations: Arc<BalancerOperations>,
) -> Result<AdminServer, Failure> {
    let options = AdminOptions {
        teams: settings.teams.clone(),
        ..AdminOptions::default()
    };
    let address = settings.admin_address;
    let server = AdminServer::bind(address, options, operations).await;
    server.map_err(|error| {
        Failure::new(
            ResultCode::AddressInUse,
            format!("cannot bind {address}: {error}"),
        )
    })
}

/// Waits for a drain request or shutdown signal. Reloads the keys on SIGHUP.
async fn wait_for_shutdown(
    balancer: &Balancer,
    operations: &BalancerOperations,
    path: &Path,
) -> Result<(), Failure> {
    let mut stops = signal::ShutdownSignals::open()?;
    let mut reloads = signal::ReloadSignals::open()?;
    loop {
        tokio::select! {
            () = stops.next() => return Ok(()),
            () = operations.drain_requested() => return Ok(()),
            () = reloads.next() => reload(balancer, path),
        }
    }
}

/// Loads new keys. If a file is unreadable or invalid, the current keys stay in use.
fn reload(balancer: &Balancer, path: &Path) {
    let keys = settings(path).and_then(|it| it.key_files.load().map_err(role::to_failure));
    match keys {
        Ok(keys) => {
            balancer.rotate_keys(keys.ring);
            log::info!("balancer: Keys renewed.");
        }
        Err(failure) => log::error!("balancer: Keys not renewed, previous ones kept: {failure}."),
    }
}

fn options(
    settings: &BalancerSettings,
    timeline: Arc<Timeline>,
) -> Result<BalancerOptions, Failure> {
    let keys = settings.key_files.load().map_err(role::to_failure)?;
    let ingress = match settings.ingress {
        IngressSettings::Socket => Ingress::Socket,
        IngressSettings::Encapsulated { fabric_address } => {
            Ingress::Encapsulated { fabric_address }
        }
    };
    Ok(BalancerOptions {
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        data_address: settings.data_address,
        control_address: settings.control_address,
        ingress,
        services: Vec::new(),
        peers: settings.known_peers.clone(),
        admin_address: Some(settings.admin_address),
        control: ControlCodec::new(&settings.cluster, keys.cluster),
        keys: keys.ring,
        incarnation: role::incarnation(),
        timeline,
    })
}

fn failure(error: BalancerError) -> Failure {
    let BalancerError::Bind { .. } = &error;
    Failure::new(ResultCode::AddressInUse, error)
}
