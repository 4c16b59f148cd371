//! Requests that crash targets; see docs/design.md, section 10.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;

use super::{
    caller_error::CallerError, context::RequestContext, control_client::ControlClient,
    crash_snapshot::CrashSnapshot, model_request::ModelRequest, view::EntryView,
};
use crate::{
    border::TargetConfig,
    client,
    code::ResultCode,
    gateway::{CrashWatch, RequestParts},
    ids::{Attempt, Fingerprint},
    state::{BlockState, Outcome, TurnOutcome},
    sync::{CrashMessage, PartKind, TargetCrash},
};

/// Retention of a fingerprint after its last crash.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60 * 60);
/// Maximum number of retained fingerprints; the oldest is evicted first.
const MAX_SUSPECTS: usize = 10_000;
/// Timeout of a crash report or a permit message; the leader holds a report for up to 2 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before a permit held by another request is requested again.
const PERMIT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a crash of a target may be due to.
#[derive(Clone, Debug, Default)]
pub struct CrashSubject {
    /// The request as a whole; `None` when its body is streamed.
    pub fingerprint: Option<Fingerprint>,
    /// Parts of its prompt that other requests may share.
    pub parts: RequestParts,
}

/// Fingerprints of requests that crashed a target.
pub struct CrashRegistry {
    control: Arc<ControlClient>,
    parts: Arc<CrashWatch>,
    secret: [u8; 32],
    suspects: Mutex<HashMap<Fingerprint, SuspectRecord>>,
}

/// How far an answer had come when its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerProgress {
    /// The answer had hardly begun, which is when a request crashes its target.
    Starting,
    /// The answer had been running for a while.
    Running,
}

#[derive(Clone, Copy)]
struct SuspectRecord {
    state: BlockState,
    recorded_at: Instant,
}

/// Permission to run a suspect request, released when dropped.
pub struct SuspectPermit {
    control: Arc<ControlClient>,
    fingerprint: Fingerprint,
    attempt: Attempt,
}

impl CrashRegistry {
    /// Creates an empty registry; `secret` keys the fingerprints.
    pub fn new(control: Arc<ControlClient>, parts: Arc<CrashWatch>, secret: &str) -> Self {
        Self {
            parts,
            control,
            secret: blake3::derive_key("waxwinglatch request fingerprint v1", secret.as_bytes()),
            suspects: Mutex::default(),
        }
    }

    /// Computes the fingerprints of the parts of a model request that other requests may share.
    pub fn prompt_parts(&self, request: &ModelRequest) -> RequestParts {
        let parts = request.shared_messages().iter();
        let parts = parts.map(|message| {
            let text = message.to_string();
            let fingerprint = self.fingerprint("", "", text.as_bytes());
            (fingerprint, PartKind::Prompt)
        });
        parts.collect()
    }

