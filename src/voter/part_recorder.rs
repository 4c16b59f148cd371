use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures::future::join_all;
use spdlog::prelude::*;
use tokio::sync::{Notify, watch};

use super::{VoterHandle, driver::unix_time_ms};
use crate::{
    state::{Command, PartBatch, StreamBatch},
    sync::{CompletedPart, CrashEvidence, StreamStart},
};

/// Interval at which evidence is committed.
const COMMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Commits evidence about parts of requests and about streams in batches, for the leader of gateways or entries.
pub struct PartRecorder {
    voter: VoterHandle,
    started_at: Instant,
    waiting: Mutex<WaitingEvidence>,
    is_waiting: Notify,
    /// Number of the last batch that was committed, or given up, with its result.
    ended: watch::Sender<(u64, bool)>,
}

#[derive(Default)]
struct WaitingEvidence {
    number: u64,
    batch: PartBatch,
    streams: StreamBatch,
}

impl PartRecorder {
    /// Creates a recorder that writes to the log of a voter.
    #[must_use]
    pub fn new(voter: VoterHandle) -> Self {
        Self {
            voter,
            started_at: Instant::now(),
            waiting: Mutex::new(WaitingEvidence {
                number: 1,
                batch: PartBatch::default(),
                streams: StreamBatch::default(),
            }),
            is_waiting: Notify::new(),
            ended: watch::channel((0, true)).0,
        }
    }

    fn waiting(&self) -> MutexGuard<'_, WaitingEvidence> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a report, and returns whether it is committed within `limit`; otherwise it must be
    /// repeated.
    pub async fn record(
        &self,
        crashes: &[CrashEvidence],
        completed: &[CompletedPart],
        limit: Duration,
    ) -> bool {
        if crashes.is_empty() && completed.is_empty() {
            return true;
        }
        let now = self.started_at.elapsed();
        self.submit(limit, |waiting| {
            waiting.batch.add(crashes, completed, now);
        })
        .await
    }

    /// Records streams as [`Self::record`] does evidence.
    pub async fn record_streams(&self, starts: &[StreamStart], limit: Duration) -> bool {
        if starts.is_empty() {
            return true;
        }
        self.submit(limit, |waiting| waiting.streams.add(starts))
            .await
    }

    async fn submit(&self, limit: Duration, add: impl FnOnce(&mut WaitingEvidence)) -> bool {
        let mut ended = self.ended.subscribe();
        let number = {
            let mut waiting = self.waiting();
            add(&mut waiting);
            waiting.number
        };
        self.is_waiting.notify_one();
        let ended = ended.wait_for(|(last, _)| *last >= number);
        match tokio::time::timeout(limit, ended).await {
            Ok(Ok(ended)) => ended.1,
            _ => false,
        }
    }

    /// Commits what waits, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.is_waiting.notified().await;
            self.commit().await;
            tokio::time::sleep(COMMIT_INTERVAL).await;
        }
    }

    async fn commit(&self) {
        let (number, commands) = {
            let mut waiting = self.waiting();
            if waiting.batch.is_empty() && waiting.streams.is_empty() {
                return;
            }
            let number = waiting.number;
            waiting.number += 1;
            let now = self.started_at.elapsed();
            let mut commands = self.voter.read_local(|state| {
                let now_ms = state.now_ms().max(unix_time_ms());
                let table = state.crashes().parts();
                waiting.batch.take_commands(table, now_ms, now)
            });
            let streams = waiting.streams.take();
            commands.extend(
                streams.map(|(version, streams)| Command::RecordStreams { version, streams }),
            );
            (number, commands)
        };
        let commits = commands
            .into_iter()
            .map(|command| self.voter.propose(command));
        let failed = join_all(commits).await.into_iter().find_map(Result::err);
        if let Some(error) = &failed {
            warn!("route: cannot commit evidence; its reporters repeat it: {error}");
        }
        self.ended.send_replace((number, failed.is_none()));
    }
}
