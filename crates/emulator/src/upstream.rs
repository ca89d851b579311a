//! Emulated upstream: a gRPC server with slots, service times, load shedding, health and load
//! reports, and injectable faults.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::Stream;
use hawthorntide_types::{DurationMs, PerMille, ServiceId, SlotCount, WorkKind};
use hawthorntide_wire::upstream::health_report::State;
use hawthorntide_wire::upstream::upstream_server::{
    Upstream as UpstreamService, UpstreamServer as GrpcServer,
};
use hawthorntide_wire::upstream::{
    HealthReport, HealthRequest, Kind, LoadReport, LoadRequest, RunChunk, RunRequest,
};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::{Code, Request, Response, Status};

use crate::link::{FaultyStream, SharedFault, UpstreamFault};
use crate::work::WorkOrder;

/// Trailer that states whether rejected work was started.
const RAN_TRAILER: &str = "hawthorntide-ran";
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks queued for the agent.
const CHUNK_BACKLOG: usize = 64;
/// Accepted connections waiting for the gRPC server.
const CONNECTION_BACKLOG: usize = 64;
/// Load samples kept for lagging reports.
const MAX_LOAD_SAMPLES: usize = 65_536;
/// Longer deadlines are reduced to this; also applies to requests without a deadline.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// How far health and load reports follow the actual state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportAccuracy {
    /// Reports the current state.
    #[default]
    Truthful,
    /// Reports the load as it was this long ago, and the current health.
    Lagging(DurationMs),
    /// Always reports serving and idle.
    AlwaysIdle,
    /// Always reports failed and all slots in use.
    AlwaysFailed,
}

#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Listening address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Requests for any other service are rejected and counted as misdelivered.
    pub service: ServiceId,
    /// Maximum number of concurrent reservations and sheets.
    pub slots: SlotCount,
    /// Mean time for which a reservation or sheet occupies a slot.
    pub service_time_ms: DurationMs,
    /// Maximum deviation of the service time from its mean.
    pub jitter_per_mille: PerMille,
    /// Period after the start during which work takes longer.
    pub cold_start_ms: DurationMs,
    /// Service time during the cold start, relative to the normal one; above 1000.
    pub cold_per_mille: u32,
    /// Interval between messages of a stream.
    pub stream_interval_ms: DurationMs,
    /// Accuracy of health and load reports.
    pub reports: ReportAccuracy,
    /// Seed for the jitter of service times.
    pub seed: u64,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: ServiceId(0),
            slots: SlotCount(2),
            service_time_ms: DurationMs(10),
            jitter_per_mille: PerMille(200),
            cold_start_ms: DurationMs(0),
            cold_per_mille: 5000,
            stream_interval_ms: DurationMs(500),
            reports: ReportAccuracy::Truthful,
            seed: 0,
        }
    }
}

/// Number of times that an upstream started and completed the work of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Request id from the agent: session, epoch and sequence.
    pub request_id: String,
    /// Work id of the order, the same across all sessions of a caller.
    pub work_id: u64,
    pub kind: WorkKind,
    /// Number of times the work was started.
    pub runs: u32,
    /// Number of times the work was completed.
    pub completed: u32,
}

/// Counters of an emulated upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCounts {
    /// Reservations and sheets occupying a slot.
    pub in_flight: u32,
    pub open_streams: u32,
    /// Requests rejected because no slot was free.
    pub shed: u64,
    /// Runs cancelled by the agent.
    pub cancelled: u64,
    /// Runs aborted at their deadline.
    pub deadline_exceeded: u64,
    /// Requests for another service.
    pub misdelivered: u64,
    /// Completed runs of reservations and sheets.
    pub completed: u64,
    /// Time since a request of any kind was last started; `None` before the first.
    pub since_last_start: Option<Duration>,
}

#[derive(Debug)]
struct UpstreamState {
    slots: u32,
    reports: ReportAccuracy,
    is_draining: bool,
    counts: UpstreamCounts,
    last_start: Option<Instant>,
    records: BTreeMap<(String, u64), RunRecord>,
    samples: VecDeque<(Instant, u32)>,
    random: ChaCha8Rng,
}

