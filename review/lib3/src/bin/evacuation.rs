//! Case 12: endpoints of an evacuated zone get new flows as before if revisions are large numbers.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use review_standins_3::busy::Counts;
use review_standins_3::deployment::{Deployment, Plan};
use review_standins_3::json::Json;
use review_standins_3::record::Record;

/// Revision at which the store starts: the time of day in milliseconds.
const FIRST_REVISION: u64 = 1_796_000_000_000;

/// `evacuateMs` of the site.
const BOUND: Duration = Duration::from_secs(5);

/// How long the zone stays evacuated.
const EVACUATED: Duration = Duration::from_secs(15);

/// Time before and after the evacuation.
const CALM: Duration = Duration::from_secs(5);

/// Interval between two flows of each of the two requesters.
const INTERVAL: Duration = Duration::from_millis(50);

const EVACUATED_ZONE: usize = 0;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, folder, record] = arguments.as_slice() else {
        eprintln!("usage: evacuation FOLDER RECORD");
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

/// Returns whether an endpoint of the evacuated zone took flows that the rule forbids.
fn run(folder: &Path, record: &Path, has_trouble: bool) -> std::io::Result<bool> {
    let record = Record::create(record)?;
    let counts = Arc::new(Counts::default());
    let plan = Plan {
        zones: vec!["lagos-ikeja", "lagos-lekki"],
        balancers: vec![0, 1],
        agents: vec![0, 1],
        heartbeat: Duration::from_millis(1_200),
        slots: 2,
        slo_ms: 250,
        timeout_ms: 3_000,
        has_evacuations: true,
        first_revision: if has_trouble { FIRST_REVISION } else { 1 },
        counts: Arc::clone(&counts),
    };
    let zone = plan.zones[EVACUATED_ZONE];
    let mut deployment = Deployment::start(plan, folder, &record)?;
    // Machines are in touch from `stableMs` after their start.
    thread::sleep(CALM);
    let openers = [
        deployment.opener(0, 0, INTERVAL)?,
        deployment.opener(1, 1, INTERVAL)?,
    ];
    thread::sleep(CALM);
    let spec = Json::parse("{}").unwrap_or(Json::Null);
    deployment.store.write("evacuations", zone, spec);
    let acknowledged = Instant::now();
    record.line(&format!("evacuation of {zone} acknowledged"));
    thread::sleep(EVACUATED);
    let taken_back = Instant::now();
    deployment.store.remove("evacuations", zone);
    record.line(&format!("evacuation of {zone} taken back"));
    thread::sleep(CALM);
    counts.is_over.store(true, Ordering::Relaxed);
    let mut openings = Vec::new();
    for opener in openers {
        let ended = opener.join();
        openings.extend(ended.map_err(|_| std::io::Error::other("a requester panicked"))?);
    }
    let has_ended = |it: &mut review_standins_3::process::Process| !it.is_running();
    let processes = deployment
        .balancers
        .iter_mut()
        .chain(&mut deployment.agents);
    if processes.into_iter().any(has_ended) {
        return Err(std::io::Error::other("a process ended"));
    }
    let outbound = deployment.endpoint_outbound(EVACUATED_ZONE);
    let mut forbidden = 0;
    let mut others = 0;
    for taken in counts.taken().iter() {
        let opening = openings.iter().find(|it| it.source == taken.source);
        let Some(opening) = opening else {
            continue;
        };
        let is_late = opening.sent_at > acknowledged + BOUND && taken.at < taken_back;
        if !is_late {
            continue;
        }
        if taken.outbound != outbound {
            others += 1;
            continue;
        }
        forbidden += 1;
        if forbidden <= 5 {
            record.line(&format!(
                "flow of {} taken in {zone}: sent {} ms, arrived {} ms after the acknowledgement, answered: {}",
                opening.source,
                (opening.sent_at - acknowledged).as_millis(),
                (taken.at - acknowledged).as_millis(),
                opening.is_answered
            ));
        }
    }
    let answered = openings.iter().filter(|it| it.is_answered).count();
    record.line(&format!(
        "flows opened {}, answered {answered}, run {}, resets {}; opened later than evacuateMs after the acknowledgement: \
         {forbidden} taken in the evacuated zone, {others} in the other",
        openings.len(),
        counts.run.load(Ordering::Relaxed),
        counts.resets.load(Ordering::Relaxed)
    ));
    if forbidden + others == 0 {
        return Err(std::io::Error::other("no flow was taken at all"));
    }
    Ok(forbidden > 0)
}
