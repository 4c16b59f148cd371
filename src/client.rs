//! HTTP clients for requests to targets and between the system's processes.

use std::{
    task::{Context, Poll},
    time::Duration,
};

use prometheus::IntCounter;
use reqwest::{Client, ClientBuilder, Response};
use tokio::net::{TcpStream, ToSocketAddrs};
use tower_layer::Layer;
use tower_service::Service;

use crate::{
    error::{Error, Result},
    sync::EngineReport,
};

/// Connect timeout; on the fleet's network a slower TCP handshake does not complete at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection to a target is closed. It is shorter than the keep-alive
/// timeout of common servers, so that a request is rarely sent on a connection that the target is
/// closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum size of an engine's report. Many engines may be in trouble at once.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Maximum size of a message between the system's own processes, as for requests.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Delay before each probe of a target whose connection broke. A terminating process closes its
/// listening socket shortly after its connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Number of consecutive failed probes after which a target counts as down.
const PROBE_COUNT: u32 = 2;
/// Connect timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes a target whose connection broke, and returns whether it is down.
pub async fn is_down(address: impl ToSocketAddrs + Clone) -> bool {
    for _ in 0..PROBE_COUNT {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let probe = TcpStream::connect(address.clone());
        if matches!(tokio::time::timeout(PROBE_TIMEOUT, probe).await, Ok(Ok(_))) {
            return false;
        }
    }
    true
}

/// Builds a client that ignores proxies and redirects, since targets are addressed directly.
///
/// # Errors
/// [`Error::Server`] when the TLS library cannot be set up.
pub fn http_client() -> Result<Client> {
    build(builder())
}

fn builder() -> ClientBuilder {
    // Fails if a provider is already installed, which can be ignored.
    let _ = rustls::crypto::ring::default_provider().install_default();
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
}

fn build(builder: ClientBuilder) -> Result<Client> {
    builder.build().map_err(|error| Error::Server {
        reason: error.to_string(),
    })
}

/// Counts the connections opened by the clients that it builds.
#[derive(Clone)]
pub struct ConnectCounter {
    opened: IntCounter,
}

impl ConnectCounter {
    /// Creates a counter that increments the given metric.
    #[must_use]
    pub fn new(opened: IntCounter) -> Self {
        Self { opened }
    }

    /// Builds a client for requests to targets whose connections are counted.
    ///
    /// # Errors
    /// [`Error::Server`] when the TLS library cannot be set up.
    pub fn target_client(&self) -> Result<Client> {
        let builder = builder()
            .http1_only()
            .pool_idle_timeout(IDLE_TIMEOUT)
            .connector_layer(self.clone());
        build(builder)
    }
}

impl<S> Layer<S> for ConnectCounter {
    type Service = CountedConnector<S>;

    fn layer(&self, inner: S) -> Self::Service {
        let opened = self.opened.clone();
        CountedConnector { inner, opened }
    }
}

/// Connector that counts the connections it opens.
#[derive(Clone)]
pub struct CountedConnector<S> {
    inner: S,
    opened: IntCounter,
}

impl<S: Service<R>, R> Service<R> for CountedConnector<S> {
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: R) -> S::Future {
        self.opened.inc();
        self.inner.call(request)
    }
}

/// Reads the body of a response of at most `max_bytes`. A peer in trouble may send bytes without
/// end, which must not fill the memory of the process until the call times out.
///
/// # Errors
/// [`Error::Transport`] when the body is longer or cannot be read in full.
pub async fn read_body(peer: &str, mut response: Response, max_bytes: usize) -> Result<Vec<u8>> {
    let transport = |reason: String| Error::Transport {
        peer: peer.to_owned(),
        reason,
    };
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| transport(error.to_string()))?
    {
        if body.len() + chunk.len() > max_bytes {
            return Err(transport(format!("the body exceeds {max_bytes} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Fetches an engine's report with a timeout of `limit`.
///
/// # Errors
/// [`Error::Transport`] when the engine does not respond in time or the response is no report.
pub async fn read_report(client: &Client, address: &str, limit: Duration) -> Result<EngineReport> {
    let transport = |error: reqwest::Error| Error::Transport {
        peer: address.to_owned(),
        reason: error.to_string(),
    };
    let url = format!("http://{address}/engine/v1/report");
    let call = client.get(url).timeout(limit).send().await;
    let body = read_body(address, call.map_err(transport)?, MAX_REPORT_BYTES).await?;
    serde_json::from_slice(&body).map_err(|error| Error::Decode {
        what: "engine report",
        reason: error.to_string(),
    })
}
