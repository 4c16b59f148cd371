use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::proxy::unavailable;
use crate::adapter::{RefusalKind, RefusalNotice};

/// Reads the body of a caller's request.
///
/// # Errors
/// A refusal if the body is too long, cut short or late.
pub async fn read_body(
    incoming: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, RefusalNotice> {
    let malformed = RefusalNotice::new(RefusalKind::Malformed, "the body is cut short");
    let body = Limited::new(incoming, max_bytes).collect();
    match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalNotice::new(
            RefusalKind::BodyTooLong,
            "the body is too long",
        )),
        Ok(Err(_)) => Err(malformed),
        Err(_) => Err(unavailable("the body did not arrive in time")),
    }
}