#[derive(Debug)]
struct Shared {
    options: UpstreamOptions,
    started: Instant,
    state: Mutex<UpstreamState>,
}

/// Handle to a running emulated upstream, which is killed on drop. Its records stay readable after
/// [`Upstream::kill`].
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    fault: Arc<SharedFault>,
    shutdown: CancellationToken,
}

impl Upstream {
    /// Binds the address and starts serving.
    pub async fn bind(options: UpstreamOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(options));
        let fault = Arc::new(SharedFault::default());
        let shutdown = CancellationToken::new();
        let (sender, receiver) = mpsc::channel(CONNECTION_BACKLOG);
        tokio::spawn(accept(
            listener,
            sender,
            Arc::clone(&fault),
            shutdown.clone(),
        ));
        let service = GrpcServer::from_arc(Arc::new(Handler(Arc::clone(&shared))));
        let server = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(
                ReceiverStream::new(receiver),
                shutdown.clone().cancelled_owned(),
            );
        tokio::spawn(async move {
            if let Err(error) = server.await {
                log::warn!("upstream: {address} stopped serving: {error}");
            }
        });
        Ok(Self {
            address,
            shared,
            fault,
            shutdown,
        })
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault into all connections, including those already open.
    pub fn set_fault(&self, fault: UpstreamFault) {
        self.fault.set(fault);
    }

    /// Changes the number of slots. If it shrinks, running work is not interrupted.
    pub fn set_slots(&self, slots: SlotCount) {
        self.shared.state().slots = slots.get();
    }

    pub fn set_reports(&self, reports: ReportAccuracy) {
        self.shared.state().reports = reports;
    }

    /// Reports the upstream as draining from now on; work is still accepted.
    pub fn begin_drain(&self) {
        self.shared.state().is_draining = true;
    }

    /// Stops the upstream abruptly: all connections are reset and running work is lost.
    pub fn kill(&self) {
        self.shutdown.cancel();
    }

    pub fn counts(&self) -> UpstreamCounts {
        let state = self.shared.state();
        UpstreamCounts {
            since_last_start: state.last_start.map(|start| start.elapsed()),
            ..state.counts
        }
    }

    /// Runs of all requests, sorted by request id.
    pub fn records(&self) -> Vec<RunRecord> {
        self.shared.state().records.values().cloned().collect()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept(
    listener: TcpListener,
    connections: mpsc::Sender<std::io::Result<FaultyStream>>,
    fault: Arc<SharedFault>,
    shutdown: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("upstream: cannot set TCP_NODELAY: {error}");
        }
        let connection = FaultyStream::new(stream, Arc::clone(&fault), shutdown.clone());
        if connections.send(Ok(connection)).await.is_err() {
            return;
        }
    }
}

