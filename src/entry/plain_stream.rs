use std::io;

use bytes::Bytes;
use futures::{Stream, StreamExt};

use super::{exchange::TargetAnswer, guard::StreamGuard};

/// Passes a target's body on while the caller may receive it.
///
/// An error, which aborts the caller's connection, follows when the target's body is short or the
/// key lapses.
pub fn plain_stream(
    answer: TargetAnswer,
    guard: StreamGuard,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let TargetAnswer {
        response,
        slot,
        turn,
    } = answer;
    let chunks = response.bytes_stream().boxed();
    // Slot and turn are part of the state, so that they are given back when the stream ends.
    futures::stream::unfold(Some((chunks, guard, (slot, turn))), |state| async move {
        let (mut chunks, mut guard, held) = state?;
        let chunk = tokio::select! {
            chunk = chunks.next() => chunk?,
            reason = guard.lapse() => return Some((Err(io::Error::other(reason)), None)),
        };
        match chunk {
            Ok(bytes) => Some((Ok(bytes), Some((chunks, guard, held)))),
            Err(error) => Some((Err(io::Error::other(error.without_url())), None)),
        }
    })
}
