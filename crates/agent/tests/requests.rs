//! Duplicates, retries on new connections, drains, and malformed, truncated or stalled requests.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::Fixture;
use googletest::prelude::*;
use hawthorntide_types::{DurationMs, ResultCode, WorkKind};
use hawthorntide_wire::call::{CallFrame, CallRequest, Kind, call_frame::Body};
use hawthorntide_wire::{FrameReader, encode_frame};
use prost::Message;
use quinn::crypto::rustls::QuicClientConfig;

/// Delay after which the upstream is processing a call but has not answered yet.
const IN_FLIGHT_DELAY: Duration = Duration::from_millis(60);

/// Guards against running a duplicate again or answering it differently.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_gets_the_answer_of_the_first_run() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    let call = fixture.call(WorkKind::Reservation, 1, 2000);
    let sequence = caller.next_sequence();
    let (first, second) = tokio::join!(
        caller.call_with_sequence(sequence, &call, false),
        caller.call_with_sequence(sequence, &call, true)
    );
    let late = caller.call_with_sequence(sequence, &call, false).await;
    let codes = [first.code, second.code, late.code];
    expect_that!(codes, each(eq(ResultCode::Ok)));
    let expected = fixture.order(1).answer();
    for answer in [first, second, late] {
        expect_true!(answer.data == expected);
    }
    expect_that!(fixture.runs(1), eq(1));
}

/// Guards against losing the outcome of a reservation with its connection, and against running it
/// again on a retry.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_on_a_new_connection_gets_the_outcome() {
    let fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    let call = fixture.call(WorkKind::Reservation, 1, 2000);
    let sequence = caller.next_sequence();
    let resume = caller.resume_state();
    let (lost, ()) = tokio::join!(caller.call_with_sequence(sequence, &call, false), async {
        tokio::time::sleep(IN_FLIGHT_DELAY).await;
        caller.close();
    });
    expect_that!(lost.code, eq(ResultCode::UnknownAgentGone));
    let resumed = fixture.connect(Some(resume)).await;
    let answer = resumed.call_with_sequence(sequence, &call, true).await;
    expect_that!(answer.code, eq(ResultCode::Ok));
    expect_true!(answer.data == fixture.order(1).answer());
    expect_that!(fixture.runs(1), eq(1));
}

/// Guards against a drain that interrupts a running request or accepts new work.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_completes_running_requests_and_refuses_new_ones() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.connect(None).await;
    let running = fixture.call(WorkKind::Reservation, 1, 2000);
    let late = fixture.call(WorkKind::Reservation, 2, 2000);
    let running = caller.call(&running);
    let drain = async {
        tokio::time::sleep(IN_FLIGHT_DELAY).await;
        let drain = fixture.cluster.upstreams[0].begin_drain(DurationMs(0));
        let refused = caller.call(&late).await;
        let report = drain
            .expect("the agent runs")
            .await
            .expect("the drain ends");
        (refused, report)
    };
    let (answer, (refused, report)) = tokio::join!(running, drain);
    expect_that!(answer.code, eq(ResultCode::Ok));
    expect_that!(refused.code, eq(ResultCode::NotRunDraining));
    expect_that!(report.requests_in_progress, eq(0));
    expect_that!(fixture.runs(2), eq(0));
}

/// Opens a plain QUIC connection, to send requests that the client library never sends.
async fn raw_connection(fixture: &Fixture) -> (quinn::Endpoint, quinn::Connection) {
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(fixture.cluster.authority.certificate())
        .expect("the certificate is valid");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("the provider has TLS 1.3")
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"hawthorntide/1".to_vec()];
    let crypto = QuicClientConfig::try_from(tls).expect("the ciphers fit QUIC");
    let local = "127.0.0.1:0".parse().expect("valid address");
    let endpoint = quinn::Endpoint::client(local).expect("the socket binds");
    let config = quinn::ClientConfig::new(Arc::new(crypto));
    let connecting = endpoint
        .connect_with(config, fixture.address, fixture.service.as_str())
        .expect("valid name");
    let connection = connecting.await.expect("the agent accepts the connection");
    (endpoint, connection)
}

