//! Tests of the administration API against large, slow and malformed input and many connections.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use hawthorntide_admin::AdminLimits;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::Config;
use reqwest::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{PROFILE, Setup, setup, setup_with};

const TIGHT_LIMITS: AdminLimits = AdminLimits {
    max_open_connections: 4,
    max_body_bytes: 8 * 1024,
    max_header_bytes: 8 * 1024,
    max_headers: 32,
    header_timeout: Duration::from_millis(300),
    body_timeout: Duration::from_millis(300),
    max_connection_age: Duration::from_millis(1500),
};

async fn open(s: &Setup) -> TcpStream {
    TcpStream::connect(s.server.address()).await.unwrap()
}

/// Reads until the server closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_secs(5), read).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn is_alive(s: &Setup) -> bool {
    s.get("/v1/health").send().await.0 == 200
}

// Guards against a client that exhausts memory with large bodies or headers.
#[gtest]
#[tokio::test]
async fn large_bodies_and_headers_are_rejected() {
    let s = setup_with(TIGHT_LIMITS).await;
    let call = s.call(Method::POST, "/v1/profiles").body("x".repeat(9000));
    let (status, body) = call.send().await;
    expect_that!(status, eq(413));
    expect_that!(body["code"], eq(&serde_json::json!(58)));
    for header in ["x".repeat(100_000), "a: b\r\nx".repeat(100)] {
        let mut stream = open(&s).await;
        let head = format!("GET /v1/health HTTP/1.1\r\nx-{header}: y\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        let response = read_all(&mut stream).await;
        expect_that!(response, not(contains_substring("200 OK")));
    }
    expect_that!(is_alive(&s).await, eq(true));
    expect_that!(s.balancer.writes(), eq(0));
}

// Guards against a slow client that holds connections without limit.
#[gtest]
#[tokio::test]
async fn slow_clients_are_disconnected() {
    let s = setup_with(TIGHT_LIMITS).await;
    let start = Instant::now();
    let mut idle = open(&s).await;
    let mut partial_head = open(&s).await;
    partial_head.write_all(b"GET /v1/health HTT").await.unwrap();
    let mut missing_body = open(&s).await;
    let head = "POST /v1/profiles HTTP/1.1\r\nhost: a\r\nauthorization: Bearer token-ops\r\ncontent-length: 9\r\n\r\n";
    missing_body.write_all(head.as_bytes()).await.unwrap();
    expect_that!(read_all(&mut idle).await, not(contains_substring("200 OK")));
    expect_that!(
        read_all(&mut partial_head).await,
        not(contains_substring("200 OK"))
    );
    let timed_out = read_all(&mut missing_body).await;
    expect_that!(timed_out, contains_substring("408"));
    expect_that!(start.elapsed(), lt(Duration::from_secs(3)));
    expect_that!(is_alive(&s).await, eq(true));
}

// Guards against a flood of connections that exhausts the file descriptors of the balancer.
#[gtest]
#[tokio::test]
async fn connections_over_the_limit_are_closed_and_released() {
    let s = setup_with(TIGHT_LIMITS).await;
    let mut connections = Vec::new();
    for _ in 0..TIGHT_LIMITS.max_open_connections {
        connections.push(open(&s).await);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut excess = open(&s).await;
    let _ = excess.write_all(b"GET /v1/health HTTP/1.1\r\n\r\n").await;
    expect_that!(read_all(&mut excess).await, eq(""));
    drop(connections);
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(is_alive(&s).await, eq(true));
}

// Guards against a panic of the HTTP library on a header that is not UTF-8.
#[gtest]
#[tokio::test]
async fn request_id_that_is_not_utf8_is_ignored() {
    let s = setup_with(TIGHT_LIMITS).await;
    let mut stream = open(&s).await;
    let head = b"GET /v1/health HTTP/1.1\r\nhost: a\r\nx-request-id: \xff\xfe\r\n\r\n";
    stream.write_all(head).await.unwrap();
    expect_that!(read_all(&mut stream).await, contains_substring("200 OK"));
}

fn run<Output>(future: impl Future<Output = Output>) -> Output {
    tokio::runtime::Runtime::new().unwrap().block_on(future)
}

proptest! {
    #![proptest_config(Config::with_cases(32))]

    // Guards against a panic, a hang or an accepted change on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_change_nothing(
        inputs in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..8)
    ) {
        let alive = run(async {
            let s = setup().await.with_services();
            let before = s.balancer.writes();
            for input in inputs {
                let mut stream = open(&s).await;
                let _ = stream.write_all(&input).await;
                let _ = stream.shutdown().await;
                read_all(&mut stream).await;
            }
            is_alive(&s).await && s.balancer.writes() == before
        });
        prop_assert!(alive);
    }

    // Guards against a missing response or a 5xx status on hostile paths, queries and versions.
    #[test]
    fn hostile_requests_cause_no_server_error(
        parts in proptest::collection::vec("[ -~]{0,20}|%[0-9a-f]{2}|\\.\\.", 0..4),
        query in "([a-z_]{1,10}=[!-~]{0,10}&?){0,3}",
        method in 0_usize..4,
        version in "[ -~]{0,12}",
    ) {
        let encoded: Vec<String> = parts.iter().map(|part| part.replace(['#', '?', ' '], "+")).collect();
        let path = format!("/v1/{}?{}", encoded.join("/"), query.replace('#', "+"));
        let method = ["GET", "POST", "PUT", "DELETE"][method];
        let response = run(async {
            let s = setup().await.with_services();
            let mut stream = open(&s).await;
            let head = format!(
                "{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer token-ops\r\nif-match: {version}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes()).await;
            read_all(&mut stream).await
        });
        prop_assert!(response.starts_with("HTTP/1.1 "), "{path}: {response}");
        prop_assert!(!response.starts_with("HTTP/1.1 5"), "{path}: {response}");
    }

    // Guards against accepting an invalid profile, and against a panic on it.
    #[test]
    fn damaged_profiles_are_accepted_only_if_valid(start in 0_usize..900, cut in 0_usize..30, inserted in "\\PC{0,6}") {
        let start = start.min(PROFILE.len());
        let end = (start + cut).min(PROFILE.len());
        let text = format!("{}{inserted}{}", &PROFILE[..start], &PROFILE[end..]);
        let (status, body) = run(async {
            let s = setup().await;
            s.call(Method::POST, "/v1/profiles").body(text.clone()).send().await
        });
        let is_valid = hawthorntide_configuration::check_profile(&text, "f").is_ok();
        prop_assert_eq!(status == 200, is_valid, "{}", body);
        prop_assert!(status == 200 || body["code"] == 56, "{}", body);
    }
}
