use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Response, StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};

use super::{targets::TargetTable, view::PlanView};

/// HTTP server that reports to the load balancer whether this gateway accepts connections.
pub struct ReadinessServer {
    pub view: Arc<PlanView>,
    pub targets: Arc<TargetTable>,
    pub is_stopping: watch::Receiver<bool>,
}

impl ReadinessServer {
    fn status(&self) -> StatusCode {
        let is_serving = self.view.get().is_some() && !self.targets.is_empty();
        if is_serving && !*self.is_stopping.borrow() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    /// Serves readiness checks until the task is dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(super::caller_server::ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let server = Arc::clone(&self);
            let service = service_fn(move |_| {
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = server.status();
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The load balancer repeats its check, so a connection that it closed early is not
            // logged.
            tokio::spawn(async move { drop(serving.await) });
        }
    }
}
