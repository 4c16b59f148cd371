use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::{StreamExt, stream::BoxStream};
use rocket::{
    Request, State, get,
    http::Status,
    post,
    response::{
        self, Responder,
        stream::{Event, EventStream},
    },
    routes,
    serde::json::{Json, Value, json},
};

use crate::{
    config::ListenAddress,
    error::Result,
    order::{EngineOrder, OrderAction, OrderAnswer},
    server,
    sync::{EngineReport, ResidentCopy},
};

/// A model engine that echoes the last message word by word.
pub struct FakeEngine {
    listen: ListenAddress,
    memory_mib: u64,
    state: Arc<Mutex<EngineReport>>,
}

struct EngineShared {
    memory_mib: u64,
    state: Arc<Mutex<EngineReport>>,
}

impl FakeEngine {
    /// Prepares an engine with one accelerator of `memory_mib` MiB.
    #[must_use]
    pub fn new(listen: ListenAddress, memory_mib: u64) -> Self {
        let report = EngineReport {
            incarnation: rand::random(),
            ..EngineReport::default()
        };
        Self {
            listen,
            memory_mib,
            state: Arc::new(Mutex::new(report)),
        }
    }

    /// Serves until the process is told to stop.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when the port is taken.
    pub async fn run(self) -> Result<()> {
        let shared = EngineShared {
            memory_mib: self.memory_mib,
            state: self.state,
        };
        let rocket = rocket::custom(server::figment(&self.listen))
            .manage(shared)
            .mount("/", routes![report, take_order, complete, chat]);
        server::launch(rocket).await
    }
}

#[get("/engine/v1/report")]
fn report(shared: &State<EngineShared>) -> Json<EngineReport> {
    Json(
        shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
    )
}

#[post("/engine/v1/order", data = "<order>")]
fn take_order(order: Json<EngineOrder>, shared: &State<EngineShared>) -> Json<OrderAnswer> {
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    if order.fencing <= state.last_fencing {
        return Json(OrderAnswer::OldFencing);
    }
    let used: u64 = state.copies.iter().map(|copy| copy.memory_mib).sum();
    match &order.action {
        OrderAction::Load(copy) if used + copy.memory_mib > shared.memory_mib => {
            return Json(OrderAnswer::NoMemory);
        }
        OrderAction::Load(copy) => {
            let copy = ResidentCopy {
                ready: true,
                ..copy.clone()
            };
            state.copies.push(copy);
        }
        OrderAction::Unload(copy) => state
            .copies
            .retain(|held| held.model != copy.model || held.version != copy.version),
    }
    state.last_fencing = order.fencing;
    Json(OrderAnswer::Accepted)
}

/// Either a stream of events or one JSON document.
enum Completion {
    Stream(BoxStream<'static, Event>),
    Whole(Value),
}

impl<'r> Responder<'r, 'r> for Completion {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Stream(events) => EventStream::from(events).respond_to(request),
            Self::Whole(body) => Json(body).respond_to(request),
        }
    }
}

#[post("/v1/completions", data = "<body>")]
fn complete(body: Json<Value>, shared: &State<EngineShared>) -> Result<Completion, Status> {
    let text = body["prompt"].as_str().unwrap_or_default().to_owned();
    answer(&body, &text, shared)
}

#[post("/v1/chat/completions", data = "<body>")]
fn chat(body: Json<Value>, shared: &State<EngineShared>) -> Result<Completion, Status> {
    let messages = body["messages"].as_array();
    let last = messages.and_then(|messages| messages.last());
    let text = last
        .and_then(|message| message["content"].as_str())
        .unwrap_or_default()
        .to_owned();
    answer(&body, &text, shared)
}

fn answer(body: &Value, text: &str, shared: &EngineShared) -> Result<Completion, Status> {
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    if !state
        .copies
        .iter()
        .any(|copy| copy.model == model && copy.ready)
    {
        return Err(Status::NotFound);
    }
    drop(state);
    if !body["stream"].as_bool().unwrap_or_default() {
        return Ok(Completion::Whole(json!({
            "model": model,
            "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
        })));
    }
    let words: Vec<String> = text.split_whitespace().map(str::to_owned).collect();
    Ok(Completion::Stream(token_events(words, model)))
}

fn token_events(words: Vec<String>, model: String) -> BoxStream<'static, Event> {
    let tokens = futures::stream::iter(words).then(move |word| {
        let model = model.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(5)).await;
            Event::json(&json!({ "model": model, "choices": [{ "index": 0, "text": word }] }))
        }
    });
    tokens
        .chain(futures::stream::once(async { Event::data("[DONE]") }))
        .boxed()
}
