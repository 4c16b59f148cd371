use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use smallvec::SmallVec;

use super::{
    connections::{TargetConnection, TargetConnections},
    crash_watch::CrashWatch,
    part_watch::RequestParts,
    rejection_permit::RejectionPermit,
    request::GatewayRequest,
    send_permit::SendPermit,
    targets::{ChosenTarget, TargetTable},
    warmup_permit::WarmupPermit,
};
use crate::{
    adapter::{ForwardMetadata, PlatformAdapter, PromptPart, ResponseMetadata},
    answer::is_final_status,
    route::ExchangeOutcome,
    warmup::ColdSource,
};

/// Outcome of the start of an exchange.
pub enum ExchangeStart {
    /// The head of the target's answer has arrived.
    Answered(Box<StartedExchange>),
    /// The request has not run and will not.
    NotRun(&'static str),
    /// The target accepts no connection, so the request has not run.
    Unreachable,
    /// The target's data centre was evacuated after the target was chosen; nothing was sent.
    Evacuated,
    /// The target does not hold the model, or another target listens at the address.
    Misdirected,
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// An exchange whose answer head has arrived and whose body follows.
pub struct StartedExchange {
    pub response: Response<Incoming>,
    pub metadata: ResponseMetadata,
    pub connection: TargetConnection,
    pub guard: LoadGuard,
}

/// Counts a request in the load of its target until the guard is dropped.
pub struct LoadGuard {
    pub targets: Arc<TargetTable>,
    pub chosen: ChosenTarget,
    pub sent_at: Instant,
    /// Parts of the prompt that requests may share, for log lines.
    pub shared_parts: SmallVec<[PromptPart; 4]>,
    crash_watch: Arc<CrashWatch>,
    crash_parts: RequestParts,
    is_recorded: bool,
}

impl LoadGuard {
    pub fn new(
        targets: &Arc<TargetTable>,
        chosen: &ChosenTarget,
        request: &GatewayRequest,
        crash_watch: &Arc<CrashWatch>,
        crash_parts: &RequestParts,
    ) -> Self {
        let mut chosen = chosen.clone();
        targets.record_send(&mut chosen, &request.prefix_blocks);
        Self {
            targets: Arc::clone(targets),
            chosen,
            sent_at: Instant::now(),
            shared_parts: request.shared_parts().into(),
            crash_watch: Arc::clone(crash_watch),
            crash_parts: crash_parts.clone(),
            is_recorded: false,
        }
    }

    /// Records that the connection to the target broke while it ran the request, since a restart may be why.
    pub fn record_restart_sign(&self) {
        let target = &self.chosen.choice.target;
        self.targets.record_restart_sign(target, ColdSource::Break);
    }

    /// Records that the connection to the target broke before the answer had got past its start. The
    /// target may have crashed because of the request.
    pub fn record_break(&self) {
        let target = &self.chosen.choice.target;
        if let Some(crash) = self.targets.crash(target) {
            let address = self.chosen.address;
            self.crash_watch
                .record_break(crash, address, &self.crash_parts);
        }
    }

    /// Records a complete answer.
    pub fn record_complete(&self) {
        let target = &self.chosen.choice.target;
        self.targets
            .record_occupancy(target, self.sent_at.elapsed());
        self.crash_watch.record_complete(&self.crash_parts);
    }

    /// Records the outcome of the start of the exchange; only the first call has an effect.
    pub fn record_outcome(&mut self, outcome: ExchangeOutcome) {
        if !self.is_recorded {
            self.is_recorded = true;
            self.targets.record_outcome(&self.chosen, outcome);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.record_outcome(ExchangeOutcome::Cancelled);
        self.targets.record_end(&self.chosen.choice.target);
    }
}

/// Sends a request to a target and waits for the head of the answer.
pub async fn start(
    adapter: &dyn PlatformAdapter,
    connections: &TargetConnections,
    request: &GatewayRequest,
    mut guard: LoadGuard,
    permit: Option<SendPermit>,
) -> ExchangeStart {
    let target = guard.chosen.choice.target.clone();
    let (warmup_permit, mut rejection_permit) = SendPermit::split(permit);
    let connection = tokio::time::timeout(
        request.time_left(),
        connections.take(&target, guard.chosen.address),
    );
    let mut connection = match connection.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(failure)) => {
            guard.record_outcome(ExchangeOutcome::Failed);
            guard.targets.record_connect_failure(&target, failure);
            return ExchangeStart::Unreachable;
        }
        Err(_) => return ExchangeStart::NotRun("the time is over"),
    };
    guard.targets.record_connected(&target);
    guard.sent_at = Instant::now();
    let time_left = request.time_left();
    if time_left.is_zero() {
        return ExchangeStart::NotRun("the time is over");
    }
    // Connecting may have taken long. From here on, nothing waits before the request is written.
    if guard.targets.is_evacuated(&target) {
        connections.put_back(&target, connection);
        return ExchangeStart::Evacuated;
    }
    // The target may have turned cold since it was chosen.
    if guard.targets.is_cold(&target) && !warmup_permit.is_some_and(WarmupPermit::try_use) {
        connections.put_back(&target, connection);
        return ExchangeStart::NotRun("the target is cold");
    }
    if rejection_permit
        .as_mut()
        .is_some_and(|permit| !permit.record_write())
    {
        connections.put_back(&target, connection);
        return ExchangeStart::NotRun("the permit for a brittle target is too old");
    }
    let outgoing = build_request(adapter, request, &guard.chosen, time_left);
    let response = connection.sender.try_send_request(outgoing);
    let response = tokio::time::timeout(time_left, response);
    let response = match RejectionPermit::hold(&mut rejection_permit, response).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            // Hyper returns the request only if the connection closed before any byte was written.
            if error.take_message().is_some() {
                rejection_permit
                    .into_iter()
                    .for_each(RejectionPermit::release);
                return ExchangeStart::NotRun("the connection was closed");
            }
            guard.record_outcome(ExchangeOutcome::Failed);
            guard.record_restart_sign();
            guard.record_break();
            return ExchangeStart::MayHaveRun("the connection broke");
        }
        Err(_) => {
            guard.record_outcome(ExchangeOutcome::Failed);
            return ExchangeStart::TimedOut;
        }
    };
    guard.targets.record_activity(&target);
    connection.record_content();
    if !is_final_status(response.status()) {
        guard.record_outcome(ExchangeOutcome::Failed);
        return ExchangeStart::MayHaveRun("the status is no final answer");
    }
    let metadata = adapter.parse_response(response.status(), response.headers());
    if !is_own_answer(request, &metadata, &connection) {
        // A late answer to an earlier request: this connection can no longer be trusted.
        guard.record_outcome(ExchangeOutcome::Failed);
        return ExchangeStart::MayHaveRun("the answer belongs to another request");
    }
    if let Some((running, queued, _)) = metadata.load {
        guard.targets.record_load(&target, running, queued);
    }
    // A misdirected request may have been answered by another target at the same address.
    if let Some(pace) = metadata.pace.filter(|_| !metadata.is_misdirected) {
        guard.targets.record_pace(&target, pace);
    }
    connection.set_keep_alive(metadata.keep_alive);
    if !metadata.is_misdirected {
        let limit = metadata.rejection_limit;
        guard.targets.record_rejection_limit(&target, limit);
    }
    if metadata.is_not_executed && !metadata.is_misdirected {
        guard.targets.record_rejection(&target);
        // Dropping the permit uses it up.
        return ExchangeStart::NotRun("the target is full");
    }
    rejection_permit
        .into_iter()
        .for_each(RejectionPermit::release);
    match () {
        () if metadata.is_misdirected => ExchangeStart::Misdirected,
        () => ExchangeStart::Answered(Box::new(StartedExchange {
            response,
            metadata,
            connection,
            guard,
        })),
    }
}

/// Returns whether an answer belongs to the request that was sent. Targets name the request in their
/// answers; one that does not, such as a refusal by a proxy, is only accepted on a new connection,
/// since on a reused one it may be the late answer to an earlier request.
fn is_own_answer(
    request: &GatewayRequest,
    metadata: &ResponseMetadata,
    connection: &TargetConnection,
) -> bool {
    match (&metadata.request_id, &request.metadata.request_id) {
        (None, Some(_)) => !metadata.is_signed && !connection.is_reused,
        (answered, sent) => answered == sent,
    }
}

fn build_request(
    adapter: &dyn PlatformAdapter,
    request: &GatewayRequest,
    chosen: &ChosenTarget,
    time_left: Duration,
) -> Request<Full<bytes::Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = request.parts.uri.clone();
    *outgoing.headers_mut() = request.parts.headers.clone();
    let metadata = ForwardMetadata {
        target: &chosen.choice.target,
        team: request.team_id(),
        deadline: time_left,
        priority: request.rank(),
        resume_after: None,
    };
    adapter.prepare_request(outgoing.headers_mut(), &metadata);
    outgoing
}
