//! Requests that gateways without links to the targets pass to others; see docs/design/stranded.md.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use smallvec::SmallVec;
use spdlog::prelude::*;
use tokio::sync::Semaphore;

use super::{
    connections::{TargetConnection, TargetConnections},
    hop::{self, HopAnswer},
    neighbours::NeighbourTable,
    passed_body::{PassedBody, connection_key},
    proxy::{CallerBody, GatewayProxy, unavailable},
    request::GatewayRequest,
};
use crate::{
    adapter::{RefusalKind, RefusalNotice, remove_connection_headers},
    answer::is_final_status,
    entry::body,
};

/// Number of neighbours that a request is passed to at most.
const MAX_NEIGHBOURS_TRIED: usize = 3;
/// Number of passed requests that a gateway serves at a time, so that many stranded gateways don't bury
/// the few others.
const MAX_PASSED_REQUESTS: usize = 256;

/// What a gateway needs to pass requests on and to serve those of others.
pub struct RequestPassing {
    pub neighbours: Arc<NeighbourTable>,
    pub connections: Arc<TargetConnections>,
    /// Room for requests of other gateways.
    room: Arc<Semaphore>,
    secret: String,
}

impl RequestPassing {
    pub fn new(neighbours: Arc<NeighbourTable>, secret: String) -> Self {
        Self {
            neighbours,
            connections: Arc::default(),
            room: Arc::new(Semaphore::new(MAX_PASSED_REQUESTS)),
            secret,
        }
    }
}

/// Marks an answer that this gateway itself gives.
#[derive(Clone, Copy, Debug)]
pub struct OwnAnswer {
    pub kind: RefusalKind,
}

/// Outcome of the start of a passed request.
enum PassStart {
    /// The head of the answer has arrived.
    Answered(Box<PassedAnswer>),
    /// The neighbour does not take the request, which has not run.
    Declined(HopAnswer),
    /// The neighbour accepts no connection.
    Unconnected,
    /// The request has not run and will not.
    NotRun(&'static str),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The deadline has passed; the request may have run.
    TimedOut,
}

/// An answer of a neighbour, whose body follows.
struct PassedAnswer {
    response: Response<Incoming>,
    connection: TargetConnection,
    neighbour: SocketAddr,
    /// What the neighbour itself answers; `None` if a target answers.
    own: Option<HopAnswer>,
}

impl GatewayProxy {
    /// Serves a request that another gateway passes on, and never passes it on again.
    pub(super) async fn serve_passed(
        &self,
        mut request: Request<Incoming>,
    ) -> Response<CallerBody> {
        let time_left = hop::take_time_left(request.headers_mut(), &self.passing.secret);
        let room = Arc::clone(&self.passing.room).try_acquire_owned();
        let (time_left, room) = match (time_left, room) {
            (None, _) => return hop_refusal(HopAnswer::Denied),
            _ if *self.is_refusing.borrow() => return hop_refusal(HopAnswer::Stopping),
            _ if self.targets.is_cut_off() => return hop_refusal(HopAnswer::CutOff),
            (_, Err(_)) => return hop_refusal(HopAnswer::Busy),
            (Some(time_left), Ok(room)) => (time_left, room),
        };
        let mut response = self.answer(request, Some(time_left)).await;
        let own = response.extensions_mut().remove::<OwnAnswer>();
        let headers = response.headers_mut();
        // A target's answer has no mark of a gateway.
        HopAnswer::take(headers);
        match own.map(|own| own.kind) {
            Some(RefusalKind::Unreachable) => HopAnswer::Unreachable.write(headers),
            Some(_) => HopAnswer::Refused.write(headers),
            None => {}
        }
        response.map(|body| body::with_guard(body, room))
    }

    /// Answers a request that matches the plan: by this gateway's targets, or by a neighbour if it reaches none
    /// and `may_pass`.
    pub(super) async fn answer_matched(
        &self,
        request: &mut GatewayRequest,
        may_pass: bool,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        if may_pass && self.targets.is_cut_off() {
            return self.pass_on(request).await;
        }
        let answered = match self.resolve_origin(request).await {
            Ok(()) => self.forward(request).await,
            Err(notice) => Err(notice),
        };
        let mut notice = match answered {
            Ok(response) => return Ok(response),
            Err(notice) => notice,
        };
        if notice.kind == RefusalKind::Unavailable && self.targets.are_unreachable(request) {
            notice.kind = RefusalKind::Unreachable;
        }
        let has_run = !matches!(
            notice.kind,
            RefusalKind::Unreachable | RefusalKind::Unavailable
        );
        let is_cut_off = self.targets.is_cut_off();
        let is_stranded = is_cut_off || notice.kind == RefusalKind::Unreachable;
        let is_resting = !is_cut_off && self.passing.neighbours.is_resting(&request.route.id);
        if !may_pass || has_run || !is_stranded || is_resting {
            return Err(notice);
        }
        self.pass_on(request).await
    }

