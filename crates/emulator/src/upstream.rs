//! Emulated upstream: a gRPC server with slots, service times, shedding, reports and faults.

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

use crate::link::{FaultCell, Link, UpstreamFault};
use crate::work::WorkOrder;

/// Trailer that states whether refused work was started.
const RAN_TRAILER: &str = "hawthorntide-ran";
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that wait for the agent; a slow reader holds the slot no longer than the run takes.
const CHUNK_BACKLOG: usize = 64;
/// Connections that wait to be accepted by the gRPC server.
const CONNECTION_BACKLOG: usize = 64;
/// Load samples that are kept for lagging reports.
const MAX_LOAD_SAMPLES: usize = 65_536;
/// Longest deadline that is taken from a request: one day.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// How health and load reports relate to the truth.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reports {
    /// Reports state what holds now.
    #[default]
    Truthful,
    /// Reports state what held some time ago.
    Lagging(DurationMs),
    /// Reports state that the upstream is serving and idle, whatever holds.
    AlwaysIdle,
    /// Reports state that the upstream failed and is full, whatever holds.
    AlwaysFailed,
}

/// Settings of an emulated upstream.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Address to listen on; port 0 selects a free one.
    pub address: SocketAddr,
    /// Service whose work it does; work of another service is counted as misdelivered.
    pub service: ServiceId,
    /// Units of concurrent work.
    pub slots: SlotCount,
    /// Mean time that a reservation or sheet holds a slot.
    pub service_time_ms: DurationMs,
    /// Largest deviation from the mean time.
    pub jitter_per_mille: PerMille,
    /// Time after the start during which work takes longer.
    pub cold_start_ms: DurationMs,
    /// Service time during the cold start in thousandths of the usual one, above 1000.
    pub cold_per_mille: u32,
    /// Time between two messages of a stream.
    pub stream_interval_ms: DurationMs,
    /// Relation of the reports to the truth.
    pub reports: Reports,
    /// Seed of the deviations of service times.
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
            reports: Reports::Truthful,
            seed: 0,
        }
    }
}

/// Runs of one request at one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// Session, epoch and sequence as the agent stated them.
    pub request_id: String,
    /// Work id of the order; equal over all sessions of a caller.
    pub work_id: u64,
    /// Kind of work.
    pub kind: WorkKind,
    /// Number of times that the work was started.
    pub runs: u32,
    /// Number of times that the work was completed.
    pub completed: u32,
}

/// Counters of an emulated upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCounts {
    /// Reservations and sheets that hold a slot now.
    pub in_flight: u32,
    /// Streams that are open now.
    pub open_streams: u32,
    /// Requests that were refused because no slot was free.
    pub shed: u64,
    /// Runs that were cancelled by the agent.
    pub cancelled: u64,
    /// Runs that the deadline ended.
    pub deadline_exceeded: u64,
    /// Requests that belong to another service.
    pub misdelivered: u64,
    /// Runs of reservations and sheets that were completed.
    pub completed: u64,
    /// Time since the last request of any kind was started.
    pub since_last_start: Option<Duration>,
}

#[derive(Debug)]
struct Condition {
    slots: u32,
    reports: Reports,
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
    state: Mutex<Condition>,
}

/// Handle of a running emulated upstream. Its records stay readable after [`Upstream::kill`];
/// dropping the handle kills it too.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    fault: Arc<FaultCell>,
    cut: CancellationToken,
}

impl Upstream {
    /// Binds the address and serves until the handle is dropped.
    pub async fn bind(options: UpstreamOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(options));
        let fault = Arc::new(FaultCell::default());
        let cut = CancellationToken::new();
        let (sender, receiver) = mpsc::channel(CONNECTION_BACKLOG);
        tokio::spawn(accept(listener, sender, Arc::clone(&fault), cut.clone()));
        let service = GrpcServer::from_arc(Arc::new(Handler(Arc::clone(&shared))));
        let server = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(
                ReceiverStream::new(receiver),
                cut.clone().cancelled_owned(),
            );
        tokio::spawn(async move {
            if let Err(error) = server.await {
                log::warn!("upstream: {address} ended: {error}");
            }
        });
        Ok(Self {
            address,
            shared,
            fault,
            cut,
        })
    }

    /// Returns the address that the agent connects to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behaviour of all connections.
    pub fn set_fault(&self, fault: UpstreamFault) {
        self.fault.set(fault);
    }

    /// Changes the number of slots; running work is not interrupted.
    pub fn set_slots(&self, slots: SlotCount) {
        self.shared.state().slots = slots.get();
    }

    /// Changes how reports relate to the truth.
    pub fn set_reports(&self, reports: Reports) {
        self.shared.state().reports = reports;
    }

    /// Reports the draining state from now on; work is still accepted.
    pub fn begin_drain(&self) {
        self.shared.state().is_draining = true;
    }

    /// Ends the upstream at once: all connections are reset and running work is lost.
    pub fn kill(&self) {
        self.cut.cancel();
    }

    /// Returns the counters.
    pub fn counts(&self) -> UpstreamCounts {
        let state = self.shared.state();
        UpstreamCounts {
            since_last_start: state.last_start.map(|start| start.elapsed()),
            ..state.counts
        }
    }

    /// Returns the runs of each request in ascending order of request id.
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
    connections: mpsc::Sender<std::io::Result<Link>>,
    fault: Arc<FaultCell>,
    cut: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = cut.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("upstream: no-delay was not set: {error}");
        }
        let link = Link::new(stream, Arc::clone(&fault), cut.clone());
        if connections.send(Ok(link)).await.is_err() {
            return;
        }
    }
}

