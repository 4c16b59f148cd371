use std::io;

use bytes::Bytes;
use futures::{Stream, StreamExt};

use super::{exchange::TargetReply, stream_guard::StreamGuard};

/// Forwards a target's body while the caller's key is valid.
///
/// Yields an error, which aborts the caller's connection, if the target's body is truncated or the
/// key becomes invalid.
pub fn plain_stream(
    reply: TargetReply,
    guard: StreamGuard,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let TargetReply {
        response,
        slot,
        permit,
    } = reply;
    let chunks = response.bytes_stream().boxed();
    // Slot and permit are part of the state, so that they are released when the stream ends.
    futures::stream::unfold(Some((chunks, guard, (slot, permit))), |state| async move {
        let (mut chunks, mut guard, held) = state?;
        let chunk = tokio::select! {
            chunk = chunks.next() => chunk?,
            reason = guard.invalidated() => return Some((Err(io::Error::other(reason)), None)),
        };
        match chunk {
            Ok(bytes) => Some((Ok(bytes), Some((chunks, guard, held)))),
            Err(error) => Some((Err(io::Error::other(error.without_url())), None)),
        }
    })
}
