//! Tests of the administration API: access, conditional writes, their outcomes, and error codes.

mod support;

use googletest::prelude::*;
use hawthorntide_admin::{Method as RouteMethod, OpenBody, Operation, ROUTES};
use hawthorntide_types::ResultCode;
use reqwest::Method;
use serde_json::{Value, json};

use crate::support::{PROFILE, StoreState, setup};

fn other_profile(name: &str) -> String {
    PROFILE.replace("\"day\"", &format!("\"{name}\""))
}

fn body_code(body: &Value) -> u64 {
    body["code"].as_u64().unwrap_or_default()
}

fn code_number(code: ResultCode) -> u64 {
    u64::from(code.number())
}

// Guards against a change that is not stored, or whose version is not returned.
#[gtest]
#[tokio::test]
async fn profile_is_created_read_updated_and_deleted() {
    let s = setup().await;
    let create = s.call(Method::POST, "/v1/profiles").body(PROFILE);
    let (status, created) = create.send().await;
    expect_that!(status, eq(200), "{created}");
    expect_that!(created["version"], eq(&json!(1)));
    let response = s.get("/v1/profiles/day").respond().await;
    expect_that!(response.headers()["etag"], eq("\"1\""));
    let mut profile = response.json::<Value>().await.unwrap()["profile"].clone();
    profile["target_delay_ms"] = json!(30);
    let update = s.call(Method::PUT, "/v1/profiles/day").if_match(1);
    let (status, updated) = update.body(profile.to_string()).send().await;
    expect_that!(status, eq(200), "{updated}");
    let (_, list) = s.get("/v1/profiles").send().await;
    expect_that!(list[0]["profile"]["target_delay_ms"], eq(&json!(30)));
    let delete = s.call(Method::DELETE, "/v1/profiles/day").if_match(2);
    expect_that!(delete.send().await.0, eq(200));
    let (status, deleted) = s.get("/v1/profiles/day").send().await;
    expect_that!(
        (status, body_code(&deleted)),
        eq((404, code_number(ResultCode::NotFound)))
    );
}

