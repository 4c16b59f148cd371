use std::{convert::Infallible, sync::Arc, time::Duration};

use futures::FutureExt;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::proxy::{GatewayProxy, RequestOrigin};
use crate::answer::{CallerStream, StreamAbort};

/// Delay after a failed accept, which usually means that no file descriptor is free.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that a connection may stay idle beyond the idle time-out of the plan. Callers reuse
/// connections for most of that time-out, and the gateway must not close one while a request is on
/// its way.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Minimum size of the buffer of a connection, whatever size of a head the plan allows.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Time for which a new connection may still send its first request after the gateway stopped
/// accepting. It was opened for this request, which is on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Part of the buffer beyond the size of a head, so that a head of exactly that size is accepted.
const HEAD_MARGIN_BYTES: usize = 4 << 10;

/// Serves callers' connections until `is_stopping` becomes true, then closes each one after its
/// request in progress.
pub async fn run(
    listener: TcpListener,
    proxy: Arc<GatewayProxy>,
    origin: RequestOrigin,
    mut is_stopping: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let connection_stop = is_stopping.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, Arc::clone(&proxy), origin, connection_stop.clone()));
                }
                Err(error) => {
                    warn!(
                        "gateway: cannot accept a connection from a caller; retrying shortly: {error}"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = is_set(&mut is_stopping) => break,
        }
    }
    // Connections that the kernel has established already would be reset with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        connections.spawn(serve(
            stream,
            Arc::clone(&proxy),
            origin,
            connection_stop.clone(),
        ));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(
    stream: TcpStream,
    proxy: Arc<GatewayProxy>,
    origin: RequestOrigin,
    mut is_stopping: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(
            "gateway: cannot set TCP_NODELAY for a caller; small events may be delayed: {error}"
        );
    }
    let limits = proxy.view.get().map(|plan| plan.plan().limits.clone());
    let limits = limits.unwrap_or_default();
    let (request_seen, mut first_request) = watch::channel(false);
    let abort = StreamAbort::default();
    let seen_abort = abort.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let proxy = Arc::clone(&proxy);
        seen_abort.record_request(request.version());
        request_seen.send_replace(true);
        async move { Ok::<_, Infallible>(proxy.serve(request, origin).await) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES) + HEAD_MARGIN_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .serve_connection(
            TokioIo::new(CallerStream::new(stream, abort.clone())),
            service,
        );
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = is_set(&mut is_stopping) => {
            let first = tokio::time::timeout(FIRST_REQUEST_TIME, is_set(&mut first_request));
            tokio::select! {
                ended = connection.as_mut() => ended,
                _ = first => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    abort.record_end(&ended);
    if let Err(error) = ended {
        debug!("gateway: a connection from a caller failed: {error}");
    }
}

/// Waits until a flag is set. A dropped sender means that the daemon or the connection has ended,
/// which ends the wait as well.
async fn is_set(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|is_set| *is_set).await;
}
