//! Case 11: a balancer stops as planned while requests wait for a slot at an agent.

use std::path::Path;
use std::process::ExitCode;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use review_standins_3::caller::Caller;
use review_standins_3::deployment::{Deployment, Plan, endpoint_name, wait_until};
use review_standins_3::endpoint::{FlowKey, Seen};
use review_standins_3::process::SIGTERM;
use review_standins_3::record::Record;

/// `reorderMs` of the site.
const REORDER_MS: u64 = 2_000;

/// Packets at other endpoints that break the rule.
const PACKETS: usize = 3;

/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(800);

/// Requesters whose requests are ahead of the one that is observed.
const OTHERS: usize = 50;

/// Requesters that are observed. A balancer may happen to ask an agent that knows where a flow is; it does
/// so for some of the flows only.
const OBSERVED: usize = 12;

/// Body of the observed requests: they take five packets.
const LARGE_BYTES: usize = 5_300;

/// Time budget of the requests.
const BUDGET: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, folder, record] = arguments.as_slice() else {
        eprintln!("usage: held-search FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(Path::new(folder), Path::new(record), has_trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule was broken.
fn run(folder: &Path, record: &Path, has_trouble: bool) -> std::io::Result<bool> {
    let record = Record::create(record)?;
    // The zones, balancers and endpoints of the site. Times and slots are those of its bookings.
    let plan = Plan {
        zones: vec!["arada", "bole", "kirkos"],
        balancers: vec![0, 1, 1, 2],
        agents: vec![0, 1, 1, 1, 2, 2, 2],
        heartbeat: Duration::from_millis(770),
        slots: 7,
        queue: 28,
        work: Duration::from_millis(430),
        slo_ms: 300,
        timeout_ms: BUDGET.as_millis() as u64,
    };
    let mut deployment = Deployment::start(plan, folder, &record)?;
    thread::sleep(Duration::from_secs(4));

    let mut callers = Vec::new();
    for number in 0..OBSERVED + OTHERS {
        let mut caller = deployment.caller(number, 0)?;
        if caller.open().is_err() {
            return Err(std::io::Error::other("a flow did not open"));
        }
        callers.push(caller);
        thread::sleep(Duration::from_millis(100));
    }
    let home = endpoint_name(0);
    let is_at_home = |flow: FlowKey, seen: &Seen| {
        seen.opened.iter().any(|(key, endpoint, _)| *key == flow && *endpoint == home)
    };
    if !callers.iter().all(|caller| is_at_home(caller.flow(), &deployment.seen.seen())) {
        return Err(std::io::Error::other("a flow opened in another zone"));
    }
    record.line("all flows are open at endpoint-1");
    thread::sleep(Duration::from_secs(4));

    if has_trouble {
        record.line("SIGTERM to balancer-1, the only one of zone arada");
        deployment.balancers[0].signal(SIGTERM);
        if !wait_until(Duration::from_secs(5), || !deployment.router.in_rotation(0)) {
            return Err(std::io::Error::other("balancer-1 stayed in rotation"));
        }
    }
    let flows: Vec<FlowKey> = callers[..OBSERVED].iter().map(Caller::flow).collect();
    let others = callers.split_off(OBSERVED);
    let others = send_all(others, "request", 200);
    thread::sleep(Duration::from_millis(100));
    let observed = send_all(callers, "large", LARGE_BYTES);
    if has_trouble {
        deployment.balancers[0].wait(Duration::from_secs(6));
        thread::sleep(RESTART);
        deployment.balancers[0].start()?;
        record.line("balancer-1 starts again");
    }
    let answered = |requests: Vec<JoinHandle<bool>>| {
        requests.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count()
    };
    let (others, observed) = (answered(others), answered(observed));
    record.line(&format!("{others} of {OTHERS} requests and {observed} of {OBSERVED} large ones answered"));

    let seen = deployment.seen.seen();
    for arrival in seen.arrivals.iter().filter(|it| flows.contains(&it.flow) && !it.is_opening) {
        record.line(&format!(
            "{}: a packet reached {} at {} ms; accepted: {}",
            arrival.flow.0, arrival.endpoint, arrival.at_ms, arrival.is_own
        ));
    }
    let broken: Vec<String> = flows.iter().filter_map(|flow| strayed(&seen, *flow)).collect();
    for text in &broken {
        record.line(&format!("FLOW (b) broken: {text}"));
    }
    if broken.is_empty() {
        record.line("FLOW (b) held");
    }
    Ok(!broken.is_empty())
}

/// Sends a request of each caller, all at once; each thread returns whether it was answered.
fn send_all(callers: Vec<Caller>, name: &str, size: usize) -> Vec<JoinHandle<bool>> {
    let requests = callers.into_iter().enumerate().map(|(index, mut caller)| {
        let id = format!("{name}-{}", index + 1);
        thread::spawn(move || caller.request(&id, size, BUDGET).is_ok())
    });
    requests.collect()
}

/// Looks for `REORDER_MS` in which three or more packets of an open flow reached other endpoints and none its
/// own.
fn strayed(seen: &Seen, flow: FlowKey) -> Option<String> {
    let (_, home, opened_ms) = seen.opened.iter().find(|(key, _, _)| *key == flow)?;
    let of_flow = seen.arrivals.iter().filter(|it| it.flow == flow && it.at_ms >= *opened_ms);
    let (own, other): (Vec<_>, Vec<_>) = of_flow.partition(|it| it.endpoint == *home);
    other.iter().find_map(|first| {
        let in_span = |at_ms: u64| (first.at_ms..=first.at_ms + REORDER_MS).contains(&at_ms);
        let strays = other.iter().filter(|it| in_span(it.at_ms)).count();
        let has_own = own.iter().any(|it| in_span(it.at_ms));
        (strays >= PACKETS && !has_own).then(|| {
            let next = own.iter().map(|it| it.at_ms).find(|at_ms| *at_ms > first.at_ms);
            format!(
                "{}: {strays} packets reached other endpoints from {} ms on, the next one at {home} came at {next:?} ms",
                flow.0, first.at_ms
            )
        })
    })
}