// Guards against a change by a team without permission.
#[gtest]
#[tokio::test]
async fn tokens_grant_access_only_to_their_services() {
    let s = setup().await.with_services();
    let unauthenticated = code_number(ResultCode::Unauthenticated);
    for token in [None, Some("token-unknown"), Some("")] {
        for route in ROUTES.iter().filter(|it| !it.operation.is_public()) {
            let path = route.path.replace(['{', '}'], "");
            let (status, body) = s
                .call(method(route.method), &path)
                .token(token)
                .send()
                .await;
            expect_that!(
                (status, body_code(&body)),
                eq((401, unauthenticated)),
                "{path}"
            );
        }
    }
    let stock = Some("token-stock");
    let permitted = s
        .call(Method::PUT, "/v1/services/stockd/profile")
        .if_match(2);
    let permitted = permitted.token(stock).body(r#"{"profile": "day"}"#);
    expect_that!(permitted.send().await.0, eq(200));
    let forbidden = s
        .call(Method::PUT, "/v1/services/catalogue/profile")
        .if_match(3);
    let forbidden = forbidden.token(stock).body(r#"{"profile": "day"}"#);
    let (status, body) = forbidden.send().await;
    expect_that!(
        (status, body_code(&body)),
        eq((403, code_number(ResultCode::Forbidden)))
    );
    // A service of another team uses the profile as well.
    let shared = s
        .call(Method::PUT, "/v1/profiles/day")
        .if_match(1)
        .token(stock);
    expect_that!(shared.body(PROFILE).send().await.0, eq(403));
    let unused = s.call(Method::POST, "/v1/profiles").token(stock);
    expect_that!(unused.body(other_profile("night")).send().await.0, eq(200));
    for (method, path, body) in [
        (Method::POST, "/v1/drain", ""),
        (Method::PUT, "/v1/log-level", r#"{"level": "debug"}"#),
        (Method::PUT, "/v1/services/stockd", "{}"),
    ] {
        let call = s.call(method, path).token(stock).if_match(1).body(body);
        expect_that!(call.send().await.0, eq(403), "{path}");
    }
}

// Guards against a lost update when two operators change the same object.
#[gtest]
#[tokio::test]
async fn conflict_reports_both_versions() {
    let s = setup().await.with_services();
    let update = || s.call(Method::PUT, "/v1/profiles/day").body(PROFILE);
    expect_that!(update().if_match(1).send().await.0, eq(200));
    let (status, body) = update().if_match(1).send().await;
    expect_that!(
        (status, body_code(&body)),
        eq((409, code_number(ResultCode::Conflict)))
    );
    expect_that!(
        (&body["yours"], &body["theirs"]),
        eq((&json!(1), &json!(4)))
    );
    let (status, body) = update().if_match(9).send().await;
    expect_that!(status, eq(409), "{body}");
    let (status, body) = update().send().await;
    expect_that!(status, eq(428));
    expect_that!(body["field"], eq(&json!("if-match")));
    let create = s.call(Method::POST, "/v1/profiles").body(PROFILE);
    expect_that!(create.send().await.0, eq(409));
}

// Guards against services that refer to a profile that does not exist.
#[gtest]
#[tokio::test]
async fn profile_in_use_cannot_be_deleted() {
    let s = setup().await.with_services();
    let delete = s.call(Method::DELETE, "/v1/profiles/day").if_match(1);
    let (status, body) = delete.send().await;
    let in_use = code_number(ResultCode::ProfileFollowed);
    expect_that!((status, body_code(&body)), eq((409, in_use)));
    expect_that!(
        body["message"].as_str().unwrap(),
        contains_substring("catalogue")
    );
    let set_profile = s
        .call(Method::PUT, "/v1/services/stockd/profile")
        .if_match(2);
    let (status, body) = set_profile.body(r#"{"profile": "night"}"#).send().await;
    expect_that!(status, eq(400));
    expect_that!(body["field"], eq(&json!("profile")));
}

// Guards against reporting a write with an unknown outcome as accepted or rejected.
#[gtest]
#[tokio::test]
async fn outage_rejects_writes_and_lost_outcome_can_be_queried() {
    let s = setup().await.with_services();
    let update = || {
        s.call(Method::PUT, "/v1/profiles/day")
            .if_match(1)
            .body(PROFILE)
    };
    s.balancer.set_store(StoreState::Down);
    let (status, body) = update().send().await;
    expect_that!(
        (status, body_code(&body)),
        eq((503, code_number(ResultCode::NotAccepted)))
    );
    expect_that!(s.get("/v1/profiles/day").send().await.0, eq(200));
    s.balancer.set_store(StoreState::LosesAnswers);
    let response = update().respond().await;
    let status = response.status().as_u16();
    // Parsing as a generic value would hide a duplicate field.
    let text = response.text().await.unwrap();
    let open: Value = serde_json::from_str(&text).unwrap();
    expect_that!(
        (status, body_code(&open)),
        eq((202, code_number(ResultCode::OutcomeOpen)))
    );
    let typed: OpenBody = serde_json::from_str(&text).unwrap();
    let ask = typed.ask;
    s.balancer.set_store(StoreState::Down);
    expect_that!(s.get(&ask).send().await.0, eq(202));
    s.balancer.set_store(StoreState::Up);
    let (status, accepted) = s.get(&ask).send().await;
    expect_that!(status, eq(200));
    expect_that!(accepted["write_id"], eq(&open["write_id"]));
    let other = ask.replace(open["write_id"].as_str().unwrap(), &"0".repeat(32));
    expect_that!(s.get(&other).send().await.0, eq(409));
}

// Guards against an error that does not name the invalid field.
#[gtest]
#[tokio::test]
async fn errors_name_the_field() {
    let s = setup().await.with_services();
    let profile = |from: &str, to: &str| PROFILE.replacen(from, to, 1);
    let cases = [
        (
            Method::POST,
            "/v1/profiles",
            profile("\"target_delay_ms\": 20", "\"target_delay_ms\": 0"),
            "target_delay_ms",
        ),
        (
            Method::POST,
            "/v1/profiles",
            profile("\"target_delay_ms\"", "\"delay\""),
            "delay",
        ),
        (Method::POST, "/v1/profiles", "{".to_owned(), "file"),
        (
            Method::PUT,
            "/v1/profiles/day",
            other_profile("night"),
            "name",
        ),
        (
            Method::PUT,
            "/v1/services/new",
            r#"{"name": "new", "addresses": [], "profile": "day"}"#.to_owned(),
            "addresses",
        ),
        (
            Method::PUT,
            "/v1/services/new",
            r#"{"name": "new", "addresses": ["10.0.0.1:1"], "profile": "day"}"#.to_owned(),
            "addresses",
        ),
        (
            Method::PUT,
            "/v1/log-level",
            r#"{"level": "loud"}"#.to_owned(),
            "level",
        ),
        (
            Method::GET,
            "/v1/confirmations/profile/day",
            String::new(),
            "version",
        ),
        (
            Method::GET,
            "/v1/confirmations/team/day?version=1",
            String::new(),
            "kind",
        ),
        (
            Method::GET,
            "/v1/confirmations/profile/day?version=1&wait_ms=99999",
            String::new(),
            "wait_ms",
        ),
        (
            Method::GET,
            "/v1/writes/7?kind=profile&name=day&expected=1",
            String::new(),
            "write_id",
        ),
        (
            Method::GET,
            "/v1/timeline?event=party",
            String::new(),
            "event",
        ),
        (Method::GET, "/v1/status?verbose=1", String::new(), "query"),
        (Method::GET, "/v1/profiles/DAY", String::new(), "name"),
    ];
    for (method, path, text, field) in cases {
        let (status, body) = s.call(method, path).if_match(1).body(text).send().await;
        expect_that!(
            (status, body_code(&body)),
            eq((400, code_number(ResultCode::InvalidField))),
            "{path}"
        );
        expect_that!(body["field"], eq(&json!(field)), "{path}");
    }
    let (status, body) = s.get("/v2/profiles").send().await;
    expect_that!(
        (status, body_code(&body)),
        eq((404, code_number(ResultCode::NotFound)))
    );
    let (status, body) = s.call(Method::PATCH, "/v1/profiles").send().await;
    expect_that!(
        (status, body_code(&body)),
        eq((405, code_number(ResultCode::MethodNotAllowed)))
    );
}

// Guards against wrong results of the routes that monitor and drain the process.
#[gtest]
#[tokio::test]
async fn process_reports_its_state_and_drains() {
    let s = setup().await.with_services();
    hawthorntide_admin::install_metrics();
    let public = |path| s.get(path).token(None);
    expect_that!(public("/v1/health").send().await.0, eq(200));
    expect_that!(public("/v1/ready").send().await.0, eq(200));
    let (_, status) = s.get("/v1/status").send().await;
    expect_that!(status["versions"].as_array().unwrap().len(), eq(3));
    let (_, events) = s.get("/v1/timeline?event=drain_began").send().await;
    expect_that!(events["events"].as_array().unwrap().len(), eq(1));
    let (_, limited) = s.get("/v1/timeline?limit=1").send().await;
    expect_that!(limited["events"][0]["kind"], eq(&json!("drain_began")));
    let path = "/v1/confirmations/profile/day?version=1&wait_ms=100";
    let (_, confirmation) = s.get(path).send().await;
    expect_that!(confirmation["missing"], eq(&json!(["127.0.0.1:2"])));
    let level = s
        .call(Method::PUT, "/v1/log-level")
        .body(r#"{"level": "debug"}"#);
    expect_that!(level.send().await.0, eq(200));
    let (_, level) = s.get("/v1/log-level").send().await;
    expect_that!(level["level"], eq(&json!("debug")));
    expect_that!(s.call(Method::POST, "/v1/drain").send().await.0, eq(202));
    expect_that!(public("/v1/health").send().await.0, eq(200));
    expect_that!(public("/v1/ready").send().await.0, eq(503));
    let text = public("/metrics").respond().await.text().await.unwrap();
    expect_that!(
        text,
        contains_substring("hawthorntide_admin_requests_total{status=\"200\"}")
    );
}

fn method(method: RouteMethod) -> Method {
    match method {
        RouteMethod::Get => Method::GET,
        RouteMethod::Post => Method::POST,
        RouteMethod::Put => Method::PUT,
        RouteMethod::Delete => Method::DELETE,
    }
}

// Guards against an OpenAPI description that differs from the routes, result codes or access rules.
#[gtest]
#[tokio::test]
async fn openapi_description_matches_the_routes() {
    let document: Value = serde_json::from_str(include_str!("../../../docs/openapi.json")).unwrap();
    let mut described = Vec::new();
    for (path, methods) in document["paths"].as_object().unwrap() {
        for (name, operation) in methods.as_object().unwrap() {
            let id = operation["operationId"].as_str().unwrap();
            let is_public = operation["security"] == json!([]);
            described.push((path.clone(), name.to_uppercase(), id.to_owned(), is_public));
        }
    }
    let mut routes: Vec<_> = ROUTES
        .iter()
        .map(|route| {
            let name = method(route.method).to_string();
            let id = format!("{:?}", route.operation);
            (route.path.to_owned(), name, id, route.operation.is_public())
        })
        .collect();
    routes.sort();
    described.sort();
    expect_that!(described, eq(&routes));
    let codes: Vec<u64> = ResultCode::ALL.iter().map(|it| code_number(*it)).collect();
    let schemas = &document["components"]["schemas"];
    expect_that!(
        schemas["Error"]["properties"]["code"]["enum"],
        eq(&json!(codes))
    );
}

// Guards against a response status that the OpenAPI description does not list.
#[gtest]
#[tokio::test]
async fn response_statuses_are_described() {
    let document: Value = serde_json::from_str(include_str!("../../../docs/openapi.json")).unwrap();
    for store in [StoreState::Up, StoreState::Down, StoreState::LosesAnswers] {
        for route in ROUTES
            .iter()
            .filter(|it| it.operation != Operation::Metrics)
        {
            let s = setup().await.with_services();
            s.balancer.set_store(store);
            let name = match route.operation {
                Operation::FollowProfile | Operation::SetService => "stockd",
                _ => "day",
            };
            let path = route
                .path
                .replace("{name}", name)
                .replace("{kind}", "profile");
            let path = path.replace("{write_id}", &"0".repeat(32));
            let responses = &document["paths"][route.path]
                [method(route.method).as_str().to_lowercase()]["responses"];
            for (token, version, body) in [
                (None, 1, String::new()),
                (Some("token-stock"), 1, PROFILE.to_owned()),
                (Some("token-ops"), 1, other_profile("night")),
                (Some("token-ops"), 1, PROFILE.to_owned()),
                (Some("token-ops"), 2, r#"{"profile": "day"}"#.to_owned()),
                (Some("token-ops"), 9, r#"{"level": "info"}"#.to_owned()),
                (Some("token-ops"), 2, "x".repeat(100_000)),
            ] {
                let call = s
                    .call(method(route.method), &path)
                    .token(token)
                    .if_match(version);
                let (status, _) = call.body(body).send().await;
                expect_that!(
                    responses.get(status.to_string()),
                    some(anything()),
                    "{path} {status}"
                );
            }
        }
    }
}
