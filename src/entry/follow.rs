use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;
use tokio::sync::Notify;

use super::view::{EntryView, SharedView};
use crate::{
    config::EntryConfig,
    error::{Error, Result},
    ids::Incarnation,
    sync::{self, SECRET_HEADER, SYNC_PATH, SyncReply, SyncRequest},
};

/// Time that the leader may hold a sync when there is no news.
const HOLD: Duration = Duration::from_millis(400);
/// Time after which a sync counts as lost and another control daemon is tried.
const SYNC_TIMEOUT: Duration = Duration::from_millis(900);
/// Wait after a failed sync, so that a fleet without a leader is not flooded.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Keeps an entry's view up to date by syncing with the leader.
pub struct SyncFollower {
    config: EntryConfig,
    secret: String,
    view: Arc<SharedView>,
    client: Client,
    incarnation: Incarnation,
    serial: u64,
}

impl SyncFollower {
    pub fn new(
        config: &EntryConfig,
        incarnation: Incarnation,
        secret: String,
        view: Arc<SharedView>,
        client: Client,
    ) -> Self {
        Self {
            config: config.clone(),
            secret,
            view,
            client,
            incarnation,
            serial: 0,
        }
    }

    /// Syncs until `leave` is notified, then tells the leader that this entry leaves.
    pub async fn run(mut self, leave: Arc<Notify>) {
        let mut turn = 0;
        loop {
            let control = self.config.control[turn % self.config.control.len()];
            let result = tokio::select! {
                result = self.sync_once(control, false) => result,
                () = leave.notified() => break,
            };
            if let Err(error) = result {
                debug!("sync: {error}");
                turn += 1;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        for _ in 0..self.config.control.len() {
            let control = self.config.control[turn % self.config.control.len()];
            match self.sync_once(control, true).await {
                Ok(()) => return,
                Err(error) => debug!("sync: {error}"),
            }
            turn += 1;
        }
        warn!("sync: no leader took note that this entry leaves");
    }

    async fn sync_once(&mut self, control: SocketAddr, leaving: bool) -> Result<()> {
        self.serial += 1;
        let view = self.view.get();
        let request = SyncRequest {
            vm: self.config.vm.clone(),
            data_centre: self.config.data_centre.clone(),
            incarnation: self.incarnation,
            serial: self.serial,
            revision: view.revision,
            residency: view.residency_version,
            leaving,
            shares: Vec::new(),
            demand: Vec::new(),
            reports: Vec::new(),
            observations: Vec::new(),
            hold_ms: if leaving {
                0
            } else {
                u64::try_from(HOLD.as_millis()).unwrap_or(u64::MAX)
            },
        };
        let asked = Instant::now();
        let reply = self.send(control, &request).await?;
        if reply.serial != self.serial {
            return Err(Error::Decode {
                what: "sync reply",
                reason: "wrong serial".to_owned(),
            });
        }
        let next = EntryView::clone(&view).with_reply(reply, asked);
        if next.revision != view.revision {
            info!("sync: revision {} is in force", next.revision);
        }
        self.view.set(next);
        Ok(())
    }

    async fn send(&self, control: SocketAddr, request: &SyncRequest) -> Result<SyncReply> {
        let transport = |error: reqwest::Error| Error::Transport {
            peer: control.to_string(),
            reason: error.to_string(),
        };
        let answer = self
            .client
            .post(format!("http://{control}{SYNC_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(SYNC_TIMEOUT)
            .body(sync::encode(request)?)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(transport)?;
        sync::decode("sync reply", &answer.bytes().await.map_err(transport)?)
    }
}
