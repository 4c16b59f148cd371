use std::io;

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;

/// Body of a response to a caller. An error aborts the connection, so that a caller never takes a
/// partial response for a whole one.
pub type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body without bytes.
pub fn empty() -> CallerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body that is known as a whole.
pub fn whole(bytes: impl Into<Bytes>) -> CallerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that is produced as fast as the caller reads it.
pub fn streamed(stream: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> CallerBody {
    use futures::TryStreamExt;
    StreamBody::new(stream.map_ok(Frame::data)).boxed_unsync()
}

/// Keeps `held` until the body has been sent or dropped.
pub fn holding<H: Send + 'static>(body: CallerBody, held: H) -> CallerBody {
    body.map_frame(move |frame| {
        let _held = &held;
        frame
    })
    .boxed_unsync()
}
