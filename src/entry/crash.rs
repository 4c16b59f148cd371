//! Requests that take targets down; see docs/design.md, section 10.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use spdlog::prelude::*;
use tokio::{net::TcpStream, time::timeout};

use super::{
    context::RequestContext, control_client::ControlClient, crashes::CrashSnapshot,
    refusal::CallerError, view::EntryView,
};
use crate::{
    border::TargetConfig,
    code::ResultCode,
    ids::{Attempt, Fingerprint},
    state::{BlockState, Outcome, TurnOutcome},
    sync::CrashMessage,
};

/// Time for which a fingerprint is remembered after the last crash.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(60 * 60);
/// Most fingerprints that are remembered; the oldest is dropped first.
const MAX_SUSPECTS: usize = 10_000;
/// Wait between two probes of a target whose connection broke. A process that dies closes its
/// listening socket a moment after its connections.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// Number of probes that a target has to fail.
const PROBES: u32 = 2;
/// Time that a target has to accept a probe.
const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// Time that a crash report or a turn may take; the leader holds a report for up to 2 s.
const MESSAGE_LIMIT: Duration = Duration::from_secs(3);
/// Wait before a busy turn is asked for again.
const TURN_DELAY: Duration = Duration::from_millis(100);

/// Fingerprints of requests that took a target down.
pub struct CrashRegistry {
    control: Arc<ControlClient>,
    secret: [u8; 32],
    suspects: Mutex<HashMap<Fingerprint, Suspect>>,
}

#[derive(Clone, Copy)]
struct Suspect {
    state: BlockState,
    seen: Instant,
}

/// Permission to run a suspect, given back when dropped.
pub struct SuspectTurn {
    control: Arc<ControlClient>,
    fingerprint: Fingerprint,
    attempt: Attempt,
}

impl CrashRegistry {
    /// Creates an empty registry; `secret` keys the fingerprints.
    pub fn new(control: Arc<ControlClient>, secret: &str) -> Self {
        Self {
            control,
            secret: blake3::derive_key("waxwinglatch request fingerprint v1", secret.as_bytes()),
            suspects: Mutex::default(),
        }
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

    /// Remembers the reply to a report until the leader's table shows it.
    fn remember(&self, fingerprint: Fingerprint, state: BlockState) {
        let mut suspects = self.lock();
        if suspects.len() >= MAX_SUSPECTS {
            let oldest = suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.seen)
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(oldest) = oldest {
                suspects.remove(&oldest);
            }
        }
        let seen = Instant::now();
        suspects.insert(fingerprint, Suspect { state, seen });
    }

    /// Lets a request pass that is no suspect, and waits for the turn of one that is.
    ///
    /// # Errors
    /// The refusal of a blocked request, or of a suspect that gets no turn by its deadline.
    pub async fn admit(
        &self,
        fingerprint: Option<Fingerprint>,
        context: &RequestContext,
        view: &EntryView,
    ) -> Result<Option<SuspectTurn>, CallerError> {
        let Some(fingerprint) = fingerprint else {
            return Ok(None);
        };
        match self.state(&fingerprint, &view.crashes) {
            None => return Ok(None),
            Some(BlockState::Blocked) => return Err(blocked(context)),
            Some(BlockState::Suspect) => {}
        }
        let turn = SuspectTurn {
            control: Arc::clone(&self.control),
            fingerprint,
            attempt: self.control.next_attempt(),
        };
        let holder = self.control.key().clone();
        let message = CrashMessage::TakeTurn(fingerprint, holder, turn.attempt);
        loop {
            let reply = self.control.send_crash(&message, MESSAGE_LIMIT).await;
            match reply {
                Ok(Outcome::Turn(TurnOutcome::Granted)) => return Ok(Some(turn)),
                Ok(Outcome::Turn(TurnOutcome::Blocked)) => {
                    self.remember(fingerprint, BlockState::Blocked);
                    return Err(blocked(context));
                }
                Ok(_) => {}
                Err(error) => debug!("entry: no turn for {}: {error}", context.id),
            }
            if Instant::now() + TURN_DELAY >= context.deadline {
                let message = "the request took a target down and waits for its turn";
                let code = ResultCode::SuspectBusy;
                return Err(CallerError::not_run(code, message, &context.id));
            }
            tokio::time::sleep(TURN_DELAY).await;
        }
    }

    /// Reports a request to the leader if the target whose connection broke is down, before the
    /// caller can send the request again.
    pub async fn report_if_down(
        &self,
        fingerprint: Option<Fingerprint>,
        target: &TargetConfig,
    ) -> Option<BlockState> {
        let fingerprint = fingerprint?;
        for _ in 0..PROBES {
            tokio::time::sleep(PROBE_DELAY).await;
            let probe = timeout(PROBE_LIMIT, TcpStream::connect(&target.address)).await;
            if matches!(probe, Ok(Ok(_))) {
                return None;
            }
        }
        warn!(
            "entry: target {} went down while it ran a request",
            target.id
        );
        let message = CrashMessage::Report(fingerprint, target.id.clone());
        let state = match self.control.send_crash(&message, MESSAGE_LIMIT).await {
            Ok(Outcome::Crash(outcome)) => outcome.state,
            Ok(_) => BlockState::Suspect,
            Err(error) => {
                error!("entry: a crash report is not confirmed: {error}");
                BlockState::Suspect
            }
        };
        self.remember(fingerprint, state);
        Some(state)
    }

    /// What the leader's table and this entry's own reports tell; the table may lag behind.
    fn state(&self, fingerprint: &Fingerprint, table: &CrashSnapshot) -> Option<BlockState> {
        if table.is_blocked(fingerprint) {
            return Some(BlockState::Blocked);
        }
        if table.is_suspect(fingerprint) {
            return Some(BlockState::Suspect);
        }
        let mut suspects = self.lock();
        let suspect = suspects.get(fingerprint).copied()?;
        if suspect.seen.elapsed() > SUSPECT_LIFETIME {
            suspects.remove(fingerprint);
            return None;
        }
        Some(suspect.state)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Fingerprint, Suspect>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An earlier attempt ran, so this does not say "not run".
pub fn blocked(context: &RequestContext) -> CallerError {
    let message = "the request took two targets down and is blocked";
    CallerError::may_have_run(ResultCode::RequestCrashesTargets, message, &context.id)
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        let control = Arc::clone(&self.control);
        let holder = control.key().clone();
        let message = CrashMessage::EndTurn(self.fingerprint, holder, self.attempt);
        tokio::spawn(async move {
            if let Err(error) = control.send_crash(&message, MESSAGE_LIMIT).await {
                warn!("entry: the end of a turn is not confirmed: {error}");
            }
        });
    }
}
