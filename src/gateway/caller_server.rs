use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::proxy::GatewayProxy;

/// Delay after a failed accept, which usually means that no file descriptor is free.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that a connection may stay idle beyond the idle time-out of the plan. Callers reuse
/// connections for most of that time-out, and the gateway must not close one while a request is on
/// its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Minimum size of the buffer of a connection, whatever size of a head the plan allows.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Part of the buffer beyond the size of a head, so that a head of exactly that size is accepted.
const HEAD_MARGIN_BYTES: usize = 4 << 10;

/// Serves callers' connections until `is_stopping` becomes true, then closes each one after its
/// request in progress.
pub async fn run(
    listener: TcpListener,
    proxy: Arc<GatewayProxy>,
    mut is_stopping: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let connection_stop = is_stopping.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, Arc::clone(&proxy), connection_stop.clone()));
                }
                Err(error) => {
                    warn!(
                        "gateway: cannot accept a connection from a caller; retrying shortly: {error}"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = stop_requested(&mut is_stopping) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(
    stream: TcpStream,
    proxy: Arc<GatewayProxy>,
    mut is_stopping: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(
            "gateway: cannot set TCP_NODELAY for a caller; small events may be delayed: {error}"
        );
    }
    let limits = proxy.view.get().map(|plan| plan.plan().limits.clone());
    let limits = limits.unwrap_or_default();
    let service = service_fn(move |request| {
        let proxy = Arc::clone(&proxy);
        async move { Ok::<_, Infallible>(proxy.serve(request).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES) + HEAD_MARGIN_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop_requested(&mut is_stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("gateway: a connection from a caller failed: {error}");
    }
}

/// Waits until the daemon stops. A dropped sender means that the daemon has ended, which also
/// closes the connections.
async fn stop_requested(is_stopping: &mut watch::Receiver<bool>) {
    let _ = is_stopping.wait_for(|is_stopping| *is_stopping).await;
}
