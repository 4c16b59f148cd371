use std::{sync::Arc, time::Duration};

use compact_str::{CompactString, format_compact};
use futures::{StreamExt, TryStreamExt};
use rand::seq::IndexedRandom;
use reqwest::Client;
use rocket::{
    Data, Request, Response,
    data::ToByteUnit,
    http::{Method, Status},
    route::{Handler, Outcome, Route},
};
use spdlog::prelude::*;
use tokio_util::io::StreamReader;

use super::{
    demand::DemandCounter,
    refusal::CallerError,
    request::ModelRequest,
    view::{EntryView, SharedView},
};
use crate::{
    border::{RouteAccess, RouteConfig, RouteKind, TargetConfig},
    code::ResultCode,
    fleet::KeyHasher,
    ids::RequestId,
};

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// Headers that concern one connection only, and those that may carry a caller's key.
const DROPPED_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
];

/// Serves every caller's request on every path.
#[derive(Clone)]
pub struct CallerProxy {
    view: Arc<SharedView>,
    demand: Arc<DemandCounter>,
    hasher: KeyHasher,
    client: Client,
    freshness_bound: Duration,
}

impl CallerProxy {
    pub fn new(
        view: Arc<SharedView>,
        demand: Arc<DemandCounter>,
        hasher: KeyHasher,
        client: Client,
        freshness_bound: Duration,
    ) -> Self {
        Self {
            view,
            demand,
            hasher,
            client,
            freshness_bound,
        }
    }

    /// Returns one Rocket route per method.
    pub fn routes(&self) -> Vec<Route> {
        METHODS
            .iter()
            .map(|method| Route::new(*method, "/<path..>", self.clone()))
            .collect()
    }

    async fn serve<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<Response<'r>, CallerError> {
        let id: RequestId = format_compact!("{}", uuid::Uuid::now_v7());
        let view = self.view.get();
        let path = request.uri().path().as_str();
        let route = view.index.route(path).cloned().ok_or_else(|| {
            CallerError::not_run(
                ResultCode::UnknownRoute,
                format!("no route for {path}"),
                &id,
            )
        })?;
        self.authenticate(&view, &route, request, &id)?;
        let body = data
            .open(route.max_body_bytes.bytes())
            .into_bytes()
            .await
            .map_err(|error| {
                CallerError::not_run(ResultCode::MalformedRequest, error.to_string(), &id)
            })?;
        if !body.is_complete() {
            let message = format!("the body is larger than {} bytes", route.max_body_bytes);
            return Err(CallerError::not_run(ResultCode::BodyTooLarge, message, &id));
        }
        let body = body.into_inner();
        let target = choose_target(&view, &self.demand, &route, &body, &id)?;
        info!("route: {id} {} to {}", route.id, target.id);
        self.forward(request, &target, body, &id).await
    }

    fn authenticate(
        &self,
        view: &EntryView,
        route: &RouteConfig,
        request: &Request<'_>,
        id: &RequestId,
    ) -> Result<(), CallerError> {
        if route.access == RouteAccess::Open {
            return Ok(());
        }
        if !view.is_fresh(self.freshness_bound) {
            let message = "this entry cannot prove that its configuration is current";
            return Err(CallerError::not_run(
                ResultCode::StaleConfiguration,
                message,
                id,
            ));
        }
        let sent = request
            .headers()
            .get_one("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| {
                CallerError::not_run(ResultCode::MissingKey, "this route needs a key", id)
            })?;
        let known = view.index.key(&self.hasher.hash(sent)).is_some();
        let unknown = || CallerError::not_run(ResultCode::UnknownKey, "the key is not valid", id);
        known.then_some(()).ok_or_else(unknown)
    }

    async fn forward<'r>(
        &self,
        request: &Request<'_>,
        target: &TargetConfig,
        body: Vec<u8>,
        id: &RequestId,
    ) -> Result<Response<'r>, CallerError> {
        let method = reqwest::Method::from_bytes(request.method().as_str().as_bytes())
            .unwrap_or(reqwest::Method::GET);
        let mut call = self.client.request(
            method,
            format!("http://{}{}", target.address, request.uri()),
        );
        for header in request.headers().iter() {
            if !DROPPED_HEADERS.contains(&header.name().as_str().to_ascii_lowercase().as_str()) {
                call = call.header(header.name().as_str(), header.value());
            }
        }
        let answer = call
            .header("x-request-id", id.as_str())
            .body(body)
            .send()
            .await
            .map_err(|error| {
                let message = format!("target {}: {error}", target.id);
                if error.is_connect() {
                    CallerError::not_run(ResultCode::TargetUnreachable, message, id)
                } else {
                    CallerError::may_have_run(ResultCode::TargetUnreachable, message, id)
                }
            })?;
        let mut response = Response::build();
        response.status(Status::new(answer.status().as_u16()));
        for (name, value) in answer.headers() {
            if let Ok(value) = value.to_str()
                && !DROPPED_HEADERS.contains(&name.as_str())
            {
                response.raw_header(name.to_string(), value.to_owned());
            }
        }
        response.raw_header("x-request-id", id.to_string());
        let chunks = answer.bytes_stream().map_err(std::io::Error::other).boxed();
        response.streamed_body(StreamReader::new(chunks));
        Ok(response.finalize())
    }
}

fn choose_target(
    view: &EntryView,
    demand: &DemandCounter,
    route: &RouteConfig,
    body: &[u8],
    id: &RequestId,
) -> Result<Arc<TargetConfig>, CallerError> {
    let candidates: Vec<Arc<TargetConfig>> = match route.kind {
        RouteKind::Model => {
            let request: ModelRequest = serde_json::from_slice(body).map_err(|error| {
                CallerError::not_run(ResultCode::MalformedRequest, error.to_string(), id)
            })?;
            demand.record_arrival(&request.model, 0);
            let copies = view
                .residency
                .get(&request.model)
                .map_or(&[][..], Vec::as_slice);
            copies
                .iter()
                .filter_map(|(target, _)| view.index.target(target).cloned())
                .collect()
        }
        RouteKind::Service => {
            let service = route
                .service
                .clone()
                .unwrap_or_else(|| CompactString::from(""));
            view.index.service(&service).to_vec()
        }
    };
    candidates.choose(&mut rand::rng()).cloned().ok_or_else(|| {
        CallerError::not_run(ResultCode::NoTarget, "no target can take the request", id)
    })
}

#[rocket::async_trait]
impl Handler for CallerProxy {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.serve(request, data).await {
            Ok(response) => Outcome::Success(response),
            Err(error) => Outcome::from(request, error),
        }
    }
}
