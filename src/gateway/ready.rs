use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Response, StatusCode, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch};

use super::{targets::TargetTable, view::PlanView};

/// Answers the load balancer's question whether this gateway takes connections.
pub struct ReadyPort {
    pub view: Arc<PlanView>,
    pub targets: Arc<TargetTable>,
    pub stopping: watch::Receiver<bool>,
}

impl ReadyPort {
    fn status(&self) -> StatusCode {
        let is_serving = self.view.get().is_some() && !self.targets.is_empty();
        if is_serving && !*self.stopping.borrow() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    /// Serves until the task is dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(super::port::ACCEPT_DELAY).await;
                continue;
            };
            let port = Arc::clone(&self);
            let service = service_fn(move |_| {
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = port.status();
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The balancer asks again; a connection that it closed early needs no line.
            tokio::spawn(async move { drop(serving.await) });
        }
    }
}
