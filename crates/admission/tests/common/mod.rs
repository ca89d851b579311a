//! Helpers shared by the tests.
#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

use hawthorntide_admission::{
    AdmissionAction, AdmissionEvent, AdmissionMachine, Completion, RequestId,
};
use hawthorntide_types::{
    DurationMs, PerMille, Profile, RatePerSecond, SlotCount, TimeMs, Treatment, Urgency, WorkKind,
    WorkProfile,
};

pub fn treatment(urgency: Urgency, share_per_mille: u16) -> Treatment {
    Treatment {
        urgency,
        share_per_mille: PerMille(share_per_mille),
        queue_wait_ms: DurationMs(500),
        deadline_ms: DurationMs(1000),
        new_flows_per_second: RatePerSecond(1000),
        retry_budget_per_mille: PerMille(0),
    }
}

/// Returns work that is treated the same whether the service is calm or crowded.
pub fn work(kind: WorkKind, treatment: Treatment) -> WorkProfile {
    WorkProfile {
        kind,
        idempotent: kind != WorkKind::Reservation,
        calm: treatment,
        crowded: treatment,
    }
}

/// Returns a profile with urgent reservations and less urgent sheets.
pub fn profile() -> Profile {
    Profile {
        name: "test".parse().expect("valid name"),
        target_delay_ms: DurationMs(20),
        drain_limit_ms: DurationMs(60_000),
        work: vec![
            work(WorkKind::Stream, treatment(Urgency::Normal, 100)),
            work(WorkKind::Reservation, treatment(Urgency::High, 600)),
            work(WorkKind::Sheet, treatment(Urgency::Low, 300)),
        ],
    }
}

/// Admission machine with a simulated clock.
pub struct Driver {
    pub machine: AdmissionMachine,
    pub now: TimeMs,
}

impl Driver {
    pub fn new(profile: Profile, slots: u32) -> Self {
        Self {
            machine: AdmissionMachine::new(profile, SlotCount(slots)),
            now: TimeMs(1_000_000),
        }
    }

    pub fn handle(&mut self, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        actions
    }

    pub fn advance(&mut self, elapsed_ms: u64) -> Vec<AdmissionAction> {
        self.now = self.now + DurationMs(elapsed_ms);
        self.handle(AdmissionEvent::Tick)
    }

    pub fn arrive(&mut self, id: u64, kind: WorkKind) -> Vec<AdmissionAction> {
        self.handle(AdmissionEvent::Arrived {
            id: RequestId(id),
            kind,
            deadline_ms: None,
        })
    }

    pub fn finish(&mut self, id: u64) -> Vec<AdmissionAction> {
        self.handle(AdmissionEvent::Finished {
            id: RequestId(id),
            completion: Completion::Answered,
        })
    }
}
