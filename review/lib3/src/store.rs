//! Metadata store of the platform, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::Json;

#[derive(Clone, Debug)]
struct Change {
    kind: String,
    object: Json,
    rev: u64,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct Objects {
    /// Revision at which the store began.
    first_revision: u64,
    revision: u64,
    current: BTreeMap<(String, String), Json>,
    history: Vec<Change>,
}

/// Running store.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    /// Starts an empty store whose revision counter starts at `first_revision`.
    pub fn bind(address: SocketAddr, first_revision: u64) -> std::io::Result<Self> {
        let objects = Objects {
            first_revision,
            revision: first_revision,
            ..Objects::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(objects), Condvar::new())),
        };
        let served = store.clone();
        http::serve(address, move |request| served.handle(request))?;
        Ok(store)
    }

    /// Writes an object in the name of the operator.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        let mut objects = self.objects();
        objects.put(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Removes an object in the name of the operator.
    pub fn remove(&self, kind: &str, name: &str) {
        self.objects().remove(kind, name);
        self.shared.1.notify_all();
    }

    fn objects(&self) -> MutexGuard<'_, Objects> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Request) -> Answer {
        let mut parts = request.path.trim_start_matches('/').splitn(3, '/');
        let (Some("objects"), Some(kind)) = (parts.next(), parts.next()) else {
            return answer(404, "{}");
        };
        let name = parts.next();
        match (request.method.as_str(), name) {
            ("GET", None) => match request.parameter("watch") {
                Some(from) => self.watch(kind, from, request),
                None => self.list(kind),
            },
            ("GET", Some(name)) => match self.objects().find(kind, name) {
                Some(object) => answer(200, &object.write()),
                None => answer(404, "{}"),
            },
            ("POST" | "PUT", _) => self.put(kind, name, &request.body),
            ("DELETE", Some(name)) => self.delete(kind, name, request),
            _ => answer(404, "{}"),
        }
    }

    fn list(&self, kind: &str) -> Answer {
        let objects = self.objects();
        let of_kind = objects.current.iter().filter(|((it, _), _)| it == kind);
        let items: Vec<Json> = of_kind.map(|(_, object)| object.clone()).collect();
        let body = Json::Object(vec![
            ("items".into(), Json::List(items)),
            ("hasMore".into(), Json::Bool(false)),
            (
                "storeRevision".into(),
                Json::Number(objects.revision as f64),
            ),
        ]);
        answer(200, &body.write())
    }

    fn watch(&self, kind: &str, from: &str, request: &Request) -> Answer {
        let from: u64 = from.parse().unwrap_or(0);
        let wait_ms = request
            .parameter("waitMs")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects();
        if from < objects.first_revision {
            // There is no history from before the start.
            return answer(410, "{}");
        }
        loop {
            let is_new = |change: &&Change| change.kind == kind && change.rev > from;
            let new: Vec<Change> = objects.history.iter().filter(is_new).cloned().collect();
            let left = end.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let events = new.into_iter().map(|change| {
                    Json::Object(vec![
                        ("object".into(), change.object),
                        ("deleted".into(), Json::Bool(change.is_deleted)),
                    ])
                });
                let body = Json::Object(vec![
                    ("events".into(), Json::List(events.collect())),
                    (
                        "storeRevision".into(),
                        Json::Number(objects.revision as f64),
                    ),
                ]);
                return answer(200, &body.write());
            }
            let waited = self.shared.1.wait_timeout(objects, left);
            objects = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn put(&self, kind: &str, name: Option<&str>, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return answer(400, "{}");
        };
        let meta = body.get("meta");
        let named = meta.and_then(|meta| meta.get("name")).and_then(Json::text);
        let Some(key) = name.or(named) else {
            return answer(400, "{}");
        };
        let expected = meta.and_then(|meta| meta.get("rev")).and_then(Json::number);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut objects = self.objects();
        let current = objects.find(kind, key);
        match (&current, name) {
            (Some(existing), None) => return answer(409, &existing.write()),
            (None, Some(_)) => return answer(404, "{}"),
            (Some(existing), Some(_)) if expected.is_some_and(|it| it != revision_of(existing)) => {
                return answer(409, &existing.write());
            }
            _ => {}
        }
        if let Some(existing) = current.filter(|it| it.get("spec") == Some(&spec)) {
            return answer(200, &existing.write());
        }
        let written = objects.put(kind, key, spec);
        self.shared.1.notify_all();
        answer(200, &written.write())
    }

    fn delete(&self, kind: &str, name: &str, request: &Request) -> Answer {
        let mut objects = self.objects();
        let Some(existing) = objects.find(kind, name) else {
            return answer(404, "{}");
        };
        let expected = request.parameter("rev").and_then(|it| it.parse().ok());
        if expected.is_some_and(|it: u64| it != revision_of(&existing)) {
            return answer(409, &existing.write());
        }
        objects.remove(kind, name);
        self.shared.1.notify_all();
        answer(200, &existing.write())
    }
}

impl Objects {
    fn find(&self, kind: &str, name: &str) -> Option<Json> {
        self.current
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned()
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.current.remove(&key) else {
            return;
        };
        self.revision += 1;
        self.history.push(Change {
            kind: kind.to_owned(),
            object,
            rev: self.revision,
            is_deleted: true,
        });
    }

    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        self.revision += 1;
        let meta = Json::Object(vec![
            ("name".into(), Json::Text(name.to_owned())),
            ("rev".into(), Json::Number(self.revision as f64)),
            ("finalizers".into(), Json::List(Vec::new())),
            ("deleting".into(), Json::Bool(false)),
        ]);
        let object = Json::Object(vec![
            ("meta".into(), meta),
            ("spec".into(), spec),
            ("status".into(), Json::Null),
        ]);
        self.current
            .insert((kind.to_owned(), name.to_owned()), object.clone());
        self.history.push(Change {
            kind: kind.to_owned(),
            object: object.clone(),
            rev: self.revision,
            is_deleted: false,
        });
        object
    }
}

fn revision_of(object: &Json) -> u64 {
    let rev = object.get("meta").and_then(|meta| meta.get("rev"));
    rev.and_then(Json::number).unwrap_or(0)
}

fn answer(status: u16, body: &str) -> Answer {
    Answer {
        status,
        body: body.to_owned(),
    }
}