/// Result code of a complete answer.
fn code_of(bytes: &[u8]) -> u32 {
    let mut reader = FrameReader::new(1 << 16);
    reader.push(bytes);
    let frame: CallFrame = reader
        .next_message()
        .expect("valid frame")
        .expect("complete frame");
    let Some(Body::End(end)) = frame.body else {
        panic!("the answer has no end frame");
    };
    end.code
}

/// Guards against accepting a session of an earlier run of the agent as one of this run.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_session_of_another_epoch_is_unknown_and_not_run() {
    let fixture = Fixture::start().await;
    let resume = fixture.connect(None).await.resume_state();
    let (_endpoint, connection) = raw_connection(&fixture).await;
    let (mut send, mut receive) = connection.open_bi().await.expect("the connection is open");
    let request = CallRequest {
        session: resume.session.get(),
        epoch: resume.epoch.get() - 1,
        sequence: 1,
        kind: Kind::Reservation.into(),
        payload: fixture.order(1).encode_to_vec(),
        ..Default::default()
    };
    send.write_all(&encode_frame(&request))
        .await
        .expect("the stream is open");
    let bytes = receive.read_to_end(1024).await.expect("the agent answers");
    expect_that!(
        code_of(&bytes),
        eq(u32::from(ResultCode::UnknownAgentGone.number()))
    );
    expect_that!(fixture.runs(1), eq(0));
}

/// Guards against running a malformed request and against closing its connection.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_request_is_refused_and_the_connection_stays_open() {
    let fixture = Fixture::start().await;
    let (_endpoint, connection) = raw_connection(&fixture).await;
    for _ in 0..3 {
        let (mut send, mut receive) = connection.open_bi().await.expect("the connection is open");
        send.write_all(&[3, 0xff, 0xff, 0xff])
            .await
            .expect("the stream is open");
        send.finish().expect("the stream is open");
        let bytes = receive.read_to_end(1024).await.expect("the agent answers");
        let expected = u32::from(ResultCode::NotRunBadRequest.number());
        expect_that!(code_of(&bytes), eq(expected));
    }
}

/// Guards against reporting a result for a truncated request, and against keeping streams on which
/// nothing is sent open indefinitely.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_stalled_requests_are_reset() {
    let fixture = Fixture::start().await;
    let (_endpoint, connection) = raw_connection(&fixture).await;
    let request = encode_frame(&CallRequest {
        payload: vec![1; 100],
        ..Default::default()
    });
    let (mut truncated, mut truncated_answer) =
        connection.open_bi().await.expect("the connection is open");
    truncated
        .write_all(&request[..50])
        .await
        .expect("the stream is open");
    truncated.finish().expect("the stream is open");
    let expected = quinn::VarInt::from_u32(ResultCode::NotRunBadRequest.number().into());
    let result = truncated_answer.read_to_end(1024).await;
    expect_true!(is_reset(&result, expected), "{result:?}");
    let (mut stalled, mut stalled_answer) =
        connection.open_bi().await.expect("the connection is open");
    stalled
        .write_all(&request[..1])
        .await
        .expect("the stream is open");
    let answer = stalled_answer.read_to_end(1024);
    let result = tokio::time::timeout(Duration::from_secs(7), answer).await;
    let result = result.expect("the agent resets the stream");
    expect_true!(is_reset(&result, expected), "{result:?}");
}

fn is_reset(
    result: &std::result::Result<Vec<u8>, quinn::ReadToEndError>,
    expected: quinn::VarInt,
) -> bool {
    use quinn::{ReadError::Reset, ReadToEndError::Read};
    matches!(result, Err(Read(Reset(code))) if *code == expected)
}
