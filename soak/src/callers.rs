//! Callers that send requests continuously and check the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_routing::FlowKey;
use hawthorntide_standins::{CallError, Caller, Router};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::deployment::{Deployment, service_address};
use crate::record::{RunRecord, SETTLE_TIME};

/// Maximum number of requests on a flow.
const MAX_REQUESTS: u32 = 60;

const MAX_PAUSE_MS: u64 = 120;

const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Time in which the last packet of a flow reaches its upstream.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// Name under which floods are recorded.
pub(crate) const FLOOD: &str = "flood";

/// Maximum number of requests on a flow of a flood, which opens flows at a high rate.
const MAX_FLOOD_REQUESTS: u32 = 8;

/// Interval at which the callers of a flood check whether it lasts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerKind {
    /// Calls both services at all times, with pauses.
    Steady,
    /// Calls one service without pauses, during floods only.
    Flood,
}

/// Opens flows and sends requests on them until the task is aborted. While there is only planned work, every
/// other flow that ended in order is followed by one from the same port.
pub(crate) async fn run(
    kind: CallerKind,
    number: u8,
    address: SocketAddr,
    router: Arc<Router>,
    record: Arc<RunRecord>,
    seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut caller = match Caller::bind(address, Arc::clone(&router)).await {
        Ok(caller) => caller,
        Err(error) => {
            record.record_violation(format!("caller {number} cannot bind {address}: {error}"));
            return;
        }
    };
    let mut is_port_used_again = false;
    let mut service = 0;
    let (services, max_requests, max_pause_ms) = match kind {
        CallerKind::Steady => (2, MAX_REQUESTS, MAX_PAUSE_MS),
        CallerKind::Flood => (1, MAX_FLOOD_REQUESTS, 0),
    };
    for flow_number in 0u64.. {
        while kind == CallerKind::Flood && !record.is_disturbed(FLOOD) {
            sleep(POLL_INTERVAL).await;
        }
        let opened = if is_port_used_again {
            caller.open_again(service_address(service)).await
        } else {
            service = random.random_range(0..services);
            caller.open(service_address(service)).await
        };
        is_port_used_again = false;
        let Ok(mut flow) = opened else {
            record.count_failed();
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let mut history = FlowHistory {
            key: flow.key,
            upstream: None,
            opened_at: Instant::now(),
        };
        for request in 0..random.random_range(1..=max_requests) {
            let text = format!("{number}-{flow_number}-{request}");
            let sent_at = Instant::now();
            let result = caller.call(&mut flow, &text, CALL_TIMEOUT).await;
            let has_failed = result.is_err();
            history.check_result(&record, &router, &text, result, sent_at);
            is_port_used_again = !has_failed && record.is_planned_work() && flow_number % 2 == 0;
            if has_failed {
                break;
            }
            let pause_ms = random.random_range(0..=max_pause_ms);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        caller.close(&flow);
        if is_port_used_again {
            sleep(CLOSE_TIME).await;
        }
    }
}

/// State of a flow that the caller needs to check later results.
struct FlowHistory {
    key: FlowKey,
    /// Upstream that answered the first request.
    upstream: Option<String>,
    opened_at: Instant,
}

impl FlowHistory {
    fn check_result(
        &mut self,
        record: &RunRecord,
        router: &Router,
        request: &str,
        result: Result<String, CallError>,
        sent_at: Instant,
    ) {
        match result {
            Ok(answer) => {
                record.count_answered();
                self.check_answer(record, request, &answer);
            }
            Err(error) => {
                record.count_failed();
                self.check_failure(record, router, request, error, sent_at);
            }
        }
    }

    fn check_answer(&mut self, record: &RunRecord, request: &str, answer: &str) {
        let Some((answered, upstream)) = answer.split_once(" from ") else {
            record.record_violation(format!("{}: malformed answer {answer:?}", self.key));
            return;
        };
        if answered != request {
            record.record_violation(format!(
                "{}: request {request} got the answer to {answered}",
                self.key
            ));
        }
        let first = self.upstream.get_or_insert_with(|| upstream.to_owned());
        if first != upstream {
            record.record_violation(format!(
                "{}: flow moved from {first} to {upstream}",
                self.key
            ));
        }
    }

    /// Records a violation unless a fault was injected on the path of the flow, its upstream stopped, or the
    /// request timed out within `SETTLE_TIME`.
    fn check_failure(
        &self,
        record: &RunRecord,
        router: &Router,
        request: &str,
        error: CallError,
        sent_at: Instant,
    ) {
        // Before the first answer, the upstream of the flow is unknown.
        let Some(upstream) = &self.upstream else {
            return;
        };
        let number = upstream.trim_start_matches("upstream-");
        let number = number.split('.').next().unwrap_or_default();
        let agent = format!("agent-{number}");
        let balancer = router.choose(&self.key).map(Deployment::balancer_name);
        let balancer = balancer.unwrap_or_default();
        let is_path_undisturbed = record.is_undisturbed(&agent)
            && record.is_undisturbed(&balancer)
            && record.is_undisturbed("router");
        let is_guaranteed = match error {
            // Planned work on the path of a flow is no reason to reset it.
            CallError::Reset => record.is_planned_work() || is_path_undisturbed,
            CallError::Timeout => is_path_undisturbed && sent_at.elapsed() >= SETTLE_TIME,
        };
        if !is_guaranteed || !record.is_undisturbed(upstream) {
            return;
        }
        let age = self.opened_at.elapsed().as_secs_f64();
        record.record_violation(format!(
            "{}: {error:?} at request {request} of {upstream} through {agent} and {balancer}, undisturbed: {is_path_undisturbed}, flow age {age:.1} s",
            self.key
        ));
    }
}
