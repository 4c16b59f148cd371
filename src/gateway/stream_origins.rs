use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::request::GatewayRequest;
use crate::{
    ids::{ServiceId, SoftwareVersion, StreamKey},
    sync::{StreamAnswer, StreamOrigin, StreamQuery, StreamStart},
};

/// Time for which a stream that broke off is reported if it was not yet.
const BROKEN_RETENTION: Duration = Duration::from_secs(10);

/// Returns the key of a stream of a service, by the id of the caller's attempt that brings its first event.
/// Teams cannot name each other's streams.
pub fn stream_key(request: &GatewayRequest, service: &ServiceId, first_attempt: &str) -> StreamKey {
    let team = request.team_id().map_or("", |team| team.as_str());
    let mut hasher = blake3::Hasher::new();
    for field in [service.as_str(), team, first_attempt] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    let mut key = [0; 8];
    key.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    StreamKey::from_le_bytes(key)
}

/// Versions that began the streams of this gateway, for reports to the leader, and questions to it about
/// streams that callers take up; see docs/design.md, section 19.
pub struct StreamOrigins {
    started_at: Instant,
    state: Mutex<OriginState>,
    answered: Notify,
    report_due: Notify,
}

#[derive(Default)]
struct OriginState {
    streams: HashMap<StreamKey, LocalStream>,
    /// Services whose streams are recorded by the leader.
    recorded_services: HashSet<ServiceId>,
    /// Questions with the number of requests that wait, and the latest answer.
    queries: HashMap<StreamQuery, (usize, Option<StreamOrigin>)>,
}

struct LocalStream {
    service: ServiceId,
    version: SoftwareVersion,
    is_reported: bool,
    broke_at: Option<Duration>,
}

impl StreamOrigins {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
            answered: Notify::new(),
            report_due: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, OriginState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the version that begins a stream. The guard follows the stream.
    pub fn begin(
        self: &Arc<Self>,
        stream: StreamKey,
        service: &ServiceId,
        version: &SoftwareVersion,
    ) -> StreamRun {
        let local = LocalStream {
            service: service.clone(),
            version: version.clone(),
            is_reported: false,
            broke_at: None,
        };
        self.state().streams.entry(stream).or_insert(local);
        StreamRun {
            origins: Arc::clone(self),
            stream,
        }
    }

    /// Waits until the leader has to be told or asked something.
    pub async fn report_due(&self) {
        self.report_due.notified().await;
    }

    /// Returns the streams that the leader has to record, and the questions to it.
    pub fn make_report(&self) -> (Vec<StreamStart>, Vec<StreamQuery>) {
        let now = self.started_at.elapsed();
        let mut state = self.state();
        state.streams.retain(|_, local| {
            local
                .broke_at
                .is_none_or(|at| now.saturating_sub(at) < BROKEN_RETENTION)
        });
        let unreported = state.streams.iter().filter(|(_, local)| {
            !local.is_reported && state.recorded_services.contains(&local.service)
        });
        let starts = unreported.map(|(stream, local)| StreamStart {
            stream: *stream,
            version: local.version.clone(),
        });
        let queries = state.queries.keys().cloned();
        (starts.collect(), queries.collect())
    }

    /// Marks streams as recorded by the leader.
    pub fn confirm(&self, starts: &[StreamStart]) {
        let mut state = self.state();
        for start in starts {
            if let Some(local) = state.streams.get_mut(&start.stream) {
                local.is_reported = true;
            }
        }
    }

    /// Applies what the leader says.
    pub fn apply_reply(&self, recorded_services: Vec<ServiceId>, answers: Vec<StreamAnswer>) {
        let mut state = self.state();
        state.recorded_services = recorded_services.into_iter().collect();
        for answer in answers {
            if let Some((_, origin)) = state.queries.get_mut(&answer.query) {
                *origin = Some(answer.origin);
            }
        }
        drop(state);
        self.answered.notify_waiters();
    }

    /// Returns which version began a stream; `None` when no leader has answered by `deadline`. A stream that
    /// is not recorded may still be on its way to the leader, so that the question is repeated for it.
    pub async fn resolve(&self, query: StreamQuery, deadline: Instant) -> Option<StreamOrigin> {
        if let Some(local) = query.stream.and_then(|stream| self.local_origin(stream)) {
            return Some(local);
        }
        self.state().queries.entry(query.clone()).or_default().0 += 1;
        let mut answer = None;
        loop {
            let answered = self.answered.notified();
            if let Some((_, origin)) = self.state().queries.get(&query) {
                answer = origin.clone().or(answer);
            }
            if matches!(
                answer,
                Some(StreamOrigin::Recorded(_) | StreamOrigin::OnlyVersion(_))
            ) {
                break;
            }
            self.report_due.notify_one();
            let deadline = tokio::time::Instant::from_std(deadline);
            if tokio::time::timeout_at(deadline, answered).await.is_err() {
                break;
            }
        }
        let mut state = self.state();
        if let Some((waiters, _)) = state.queries.get_mut(&query) {
            *waiters -= 1;
            if *waiters == 0 {
                state.queries.remove(&query);
            }
        }
        answer
    }

    fn local_origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        let state = self.state();
        let local = state.streams.get(&stream)?;
        Some(StreamOrigin::Recorded(local.version.clone()))
    }

    fn end(&self, stream: StreamKey, is_complete: bool) {
        let mut state = self.state();
        if is_complete {
            state.streams.remove(&stream);
            return;
        }
        let now = self.started_at.elapsed();
        let Some(local) = state.streams.get_mut(&stream) else {
            return;
        };
        local.broke_at = Some(now);
        let is_unreported = !local.is_reported;
        drop(state);
        // The caller takes the stream up within moments, at any gateway.
        if is_unreported {
            self.report_due.notify_one();
        }
    }
}

/// A stream that runs at this gateway.
pub struct StreamRun {
    origins: Arc<StreamOrigins>,
    stream: StreamKey,
}

impl StreamRun {
    /// Ends a stream whose last event was relayed, so that no caller takes it up.
    pub fn complete(&mut self) {
        self.origins.end(self.stream, true);
    }
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        self.origins.end(self.stream, false);
    }
}
