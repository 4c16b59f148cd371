use std::time::Duration;

use futures::{StreamExt, stream::BoxStream};
use rocket::response::stream::Event;
use serde_json::json;

use super::{
    engine::EngineShared,
    fault::StreamFault,
    prompt::PromptTokens,
    record::{RecordedRequest, RequestState},
    slots::EngineSlot,
};

/// Generates the events of one response from a token offset on.
pub struct TokenStream {
    /// What the handlers share.
    pub shared: EngineShared,
    /// What to generate.
    pub prompt: PromptTokens,
    /// Number of the next token.
    pub next: u64,
    /// Priority in the internal queue.
    pub priority: u8,
    /// Id under which the stream can be cancelled.
    pub id: String,
    /// How the stream fails, if at all.
    pub fault: Option<StreamFault>,
    /// Place in the record.
    pub recorded: RecordedRequest,
}

impl TokenStream {
    /// Starts when a slot is free and generates until the end or until it is dropped.
    pub fn into_events(self) -> BoxStream<'static, Event> {
        let start = async move {
            let slot = self.shared.slots.take(self.priority).await;
            self.recorded.note(RequestState::Started);
            (self, slot)
        };
        futures::stream::once(start)
            .flat_map(|(stream, slot)| {
                futures::stream::unfold(Some((stream, slot)), |state| async move {
                    let (stream, slot) = state?;
                    stream.step(slot).await
                })
            })
            .boxed()
    }

    async fn step(mut self, slot: EngineSlot) -> Option<(Event, Option<(Self, EngineSlot)>)> {
        match self.fault {
            Some(StreamFault::Cut(tokens)) if self.next >= tokens => return None,
            Some(StreamFault::Stall(tokens)) if self.next >= tokens => {
                return std::future::pending().await;
            }
            Some(StreamFault::Crash(tokens)) if self.next >= tokens => std::process::abort(),
            _ => {}
        }
        if self.next >= self.prompt.count() {
            self.recorded.note(RequestState::Finished);
            return Some((Event::data("[DONE]"), None));
        }
        if self.shared.cancelled().contains(&self.id) {
            return None;
        }
        let token_time = self.shared.options.token_ms;
        if token_time > 0 {
            tokio::time::sleep(Duration::from_millis(token_time)).await;
        }
        let event = Event::json(&json!({
            "model": self.prompt.model,
            "choices": [{ "index": 0, "text": self.prompt.token(self.next) }],
        }));
        self.next += 1;
        Some((event, Some((self, slot))))
    }
}
