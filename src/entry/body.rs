use std::io;

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// Body of a response to a caller. An error aborts the connection, so that a caller never mistakes
/// a partial response for a complete one.
pub type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns an empty body.
pub fn empty() -> CallerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body from buffered bytes.
pub fn full(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body from a stream, which is driven by the caller's reads.
pub fn streamed(stream: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> CallerBody {
    use futures::TryStreamExt;
    StreamBody::new(stream.map_ok(Frame::data)).boxed_unsync()
}

/// Keeps `guard` alive until the body is dropped, sent or not.
pub fn with_guard<G: Send + 'static>(body: CallerBody, guard: G) -> CallerBody {
    body.map_frame(move |frame| {
        let _guard = &guard;
        frame
    })
    .boxed_unsync()
}
