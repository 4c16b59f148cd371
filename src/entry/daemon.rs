use std::{sync::Arc, time::Duration};

use spdlog::prelude::*;

use super::{
    allowance::SharedAllowance,
    demand::DemandCounter,
    follow::{SyncFollower, SyncParts},
    poll::{PolledReports, ReportPoller},
    proxy::CallerProxy,
    view::SharedView,
};
use crate::{
    client,
    config::{self, EntryConfig},
    error::Result,
    fleet::KeyHasher,
    server,
};

/// One entry daemon.
pub struct EntryDaemon<'c> {
    config: &'c EntryConfig,
}

impl<'c> EntryDaemon<'c> {
    /// Prepares a daemon with these settings.
    #[must_use]
    pub fn new(config: &'c EntryConfig) -> Self {
        Self { config }
    }

    /// Serves until the process is told to stop.
    ///
    /// # Errors
    /// [`crate::error::Error::File`] when a secret is not readable, [`crate::error::Error::Server`] when the port is taken.
    pub async fn run(self) -> Result<()> {
        let view = Arc::new(SharedView::default());
        let client = client::http_client()?;
        let secret = config::read_secret(&self.config.system_secret_file)?;
        let hasher = KeyHasher::new(&config::read_secret(&self.config.key_hash_secret_file)?);
        let demand = Arc::new(DemandCounter::default());
        let polled = Arc::new(PolledReports::default());
        let polling = tokio::spawn(ReportPoller::new(Arc::clone(&polled), client.clone()).run());
        let parts = SyncParts {
            view: Arc::clone(&view),
            demand: Arc::clone(&demand),
            polled,
            allowance: Arc::new(SharedAllowance::new()),
        };
        let follower = Arc::new(SyncFollower::new(
            self.config,
            secret,
            parts,
            client.clone(),
        ));
        let following = tokio::spawn(follower.run());
        let bound = Duration::from_millis(self.config.freshness_bound_ms);
        let proxy = CallerProxy::new(view, demand, hasher, client, bound);
        let rocket =
            rocket::custom(server::figment(&self.config.listen)).mount("/", proxy.routes());
        info!(
            "entry: {} serves callers at {}",
            self.config.vm,
            self.config.listen.socket()
        );
        let served = server::launch(rocket).await;
        following.abort();
        polling.abort();
        served
    }
}
