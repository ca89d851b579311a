//! Emulated callers: long-lived flows, streams on them, and requests at a given rate.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

use hawthorntide_client::{
    AgentConnection, Answer, Call, CallError, CallerOptions, CallerSocket, Flow,
};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_routing::ConnectionIdCodec;
use hawthorntide_timeline::EventKind;
use hawthorntide_types::{EndpointId, Ran, ResultCode, ServiceId, ServiceName, WorkKind};
use prost::Message;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::cluster::Cluster;
use crate::deployment::{CallerMix, ServiceEntry};
use crate::observer::{FlowLoss, Observer, WorkOutcome};

const FLOWS_PER_SOCKET: u64 = 4;
const MAX_CONCURRENT_OPENS: usize = 64;
/// Delay before retrying to open a flow or stream.
const REOPEN_DELAY: Duration = Duration::from_millis(300);
/// Limit of concurrent requests per kind of work, as real callers have one.
const MAX_IN_PROGRESS: usize = 20_000;
/// Delay before a request is sent a second time.
const RESEND_DELAY: Duration = Duration::from_millis(10);
/// Position of the service id in an answer or stream message.
const ANSWER_SERVICE_RANGE: std::ops::Range<usize> = 8..16;

/// All callers of one service.
#[derive(Debug)]
pub(crate) struct Callers {
    index: usize,
    id: ServiceId,
    name: ServiceName,
    entry: ServiceEntry,
    addresses: Vec<SocketAddr>,
    codec: ConnectionIdCodec,
    observer: Arc<Observer>,
    flows: RwLock<Vec<OpenFlow>>,
    sockets: Vec<CallerSocket>,
    opening: Semaphore,
    stop: CancellationToken,
    random: Mutex<ChaCha8Rng>,
}

enum StreamEnd {
    /// The stream was refused before its first message.
    Refused(Arc<AgentConnection>, ResultCode),
    Lost(Arc<AgentConnection>, ResultCode),
}

#[derive(Clone, Debug)]
struct OpenFlow {
    flow: Arc<Flow>,
    close: CancellationToken,
}

