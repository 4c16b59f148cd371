//! Settings that every HTTP server of the system shares.

use rocket::{Build, Rocket, config::LogLevel, figment::Figment};

use crate::{
    config::ListenAddress,
    error::{Error, Result},
};

/// Rocket settings for a port; the daemons handle signals and logs themselves.
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
