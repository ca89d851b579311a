//! Emulated processes of a trial. Each has a dedicated runtime, so that it can be killed or paused
//! as a whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_agent::{Agent, DrainReport};
use hawthorntide_balancer::{Balancer, BalancerReport};
use hawthorntide_emulator::Upstream;
use hawthorntide_timeline::Timeline;
use hawthorntide_types::{ByteCount, DurationMs, EndpointId, ServiceName};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio_util::sync::DropGuard;

/// Runtime with one worker thread, as on a small VM.
#[derive(Debug)]
pub(crate) struct ProcessRuntime(Option<Runtime>);

impl ProcessRuntime {
    pub(crate) fn new(name: &str) -> std::io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(name)
            .enable_all()
            .build()?;
        Ok(Self(Some(runtime)))
    }

    /// Returns `None` if the process has ended.
    pub(crate) fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Option<JoinHandle<T>> {
        Some(self.0.as_ref()?.spawn(task))
    }

    /// Ends all tasks abruptly.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for ProcessRuntime {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Debug)]
pub struct BalancerProcess {
    pub(crate) runtime: ProcessRuntime,
    pub(crate) balancer: Option<Balancer>,
    /// Stops the link to the platform store when dropped.
    pub(crate) store_link: Option<DropGuard>,
    pub(crate) data_address: SocketAddr,
    pub(crate) control_address: SocketAddr,
    pub(crate) timeline: Arc<Timeline>,
    /// Control traffic in the measured part of the trial.
    pub(crate) control_traffic: ControlTraffic,
}

/// Total of control bytes at the first and the last sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlTraffic {
    first: Option<(Duration, ByteCount)>,
    last: Option<(Duration, ByteCount)>,
}

impl ControlTraffic {
    /// Mean rate; `None` if the samples span less than a second.
    pub(crate) fn bytes_per_second(&self) -> Option<u64> {
        let (began, before) = self.first?;
        let (ended, after) = self.last?;
        let seconds = ended.saturating_sub(began).as_secs_f64();
        let bytes = after.get().saturating_sub(before.get());
        (seconds >= 1.0).then(|| (bytes as f64 / seconds) as u64)
    }
}

impl BalancerProcess {
    pub(crate) fn sample_control_bytes(&mut self, at: Duration) {
        let Some(balancer) = &self.balancer else {
            return;
        };
        let sample = (at, balancer.control_bytes());
        self.control_traffic.first.get_or_insert(sample);
        self.control_traffic.last = Some(sample);
    }

    pub const fn data_address(&self) -> SocketAddr {
        self.data_address
    }

    /// Returns true if the balancer is running and is not shutting down.
    pub const fn is_serving(&self) -> bool {
        self.balancer.is_some()
    }

    /// `None` once the balancer was stopped or killed.
    pub const fn balancer(&self) -> Option<&Balancer> {
        self.balancer.as_ref()
    }

    /// Starts a graceful shutdown; the handle resolves to the balancer's report.
    pub fn begin_stop(&mut self, limit: DurationMs) -> Option<JoinHandle<BalancerReport>> {
        let balancer = self.balancer.take()?;
        self.store_link = None;
        self.runtime
            .spawn(async move { balancer.drain(limit).await })
    }

    /// Ends the process abruptly.
    pub fn kill(&mut self) {
        self.runtime.kill();
        self.balancer = None;
    }

    /// Blocks all tasks of the process for `duration`, as on a paused or CPU-starved VM.
    pub fn pause(&self, duration: Duration) {
        let pause = async move { std::thread::sleep(duration) };
        if self.runtime.spawn(pause).is_none() {
            log::warn!("trial: Cannot pause a balancer that has ended.");
        }
    }
}

/// Upstream together with its agent.
#[derive(Debug)]
pub struct UpstreamProcess {
    pub(crate) runtime: ProcessRuntime,
    pub(crate) agent: Option<Agent>,
    pub(crate) service: ServiceName,
    pub(crate) endpoint: EndpointId,
    pub(crate) upstream: Upstream,
    pub(crate) drain_began: Option<Instant>,
    pub(crate) was_killed: bool,
}

impl UpstreamProcess {
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The emulated upstream, whose records stay readable after it has ended.
    pub const fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// `None` once the upstream is draining or was killed.
    pub const fn agent(&self) -> Option<&Agent> {
        self.agent.as_ref()
    }

    /// Returns true if the upstream accepts new work.
    pub const fn is_serving(&self) -> bool {
        self.agent.is_some()
    }

    pub const fn was_killed(&self) -> bool {
        self.was_killed
    }

    pub const fn drain_began(&self) -> Option<Instant> {
        self.drain_began
    }

    /// Starts a drain; the handle resolves to the agent's drain report.
    pub fn begin_drain(&mut self, limit: DurationMs) -> Option<JoinHandle<DrainReport>> {
        let agent = self.agent.take()?;
        self.drain_began = Some(Instant::now());
        self.upstream.begin_drain();
        self.runtime.spawn(async move { agent.drain(limit).await })
    }

    /// Ends agent and upstream abruptly.
    pub fn kill(&mut self) {
        self.was_killed = true;
        self.runtime.kill();
        self.upstream.kill();
        self.agent = None;
    }
}