impl Callers {
    pub(crate) fn bind(
        cluster: &Cluster,
        index: usize,
        observer: Arc<Observer>,
        seed: u64,
    ) -> Result<Arc<Self>, CallError> {
        let entry = cluster.deployment.services[index].clone();
        let count = cluster.deployment.connections(&entry);
        let mut sockets = Vec::new();
        for _ in 0..count.div_ceil(FLOWS_PER_SOCKET) {
            sockets.push(CallerSocket::bind(CallerOptions {
                local_address: SocketAddr::from(([127, 0, 0, 1], 0)),
                authority: vec![cluster.authority.certificate()],
            })?);
        }
        Ok(Arc::new(Self {
            index,
            id: ServiceId::of_name(&entry.name),
            name: entry.name.clone(),
            addresses: cluster.services[index].addresses.clone(),
            codec: cluster.connection_id_codec(),
            entry,
            observer,
            flows: RwLock::default(),
            sockets,
            opening: Semaphore::new(MAX_CONCURRENT_OPENS),
            stop: CancellationToken::new(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ index as u64)),
        }))
    }

    pub(crate) fn entry(&self) -> &ServiceEntry {
        &self.entry
    }

    pub(crate) fn sockets(&self) -> &[CallerSocket] {
        &self.sockets
    }

    pub(crate) fn open_flows(&self) -> usize {
        let flows = self.flows.read().unwrap_or_else(PoisonError::into_inner);
        flows.len()
    }

    /// Starts `count` tasks, each of which keeps one flow open.
    pub(crate) fn spawn_flows(self: &Arc<Self>, count: u64) {
        for number in 0..count {
            let callers = Arc::clone(self);
            tokio::spawn(async move { callers.maintain_flow(number).await });
        }
    }

    /// Starts the requests and the flow churn that the deployment file specifies.
    pub(crate) fn spawn_requests(self: &Arc<Self>) {
        for mix in &self.entry.callers {
            let rate = self.entry.capacity_per_second() * f64::from(mix.load_per_mille) / 1000.0;
            if mix.kind != WorkKind::Stream && rate > 0.0 {
                let requests = Arc::clone(self).generate_requests(mix.clone(), rate, false);
                tokio::spawn(self.stop.clone().run_until_cancelled_owned(requests));
            }
        }
        if self.entry.new_flows_per_second.get() > 0 {
            let churn = Arc::clone(self).churn_flows();
            tokio::spawn(self.stop.clone().run_until_cancelled_owned(churn));
        }
    }

    /// Floods the service with one kind of work until `end` is cancelled.
    pub(crate) fn spawn_flood(self: &Arc<Self>, kind: WorkKind, rate: f64, end: CancellationToken) {
        let Some(mix) = self.entry.mix(kind) else {
            return;
        };
        let requests = Arc::clone(self).generate_requests(mix.clone(), rate, true);
        tokio::spawn(async move { end.run_until_cancelled_owned(requests).await });
    }

    /// Stops requests and flow churn.
    pub(crate) fn stop_requests(&self) {
        self.stop.cancel();
    }

    /// Records a loss for each open flow whose endpoint was killed but whose caller has not noticed
    /// it.
    pub(crate) fn count_unnoticed_losses(&self, killed: &[EndpointId]) {
        let flows = self.flows.read().unwrap_or_else(PoisonError::into_inner);
        for open in flows.iter() {
            let caller = open.flow.connection();
            let endpoint = self.endpoint_of(&caller);
            let is_killed = endpoint.is_some_and(|endpoint| killed.contains(&endpoint));
            if is_killed && caller.close_reason().is_none() {
                let loss = FlowLoss {
                    at: self.observer.now(),
                    endpoint,
                    reason: format!("{}: not noticed before the end of the trial", self.name),
                };
                self.observer
                    .record_loss(self.id, ResultCode::UnknownAgentGone, loss);
            }
        }
    }

    fn random<T>(&self, choose: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        choose(&mut random)
    }

    fn random_flow(&self) -> Option<OpenFlow> {
        let flows = self.flows.read().unwrap_or_else(PoisonError::into_inner);
        self.random(|random| flows.choose(random).cloned())
    }

    /// Keeps one flow open, opening a new one whenever it is lost or closed.
    async fn maintain_flow(self: Arc<Self>, number: u64) {
        let socket = &self.sockets[(number / FLOWS_PER_SOCKET) as usize];
        let address = self.addresses[number as usize % self.addresses.len()];
        let streams = self.entry.mix(WorkKind::Stream);
        let has_stream =
            streams.is_some_and(|mix| number % 1000 < u64::from(mix.connections_per_mille.get()));
        while !self.observer.is_stopping() {
            let opened = {
                let _permit = self.opening.acquire().await;
                Flow::open(socket.clone(), self.name.as_str(), address).await
            };
            let Ok(flow) = opened else {
                self.observer.failed_opens.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(REOPEN_DELAY).await;
                continue;
            };
            self.observer.record_flow(self.id, EventKind::FlowOpened);
            let open = OpenFlow {
                flow: Arc::new(flow),
                close: CancellationToken::new(),
            };
            self.add(&open);
            let use_flow = self.use_flow(&open.flow, has_stream);
            // A flow closed here ends after its requests in progress, because they hold references to
            // it.
            open.close.run_until_cancelled(use_flow).await;
            self.remove(&open);
        }
    }

    fn add(&self, open: &OpenFlow) {
        let mut flows = self.flows.write().unwrap_or_else(PoisonError::into_inner);
        flows.push(open.clone());
    }

    fn remove(&self, open: &OpenFlow) {
        let mut flows = self.flows.write().unwrap_or_else(PoisonError::into_inner);
        flows.retain(|other| !Arc::ptr_eq(&other.flow, &open.flow));
    }

    /// Uses a flow and reopens it after each loss; returns when it cannot be reopened.
    async fn use_flow(&self, flow: &Flow, has_stream: bool) {
        loop {
            let (caller, code) = if has_stream {
                match self.read_stream(flow).await {
                    StreamEnd::Lost(caller, code) => (caller, code),
                    StreamEnd::Refused(caller, code) => {
                        log::debug!("trial: Stream refused: {code}.");
                        tokio::time::sleep(REOPEN_DELAY).await;
                        if flow.move_away(&caller).await.is_err() {
                            return;
                        }
                        continue;
                    }
                }
            } else {
                (flow.lost().await, ResultCode::UnknownAgentGone)
            };
            let reason = match caller.close_reason() {
                Some(reason) => format!("{reason} ({code})"),
                None => code.to_string(),
            };
            let loss = FlowLoss {
                at: self.observer.now(),
                endpoint: self.endpoint_of(&caller),
                reason: format!("{}: {reason}", self.name),
            };
            self.observer.record_loss(self.id, code, loss);
            if self.observer.is_stopping() {
                return;
            }
            if caller.close_reason().is_none() {
                tokio::time::sleep(REOPEN_DELAY).await;
                continue;
            }
            let Ok(next) = flow.reopen(&caller).await else {
                return;
            };
            let kind = if next.has_same_session(&caller) {
                EventKind::FlowResumed
            } else {
                EventKind::FlowOpened
            };
            self.observer.record_flow(self.id, kind);
        }
    }

    /// Reads a stream to its end and checks each message.
    async fn read_stream(&self, flow: &Flow) -> StreamEnd {
        let order = self.order(0);
        let caller = flow.connection();
        let mut stream = match flow.open_stream(order.encode_to_vec()).await {
            Ok(stream) => stream,
            Err(code) => return StreamEnd::Lost(caller, code),
        };
        let mut number = 0;
        let code = loop {
            match stream.next_message().await {
                Ok(Some(message)) => self.check_message(&order, number, &message),
                Ok(None) => break ResultCode::AnswerCut,
                Err(code) if number == 0 && code.ran() == Ran::No => {
                    return StreamEnd::Refused(Arc::clone(stream.connection()), code);
                }
                Err(code) => break code,
            }
            number += 1;
        };
        StreamEnd::Lost(Arc::clone(stream.connection()), code)
    }

    fn check_message(&self, order: &WorkOrder, number: u64, message: &[u8]) {
        if message == order.stream_message(number) {
            return;
        }
        let mut observations = self.observer.observations();
        if self.is_from_other_service(message) {
            observations.other_service_messages += 1;
        } else {
            observations.wrong_messages += 1;
        }
    }

    fn is_from_other_service(&self, answer: &[u8]) -> bool {
        let service = answer.get(ANSWER_SERVICE_RANGE);
        service.is_some_and(|service| service != self.id.get().to_be_bytes())
    }

    fn endpoint_of(&self, caller: &AgentConnection) -> Option<EndpointId> {
        let token = self.codec.decode(&caller.resume_state().connection_id)?;
        Some(token.endpoint)
    }

    fn order(&self, answer_bytes: u32) -> WorkOrder {
        WorkOrder {
            work_id: self.observer.next_work_id(),
            service_id: self.id.get(),
            answer_bytes,
            messages: 0,
        }
    }

    /// Sends requests over random flows as a Poisson process with `rate` requests per second.
    async fn generate_requests(self: Arc<Self>, mix: CallerMix, rate: f64, is_flood: bool) {
        let limit = Arc::new(Semaphore::new(MAX_IN_PROGRESS));
        let mut next = tokio::time::Instant::now();
        loop {
            let share: f64 = self.random(|random| random.random_range(f64::EPSILON..1.0));
            next += Duration::from_secs_f64(-share.ln() / rate);
            if next > tokio::time::Instant::now() {
                tokio::time::sleep_until(next).await;
            }
            let Some(open) = self.random_flow() else {
                continue;
            };
            let Ok(permit) = Arc::clone(&limit).try_acquire_owned() else {
                self.observer
                    .skipped_requests
                    .fetch_add(1, Ordering::Relaxed);
                tokio::task::yield_now().await;
                continue;
            };
            let callers = Arc::clone(&self);
            let mix = mix.clone();
            tokio::spawn(async move {
                callers.send_request(&open.flow, &mix, is_flood).await;
                drop(permit);
            });
        }
    }

    async fn send_request(&self, flow: &Flow, mix: &CallerMix, is_flood: bool) {
        let order = self.order(mix.answer_bytes.get() as u32);
        let call = Call {
            kind: mix.kind,
            deadline_ms: mix.deadline_ms,
            payload: order.encode_to_vec(),
        };
        let sent_at = self.observer.now();
        let began = Instant::now();
        self.observer.in_progress.fetch_add(1, Ordering::Relaxed);
        let answer = if self.should_resend(mix) {
            self.call_with_resend(&flow.connection(), &order, &call)
                .await
        } else if mix.kind == WorkKind::Sheet {
            flow.call_idempotent(&call).await
        } else {
            flow.call(&call).await
        };
        self.observer.in_progress.fetch_sub(1, Ordering::Relaxed);
        let is_ok = answer.code == ResultCode::Ok;
        let outcome = WorkOutcome {
            work_id: order.work_id,
            service: self.index,
            kind: mix.kind,
            is_flood,
            sent_at,
            latency: began.elapsed(),
            deadline: mix.deadline_ms.into(),
            code: answer.code,
            is_correct_answer: is_ok && answer.data == order.answer(),
            names_other_service: is_ok && self.is_from_other_service(&answer.data),
        };
        self.observer.record_outcome(self.id, outcome);
    }

    fn should_resend(&self, mix: &CallerMix) -> bool {
        let resent = mix.resent_per_mille.get();
        resent > 0 && self.random(|random| random.random_range(0..1000) < resent)
    }

    /// Sends a request and, while it is in progress, sends it again under the same sequence number, as
    /// a caller does after a timeout. Returns the first answer, or the second if the first is
    /// `InProgress`.
    async fn call_with_resend(
        &self,
        caller: &AgentConnection,
        order: &WorkOrder,
        call: &Call,
    ) -> Answer {
        let sequence = caller.next_sequence();
        let resend = async {
            tokio::time::sleep(RESEND_DELAY).await;
            caller.call_with_sequence(sequence, call, true).await
        };
        let (first, second) =
            tokio::join!(caller.call_with_sequence(sequence, call, false), resend);
        if second.code == ResultCode::Ok && second.data != order.answer() {
            self.observer.observations().wrong_messages += 1;
        }
        if second.code.ran() == Ran::No && first.code.ran() != Ran::No {
            self.observer
                .observations()
                .contradicted_refusals
                .push(order.work_id);
        }
        // If the second request arrives before the first, the first is answered with `InProgress`.
        if first.code == ResultCode::InProgress {
            second
        } else {
            first
        }
    }

    /// Closes random flows at the configured rate; each is replaced immediately.
    async fn churn_flows(self: Arc<Self>) {
        let pause = Duration::from_secs(1) / self.entry.new_flows_per_second.get();
        let mut ticks = tokio::time::interval(pause);
        loop {
            ticks.tick().await;
            if let Some(open) = self.random_flow() {
                open.close.cancel();
            }
        }
    }
}
