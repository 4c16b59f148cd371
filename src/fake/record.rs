use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rocket::Request;
use serde::{Deserialize, Serialize};

/// Most requests that are recorded; more are counted as `dropped`.
const MAX_RECORDED: usize = 100_000;

/// What a stand-in did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It was received and not started.
    Received,
    /// It was refused before it started.
    Refused,
    /// It runs.
    Started,
    /// It ran to its end.
    Finished,
    /// It ended early, by a fault or because the connection was closed.
    Broken,
}

/// One request as the stand-in received it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SeenRequest {
    /// `X-Request-Id`.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Address of the connection's other end, which tells connections apart.
    pub remote: String,
    /// All headers.
    pub headers: Vec<(String, String)>,
    /// What became of it.
    pub state: RequestState,
}

/// Everything that a stand-in received, at `GET /fake/v1/record`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Requests in the order of their arrival.
    pub requests: Vec<SeenRequest>,
    /// Requests that did not fit.
    pub dropped: u64,
    /// Greatest memory ever used of each accelerator, in MiB; empty for services.
    pub max_used_mib: Vec<u64>,
    /// Runs per reservation id; empty for engines.
    pub runs: std::collections::BTreeMap<String, u64>,
}

/// Record shared by the handlers.
#[derive(Clone, Default)]
pub struct SharedRecord(Arc<Mutex<RequestRecord>>);

/// Place of a request in the record. Dropped before it finished, the request counts as broken.
pub struct RecordedRequest {
    record: SharedRecord,
    index: Option<usize>,
}

impl SharedRecord {
    /// Records a request.
    pub fn receive(&self, request: &Request<'_>) -> RecordedRequest {
        let header = |name: &str| request.headers().get_one(name).unwrap_or_default();
        let seen = SeenRequest {
            id: header("x-request-id").to_owned(),
            method: request.method().to_string(),
            target: request.uri().to_string(),
            remote: request
                .remote()
                .map_or_else(String::new, |remote| remote.to_string()),
            headers: request
                .headers()
                .iter()
                .map(|header| (header.name().to_string(), header.value().to_owned()))
                .collect(),
            state: RequestState::Received,
        };
        let mut record = self.lock();
        let index = if record.requests.len() < MAX_RECORDED {
            record.requests.push(seen);
            Some(record.requests.len() - 1)
        } else {
            record.dropped += 1;
            None
        };
        RecordedRequest {
            record: self.clone(),
            index,
        }
    }

    /// Counts a run of a reservation.
    pub fn count_run(&self, reservation: &str) -> u64 {
        let mut record = self.lock();
        let runs = record.runs.entry(reservation.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// Returns a copy of the record.
    pub fn get(&self) -> RequestRecord {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, RequestRecord> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RecordedRequest {
    /// Notes what becomes of the request.
    pub fn note(&self, state: RequestState) {
        let Some(index) = self.index else { return };
        if let Some(seen) = self.record.lock().requests.get_mut(index) {
            seen.state = state;
        }
    }
}

impl Drop for RecordedRequest {
    fn drop(&mut self) {
        let Some(index) = self.index else { return };
        if let Some(seen) = self.record.lock().requests.get_mut(index)
            && seen.state == RequestState::Started
        {
            seen.state = RequestState::Broken;
        }
    }
}
