use std::io;

use bytes::Bytes;
use futures::{Stream, StreamExt};

use super::{exchange::TargetReply, stream_guard::StreamGuard};
use crate::answer::EndCheck;

/// Forwards a target's body while the caller's key is valid.
///
/// Yields an error, which aborts the caller's connection, if the target's body is truncated or the
/// key becomes invalid.
pub fn plain_stream(
    reply: TargetReply,
    guard: StreamGuard,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let end_check = reply.end_check();
    let TargetReply {
        response,
        slot,
        permit,
    } = reply;
    let chunks = checked_chunks(response, end_check).boxed();
    // Slot and permit are part of the state, so that they are released when the stream ends.
    futures::stream::unfold(Some((chunks, guard, (slot, permit))), |state| async move {
        let (mut chunks, mut guard, held) = state?;
        let chunk = tokio::select! {
            chunk = chunks.next() => chunk?,
            reason = guard.invalidated() => return Some((Err(io::Error::other(reason)), None)),
        };
        match chunk {
            Ok(bytes) => Some((Ok(bytes), Some((chunks, guard, held)))),
            Err(error) => Some((Err(error), None)),
        }
    })
}

/// Returns the chunks of a body, and an error in place of its end if the body was broken off. Before
/// the error the task yields, so that the server sends the chunks that it would discard otherwise.
pub fn checked_chunks(
    response: reqwest::Response,
    end_check: EndCheck,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let chunks = response.bytes_stream().boxed();
    futures::stream::unfold(Some((chunks, end_check)), |state| async move {
        let (mut chunks, mut end_check) = state?;
        match chunks.next().await {
            Some(Ok(bytes)) => {
                end_check.push(&bytes);
                Some((Ok(bytes), Some((chunks, end_check))))
            }
            Some(Err(error)) => {
                tokio::task::yield_now().await;
                Some((Err(io::Error::other(error.without_url())), None))
            }
            None => {
                let reason = end_check.break_reason()?;
                tokio::task::yield_now().await;
                Some((Err(io::Error::other(reason)), None))
            }
        }
    })
}
