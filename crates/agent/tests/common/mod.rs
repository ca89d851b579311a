//! Test fixture: a balancer, an agent and an emulated upstream on loopback addresses.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use hawthorntide_client::{AgentConnection, Call, CallerOptions, CallerSocket, ResumeState};
use hawthorntide_emulator::{Upstream, WorkOrder};
use hawthorntide_trial::{Cluster, Deployment};
use hawthorntide_types::{DurationMs, ServiceId, ServiceName, WorkKind};
use prost::Message;

/// Time until the agent's first heartbeat is acknowledged.
const STARTUP: Duration = Duration::from_millis(400);

pub struct Fixture {
    pub cluster: Cluster,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub socket: CallerSocket,
}

impl Fixture {
    pub async fn start() -> Self {
        let deployment =
            Deployment::parse(include_str!("one.jsonc"), "one.jsonc").expect("valid deployment");
        let cluster = Cluster::spawn(&deployment, 1)
            .await
            .expect("the cluster starts");
        tokio::time::sleep(STARTUP).await;
        let service: ServiceName = "desk".parse().expect("valid name");
        let address = cluster
            .service_address(&service, 0)
            .expect("the service has an address");
        let socket = CallerSocket::bind(CallerOptions {
            local_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            authority: vec![cluster.authority.certificate()],
        })
        .expect("the socket binds");
        Self {
            cluster,
            service,
            address,
            socket,
        }
    }

    pub async fn connect(&self, resume: Option<ResumeState>) -> AgentConnection {
        let connected = self
            .socket
            .connect(self.service.as_str(), self.address, resume);
        connected.await.expect("the agent accepts the connection")
    }

    pub fn upstream(&self) -> &Upstream {
        self.cluster.upstreams[0].upstream()
    }

    pub fn order(&self, work_id: u64) -> WorkOrder {
        WorkOrder {
            work_id,
            service_id: ServiceId::of_name(&self.service).get(),
            answer_bytes: 4096,
            messages: 0,
        }
    }

    pub fn call(&self, kind: WorkKind, work_id: u64, deadline_ms: u64) -> Call {
        Call {
            kind,
            deadline_ms: DurationMs(deadline_ms),
            payload: self.order(work_id).encode_to_vec(),
        }
    }

    /// Number of times the upstream started the work with `work_id`.
    pub fn runs(&self, work_id: u64) -> u32 {
        let records = self.upstream().records();
        let of_work = records.iter().filter(|record| record.work_id == work_id);
        of_work.map(|record| record.runs).sum()
    }
}