impl Shared {
    fn new(options: UpstreamOptions) -> Self {
        let state = UpstreamState {
            slots: options.slots.get(),
            reports: options.reports,
            is_draining: false,
            counts: UpstreamCounts::default(),
            last_start: None,
            records: BTreeMap::new(),
            samples: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
        };
        Self {
            options,
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < Duration::from(self.options.cold_start_ms)
    }

    /// Acquires a slot and records the start, or rejects the work as not started.
    fn start(
        self: &Arc<Self>,
        request_id: &str,
        order: &WorkOrder,
        kind: WorkKind,
    ) -> Result<RunningWork, Status> {
        let mut state = self.state();
        if order.service() != self.options.service {
            state.counts.misdelivered += 1;
            return Err(not_run_status(
                Code::InvalidArgument,
                "work of another service",
            ));
        }
        let holds_slot = kind != WorkKind::Stream;
        if holds_slot && state.counts.in_flight >= state.slots {
            state.counts.shed += 1;
            return Err(not_run_status(Code::ResourceExhausted, "no slot is free"));
        }
        if holds_slot {
            state.counts.in_flight += 1;
            state.sample_load();
        } else {
            state.counts.open_streams += 1;
        }
        state.last_start = Some(Instant::now());
        let key = (request_id.to_owned(), order.work_id);
        let record = state
            .records
            .entry(key.clone())
            .or_insert_with(|| RunRecord {
                request_id: request_id.to_owned(),
                work_id: order.work_id,
                kind,
                runs: 0,
                completed: 0,
            });
        record.runs += 1;
        drop(state);
        Ok(RunningWork {
            shared: Arc::clone(self),
            key,
            kind,
        })
    }

    fn service_time(&self) -> Duration {
        let mean_us = self.options.service_time_ms.get() * 1000;
        let spread = i64::from(self.options.jitter_per_mille.get());
        let deviation = self.state().random.random_range(-spread..=spread);
        let time_us = mean_us.saturating_add_signed(mean_us as i64 * deviation / 1000);
        let factor_per_mille = if self.is_cold() {
            u64::from(self.options.cold_per_mille)
        } else {
            1000
        };
        Duration::from_micros(time_us * factor_per_mille / 1000)
    }
}

impl UpstreamState {
    fn sample_load(&mut self) {
        if self.samples.len() == MAX_LOAD_SAMPLES {
            self.samples.pop_front();
        }
        self.samples
            .push_back((Instant::now(), self.counts.in_flight));
    }

    /// In-flight work as of `lag` ago.
    fn load_before(&self, lag: Duration) -> u32 {
        let newer = |(at, _): &&(Instant, u32)| at.elapsed() < lag;
        let before = self.samples.iter().rev().find(|sample| !newer(sample));
        before.map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// Work in progress; releases its slot on drop.
struct RunningWork {
    shared: Arc<Shared>,
    key: (String, u64),
    kind: WorkKind,
}

impl RunningWork {
    fn complete(self) {
        let mut state = self.shared.state();
        if let Some(record) = state.records.get_mut(&self.key) {
            record.completed += 1;
        }
        if self.kind != WorkKind::Stream {
            state.counts.completed += 1;
        }
    }
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if self.kind == WorkKind::Stream {
            state.counts.open_streams -= 1;
            return;
        }
        state.counts.in_flight -= 1;
        state.sample_load();
    }
}

struct Handler(Arc<Shared>);

type ChunkSender = mpsc::Sender<Result<RunChunk, Status>>;

#[tonic::async_trait]
impl UpstreamService for Handler {
    type RunStream = Pin<Box<dyn Stream<Item = Result<RunChunk, Status>> + Send>>;

