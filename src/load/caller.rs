use std::time::{Duration, Instant};

use futures::StreamExt;
use reqwest::{Client, Response};
use serde_json::{Value, json};

use super::{RequestKind, answer::CallerAnswer};

/// Time that a caller waits for an answer to end.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);

/// One request with all that its check needs.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// What is asked for.
    pub kind: RequestKind,
    /// Model for the kinds that need one.
    pub model: String,
    /// Prompt; the stand-in engines answer with its words.
    pub prompt: String,
    /// Idempotency key of a reservation.
    pub key: String,
}

/// Sends a request to an entry and checks the answer.
pub async fn call_entry(
    client: &Client,
    entry: &str,
    key: &str,
    request: &CallerRequest,
) -> CallerAnswer {
    let call = match request.kind {
        RequestKind::Chat | RequestKind::Draft => {
            let is_stream = request.kind == RequestKind::Chat;
            client
                .post(format!("http://{entry}/v1/completions"))
                .json(&json!({
                    "model": request.model, "prompt": request.prompt, "stream": is_stream,
                    "max_tokens": request.prompt.split_whitespace().count(),
                }))
        }
        RequestKind::Lookup => client.get(format!("http://{entry}/stock/{}", request.key)),
        RequestKind::Reservation => client
            .post(format!("http://{entry}/orders/{}", request.key))
            .header("idempotency-key", &request.key)
            .header("x-reservation", &request.key)
            .body(request.key.clone()),
    };
    let started = Instant::now();
    let exchange = async {
        match call.bearer_auth(key).send().await {
            Ok(answer) if answer.status().is_success() => {
                read_answer(request, answer, started).await
            }
            Ok(answer) => read_refusal(answer).await,
            Err(_) => CallerAnswer::Broken,
        }
    };
    tokio::time::timeout(ANSWER_LIMIT, exchange)
        .await
        .unwrap_or(CallerAnswer::Broken)
}

async fn read_refusal(answer: Response) -> CallerAnswer {
    match answer.json::<Value>().await {
        Ok(body) => CallerAnswer::Refused {
            name: body["name"].as_str().unwrap_or("unnamed").to_owned(),
            not_run: body["not_run"].as_bool().unwrap_or_default(),
        },
        Err(_) => CallerAnswer::Broken,
    }
}

async fn read_answer(request: &CallerRequest, answer: Response, started: Instant) -> CallerAnswer {
    let mut chunks = answer.bytes_stream();
    let mut text = Vec::new();
    let mut first_byte = None;
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            return CallerAnswer::Broken;
        };
        first_byte.get_or_insert_with(|| started.elapsed());
        text.extend_from_slice(&chunk);
    }
    let first_byte = first_byte.unwrap_or_else(|| started.elapsed());
    let text = String::from_utf8_lossy(&text);
    match request.kind {
        RequestKind::Chat => check_stream(request, &text, first_byte, started.elapsed()),
        RequestKind::Draft => {
            let body: Value = serde_json::from_str(&text).unwrap_or_default();
            let words = body["choices"][0]["text"].as_str().unwrap_or_default();
            check_words(request, words, first_byte, None)
        }
        RequestKind::Lookup | RequestKind::Reservation if text.contains(&request.key) => {
            let size = text.len() as u64;
            CallerAnswer::Whole {
                first_byte,
                between_tokens: None,
                size,
            }
        }
        RequestKind::Lookup | RequestKind::Reservation => CallerAnswer::Wrong,
    }
}

fn check_stream(
    request: &CallerRequest,
    text: &str,
    first_byte: Duration,
    whole: Duration,
) -> CallerAnswer {
    let events: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(str::trim)
        .collect();
    let error = events.iter().find_map(|event| {
        let body: Value = serde_json::from_str(event).ok()?;
        Some(
            body.get("error").unwrap_or(&body)["name"]
                .as_str()?
                .to_owned(),
        )
    });
    match (error, events.last()) {
        (Some(name), _) => CallerAnswer::Refused {
            name,
            not_run: false,
        },
        (None, Some(&"[DONE]")) => {
            let tokens: Vec<String> = events
                .iter()
                .filter_map(|event| serde_json::from_str::<Value>(event).ok())
                .filter_map(|event| Some(event["choices"][0]["text"].as_str()?.trim().to_owned()))
                .filter(|token| !token.is_empty())
                .collect();
            let gaps = u32::try_from(tokens.len().saturating_sub(1))
                .unwrap_or(u32::MAX)
                .max(1);
            let between = whole.saturating_sub(first_byte) / gaps;
            check_words(request, &tokens.join(" "), first_byte, Some(between))
        }
        (None, _) => CallerAnswer::Broken,
    }
}

fn check_words(
    request: &CallerRequest,
    words: &str,
    first_byte: Duration,
    between_tokens: Option<Duration>,
) -> CallerAnswer {
    let got: Vec<&str> = words.split_whitespace().collect();
    let asked: Vec<&str> = request.prompt.split_whitespace().collect();
    if got == asked {
        CallerAnswer::Whole {
            first_byte,
            between_tokens,
            size: got.len() as u64,
        }
    } else {
        CallerAnswer::Wrong
    }
}
