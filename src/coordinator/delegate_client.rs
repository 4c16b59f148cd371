use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;

use super::{leader_work::LeaderWork, order_dispatcher::with_timeout, state::CoordinatorState};
use crate::{
    adapter::TargetEntry,
    client,
    clock::BootInstant,
    error::{Error, Result},
    sync::{self, DELEGATE_SYNC_PATH, DelegateReply, DelegateReport, PolledEngine, SECRET_HEADER},
};

/// Interval of a delegate's syncs with the leader.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Interval while the leader needs no delegates.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a change of leader in which the leader may not know yet that it needs delegates.
const TAKEOVER_TIME: Duration = Duration::from_secs(5);
/// Minimum interval, also when gateways confirm plans.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a sync counts as lost.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Task of a coordinator that does not lead: it follows the leader's state and reports the gateways that sync
/// with this coordinator.
pub struct DelegateClient {
    state: Arc<CoordinatorState>,
    client: Client,
    secret: String,
}

impl DelegateClient {
    pub fn new(state: Arc<CoordinatorState>, client: Client, secret: String) -> Self {
        Self {
            state,
            client,
            secret,
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let mut followed = (None, Instant::now());
        loop {
            let is_new = followed.1.elapsed() < TAKEOVER_TIME;
            let interval = if self.state.delegate().is_needed() || is_new {
                SYNC_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            // An early report confirms a plan.
            let _ = tokio::time::timeout(interval, self.state.delegate_due.notified()).await;
            let leader = self.state.voter.followed_leader();
            if leader != followed.0 {
                followed = (leader, Instant::now());
            }
            match leader.filter(|_| self.state.lease().is_err()) {
                Some(leader) if leader != self.state.own_address() => self.sync(leader).await,
                _ => {}
            }
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }

    async fn sync(&self, leader: SocketAddr) {
        let report = self.state.make_delegate_report();
        let sent_at = BootInstant::now();
        match self.send(leader, &report).await {
            Ok(mut reply) => {
                for engine in std::mem::take(&mut reply.polls) {
                    tokio::spawn(poll_engine(Arc::clone(&self.state), engine));
                }
                self.state.apply_delegate_reply(reply, sent_at);
            }
            Err(error) => {
                debug!("coordinator: a sync with the leader failed and is repeated: {error}");
                self.state.delegate().put_back(report);
            }
        }
    }

    async fn send(&self, leader: SocketAddr, report: &DelegateReport) -> Result<DelegateReply> {
        let transport_error = |error: reqwest::Error| Error::Transport {
            peer: leader.to_string(),
            reason: error.to_string(),
        };
        let response = self
            .client
            .post(format!("http://{leader}{DELEGATE_SYNC_PATH}"))
            .header(SECRET_HEADER, &self.secret)
            .timeout(SYNC_TIMEOUT)
            .body(sync::encode_compact(report)?)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(transport_error)?;
        let peer = leader.to_string();
        let body = client::read_body(&peer, response, client::MAX_MESSAGE_BYTES).await?;
        sync::decode("delegate reply", &body)
    }
}

/// Polls an engine for the leader. The result goes with the next sync.
async fn poll_engine(state: Arc<CoordinatorState>, engine: TargetEntry) {
    LeaderWork::add(&state.work.engine_calls, 1);
    let status = with_timeout(state.adapter.engine_status(engine.address)).await;
    if let Err(error) = &status {
        debug!("place: polling the status of {} failed: {error}", engine.id);
    }
    state.delegate().record_poll(PolledEngine {
        target: engine.id,
        status: status.ok(),
    });
}
