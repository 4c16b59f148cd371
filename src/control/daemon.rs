use std::sync::Arc;

use rocket::{Build, Rocket, routes};
use spdlog::prelude::*;

use super::{
    admin::{self, AdminToken},
    claims, crashes,
    hub::SyncHub,
    placer::ModelPlacer,
    system::{self, SystemSecret},
};
use crate::{
    client,
    config::{self, ControlConfig, ListenAddress},
    error::Result,
    server,
    voter::VoterHandle,
};

/// One control daemon.
pub struct ControlDaemon<'c> {
    config: &'c ControlConfig,
}

impl<'c> ControlDaemon<'c> {
    /// Prepares a daemon with these settings.
    #[must_use]
    pub fn new(config: &'c ControlConfig) -> Self {
        Self { config }
    }

    /// Serves until the process is told to stop.
    ///
    /// # Errors
    /// [`crate::error::Error::File`] when a secret is not readable, [`crate::error::Error::Server`] when a port is taken.
    pub async fn run(self) -> Result<()> {
        let voter = VoterHandle::new();
        let hub = Arc::new(SyncHub::new(voter.clone()));
        let secret = SystemSecret(config::read_secret(&self.config.system_secret_file)?);
        let token = AdminToken(config::read_secret(&self.config.admin_token_file)?);
        let system = build(&self.config.system_listen)
            .manage(secret)
            .manage(voter.clone())
            .manage(Arc::clone(&hub))
            .mount(
                "/",
                routes![system::sync_entry, claims::take_claim, crashes::take_crash],
            );
        let admin = build(&self.config.admin_listen)
            .manage(token)
            .manage(voter.clone())
            .mount("/", routes![admin::get_config, admin::apply_config]);
        let placer = ModelPlacer::new(voter, hub, client::http_client()?);
        let placing = tokio::spawn(placer.run());
        info!(
            "control: {} serves entries at {}",
            self.config.vm,
            self.config.system_listen.socket()
        );
        let served = tokio::try_join!(server::launch(system), server::launch(admin));
        placing.abort();
        served.map(|_| ())
    }
}

fn build(listen: &ListenAddress) -> Rocket<Build> {
    rocket::custom(server::figment(listen))
}
