//! Case 11: agents answer requests for as long as nobody fetches their metrics.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_3::busy::Counts;
use review_standins_3::deployment::{Deployment, Plan};
use review_standins_3::http;
use review_standins_3::record::Record;

/// `memoryMb` of a `side` machine.
const MEMORY_KB: u64 = 64 * 1024;

const AGENTS: usize = 2;

/// A process that ends by itself this often in a day is a fault, if it happens on two machines.
const ENDS: u32 = 3;

/// Requests that the case plays at least: those that two endpoints of the site get in two days.
const MIN_REQUESTS: u64 = 8_000_000;

/// Requests after which the case ends: half as many again as break the rule.
const MAX_REQUESTS: u64 = 12_000_000;

/// Limit of the run.
const RUN_TIME: Duration = Duration::from_secs(114);

/// Interval at which the platform fetches metrics, where it does.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);

/// Flows of each of the two requesters.
const FLOWS: u16 = 16;

/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(800);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, folder, record] = arguments.as_slice() else {
        eprintln!("usage: memory FOLDER RECORD");
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

/// Returns whether processes ended by themselves as often as the rule says.
fn run(folder: &Path, record: &Path, has_trouble: bool) -> std::io::Result<bool> {
    let record = Record::create(record)?;
    let counts = Arc::new(Counts::default());
    let plan = Plan {
        zones: vec!["bole", "arada"],
        balancers: vec![0, 1],
        agents: vec![0, 1],
        heartbeat: Duration::from_millis(770),
        slots: 3,
        slo_ms: 400,
        timeout_ms: 5_000,
        has_evacuations: false,
        first_revision: 1,
        counts: Arc::clone(&counts),
    };
    let started = Instant::now();
    let mut deployment = Deployment::start(plan, folder, &record)?;
    thread::sleep(Duration::from_secs(2));
    let callers = [
        deployment.caller(0, 0, FLOWS)?,
        deployment.caller(1, 1, FLOWS)?,
    ];
    let answered = || counts.answered.load(Ordering::Relaxed);
    let mut last_fetch = Instant::now();
    let mut ends = [0_u32; AGENTS];
    let mut stopped_at = [None; AGENTS];
    while started.elapsed() < RUN_TIME
        && answered() < MAX_REQUESTS
        && ends.iter().any(|it| *it < ENDS)
    {
        thread::sleep(Duration::from_millis(50));
        let memory = deployment
            .agents
            .iter()
            .map(|it| it.memory_kb().unwrap_or(0));
        let memory: Vec<u64> = memory.collect();
        for index in 0..AGENTS {
            if memory[index] > MEMORY_KB {
                ends[index] += 1;
                stopped_at[index] = Some(Instant::now());
                deployment.agents[index].kill();
                record.line(&format!(
                    "agent-{} occupies {} KB, more than memoryMb: killed, {} times so far; {} requests answered",
                    index + 1, memory[index], ends[index], answered()
                ));
            }
            if stopped_at[index].is_some_and(|it: Instant| it.elapsed() >= RESTART) {
                stopped_at[index] = None;
                deployment.agents[index].start()?;
                record.line(&format!("agent-{} starts again", index + 1));
            }
        }
        if last_fetch.elapsed() >= FETCH_INTERVAL {
            last_fetch = Instant::now();
            record.line(&format!(
                "{} requests answered, memory of the agents in KB: {memory:?}",
                answered()
            ));
            if !has_trouble {
                for index in 0..AGENTS {
                    let address = deployment.agent_metrics(index);
                    http::call(address, "GET", "/metrics", "", Duration::from_secs(2));
                }
            }
        }
    }
    counts.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    record.line(&format!(
        "sent {}, answered {}, run {}, resets {}; ends by memory: {ends:?}",
        counts.sent.load(Ordering::Relaxed),
        answered(),
        counts.run.load(Ordering::Relaxed),
        counts.resets.load(Ordering::Relaxed)
    ));
    if ends.iter().all(|it| *it >= ENDS) {
        return Ok(true);
    }
    if has_trouble && answered() < MIN_REQUESTS {
        return Err(std::io::Error::other(
            "the machine is too slow for the requests that the case needs",
        ));
    }
    Ok(false)
}
