//! Shared configuration and launch of the system's Rocket servers.

use std::pin::pin;

use rocket::{Build, Rocket, config::LogLevel, figment::Figment};

use crate::{
    config::ListenAddress,
    error::{Error, Result},
};

/// Returns Rocket's settings for an address; the daemons handle signals and logs themselves.
#[must_use]
pub fn figment(listen: &ListenAddress) -> Figment {
    Figment::from(rocket::Config {
        address: listen.address,
        port: listen.port,
        log_level: LogLevel::Off,
        cli_colors: false,
        ..rocket::Config::release_default()
    })
    .merge(("shutdown.ctrlc", false))
    .merge(("shutdown.signals", Vec::<String>::new()))
    .merge(("ident", false))
}

/// Serves until shutdown is requested.
///
/// # Errors
/// [`Error::Server`] when the port cannot be used or the server fails.
pub async fn launch(rocket: Rocket<Build>) -> Result<()> {
    let served = rocket.launch().await;
    served.map(|_| ()).map_err(|error| Error::Server {
        reason: error.to_string(),
    })
}

/// Serves until `stop` completes, then finishes the requests in flight.
///
/// # Errors
/// [`Error::Server`] when the port cannot be used or the server fails.
pub async fn launch_until(rocket: Rocket<Build>, stop: impl Future<Output = ()>) -> Result<()> {
    let failed = |error: rocket::Error| Error::Server {
        reason: error.to_string(),
    };
    let rocket = rocket.ignite().await.map_err(failed)?;
    let shutdown = rocket.shutdown();
    let mut serving = pin!(rocket.launch());
    let mut stop = pin!(stop);
    let served = tokio::select! {
        served = &mut serving => served,
        () = &mut stop => {
            shutdown.notify();
            serving.await
        }
    };
    served.map(|_| ()).map_err(failed)
}