impl Shared {
    fn new(options: UpstreamOptions) -> Self {
        let state = Condition {
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

    fn state(&self) -> MutexGuard<'_, Condition> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < Duration::from(self.options.cold_start_ms)
    }

    /// Takes a slot, or refuses the work before it is started.
    fn start(
        self: &Arc<Self>,
        request_id: &str,
        order: &WorkOrder,
        kind: WorkKind,
    ) -> Result<Running, Status> {
        let mut state = self.state();
        if order.service() != self.options.service {
            state.counts.misdelivered += 1;
            return Err(not_run(Code::InvalidArgument, "work of another service"));
        }
        let holds_slot = kind != WorkKind::Stream;
        if holds_slot && state.counts.in_flight >= state.slots {
            state.counts.shed += 1;
            return Err(not_run(Code::ResourceExhausted, "no slot is free"));
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
        Ok(Running {
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

impl Condition {
    fn sample_load(&mut self) {
        if self.samples.len() == MAX_LOAD_SAMPLES {
            self.samples.pop_front();
        }
        self.samples
            .push_back((Instant::now(), self.counts.in_flight));
    }

    /// Returns the in-flight work `lag` ago.
    fn load_before(&self, lag: Duration) -> u32 {
        let newer = |(at, _): &&(Instant, u32)| at.elapsed() < lag;
        let before = self.samples.iter().rev().find(|sample| !newer(sample));
        before.map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// Work that was started; dropping it gives the slot back.
struct Running {
    shared: Arc<Shared>,
    key: (String, u64),
    kind: WorkKind,
}

impl Running {
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

impl Drop for Running {
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
        let deadline = deadline_of(&request);
        let request = request.into_inner();
        let Some(kind) = kind_of(request.kind()) else {
            return Err(not_run(Code::InvalidArgument, "kind of work is missing"));
        };
        let Ok(order) = WorkOrder::decode(&request.payload[..]) else {
            return Err(not_run(Code::InvalidArgument, "payload is no work order"));
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
            Reports::AlwaysFailed => State::Failed,
            Reports::Truthful | Reports::Lagging(_) if is_draining => State::Draining,
            Reports::Truthful | Reports::Lagging(_) if self.0.is_cold() => State::Starting,
            Reports::AlwaysIdle | Reports::Truthful | Reports::Lagging(_) => State::Serving,
        };
        Ok(Response::new(HealthReport {
            state: state.into(),
        }))
    }

    async fn load(&self, _: Request<LoadRequest>) -> Result<Response<LoadReport>, Status> {
        let state = self.0.state();
        let in_flight = match state.reports {
            Reports::Truthful => state.counts.in_flight,
            Reports::Lagging(lag) => state.load_before(lag.into()),
            Reports::AlwaysIdle => 0,
            Reports::AlwaysFailed => state.slots,
        };
        Ok(Response::new(LoadReport {
            in_flight,
            slots: state.slots,
        }))
    }
}

/// Does the work until it is complete, cancelled or past its deadline.
async fn run(running: Running, order: WorkOrder, deadline: Option<Instant>, chunks: ChunkSender) {
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
    // The slot is free before the agent learns of the end, so that its next request is not shed.
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

fn kind_of(kind: Kind) -> Option<WorkKind> {
    match kind {
        Kind::Unspecified => None,
        Kind::Stream => Some(WorkKind::Stream),
        Kind::Reservation => Some(WorkKind::Reservation),
        Kind::Sheet => Some(WorkKind::Sheet),
    }
}

fn not_run(code: Code, message: &str) -> Status {
    let mut status = Status::new(code, message);
    status.metadata_mut().insert(
        RAN_TRAILER,
        tonic::metadata::MetadataValue::from_static("no"),
    );
    status
}

/// Reads the deadline of a call; tonic applies it to the start of the answer only.
fn deadline_of<T>(request: &Request<T>) -> Option<Instant> {
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
