use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

use super::proxy::CallerProxy;
use crate::{
    answer::{CallerStream, StreamAbort},
    config::ListenAddress,
    error::{Error, Result},
};

/// Timeout of an idle connection and of the head of a request. It exceeds the idle timeout of
/// common load balancers, so that they close connections first.
const HEADER_TIMEOUT: Duration = Duration::from_secs(90);
/// Delay after a failed accept, which is usually caused by a lack of free file descriptors.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);

/// HTTP server for callers.
///
/// It uses hyper directly rather than Rocket: a proxy must abort a chunked response that its target
/// truncated, and must not change the method of a form that has a field `_method`.
pub struct CallerServer {
    listener: TcpListener,
    proxy: Arc<CallerProxy>,
}

impl CallerServer {
    /// Binds the listening socket.
    ///
    /// # Errors
    /// [`Error::Server`] when the address cannot be bound.
    pub async fn bind(listen: &ListenAddress, proxy: Arc<CallerProxy>) -> Result<Self> {
        let address = listen.socket();
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| Error::Server {
                reason: format!("{address}: {error}"),
            })?;
        Ok(Self { listener, proxy })
    }

    /// Serves connections until `stop` changes, then closes each after its current request.
    pub async fn run(self, mut stop: watch::Receiver<bool>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let serving = serve_connection(stream, Arc::clone(&self.proxy), stop.clone());
                        connections.spawn(serving);
                    }
                    Err(error) => {
                        warn!("entry: cannot accept a connection, retrying in 20 ms: {error}");
                        tokio::time::sleep(ACCEPT_DELAY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                _ = stop.changed() => break,
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

async fn serve_connection(
    stream: TcpStream,
    proxy: Arc<CallerProxy>,
    mut stop: watch::Receiver<bool>,
) {
    // Stream events are small; Nagle's algorithm would delay them.
    let _ = stream.set_nodelay(true);
    let abort = StreamAbort::default();
    let seen_abort = abort.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let proxy = Arc::clone(&proxy);
        seen_abort.record_request(request.version());
        async move { Ok::<_, Infallible>(proxy.serve(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(
            TokioIo::new(CallerStream::new(stream, abort.clone())),
            service,
        );
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    abort.record_end(&ended);
    if let Err(error) = ended {
        debug!("entry: a caller connection ended with an error: {error}");
    }
}
