use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, TryStreamExt};
use http_body_util::BodyExt;
use hyper::{
    Method,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, HeaderMap, HeaderValue},
};
use reqwest::Url;
use tokio::time::timeout_at;

use super::{context::RequestContext, crash_registry::CrashSubject};
use crate::{border::TargetConfig, code::ResultCode};

/// Maximum size of a body that is buffered before the request is sent, so that it can be retried.
const MAX_REPLAYABLE_BYTES: u64 = 64 * 1024;

/// A request as it is sent to a target.
pub struct OutgoingRequest {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query, with callers' keys removed.
    pub path_and_query: String,
    /// Headers, with callers' keys and hop-by-hop headers removed.
    pub headers: HeaderMap,
    /// Body.
    pub body: OutgoingBody,
    /// Identifies the request and its parts if it crashes a target.
    pub subject: CrashSubject,
}

/// Body of a request as it is sent to a target.
pub enum OutgoingBody {
    /// Buffered, so that it can be sent again.
    Buffered(Bytes),
    /// Forwarded while it arrives; `None` once it was sent.
    Streamed(Option<StreamedBody>),
}

/// A body that is forwarded while it arrives, up to a size limit.
pub struct StreamedBody {
    incoming: Incoming,
    limit: u64,
    over_limit: Arc<AtomicBool>,
}

/// Result code and message for a body that cannot be accepted.
pub type BodyRefusal = (ResultCode, String);

impl OutgoingBody {
    /// Buffers a small body and streams a larger one or one of unknown length.
    pub async fn receive(
        incoming: Incoming,
        limit: u64,
        deadline: Instant,
    ) -> Result<Self, BodyRefusal> {
        match incoming.size_hint().exact() {
            Some(length) if length > limit => Err(too_large(limit)),
            Some(length) if length <= MAX_REPLAYABLE_BYTES => read_body(incoming, limit, deadline)
                .await
                .map(Self::Buffered),
            _ => Ok(Self::Streamed(Some(StreamedBody {
                incoming,
                limit,
                over_limit: Arc::default(),
            }))),
        }
    }

    /// Returns whether the body can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// Buffers a body, so that a caller that sends slowly occupies only its connection.
pub async fn read_body(
    incoming: Incoming,
    limit: u64,
    deadline: Instant,
) -> Result<Bytes, BodyRefusal> {
    if incoming.size_hint().lower() > limit {
        return Err(too_large(limit));
    }
    let reading = read_limited(incoming, limit);
    timeout_at(deadline.into(), reading).await.map_err(|_| {
        let message = "the body did not arrive within the request's deadline";
        (ResultCode::DeadlineExceeded, message.to_owned())
    })?
}

async fn read_limited(mut incoming: Incoming, limit: u64) -> Result<Bytes, BodyRefusal> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body does not arrive: {error}");
            (ResultCode::MalformedRequest, message)
        })?;
        if let Ok(data) = frame.into_data() {
            if (bytes.len() + data.len()) as u64 > limit {
                return Err(too_large(limit));
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

fn too_large(limit: u64) -> BodyRefusal {
    let message = format!("the body is larger than {limit} bytes");
    (ResultCode::BodyTooLarge, message)
}

impl StreamedBody {
    fn into_reqwest(self) -> (Option<u64>, reqwest::Body) {
        let length = self.incoming.size_hint().exact();
        let Self {
            incoming,
            limit,
            over_limit,
        } = self;
        let mut forwarded_bytes = 0;
        let chunks = incoming
            .into_data_stream()
            .map_err(io::Error::other)
            .map(move |chunk| {
                let chunk = chunk?;
                forwarded_bytes += chunk.len() as u64;
                if forwarded_bytes > limit {
                    over_limit.store(true, Ordering::Relaxed);
                    return Err(io::Error::other("the body is too large"));
                }
                Ok(chunk)
            });
        (length, reqwest::Body::wrap_stream(chunks))
    }
}

impl OutgoingRequest {
    /// Builds the request to a target and a flag that is set if the body exceeds its limit.
    ///
    /// # Errors
    /// A message when path and query do not form a valid URL, or a streamed body was sent before.
    pub fn build_request(
        &mut self,
        target: &TargetConfig,
        context: &RequestContext,
    ) -> Result<(reqwest::Request, Arc<AtomicBool>), String> {
        let url = format!("http://{}{}", target.address, self.path_and_query);
        let url = Url::parse(&url).map_err(|error| error.to_string())?;
        let mut request = reqwest::Request::new(self.method.clone(), url);
        let mut over_limit = Arc::default();
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().remove(CONTENT_LENGTH);
        match &mut self.body {
            OutgoingBody::Buffered(bytes) if bytes.is_empty() => {}
            OutgoingBody::Buffered(bytes) => *request.body_mut() = Some(bytes.clone().into()),
            OutgoingBody::Streamed(body) => {
                let body = body.take().ok_or("the body was sent before")?;
                over_limit = Arc::clone(&body.over_limit);
                let (length, body) = body.into_reqwest();
                if let Some(length) = length {
                    request
                        .headers_mut()
                        .insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                *request.body_mut() = Some(body);
            }
        }
        let headers = request.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&context.id) {
            headers.insert("x-request-id", id);
        }
        if let Some(caller) = &context.caller {
            headers.insert("x-priority", HeaderValue::from(u16::from(caller.priority)));
        }
        Ok((request, over_limit))
    }
}