    async fn run(&self, request: Request<RunRequest>) -> Result<Response<Self::RunStream>, Status> {
        let deadline = request_deadline(&request);
        let request = request.into_inner();
        let Some(kind) = work_kind(request.kind()) else {
            return Err(not_run_status(
                Code::InvalidArgument,
                "kind of work is missing",
            ));
        };
        let Ok(order) = WorkOrder::decode(&request.payload[..]) else {
            return Err(not_run_status(
                Code::InvalidArgument,
                "payload is not a work order",
            ));
        };
        let running = self.0.start(&request.request_id, &order, kind)?;
        let (chunks, receiver) = mpsc::channel(CHUNK_BACKLOG);
        tokio::spawn(run(running, order, deadline, chunks));
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn health(&self, _: Request<HealthRequest>) -> Result<Response<HealthReport>, Status> {
        let (reports, is_draining) = {
            let state = self.0.state();
            (state.reports, state.is_draining)
        };
        let state = match reports {
            ReportAccuracy::AlwaysFailed => State::Failed,
            ReportAccuracy::Truthful | ReportAccuracy::Lagging(_) if is_draining => State::Draining,
            ReportAccuracy::Truthful | ReportAccuracy::Lagging(_) if self.0.is_cold() => {
                State::Starting
            }
            ReportAccuracy::AlwaysIdle | ReportAccuracy::Truthful | ReportAccuracy::Lagging(_) => {
                State::Serving
            }
        };
        Ok(Response::new(HealthReport {
            state: state.into(),
        }))
    }

    async fn load(&self, _: Request<LoadRequest>) -> Result<Response<LoadReport>, Status> {
        let state = self.0.state();
        let in_flight = match state.reports {
            ReportAccuracy::Truthful => state.counts.in_flight,
            ReportAccuracy::Lagging(lag) => state.load_before(lag.into()),
            ReportAccuracy::AlwaysIdle => 0,
            ReportAccuracy::AlwaysFailed => state.slots,
        };
        Ok(Response::new(LoadReport {
            in_flight,
            slots: state.slots,
        }))
    }
}

/// Runs the work until it completes, is cancelled or reaches its deadline.
async fn run(
    running: RunningWork,
    order: WorkOrder,
    deadline: Option<Instant>,
    chunks: ChunkSender,
) {
    let limit = deadline.unwrap_or_else(|| Instant::now() + MAX_DEADLINE);
    let shared = Arc::clone(&running.shared);
    let is_stream = running.kind == WorkKind::Stream;
    let work = async {
        if is_stream {
            send_messages(&shared, &order, &chunks).await;
        } else {
            tokio::time::sleep(shared.service_time()).await;
        }
    };
    tokio::select! {
        () = work => {}
        () = chunks.closed() => {
            shared.state().counts.cancelled += 1;
            return;
        }
        () = tokio::time::sleep_until(limit.into()) => {
            shared.state().counts.deadline_exceeded += 1;
            drop(running);
            let status = Status::deadline_exceeded("the deadline passed during the run");
            // The agent may have closed the call at the same moment.
            let _ = chunks.send(Err(status)).await;
            return;
        }
    }
    // Releases the slot before the agent sees the end of the response, so that its next request is
    // not shed. A slow reader therefore does not extend the time for which the slot is occupied.
    running.complete();
    if is_stream {
        return;
    }
    for data in order.answer().chunks(CHUNK_BYTES) {
        let chunk = RunChunk {
            data: data.to_vec(),
        };
        if chunks.send(Ok(chunk)).await.is_err() {
            return;
        }
    }
}

async fn send_messages(shared: &Shared, order: &WorkOrder, chunks: &ChunkSender) {
    let interval_ms = shared.options.stream_interval_ms.get().max(1);
    let mut ticks = tokio::time::interval(Duration::from_millis(interval_ms));
    let last = u64::from(order.messages);
    let mut number = 0;
    while last == 0 || number < last {
        ticks.tick().await;
        let data = order.stream_message(number);
        if chunks.send(Ok(RunChunk { data })).await.is_err() {
            return;
        }
        number += 1;
    }
}

fn work_kind(kind: Kind) -> Option<WorkKind> {
    match kind {
        Kind::Unspecified => None,
        Kind::Stream => Some(WorkKind::Stream),
        Kind::Reservation => Some(WorkKind::Reservation),
        Kind::Sheet => Some(WorkKind::Sheet),
    }
}

fn not_run_status(code: Code, message: &str) -> Status {
    let mut status = Status::new(code, message);
    status.metadata_mut().insert(
        RAN_TRAILER,
        tonic::metadata::MetadataValue::from_static("no"),
    );
    status
}

/// Reads the deadline from `grpc-timeout`; tonic applies it only up to the start of the response.
fn request_deadline<T>(request: &Request<T>) -> Option<Instant> {
    let text = request.metadata().get("grpc-timeout")?.to_str().ok()?;
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let value: u64 = digits.parse().ok()?;
    let timeout = match unit {
        "H" => Duration::from_secs(value.saturating_mul(60 * 60)),
        "M" => Duration::from_secs(value.saturating_mul(60)),
        "S" => Duration::from_secs(value),
        "m" => Duration::from_millis(value),
        "u" => Duration::from_micros(value),
        "n" => Duration::from_nanos(value),
        _ => return None,
    };
    Some(Instant::now() + timeout.min(MAX_DEADLINE))
}
