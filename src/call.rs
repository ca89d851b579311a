//! Command `call`: sends one request to a service.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use hawthorntide_client::{AgentConnection, Call, CallError, CallerOptions, CallerSocket};
use hawthorntide_emulator::WorkOrder;
use hawthorntide_types::{DurationMs, ResultCode, ServiceId, WorkKind};
use prost::Message;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use serde::Serialize;
use tokio::time::timeout;

use crate::cli::{CallArguments, TargetArguments};
use crate::failure::Failure;
use crate::output::{OutputFormat, print_json, print_text};

/// Timeout of the connection setup, including the grant of a session.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of the request, as printed in JSON.
#[derive(Serialize)]
struct CallReport {
    code: ResultCode,
    name: &'static str,
    answer_bytes: usize,
}

pub(crate) async fn run(
    arguments: CallArguments,
    format: OutputFormat,
) -> Result<ResultCode, Failure> {
    let (socket, caller) = connect(&arguments.target).await?;
    let call = Call {
        kind: arguments.kind,
        deadline_ms: DurationMs(arguments.deadline_ms),
        payload: payload(&arguments),
    };
    let answer = caller.call(&call).await;
    caller.close();
    socket.close().await;
    let report = CallReport {
        code: answer.code,
        name: answer.code.name(),
        answer_bytes: answer.data.len(),
    };
    match format {
        OutputFormat::Json => print_json(&report)?,
        OutputFormat::Table => {
            let text = format!("{}, {} bytes", answer.code, report.answer_bytes);
            print_text(&text)?;
        }
    }
    Ok(answer.code)
}

fn payload(arguments: &CallArguments) -> Vec<u8> {
    if let Some(payload) = &arguments.payload {
        return payload.clone().into_bytes();
    }
    let order = WorkOrder {
        work_id: rand::random(),
        service_id: ServiceId::of_name(&arguments.target.service).get(),
        answer_bytes: arguments.answer_bytes,
        messages: arguments.messages,
    };
    order.encode_to_vec()
}

/// Opens a connection to a service.
pub(crate) async fn connect(
    target: &TargetArguments,
) -> Result<(CallerSocket, AgentConnection), Failure> {
    let authority = CertificateDer::pem_file_iter(&target.authority)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| {
            let message = format!(
                "cannot read the certificates in {}: {error}",
                target.authority.display()
            );
            Failure::new(ResultCode::SettingsUnreadable, message)
        })?;
    let local_address = match target.address {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let options = CallerOptions {
        local_address,
        authority,
    };
    let socket = CallerSocket::bind(options).map_err(failure)?;
    let service = target.service.as_str();
    let connecting = socket.connect(service, target.address, None);
    let Ok(caller) = timeout(CONNECT_TIMEOUT, connecting).await else {
        let message = format!(
            "{service} at {} granted no session within {CONNECT_TIMEOUT:?}",
            target.address
        );
        return Err(Failure::new(ResultCode::Unreachable, message));
    };
    let caller = caller.map_err(failure)?;
    Ok((socket, caller))
}

/// Builds a request that carries a work order for an emulated upstream.
pub(crate) fn order_call(order: &WorkOrder, kind: WorkKind, deadline_ms: u64) -> Call {
    Call {
        kind,
        deadline_ms: DurationMs(deadline_ms),
        payload: order.encode_to_vec(),
    }
}

fn failure(error: CallError) -> Failure {
    Failure::new(error.code(), error)
}
