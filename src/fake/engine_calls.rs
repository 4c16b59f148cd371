use std::time::Duration;

use futures::stream::BoxStream;
use rocket::{
    Request, Response, Route, State, get,
    http::{ContentType, Header, Status},
    post,
    request::{FromRequest, Outcome},
    response::{
        self, Responder,
        stream::{Event, EventStream},
    },
    routes,
    serde::json::{Json, Value, json},
};

use super::{
    engine::EngineShared,
    fault::cut_body,
    prompt::PromptTokens,
    record::{RecordedRequest, RequestState},
    token_stream::TokenStream,
};

/// Calls of callers: the model interface, and resuming and cancelling streams.
pub fn routes() -> Vec<Route> {
    routes![models, complete, chat, resume, cancel]
}

/// A call with its place in the record.
struct Call {
    recorded: RecordedRequest,
    id: String,
    priority: u8,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Call {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(shared) = request.rocket().state::<EngineShared>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let header = |name: &str| request.headers().get_one(name);
        Outcome::Success(Self {
            recorded: shared.record.receive(request),
            id: header("x-request-id").unwrap_or_default().to_owned(),
            priority: header("x-priority")
                .and_then(|value| value.parse().ok())
                .unwrap_or_default(),
        })
    }
}

/// Response to a call.
enum Completion {
    Stream {
        events: BoxStream<'static, Event>,
        cached_tokens: usize,
        offset: Option<u64>,
    },
    Whole {
        body: Value,
        cached_tokens: usize,
        is_short: bool,
    },
    NotStarted,
    UnknownModel,
}

impl<'r> Responder<'r, 'r> for Completion {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Stream {
                events,
                cached_tokens,
                offset,
            } => {
                let mut response = EventStream::from(events).respond_to(request)?;
                response.set_header(Header::new("x-cached-tokens", cached_tokens.to_string()));
                if let Some(offset) = offset {
                    response.set_header(Header::new("x-resume-offset", offset.to_string()));
                }
                let shared = request.rocket().state::<EngineShared>();
                let software = shared.map(|shared| shared.options.software.clone());
                if let Some(software) = software.filter(|software| !software.is_empty()) {
                    response.set_header(Header::new("x-software-version", software));
                }
                Ok(response)
            }
            Self::Whole {
                body,
                cached_tokens,
                is_short,
            } => {
                let text = body.to_string();
                let mut response = Response::build();
                response
                    .header(ContentType::JSON)
                    .raw_header("x-cached-tokens", cached_tokens.to_string());
                if is_short {
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
            Self::NotStarted => Response::build()
                .status(Status::ServiceUnavailable)
                .raw_header("x-not-started", "true")
                .ok(),
            Self::UnknownModel => Response::build().status(Status::NotFound).ok(),
        }
    }
}

#[get("/v1/models")]
fn models(shared: &State<EngineShared>) -> Json<Value> {
    let names = shared.state().ready_models();
    let data: Vec<Value> = names.iter().map(|id| json!({ "id": id })).collect();
    Json(json!({ "object": "list", "data": data }))
}

#[post("/v1/completions", data = "<body>")]
async fn complete(call: Call, body: Json<Value>, shared: &State<EngineShared>) -> Completion {
    answer(call, &body, None, shared).await
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(call: Call, body: Json<Value>, shared: &State<EngineShared>) -> Completion {
    answer(call, &body, None, shared).await
}

#[post("/engine/v1/resume", data = "<body>")]
async fn resume(
    call: Call,
    body: Json<Value>,
    shared: &State<EngineShared>,
) -> Result<Completion, Status> {
    if !shared.options.resumes.is_on() {
        return Err(Status::NotImplemented);
    }
    let offset = body["offset"].as_u64().ok_or(Status::BadRequest)?;
    Ok(answer(call, &body["request"], Some(offset), shared).await)
}

#[post("/engine/v1/cancel", data = "<body>")]
fn cancel(body: Json<Value>, shared: &State<EngineShared>) -> Status {
    if let Some(id) = body["request_id"].as_str() {
        shared.cancelled().insert(id.to_owned());
    }
    Status::NoContent
}

async fn answer(
    call: Call,
    body: &Value,
    offset: Option<u64>,
    shared: &EngineShared,
) -> Completion {
    let prompt = PromptTokens::new(body);
    if shared.faults.take_refusal() {
        call.recorded.note(RequestState::Refused);
        return Completion::NotStarted;
    }
    if !shared.state().is_ready(&prompt.model) {
        call.recorded.note(RequestState::Refused);
        return Completion::UnknownModel;
    }
    shared.faults.crash_at_once(&prompt.whole_text);
    let held = shared.cache().use_prompt(&prompt.model, &prompt.text);
    let cached_tokens = held / 4;
    let late_ms = shared.faults.late_ms();
    if late_ms > 0 {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
    if body["stream"].as_bool().unwrap_or_default() {
        let stream = TokenStream {
            shared: shared.clone(),
            fault: shared.faults.take_stream_fault(&prompt.whole_text, offset),
            prompt,
            next: offset.unwrap_or_default(),
            priority: call.priority,
            id: call.id,
            recorded: call.recorded,
        };
        return Completion::Stream {
            events: stream.into_events(),
            cached_tokens,
            offset,
        };
    }
    let _slot = shared.slots.take(call.priority).await;
    call.recorded.note(RequestState::Started);
    let count = prompt.count();
    let duration = shared.options.token_ms.saturating_mul(count);
    // Even a sleep of no time waits for the next tick of the timer.
    if duration > 0 {
        tokio::time::sleep(Duration::from_millis(duration)).await;
    }
    let words: Vec<String> = (0..count).map(|index| prompt.token(index)).collect();
    call.recorded.note(RequestState::Finished);
    let body = json!({
        "model": prompt.model,
        "choices": [{ "index": 0, "text": words.join(" "), "finish_reason": "stop" }],
        "usage": {
            "prompt_tokens": prompt.prompt_tokens(),
            "completion_tokens": count,
            "total_tokens": prompt.prompt_tokens() + count,
            "prompt_tokens_details": { "cached_tokens": cached_tokens },
        },
    });
    Completion::Whole {
        body,
        cached_tokens,
        is_short: shared.faults.take_short_body(),
    }
}
