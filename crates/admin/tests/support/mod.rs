//! Fake balancer that keeps objects in memory, with a store that can be down or lose responses.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::sync::{Arc, Mutex};

use hawthorntide_admin::{
    AdminLimits, AdminOptions, AdminServer, Change, Confirmation, Operations, OperationsFuture,
    StatusReport, VersionInForce,
};
use hawthorntide_configuration::{LogLevel, Team, TeamServices};
use hawthorntide_store::{ObjectKey, ObjectKind, StoredObject, WriteId, WriteOutcome};
use hawthorntide_timeline::{
    Component, Event, EventKind, HybridClock, ProcessName, TimedEvent, Timeline,
};
use hawthorntide_types::{DurationMs, NodeId, Phase, ResultCode, Version};
use reqwest::{Client, Method, Response};
use serde_json::json;

pub const PROFILE: &str = include_str!("../../../configuration/tests/profile.json");

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreState {
    Up,
    Down,
    LosesAnswers,
}

#[derive(Debug)]
struct FakeState {
    objects: Vec<StoredObject>,
    revision: u64,
    store: StoreState,
    phase: Phase,
    level: LogLevel,
    writes: usize,
}

#[derive(Debug)]
pub struct FakeBalancer(Mutex<FakeState>);

impl FakeBalancer {
    pub fn set_store(&self, store: StoreState) {
        self.0.lock().unwrap().store = store;
    }

    fn find(&self, key: &ObjectKey) -> Option<StoredObject> {
        let state = self.0.lock().unwrap();
        state.objects.iter().find(|it| it.key == *key).cloned()
    }

    pub fn writes(&self) -> usize {
        self.0.lock().unwrap().writes
    }

    pub fn put(&self, kind: ObjectKind, name: &str, value: serde_json::Value) -> Version {
        let change = Change {
            key: ObjectKey::new(kind, name).unwrap(),
            value: Some(value),
            expected: Version::NONE,
            write_id: WriteId::random(),
        };
        match self.0.lock().unwrap().write(change) {
            WriteOutcome::Accepted(version) => version,
            other => panic!("expected an accepted write, got {other:?}"),
        }
    }
}

impl FakeState {
    fn write(&mut self, change: Change) -> WriteOutcome {
        let theirs = self.objects.iter().find(|it| it.key == change.key).cloned();
        let version = theirs.as_ref().map_or(Version::NONE, |it| it.version);
        if version != change.expected {
            return WriteOutcome::Conflict { theirs };
        }
        self.revision += 1;
        self.writes += 1;
        self.objects.retain(|it| it.key != change.key);
        self.objects.push(StoredObject {
            key: change.key,
            version: Version(self.revision),
            write_id: Some(change.write_id),
            is_deleted: change.value.is_none(),
            value: change.value.unwrap_or_default(),
        });
        WriteOutcome::Accepted(Version(self.revision))
    }
}

impl Operations for FakeBalancer {
    fn object(&self, key: ObjectKey) -> OperationsFuture<'_, Option<StoredObject>> {
        Box::pin(std::future::ready(self.find(&key)))
    }

    fn objects(&self) -> OperationsFuture<'_, Vec<StoredObject>> {
        let objects = self.0.lock().unwrap().objects.clone();
        Box::pin(std::future::ready(objects))
    }

    fn write(&self, change: Change) -> OperationsFuture<'_, WriteOutcome> {
        let mut state = self.0.lock().unwrap();
        let outcome = match state.store {
            StoreState::Up => state.write(change),
            StoreState::Down => WriteOutcome::NotAccepted,
            StoreState::LosesAnswers => {
                let write_id = change.write_id.clone();
                state.write(change);
                WriteOutcome::Open { write_id }
            }
        };
        Box::pin(std::future::ready(outcome))
    }

    fn outcome_of(
        &self,
        key: ObjectKey,
        _expected: Version,
        write_id: WriteId,
    ) -> OperationsFuture<'_, WriteOutcome> {
        let object = self.find(&key);
        let is_down = self.0.lock().unwrap().store == StoreState::Down;
        let outcome = match object {
            _ if is_down => WriteOutcome::Open { write_id },
            Some(object) if object.write_id == Some(write_id.clone()) => {
                WriteOutcome::Accepted(object.version)
            }
            theirs => WriteOutcome::Conflict { theirs },
        };
        Box::pin(std::future::ready(outcome))
    }

    fn confirm(
        &self,
        _key: ObjectKey,
        _version: Version,
        _wait: DurationMs,
    ) -> OperationsFuture<'_, Confirmation> {
        let confirmation = Confirmation {
            confirmed: vec!["127.0.0.1:1".parse().unwrap()],
            missing: vec!["127.0.0.1:2".parse().unwrap()],
        };
        Box::pin(std::future::ready(confirmation))
    }

    fn status(&self) -> OperationsFuture<'_, StatusReport> {
        let state = self.0.lock().unwrap();
        let objects = state.objects.iter();
        let report = StatusReport {
            node: NodeId(7),
            phase: state.phase,
            balancers: Vec::new(),
            upstreams: Vec::new(),
            versions: objects
                .map(|object| VersionInForce {
                    key: object.key.clone(),
                    version: object.version,
                })
                .collect(),
            alarms: Vec::new(),
        };
        Box::pin(std::future::ready(report))
    }

    fn phase(&self) -> Phase {
        self.0.lock().unwrap().phase
    }

    fn begin_drain(&self) {
        self.0.lock().unwrap().phase = Phase::Draining;
    }

    fn timeline(&self) -> Vec<TimedEvent> {
        let process = ProcessName("balancer test".to_owned());
        let timeline = Timeline::new(process, Arc::new(HybridClock::default()), 10);
        timeline.record(Event::new(Component::Admin, EventKind::OperatorChange));
        timeline.record(Event::new(Component::Balancer, EventKind::DrainBegan));
        timeline.events()
    }

    fn log_level(&self) -> LogLevel {
        self.0.lock().unwrap().level
    }

    fn set_log_level(&self, level: LogLevel) -> Result<(), ResultCode> {
        self.0.lock().unwrap().level = level;
        Ok(())
    }
}

