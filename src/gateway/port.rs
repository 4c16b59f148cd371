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

/// Wait after a failed accept, which usually means that no file descriptor is free.
pub const ACCEPT_DELAY: Duration = Duration::from_millis(20);
/// Time that a connection may be idle beyond the plan's limit. Callers use connections for most of
/// that limit, and a close must not cross a request.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Serves callers' connections until `stop` turns true, then ends each after its running request.
pub async fn run(listener: TcpListener, proxy: Arc<GatewayProxy>, mut stop: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    let stopping = stop.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, Arc::clone(&proxy), stopping.clone()));
                }
                Err(error) => {
                    warn!("gateway: a connection cannot be accepted: {error}");
                    tokio::time::sleep(ACCEPT_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = turned(&mut stop) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(stream: TcpStream, proxy: Arc<GatewayProxy>, mut stop: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("gateway: small events may wait: {error}");
    }
    let limits = proxy.view.get().map(|plan| plan.plan().limits.clone());
    let limits = limits.unwrap_or_default();
    let service = service_fn(move |request| {
        let proxy = Arc::clone(&proxy);
        async move { Ok::<_, Infallible>(proxy.serve(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = turned(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("gateway: a connection ended: {error}");
    }
}

/// Waits until the daemon stops. It is gone when the sender is, which ends connections too.
async fn turned(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
