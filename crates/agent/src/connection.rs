//! Accepts callers' connections and the request streams on them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use hawthorntide_types::{ResultCode, SessionId};
use hawthorntide_wire::{call, encode_frame};
use tokio_util::task::TaskTracker;

use crate::agent::Shared;
use crate::call::serve;
use crate::connection_id::RoutableConnectionIds;
use crate::session::ConnectionSessions;

/// Accepts connections until the QUIC endpoint is closed.
pub(crate) async fn accept(shared: Arc<Shared>, endpoint: quinn::Endpoint, tasks: TaskTracker) {
    let ids = RoutableConnectionIds::new(
        Arc::clone(&shared.codec),
        shared.endpoint,
        shared.incarnation,
    );
    while let Some(incoming) = endpoint.accept().await {
        let Ok(connecting) = incoming.accept() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let ids = ids.clone();
        let requests = tasks.clone();
        tasks.spawn(async move {
            let Ok(connection) = connecting.await else {
                return;
            };
            shared.open_flows.fetch_add(1, Ordering::Relaxed);
            serve_connection(&shared, &connection, &ids, &requests).await;
            shared.open_flows.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(
    shared: &Arc<Shared>,
    connection: &quinn::Connection,
    ids: &RoutableConnectionIds,
    tasks: &TaskTracker,
) {
    let Some(session) = shared.dispatcher.open_session() else {
        let code = ResultCode::NotRunLimited;
        connection.close(
            quinn::VarInt::from_u32(code.number().into()),
            code.name().as_bytes(),
        );
        return;
    };
    let sessions = Arc::new(ConnectionSessions::new(Arc::clone(shared), session));
    if grant_session(shared, session, connection, ids)
        .await
        .is_none()
    {
        return;
    }
    while let Ok((send, receive)) = connection.accept_bi().await {
        let sessions = Arc::clone(&sessions);
        tasks.spawn(serve(Arc::clone(shared), sessions, send, receive));
    }
}

async fn grant_session(
    shared: &Shared,
    session: SessionId,
    connection: &quinn::Connection,
    ids: &RoutableConnectionIds,
) -> Option<()> {
    let grant = call::SessionGrant {
        session: session.get(),
        epoch: shared.dispatcher.epoch().get(),
        resume_connection_id: ids.issue().to_vec(),
    };
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&encode_frame(&grant)).await.ok()?;
    stream.finish().ok()
}
