//! Scenarios of the fleet simulation.

use hawthorntide_admission::HealthHint;
use hawthorntide_types::{
    DurationMs, PerMille, Profile, RatePerSecond, Treatment, Urgency, WorkKind, WorkProfile,
};

use crate::fleet::{Balance, Fleet, Upstream};

pub fn all() -> Vec<(&'static str, Fleet)> {
    vec![
        ("steady", steady()),
        ("steady, 2 slots", steady_small()),
        ("steady, 3 endpoints", steady_three()),
        ("join", join()),
        ("drain and join", drain_and_join()),
        ("one slow and one cold", slow_and_cold()),
    ]
}

/// Seven equal upstreams.
pub fn steady() -> Fleet {
    fleet(vec![Upstream::default(); 7])
}

/// Seven upstreams with two slots each.
pub fn steady_small() -> Fleet {
    let upstream = Upstream {
        slots: 2,
        ..Upstream::default()
    };
    Fleet {
        service_ms: 15.0,
        ..fleet(vec![upstream; 7])
    }
}

/// Three equal upstreams.
pub fn steady_three() -> Fleet {
    Fleet {
        flows: 600,
        ..fleet(vec![Upstream::default(); 3])
    }
}

/// A seventh upstream joins while the other six hold all flows.
pub fn join() -> Fleet {
    let mut upstreams = vec![Upstream::default(); 7];
    upstreams[6].joins_s = 60;
    fleet(upstreams)
}

/// One upstream drains while two join.
pub fn drain_and_join() -> Fleet {
    let mut upstreams = vec![Upstream::default(); 8];
    upstreams[0].drains_s = 60;
    upstreams[6].joins_s = 60;
    upstreams[7].joins_s = 90;
    fleet(upstreams)
}

/// One upstream runs at half speed but reports that it is healthy; another one starts cold.
pub fn slow_and_cold() -> Fleet {
    let mut upstreams = vec![Upstream::default(); 7];
    upstreams[2].service_time_factor = 2.0;
    upstreams[5].joins_s = 60;
    upstreams[5].cold_s = 30;
    upstreams[5].hint = HealthHint::Failed;
    fleet(upstreams)
}

fn fleet(upstreams: Vec<Upstream>) -> Fleet {
    Fleet {
        upstreams,
        profile: profile(),
        balance: Balance::SiblingChoice,
        flows: 1400,
        flow_seconds: 60.0,
        requests_per_flow_second: 0.35,
        service_ms: 50.0,
        seconds: 360,
        measured_s: 120,
        seed: 1,
    }
}

fn profile() -> Profile {
    let treatment = Treatment {
        urgency: Urgency::Normal,
        share_per_mille: PerMille(1000),
        queue_wait_ms: DurationMs(1000),
        deadline_ms: DurationMs(5000),
        new_flows_per_second: RatePerSecond(1000),
        retry_budget_per_mille: PerMille(100),
    };
    Profile {
        name: "balance".parse().expect("valid name"),
        target_delay_ms: DurationMs(50),
        drain_limit_ms: DurationMs(60_000),
        work: vec![WorkProfile {
            kind: WorkKind::Sheet,
            idempotent: true,
            calm: treatment,
            crowded: treatment,
        }],
    }
}
