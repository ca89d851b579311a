//! Events of the time line.

use hawthorntide_types::{EndpointId, ResultCode, Sequence, ServiceId, SessionId, Version};
use serde::{Deserialize, Serialize};

use crate::HybridTime;

/// Part of the system in which an event happened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Component {
    /// Routing and forwarding of packets.
    Routing,
    /// Membership of balancers and endpoints.
    Membership,
    /// Replica of profiles and services.
    Configuration,
    /// Calls to the platform store.
    Platform,
    /// Queue and ledger of an agent.
    Admission,
    /// Administration API.
    Admin,
    /// Edge of a balancer.
    Balancer,
    /// Edge of an agent.
    Agent,
    /// Caller library.
    Client,
    /// Emulated surroundings.
    Emulator,
    /// Trial and its operator events.
    Trial,
}

impl Component {
    /// All parts in ascending order.
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

/// What happened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    ProcessStarted,
    /// A process ended.
    ProcessEnded,
    /// A drain began.
    DrainBegan,
    /// A flow was opened.
    FlowOpened,
    /// A flow ended.
    FlowEnded,
    /// A flow was resumed on a new connection or port.
    FlowResumed,
    /// A request arrived.
    RequestArrived,
    /// A request was handed to the upstream.
    RequestStarted,
    /// A request ended with the code of the event.
    RequestEnded,
    /// A member joined, left or changed its phase.
    MemberChanged,
    /// An object of the configuration came into force.
    ConfigurationApplied,
    /// A call to the platform store ended with the code of the event.
    StoreCall,
    /// A watcher slot was taken or lost.
    WatcherSlotChanged,
    /// A service changed between calm and crowded.
    CrowdingChanged,
    /// A packet was dropped.
    PacketDropped,
    /// An alarm was raised.
    Alarm,
    /// A fault was injected by a trial.
    FaultInjected,
    /// An operator changed an object.
    OperatorChange,
}

/// Identifies a flow in the time line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FlowKey(pub u64);

/// Identifies a request in the time line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestKey {
    /// Session of the request.
    pub session: SessionId,
    /// Position within the session.
    pub sequence: Sequence,
}

/// Event as a part records it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Part in which it happened.
    #[serde(rename = "part")]
    pub component: Component,
    /// What happened.
    pub kind: EventKind,
    /// Service that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Endpoint that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// Version of the object that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Flow that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flow: Option<FlowKey>,
    /// Request that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestKey>,
    /// Outcome.
    pub code: ResultCode,
}

impl Event {
    /// Creates an event with the code `Ok` that concerns nothing in particular.
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

    /// Sets the service.
    #[must_use]
    pub const fn service(mut self, service: ServiceId) -> Self {
        self.service = Some(service);
        self
    }

    /// Sets the endpoint.
    #[must_use]
    pub const fn endpoint(mut self, endpoint: EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    /// Sets the version of the object.
    #[must_use]
    pub const fn version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the flow.
    #[must_use]
    pub const fn flow(mut self, flow: FlowKey) -> Self {
        self.flow = Some(flow);
        self
    }

    /// Sets the request.
    #[must_use]
    pub const fn request(mut self, session: SessionId, sequence: Sequence) -> Self {
        self.request = Some(RequestKey { session, sequence });
        self
    }

    /// Sets the outcome.
    #[must_use]
    pub const fn code(mut self, code: ResultCode) -> Self {
        self.code = code;
        self
    }
}

/// Name of a process in the time line, such as `balancer 127.0.0.1:4000`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProcessName(pub String);

impl std::fmt::Display for ProcessName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(&self.0)
    }
}

/// Event with its time and process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TimedEvent {
    /// Time by the clock of the process.
    pub at: HybridTime,
    /// Process that recorded it.
    pub process: ProcessName,
    /// Event itself.
    #[serde(flatten)]
    pub event: Event,
}
