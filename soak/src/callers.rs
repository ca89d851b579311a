//! Callers that use open flows all the time and check what they see.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthorntide_routing::FlowKey;
use hawthorntide_standins::{CallError, Caller, Router};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::deployment::{Fleet, service_address};
use crate::record::{CALM, Ledger};

/// Requests on one flow at most.
const MAX_REQUESTS: u32 = 60;

/// Longest pause between two requests.
const MAX_PAUSE_MS: u64 = 120;

/// Time that a caller waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(6);

/// Uses flows until the run ends.
pub(crate) async fn run(
    number: u8,
    address: SocketAddr,
    router: Arc<Router>,
    ledger: Arc<Ledger>,
    seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut caller = match Caller::bind(address, Arc::clone(&router)).await {
        Ok(caller) => caller,
        Err(error) => {
            ledger.broken(format!("caller {number} cannot bind {address}: {error}"));
            return;
        }
    };
    for flow_number in 0u64.. {
        let service = random.random_range(0..2);
        let Ok(mut flow) = caller.open(service_address(service)).await else {
            ledger.failed();
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let mut history = Seen {
            key: flow.key,
            upstream: None,
            began: Instant::now(),
        };
        for request in 0..random.random_range(1..=MAX_REQUESTS) {
            let text = format!("{number}-{flow_number}-{request}");
            let sent = Instant::now();
            let result = caller.call(&mut flow, &text, CALL_LIMIT).await;
            let is_over = result.is_err();
            history.check(&ledger, &router, &text, result, sent);
            if is_over {
                break;
            }
            let pause_ms = random.random_range(0..=MAX_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        caller.close(&flow);
    }
}

/// What a caller saw of one flow.
struct Seen {
    key: FlowKey,
    /// Upstream that answered first.
    upstream: Option<String>,
    began: Instant,
}

impl Seen {
    fn check(
        &mut self,
        ledger: &Ledger,
        router: &Router,
        request: &str,
        result: Result<String, CallError>,
        sent: Instant,
    ) {
        match result {
            Ok(answer) => {
                ledger.answered();
                self.check_answer(ledger, request, &answer);
            }
            Err(end) => {
                ledger.failed();
                self.check_end(ledger, router, request, end, sent);
            }
        }
    }

    fn check_answer(&mut self, ledger: &Ledger, request: &str, answer: &str) {
        let Some((answered, upstream)) = answer.split_once(" from ") else {
            ledger.broken(format!("{}: answer {answer:?} is not whole", self.key));
            return;
        };
        if answered != request {
            ledger.broken(format!(
                "{}: {request} got the answer to {answered}",
                self.key
            ));
        }
        let first = self.upstream.get_or_insert_with(|| upstream.to_owned());
        if first != upstream {
            ledger.broken(format!("{}: moved from {first} to {upstream}", self.key));
        }
    }

    /// A flow may end only when something on its way was disturbed.
    fn check_end(
        &self,
        ledger: &Ledger,
        router: &Router,
        request: &str,
        end: CallError,
        sent: Instant,
    ) {
        // Before the first answer the caller cannot tell which upstream holds the flow.
        let Some(upstream) = &self.upstream else {
            return;
        };
        let number = upstream.trim_start_matches("upstream-");
        let number = number.split('.').next().unwrap_or_default();
        let agent = format!("agent-{number}");
        let balancer = router.choose(&self.key).map(Fleet::balancer_name);
        let balancer = balancer.unwrap_or_default();
        let is_calm = ledger.is_calm(upstream)
            && ledger.is_calm(&agent)
            && ledger.is_calm(&balancer)
            && ledger.is_calm("router");
        let waited = sent.elapsed();
        if !is_calm || (end == CallError::Timeout && waited < CALM) {
            return;
        }
        let age = self.began.elapsed().as_secs_f64();
        ledger.broken(format!(
            "{}: {end:?} at {request} although {upstream}, {agent} and {balancer} were calm, age {age:.1} s",
            self.key
        ));
    }
}