/// Running API with its fake balancer and an HTTP client.
pub struct Setup {
    pub server: AdminServer,
    pub balancer: Arc<FakeBalancer>,
    client: Client,
}

/// Request under construction.
pub struct Call<'s> {
    setup: &'s Setup,
    method: Method,
    path: String,
    token: Option<&'static str>,
    if_match: Option<String>,
    body: Option<String>,
}

pub async fn setup() -> Setup {
    setup_with(AdminLimits::default()).await
}

pub async fn setup_with(limits: AdminLimits) -> Setup {
    let team = |name: &str, services| Team {
        name: name.to_owned(),
        token_hash: *blake3::hash(format!("token-{name}").as_bytes()).as_bytes(),
        services,
    };
    let stock = vec!["stockd".parse().unwrap()];
    let teams = vec![
        team("ops", TeamServices::All),
        team("stock", TeamServices::Named(stock)),
    ];
    let balancer = Arc::new(FakeBalancer(Mutex::new(FakeState {
        objects: Vec::new(),
        revision: 0,
        store: StoreState::Up,
        phase: Phase::Serving,
        level: LogLevel::Info,
        writes: 0,
    })));
    let operations = Arc::<FakeBalancer>::clone(&balancer);
    let options = AdminOptions { teams, limits };
    let address = "127.0.0.1:0".parse().unwrap();
    let server = AdminServer::bind(address, options, operations)
        .await
        .unwrap();
    Setup {
        server,
        balancer,
        client: Client::builder().no_proxy().build().unwrap(),
    }
}

impl Setup {
    /// Adds the profile `day` and the services `stockd` and `catalogue`, which use it.
    pub fn with_services(self) -> Self {
        let profile = hawthorntide_configuration::check_profile(PROFILE, "p").unwrap();
        let profile = serde_json::to_value(profile).unwrap();
        self.balancer.put(ObjectKind::Profile, "day", profile);
        for (name, port) in [("stockd", 1), ("catalogue", 2)] {
            let address = format!("10.0.0.1:{port}");
            let service = json!({ "name": name, "addresses": [address], "profile": "day" });
            self.balancer.put(ObjectKind::Service, name, service);
        }
        self
    }

    pub fn call(&self, method: Method, path: &str) -> Call<'_> {
        Call {
            setup: self,
            method,
            path: path.to_owned(),
            token: Some("token-ops"),
            if_match: None,
            body: None,
        }
    }

    pub fn get(&self, path: &str) -> Call<'_> {
        self.call(Method::GET, path)
    }
}

impl Call<'_> {
    pub fn token(mut self, token: Option<&'static str>) -> Self {
        self.token = token;
        self
    }

    pub fn if_match(mut self, version: u64) -> Self {
        self.if_match = Some(format!("\"{version}\""));
        self
    }

    pub fn body(mut self, body: impl Into<String>) -> Self {
        self.body = Some(body.into());
        self
    }

    /// Sends the request and returns the status and the body.
    pub async fn send(self) -> (u16, serde_json::Value) {
        let response = self.respond().await;
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or_default())
    }

    pub async fn respond(self) -> Response {
        let address = self.setup.server.address();
        let url = format!("http://{address}{}", self.path);
        let mut request = self.setup.client.request(self.method, url);
        if let Some(token) = self.token {
            request = request.bearer_auth(token);
        }
        if let Some(version) = self.if_match {
            request = request.header("if-match", version);
        }
        if let Some(body) = self.body {
            request = request.body(body);
        }
        request.send().await.unwrap()
    }
}