    /// Records a complete answer, which shows that the parts of its request are sound.
    pub fn record_complete(&self, subject: &CrashSubject) {
        self.parts.record_complete(&subject.parts);
    }

    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, route: &str, model: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in [route, model] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint::new(first)
    }

    /// Records the reply to a report until the leader's table contains it.
    fn record_state(&self, fingerprint: Fingerprint, state: BlockState) {
        let mut suspects = self.lock();
        if suspects.len() >= MAX_SUSPECTS {
            let oldest = suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.recorded_at)
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(oldest) = oldest {
                suspects.remove(&oldest);
            }
        }
        let recorded_at = Instant::now();
        suspects.insert(fingerprint, SuspectRecord { state, recorded_at });
    }

    /// Admits a request without suspicion at once; waits for a permit if the request is a suspect.
    ///
    /// # Errors
    /// An error for a blocked request, or for a suspect that receives no permit by its deadline.
    pub async fn admit(
        &self,
        subject: &CrashSubject,
        context: &RequestContext,
        view: &EntryView,
    ) -> Result<Option<SuspectPermit>, CallerError> {
        if self.parts.is_blocked(&subject.parts) {
            let message = "a part of the prompt takes targets down and is blocked";
            let code = ResultCode::RequestCrashesTargets;
            return Err(CallerError::may_have_run(code, message, &context.id));
        }
        let Some(fingerprint) = subject.fingerprint else {
            return Ok(None);
        };
        match self.state(&fingerprint, &view.crashes) {
            None => return Ok(None),
            Some(BlockState::Blocked) => return Err(blocked_error(context)),
            Some(BlockState::Suspect) => {}
        }
        let permit = SuspectPermit {
            control: Arc::clone(&self.control),
            fingerprint,
            attempt: self.control.next_attempt(),
        };
        let holder = self.control.key().clone();
        let message = CrashMessage::TakeTurn(fingerprint, holder, permit.attempt);
        loop {
            let reply = self.control.send_crash(&message, MESSAGE_TIMEOUT).await;
            match reply {
                Ok(Outcome::Turn(TurnOutcome::Granted)) => return Ok(Some(permit)),
                Ok(Outcome::Turn(TurnOutcome::Blocked)) => {
                    self.record_state(fingerprint, BlockState::Blocked);
                    return Err(blocked_error(context));
                }
                Ok(_) => {}
                Err(error) => debug!(
                    "entry: no permit for suspect request {} yet: {error}",
                    context.id
                ),
            }
            if Instant::now() + PERMIT_RETRY_DELAY >= context.deadline {
                let message = "the request took a target down and waits for its turn";
                let code = ResultCode::SuspectBusy;
                return Err(CallerError::not_run(code, message, &context.id));
            }
            tokio::time::sleep(PERMIT_RETRY_DELAY).await;
        }
    }

    /// Probes the target whose connection broke, and reports the request to the leader if the
    /// target is down. The report precedes the error response, after which the caller may resend.
    pub async fn report_if_down(
        &self,
        subject: &CrashSubject,
        answer: AnswerProgress,
        target: &TargetConfig,
    ) -> Option<BlockState> {
        let fingerprint = subject.fingerprint?;
        if !client::is_down(target.address.as_str()).await {
            return None;
        }
        warn!(
            "entry: target {} is down after its connection broke during a request",
            target.id
        );
        if answer == AnswerProgress::Starting && !subject.parts.is_empty() {
            let crash = TargetCrash::new(target.id.clone(), 0);
            self.parts.record_crash(crash, &subject.parts);
        }
        let message = CrashMessage::Report(fingerprint, target.id.clone());
        let state = match self.control.send_crash(&message, MESSAGE_TIMEOUT).await {
            Ok(Outcome::Crash(outcome)) => outcome.state,
            Ok(_) => BlockState::Suspect,
            Err(error) => {
                error!(
                    "entry: no leader confirmed a crash report; treating the request as a suspect: {error}"
                );
                BlockState::Suspect
            }
        };
        self.record_state(fingerprint, state);
        Some(state)
    }

    /// Returns the state by the leader's table or else by this entry's own reports, since the table
    /// may lag behind.
    fn state(&self, fingerprint: &Fingerprint, table: &CrashSnapshot) -> Option<BlockState> {
        if table.is_blocked(fingerprint) {
            return Some(BlockState::Blocked);
        }
        if table.is_suspect(fingerprint) {
            return Some(BlockState::Suspect);
        }
        let mut suspects = self.lock();
        let suspect = suspects.get(fingerprint).copied()?;
        if suspect.recorded_at.elapsed() > SUSPECT_RETENTION {
            suspects.remove(fingerprint);
            return None;
        }
        Some(suspect.state)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Fingerprint, SuspectRecord>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the error for a blocked request. An earlier attempt ran, so it does not claim "not run".
pub fn blocked_error(context: &RequestContext) -> CallerError {
    let message = "the request took two targets down and is blocked";
    CallerError::may_have_run(ResultCode::RequestCrashesTargets, message, &context.id)
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        let control = Arc::clone(&self.control);
        let holder = control.key().clone();
        let message = CrashMessage::EndTurn(self.fingerprint, holder, self.attempt);
        tokio::spawn(async move {
            if let Err(error) = control.send_crash(&message, MESSAGE_TIMEOUT).await {
                warn!("entry: no leader confirmed the release of a permit: {error}");
            }
        });
    }
}
