//! Events of the timeline.

use hawthorntide_types::{EndpointId, ResultCode, Sequence, ServiceId, SessionId, Version};
use serde::{Deserialize, Serialize};

use crate::HybridTime;

/// Component of the system in which an event happened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Component {
    /// Routing and forwarding of packets.
    Routing,
    /// Membership of balancers and endpoints.
    Membership,
    /// Local replica of profiles and services.
    Configuration,
    /// Requests to the platform store.
    Platform,
    /// Admission queue and request ledger of an agent.
    Admission,
    /// Administration API.
    Admin,
    /// Process of a balancer.
    Balancer,
    /// Process of an agent.
    Agent,
    /// Caller library.
    Client,
    /// Emulated network, store and upstreams.
    Emulator,
    /// Trial runner, including the operator actions that it performs.
    Trial,
}

impl Component {
    /// All components, in the order of the enum.
    pub const ALL: [Self; 11] = [
        Self::Routing,
        Self::Membership,
        Self::Configuration,
        Self::Platform,
        Self::Admission,
        Self::Admin,
        Self::Balancer,
        Self::Agent,
        Self::Client,
        Self::Emulator,
        Self::Trial,
    ];
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    ProcessStarted,
    ProcessEnded,
    DrainBegan,
    FlowOpened,
    FlowEnded,
    /// A flow continued on a new connection or port.
    FlowResumed,
    /// A request arrived at an agent.
    RequestArrived,
    /// A request was sent to the upstream.
    RequestStarted,
    /// A request ended; the event carries its result code.
    RequestEnded,
    /// A balancer or endpoint joined, left or changed its phase.
    MemberChanged,
    /// A version of a profile or service was applied.
    ConfigurationApplied,
    /// A request to the platform store ended; the event carries its result code.
    StoreCall,
    /// A watcher slot was acquired or lost.
    WatcherSlotChanged,
    /// A service changed between calm (not overloaded) and crowded (overloaded).
    CrowdingChanged,
    PacketDropped,
    Alarm,
    /// A trial injected a fault.
    FaultInjected,
    /// An operator changed an object through the administration API.
    OperatorChange,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FlowKey(pub u64);

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestKey {
    pub session: SessionId,
    pub sequence: Sequence,
}

/// Event without the time and process, which the timeline adds when it is recorded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    #[serde(rename = "part")]
    pub component: Component,
    pub kind: EventKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// Version of the configuration object.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flow: Option<FlowKey>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestKey>,
    pub code: ResultCode,
}

impl Event {
    /// Creates an event with the code `Ok` and none of the optional fields.
    pub const fn new(component: Component, kind: EventKind) -> Self {
        Self {
            component,
            kind,
            service: None,
            endpoint: None,
            version: None,
            flow: None,
            request: None,
            code: ResultCode::Ok,
        }
    }

    #[must_use]
    pub const fn service(mut self, service: ServiceId) -> Self {
        self.service = Some(service);
        self
    }

    #[must_use]
    pub const fn endpoint(mut self, endpoint: EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    #[must_use]
    pub const fn version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    #[must_use]
    pub const fn flow(mut self, flow: FlowKey) -> Self {
        self.flow = Some(flow);
        self
    }

    #[must_use]
    pub const fn request(mut self, session: SessionId, sequence: Sequence) -> Self {
        self.request = Some(RequestKey { session, sequence });
        self
    }

    #[must_use]
    pub const fn code(mut self, code: ResultCode) -> Self {
        self.code = code;
        self
    }
}

/// Name of a process, such as `balancer 127.0.0.1:4000`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProcessName(pub String);

impl std::fmt::Display for ProcessName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(&self.0)
    }
}

/// Event with the time and process of its recording.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimedEvent {
    pub at: HybridTime,
    pub process: ProcessName,
    #[serde(flatten)]
    pub event: Event,
}
