use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};

use super::{
    connections::{TargetConnection, TargetConnections},
    request::GatewayRequest,
    targets::{ChosenTarget, TargetTable},
};
use crate::{
    adapter::{ForwardMetadata, PlatformAdapter, ResponseMetadata},
    route::ExchangeOutcome,
};

/// How the start of an exchange went.
pub enum ExchangeStart {
    /// The target's answer begins.
    Answered(Box<StartedExchange>),
    /// The request has not run and will not.
    NotRun(&'static str),
    /// The target does not hold the model, or is another one.
    Misdirected,
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The time is over; the request may have run.
    TimedOut,
}

/// An answer of which the head has arrived.
pub struct StartedExchange {
    pub response: Response<Incoming>,
    pub facts: ResponseMetadata,
    pub connection: TargetConnection,
    pub place: TargetPlace,
}

/// Counts a request at its target until it is dropped.
pub struct TargetPlace {
    pub targets: Arc<TargetTable>,
    pub chosen: ChosenTarget,
    pub sent: Instant,
    is_observed: bool,
}

impl TargetPlace {
    pub fn new(
        targets: &Arc<TargetTable>,
        chosen: &ChosenTarget,
        request: &GatewayRequest,
    ) -> Self {
        let mut chosen = chosen.clone();
        targets.send(&mut chosen, &request.prefix);
        Self {
            targets: Arc::clone(targets),
            chosen,
            sent: Instant::now(),
            is_observed: false,
        }
    }

    /// Notes how the exchange started, once.
    pub fn observe(&mut self, exchange: ExchangeOutcome) {
        if !self.is_observed {
            self.is_observed = true;
            self.targets.observe(&self.chosen, exchange);
        }
    }
}

impl Drop for TargetPlace {
    fn drop(&mut self) {
        self.observe(ExchangeOutcome::Cancelled);
        self.targets.end(&self.chosen.choice.target);
    }
}

/// Sends a request to a target and waits for the head of the answer.
pub async fn start(
    adapter: &dyn PlatformAdapter,
    connections: &TargetConnections,
    request: &GatewayRequest,
    mut place: TargetPlace,
) -> ExchangeStart {
    let target = place.chosen.choice.target.clone();
    let taken = tokio::time::timeout(
        request.left(),
        connections.take(&target, place.chosen.address),
    );
    let mut connection = match taken.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(failure)) => {
            place.observe(ExchangeOutcome::Failed);
            place.targets.note_unreachable(&target, failure);
            return ExchangeStart::NotRun("the target accepts no connection");
        }
        Err(_) => return ExchangeStart::NotRun("the time is over"),
    };
    place.targets.note_reachable(&target);
    place.sent = Instant::now();
    let left = request.left();
    if left.is_zero() {
        return ExchangeStart::NotRun("the time is over");
    }
    let outgoing = outgoing(adapter, request, &place.chosen, left);
    let sent = connection.sender.try_send_request(outgoing);
    let response = match tokio::time::timeout(left, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            // The connection closed before any byte was written when the request comes back.
            if error.take_message().is_some() {
                return ExchangeStart::NotRun("the connection was closed");
            }
            place.observe(ExchangeOutcome::Failed);
            return ExchangeStart::MayHaveRun("the connection broke");
        }
        Err(_) => {
            place.observe(ExchangeOutcome::Failed);
            return ExchangeStart::TimedOut;
        }
    };
    place.targets.hear(&target);
    let facts = adapter.parse_response(response.status(), response.headers());
    if facts.request_id != request.facts.request_id && facts.is_signed {
        // A late answer to an earlier request; nothing on this connection can be trusted.
        place.observe(ExchangeOutcome::Failed);
        return ExchangeStart::MayHaveRun("the answer belongs to another request");
    }
    if let Some((running, queued, _)) = facts.load {
        place.targets.report_load(&target, running, queued);
    }
    connection.set_keep_alive(facts.keep_alive);
    match () {
        () if facts.is_misdirected => ExchangeStart::Misdirected,
        () if facts.is_not_executed => ExchangeStart::NotRun("the target is full"),
        () => ExchangeStart::Answered(Box::new(StartedExchange {
            response,
            facts,
            connection,
            place,
        })),
    }
}

fn outgoing(
    adapter: &dyn PlatformAdapter,
    request: &GatewayRequest,
    chosen: &ChosenTarget,
    left: Duration,
) -> Request<Full<bytes::Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = request.parts.uri.clone();
    *outgoing.headers_mut() = request.parts.headers.clone();
    let facts = ForwardMetadata {
        target: &chosen.choice.target,
        team: request.team_id(),
        deadline: left,
        priority: request.rank(),
        resume_after: None,
    };
    adapter.prepare_request(outgoing.headers_mut(), &facts);
    outgoing
}
