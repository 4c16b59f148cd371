//! HTTP clients for calls to targets and to the system's own processes.

use std::time::Duration;

use reqwest::Client;

use crate::error::{Error, Result};

/// Time within which a TCP connection on the fleet's network is established, or never will be.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Builds a client that ignores proxies and redirects, since targets are addressed directly.
///
/// # Errors
/// [`Error::Server`] when the TLS library cannot be set up.
pub fn http_client() -> Result<Client> {
    // Installing fails when another part has done it already, which is as good.
    let _ = rustls::crypto::ring::default_provider().install_default();
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .map_err(|error| Error::Server {
            reason: error.to_string(),
        })
}