    /// Passes a request that has not run to neighbours until one takes it.
    async fn pass_on(
        &self,
        request: &GatewayRequest,
    ) -> Result<Response<CallerBody>, RefusalNotice> {
        let team = request.team_id().cloned().unwrap_or_default();
        let allowed = &request.scope.data_centres;
        let mut tried: SmallVec<[SocketAddr; 4]> = SmallVec::new();
        let mut possible_runs = 0;
        let mut is_unreachable = false;
        while tried.len() < MAX_NEIGHBOURS_TRIED {
            let Some(neighbour) = self.passing.neighbours.choose(allowed, &tried) else {
                break;
            };
            tried.push(neighbour);
            let reason = match self.pass_to(request, neighbour).await {
                PassStart::Answered(answer) => return Ok(self.relay_passed(request, *answer)),
                PassStart::NotRun(reason) => reason,
                PassStart::Unconnected => {
                    self.passing.neighbours.record_failure(neighbour);
                    "the neighbour accepts no connection"
                }
                PassStart::Declined(own) => {
                    is_unreachable |= own == HopAnswer::Unreachable;
                    self.passing.neighbours.record_failure(neighbour);
                    own.name()
                }
                PassStart::MayHaveRun(reason) => {
                    self.passing.neighbours.record_failure(neighbour);
                    possible_runs += 1;
                    if !self.may_run_again(request, &team, possible_runs) {
                        return Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
                    }
                    reason
                }
                PassStart::TimedOut => {
                    let reason = "the neighbour did not answer in time";
                    return Err(RefusalNotice::new(RefusalKind::TimedOut, reason));
                }
            };
            info!("gateway: a neighbour did not serve a passed request", kv: {
                request = request.log_id(),
                neighbour:? = neighbour,
                reason = reason,
            });
        }
        if is_unreachable {
            let route = &request.route.id;
            self.passing.neighbours.record_unreachable(route);
        }
        let reason = "no target is reachable, and no neighbour takes the request";
        Err(Self::no_target_refusal(possible_runs, unavailable(reason)))
    }

    async fn pass_to(&self, request: &GatewayRequest, neighbour: SocketAddr) -> PassStart {
        let key = connection_key(neighbour);
        let connections = &self.passing.connections;
        let connection = connections.take(&key, neighbour);
        let connection = tokio::time::timeout(request.time_left(), connection).await;
        let mut connection = match connection {
            Ok(Ok(connection)) => connection,
            Ok(Err(_)) => return PassStart::Unconnected,
            Err(_) => return PassStart::NotRun("the time is over"),
        };
        let time_left = request.time_left();
        if time_left.is_zero() {
            return PassStart::NotRun("the time is over");
        }
        let outgoing = build_request(request, &self.passing.secret, time_left);
        let response = connection.sender.try_send_request(outgoing);
        let mut response = match tokio::time::timeout(time_left, response).await {
            Ok(Ok(response)) => response,
            // Hyper returns the request only if the connection closed before any byte was written.
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(_) => PassStart::NotRun("the connection to the neighbour was closed"),
                    None => PassStart::MayHaveRun("the connection to the neighbour broke"),
                };
            }
            Err(_) => return PassStart::TimedOut,
        };
        connection.record_content();
        // A neighbour of an earlier release relays any status of its target.
        if !is_final_status(response.status()) {
            return PassStart::MayHaveRun("the neighbour's status is no final answer");
        }
        let own = HopAnswer::take(response.headers_mut());
        if let Some(own) = own.filter(|own| !own.is_final()) {
            drop(response);
            connections.put_back(&key, connection);
            return PassStart::Declined(own);
        }
        PassStart::Answered(Box::new(PassedAnswer {
            response,
            connection,
            neighbour,
            own,
        }))
    }

    fn relay_passed(&self, request: &GatewayRequest, answer: PassedAnswer) -> Response<CallerBody> {
        let neighbour = answer.neighbour;
        if answer.own.is_none() {
            self.passing.neighbours.record_served();
        }
        let (mut parts, incoming) = answer.response.into_parts();
        info!("gateway: passed on", kv: {
            request = request.log_id(),
            route = request.route.id.as_str(),
            neighbour:? = neighbour,
            status = parts.status.as_u16(),
            own = answer.own.map_or("-", HopAnswer::name),
            held_ms = request.arrived_at.elapsed().as_millis(),
        });
        remove_connection_headers(&mut parts.headers);
        let body = PassedBody::new(
            incoming,
            answer.connection,
            &self.passing.connections,
            neighbour,
            request.metadata.request_id.clone().unwrap_or_default(),
            request.deadline,
        );
        Response::from_parts(parts, body.boxed_unsync())
    }
}

fn build_request(
    request: &GatewayRequest,
    secret: &str,
    time_left: Duration,
) -> Request<Full<bytes::Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = request.parts.uri.clone();
    *outgoing.headers_mut() = request.parts.headers.clone();
    hop::prepare_request(outgoing.headers_mut(), secret, time_left);
    outgoing
}

/// Returns the answer to a passed request that this gateway does not take.
fn hop_refusal(answer: HopAnswer) -> Response<CallerBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    answer.write(response.headers_mut());
    info!("gateway: did not take a passed request", kv: { reason = answer.name() });
    response
}
