//! Command `emulate`: emulates the platform store, an upstream or callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthorntide_configuration::LogSettings;
use hawthorntide_emulator::{
    StoreFaults, StoreServer, StoreServerOptions, Upstream, UpstreamOptions, WorkOrder,
};
use hawthorntide_types::{DurationMs, PerMille, ResultCode, ServiceId, SlotCount};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::call::{connect, order_call};
use crate::cli::{
    EmulateArguments, EmulateCallersArguments, EmulateCommand, EmulatePlatformArguments,
    EmulateUpstreamArguments,
};
use crate::failure::Failure;
use crate::output::{OutputFormat, Table, print_json, print_text};
use crate::{role, signal};

/// Number and latency of the requests with one result code.
#[derive(Clone, Debug, Serialize)]
struct CodeCount {
    code: ResultCode,
    name: &'static str,
    requests: usize,
    median_ms: u64,
    p99_ms: u64,
}

/// Result code and latency of one request.
type Outcome = (ResultCode, Duration);

pub(crate) async fn run(
    arguments: EmulateArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let _log = role::spawn_log(LogSettings::default())?;
    match arguments.command {
        EmulateCommand::Platform(arguments) => platform(&arguments).await,
        EmulateCommand::Upstream(arguments) => upstream(arguments).await,
        EmulateCommand::Callers(arguments) => callers(arguments, format).await,
    }
}

async fn platform(arguments: &EmulatePlatformArguments) -> Result<ResultCode, Failure> {
    let options = StoreServerOptions {
        seed: arguments.seed,
        ..StoreServerOptions::default()
    };
    let server = StoreServer::bind(arguments.address, options).map_err(address_in_use)?;
    server.handle().set_faults(StoreFaults {
        delay_ms: DurationMs(arguments.delay_ms),
        lost_answers_per_mille: PerMille(arguments.lost_answers_per_mille),
        event_delay_ms: DurationMs(arguments.event_delay_ms),
        call_limit: arguments.call_limit,
        ..StoreFaults::default()
    });
    print_text(&format!("platform store listening on {}", server.address()))?;
    signal::ShutdownSignals::open()?.next().await;
    let counts = server.handle().counts();
    print_text(&format!("{} calls", counts.total()))?;
    Ok(ResultCode::Ok)
}

async fn upstream(arguments: EmulateUpstreamArguments) -> Result<ResultCode, Failure> {
    let options = UpstreamOptions {
        address: arguments.address,
        service: ServiceId::of_name(&arguments.service),
        slots: SlotCount(arguments.slots),
        service_time_ms: DurationMs(arguments.service_time_ms),
        seed: arguments.seed,
        ..UpstreamOptions::default()
    };
    let upstream = Upstream::bind(options).await.map_err(address_in_use)?;
    print_text(&format!(
        "upstream of {} listening on {}",
        arguments.service,
        upstream.address()
    ))?;
    signal::ShutdownSignals::open()?.next().await;
    let counts = upstream.counts();
    print_text(&format!(
        "{} requests completed, {} shed",
        counts.completed, counts.shed
    ))?;
    Ok(ResultCode::Ok)
}

/// Runs all callers concurrently, each with one request at a time. Returns the result code of the
/// most frequent failure.
async fn callers(
    arguments: EmulateCallersArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let mut tasks = JoinSet::new();
    for caller in 0..arguments.callers {
        tasks.spawn(run_caller(arguments.clone(), caller));
    }
    let mut outcomes = Vec::new();
    while let Some(result) = tasks.join_next().await {
        outcomes.extend(result.map_err(|error| Failure::new(ResultCode::Failure, error))??);
    }
    let counts = count_by_code(outcomes);
    match format {
        OutputFormat::Json => print_json(&counts)?,
        OutputFormat::Table => table(&counts).print()?,
    }
    let failures = counts.iter().filter(|it| it.code != ResultCode::Ok);
    let most_frequent = failures.max_by_key(|it| it.requests);
    Ok(most_frequent.map_or(ResultCode::Ok, |it| it.code))
}

async fn run_caller(
    arguments: EmulateCallersArguments,
    number: u32,
) -> Result<Vec<Outcome>, Failure> {
    let (socket, caller) = connect(&arguments.target).await?;
    let deadline = Instant::now() + Duration::from_secs(arguments.seconds);
    let mut outcomes = Vec::new();
    while Instant::now() < deadline {
        let order = WorkOrder {
            work_id: u64::from(number) << 32 | outcomes.len() as u64,
            service_id: ServiceId::of_name(&arguments.target.service).get(),
            answer_bytes: arguments.answer_bytes,
            messages: 1,
        };
        let start = Instant::now();
        let call = order_call(&order, arguments.kind, arguments.deadline_ms);
        let answer = caller.call(&call).await;
        outcomes.push((answer.code, start.elapsed()));
        tokio::time::sleep(Duration::from_millis(arguments.pause_ms)).await;
    }
    caller.close();
    socket.close().await;
    Ok(outcomes)
}

fn count_by_code(outcomes: Vec<Outcome>) -> Vec<CodeCount> {
    let mut by_code: BTreeMap<ResultCode, Vec<Duration>> = BTreeMap::new();
    for (code, time) in outcomes {
        by_code.entry(code).or_default().push(time);
    }
    let mut counts = Vec::new();
    for (code, mut times) in by_code {
        times.sort();
        let percentile_ms = |per_mille: usize| {
            let index = (times.len() * per_mille / 1000).min(times.len() - 1);
            times[index].as_millis() as u64
        };
        counts.push(CodeCount {
            code,
            name: code.name(),
            requests: times.len(),
            median_ms: percentile_ms(500),
            p99_ms: percentile_ms(990),
        });
    }
    counts
}

fn table(counts: &[CodeCount]) -> Table {
    let mut table = Table::new(&["CODE", "REQUESTS", "MEDIAN", "P99"]);
    for it in counts {
        let (median, p99) = (format!("{} ms", it.median_ms), format!("{} ms", it.p99_ms));
        table.row(&[&it.code, &it.requests, &median, &p99]);
    }
    table
}

fn address_in_use(error: std::io::Error) -> Failure {
    Failure::new(ResultCode::AddressInUse, error)
}
