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

use super::context::RequestContext;
use crate::{border::TargetConfig, code::ResultCode, ids::Fingerprint};

/// Largest body that is read before the request is sent, so that it can be sent again.
const REPLAYABLE_BYTES: u64 = 64 * 1024;

/// A request as it leaves for a target.
pub struct Outgoing {
    /// Method of the caller.
    pub method: Method,
    /// Path and query without keys.
    pub path_and_query: String,
    /// Headers without keys and without those of the connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: OutgoingBody,
    /// Identifies the request if it takes a target down; `None` when the body is streamed.
    pub fingerprint: Option<Fingerprint>,
}

/// Body of a request as it leaves for a target.
pub enum OutgoingBody {
    /// Read as a whole, so that it can be sent again.
    Whole(Bytes),
    /// Passed on while it arrives; `None` once it was sent.
    Streamed(Option<StreamedBody>),
}

/// A body that is passed on while it arrives.
pub struct StreamedBody {
    incoming: Incoming,
    limit: u64,
    exceeded: Arc<AtomicBool>,
}

/// Why a body cannot be used.
pub type BodyRefusal = (ResultCode, String);

impl OutgoingBody {
    /// Reads a small body as a whole and leaves a larger one, or one of unknown length, to be
    /// streamed.
    pub async fn receive(
        incoming: Incoming,
        limit: u64,
        deadline: Instant,
    ) -> Result<Self, BodyRefusal> {
        match incoming.size_hint().exact() {
            Some(length) if length > limit => Err(too_large(limit)),
            Some(length) if length <= REPLAYABLE_BYTES => {
                collect(incoming, limit, deadline).await.map(Self::Whole)
            }
            _ => Ok(Self::Streamed(Some(StreamedBody {
                incoming,
                limit,
                exceeded: Arc::default(),
            }))),
        }
    }

    /// Whether the body can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}

/// Reads a body as a whole, so that a caller who sends slowly holds nothing but its connection.
pub async fn collect(
    incoming: Incoming,
    limit: u64,
    deadline: Instant,
) -> Result<Bytes, BodyRefusal> {
    if incoming.size_hint().lower() > limit {
        return Err(too_large(limit));
    }
    let reading = read_all(incoming, limit);
    timeout_at(deadline.into(), reading).await.map_err(|_| {
        let message = "the body did not arrive within the request's deadline";
        (ResultCode::DeadlineExceeded, message.to_owned())
    })?
}

async fn read_all(mut incoming: Incoming, limit: u64) -> Result<Bytes, BodyRefusal> {
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
            exceeded,
        } = self;
        let mut passed = 0;
        let chunks = incoming
            .into_data_stream()
            .map_err(io::Error::other)
            .map(move |chunk| {
                let chunk = chunk?;
                passed += chunk.len() as u64;
                if passed > limit {
                    exceeded.store(true, Ordering::Relaxed);
                    return Err(io::Error::other("the body is too large"));
                }
                Ok(chunk)
            });
        (length, reqwest::Body::wrap_stream(chunks))
    }
}

impl Outgoing {
    /// Builds the call to a target and a flag that tells whether the body broke its bound.
    ///
    /// # Errors
    /// A message when the path and query do not make a URL.
    pub fn prepare_call(
        &mut self,
        target: &TargetConfig,
        context: &RequestContext,
    ) -> Result<(reqwest::Request, Arc<AtomicBool>), String> {
        let url = format!("http://{}{}", target.address, self.path_and_query);
        let url = Url::parse(&url).map_err(|error| error.to_string())?;
        let mut call = reqwest::Request::new(self.method.clone(), url);
        let mut exceeded = Arc::default();
        *call.headers_mut() = self.headers.clone();
        call.headers_mut().remove(CONTENT_LENGTH);
        match &mut self.body {
            OutgoingBody::Whole(bytes) if bytes.is_empty() => {}
            OutgoingBody::Whole(bytes) => *call.body_mut() = Some(bytes.clone().into()),
            OutgoingBody::Streamed(body) => {
                let body = body.take().ok_or("the body was sent before")?;
                exceeded = Arc::clone(&body.exceeded);
                let (length, body) = body.into_reqwest();
                if let Some(length) = length {
                    call.headers_mut()
                        .insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                *call.body_mut() = Some(body);
            }
        }
        let headers = call.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&context.id) {
            headers.insert("x-request-id", id);
        }
        if let Some(caller) = &context.caller {
            headers.insert("x-priority", HeaderValue::from(u16::from(caller.priority)));
        }
        Ok((call, exceeded))
    }
}
