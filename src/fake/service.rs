use std::{path::PathBuf, time::Duration};

use futures::StreamExt;
use rocket::{
    Data, Request, Response, Route, State,
    data::ToByteUnit,
    get,
    http::Status,
    put,
    response::Responder,
    route::{Handler, Outcome},
    routes,
    serde::json::Json,
};
use serde_json::json;
use tokio_util::io::StreamReader;

use super::{
    engine::IdEcho,
    fault::{FaultPlan, Faults, cut_body},
    options::ServiceOptions,
    record::{RequestRecord, RequestState, SharedRecord},
};
use crate::{config::ListenAddress, error::Result, server};

/// Largest body that the service reads.
const MAX_BODY_MIB: u64 = 64;
/// Header with the id of a reservation, whose runs are counted.
const RESERVATION_HEADER: &str = "x-reservation";
/// Header with which a caller asks for a response of this many bytes without a length.
const CHUNKED_HEADER: &str = "x-want-chunked";
/// Header with which a caller asks for a status.
const STATUS_HEADER: &str = "x-want-status";

/// A plain service that records everything it receives and counts the runs of each reservation.
pub struct FakeService {
    listen: ListenAddress,
    options: ServiceOptions,
}

#[derive(Clone)]
struct ServiceShared {
    options: ServiceOptions,
    faults: FaultPlan,
    record: SharedRecord,
}

impl FakeService {
    /// Prepares a service.
    #[must_use]
    pub fn new(listen: ListenAddress) -> Self {
        Self::with_options(listen, ServiceOptions::default())
    }

    /// Prepares a service with these options.
    #[must_use]
    pub fn with_options(listen: ListenAddress, options: ServiceOptions) -> Self {
        Self { listen, options }
    }

    /// Serves until the process is told to stop.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when the port is taken.
    pub async fn run(self) -> Result<()> {
        let faults = FaultPlan::default();
        let shared = ServiceShared {
            options: self.options.clone(),
            faults: faults.clone(),
            record: SharedRecord::default(),
        };
        let rocket = rocket::custom(server::figment(&self.listen))
            .manage(shared.clone())
            .attach(IdEcho {
                switch: self.options.echoes_ids,
                faults,
            })
            .mount("/", routes![get_faults, set_faults, get_record])
            .mount("/", shared.routes());
        server::launch(rocket).await
    }
}

#[get("/fake/v1/faults")]
fn get_faults(shared: &State<ServiceShared>) -> Json<Faults> {
    Json(shared.faults.get())
}

#[put("/fake/v1/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, shared: &State<ServiceShared>) {
    shared.faults.set(faults.into_inner());
}

#[get("/fake/v1/record")]
fn get_record(shared: &State<ServiceShared>) -> Json<RequestRecord> {
    Json(shared.record.get())
}

impl ServiceShared {
    fn routes(&self) -> Vec<Route> {
        use rocket::http::Method;
        let methods = [
            Method::Get,
            Method::Put,
            Method::Post,
            Method::Delete,
            Method::Options,
            Method::Head,
            Method::Patch,
        ];
        methods
            .iter()
            .map(|method| Route::new(*method, "/<path..>", self.clone()))
            .collect()
    }

    async fn answer<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> rocket::response::Result<'r> {
        let recorded = self.record.receive(request);
        let header = |name: &str| request.headers().get_one(name);
        if self.faults.take_refusal() {
            recorded.note(RequestState::Refused);
            return Response::build()
                .status(Status::ServiceUnavailable)
                .raw_header("x-not-started", "true")
                .ok();
        }
        recorded.note(RequestState::Started);
        let body = data
            .open(MAX_BODY_MIB.mebibytes())
            .into_bytes()
            .await
            .map_err(|_| Status::BadRequest)?;
        self.faults.crash_at_once(&String::from_utf8_lossy(&body));
        let delay = self.options.response_ms + self.faults.late_ms();
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let run = header(RESERVATION_HEADER).map(|id| self.record.count_run(id));
        let path: PathBuf = request.uri().path().segments().collect();
        let text = json!({
            "path": path, "stock": 12, "bytes": body.len(), "reservation": run,
            "method": request.method().as_str(),
        })
        .to_string();
        recorded.note(RequestState::Finished);
        let status = header(STATUS_HEADER).and_then(|value| value.parse().ok());
        let mut response = Response::build();
        response.status(Status::new(status.unwrap_or(200)));
        if let Some(size) = header(CHUNKED_HEADER).and_then(|value| value.parse::<usize>().ok()) {
            let chunk = bytes::Bytes::from(vec![b'x'; 4096]);
            let chunks = futures::stream::iter((0..size.div_ceil(4096)).map(move |index| {
                let rest = size - index * 4096;
                Ok::<_, std::io::Error>(chunk.slice(..rest.min(4096)))
            }));
            return response
                .streamed_body(StreamReader::new(chunks.boxed()))
                .ok();
        }
        response
            .raw_header("content-type", "application/json")
            .raw_header("connection", "x-of-connection")
            .raw_header("x-of-connection", "1");
        if self.faults.take_short_body() {
            let length = text.len() + 10;
            return response
                .raw_header("Content-Length", length.to_string())
                .streamed_body(cut_body(text))
                .ok();
        }
        response
            .sized_body(text.len(), std::io::Cursor::new(text))
            .ok()
    }
}

#[rocket::async_trait]
impl Handler for ServiceShared {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.answer(request, data).await {
            Ok(response) => Outcome::Success(response),
            Err(status) => match status.respond_to(request) {
                Ok(response) => Outcome::Success(response),
                Err(status) => Outcome::Error(status),
            },
        }
    }
}
