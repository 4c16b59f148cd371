use std::{
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;

use super::shared::SharedVoter;
use crate::{
    error::{Error, Result},
    ids::LogIndex,
    journal::{Journal, Snapshot},
    raft::{RaftInput, SnapshotMeta, VoterId},
    sync,
};

/// Time after the last read at which a snapshot is removed from memory.
const SNAPSHOT_CACHE_RETENTION: Duration = Duration::from_secs(10);

/// Index of the last applied entry and the encoded state after it.
type EncodedState = Result<(LogIndex, Vec<u8>)>;

/// Snapshots that are being encoded, received or sent.
#[derive(Default)]
pub struct SnapshotBuffers {
    encoding: Option<mpsc::Receiver<EncodedState>>,
    received: Vec<u8>,
    sending: Option<(Snapshot, Instant)>,
}

impl SnapshotBuffers {
    /// Returns whether the state is being encoded.
    pub fn is_encoding(&self) -> bool {
        self.encoding.is_some()
    }

    /// Starts to encode the state on another thread, because encoding a large state takes longer
    /// than a heartbeat interval.
    ///
    /// # Errors
    /// [`Error::Stopped`] when no thread can be started.
    pub fn encode(&mut self, shared: &Arc<SharedVoter>) -> Result<()> {
        let (sender, receiver) = mpsc::channel();
        let shared = Arc::clone(shared);
        let encode = move || {
            let state = shared.state();
            let encoded = state.snapshot().map(|bytes| (state.applied(), bytes));
            drop(state);
            // The voter may have stopped in the meantime.
            let _ = sender.send(encoded);
        };
        let thread = thread::Builder::new().name("snapshot".to_owned());
        thread.spawn(encode).map_err(|_| Error::Stopped {
            part: "snapshot thread",
        })?;
        self.encoding = Some(receiver);
        Ok(())
    }

    /// Returns the encoded state when the encoding has finished.
    pub fn encoded(&mut self) -> Result<Option<(LogIndex, Bytes)>> {
        let Some(result) = self
            .encoding
            .as_ref()
            .and_then(|receiver| receiver.try_recv().ok())
        else {
            return Ok(None);
        };
        self.encoding = None;
        result.map(|(index, bytes)| Some((index, bytes.into())))
    }

    /// Adds a received chunk of a snapshot. Returns the complete state after the last chunk.
    pub fn receive(&mut self, offset: u64, bytes: &[u8], last: bool) -> Result<Option<Bytes>> {
        if offset == 0 {
            self.received.clear();
        }
        if offset != self.received.len() as u64 {
            return Err(Error::Decode {
                what: "snapshot",
                reason: format!("part at {offset} after {} bytes", self.received.len()),
            });
        }
        self.received.extend_from_slice(bytes);
        Ok(last.then(|| std::mem::take(&mut self.received).into()))
    }

    /// Reads a chunk of the latest snapshot for a member. A transfer of an older snapshot restarts
    /// at offset 0.
    pub fn read(
        &mut self,
        journal: &Journal,
        to: VoterId,
        (index, offset): (Option<LogIndex>, u64),
        limit: usize,
    ) -> Result<Option<RaftInput>> {
        let now = Instant::now();
        let latest = match self.sending.take() {
            Some((snapshot, _)) if index == Some(snapshot.index) => Some(snapshot),
            _ => journal.load_snapshot()?,
        };
        let Some(snapshot) = latest else {
            return Ok(None);
        };
        let total = snapshot.state.len();
        let start = match usize::try_from(offset) {
            Ok(start) if index == Some(snapshot.index) && start <= total => start,
            _ => 0,
        };
        let end = start.saturating_add(limit).min(total);
        let chunk = RaftInput::SnapshotChunk {
            to,
            meta: SnapshotMeta {
                index: snapshot.index,
                term: snapshot.term,
                membership: sync::decode("membership", &snapshot.members)?,
            },
            offset: start as u64,
            bytes: snapshot.state.slice(start..end),
            last: end == total,
        };
        self.sending = Some((snapshot, now));
        Ok(Some(chunk))
    }

    /// Removes the cached snapshot from memory when it was not read within the retention.
    pub fn expire(&mut self) {
        let is_expired = |(_, at): &(Snapshot, Instant)| at.elapsed() > SNAPSHOT_CACHE_RETENTION;
        if self.sending.as_ref().is_some_and(is_expired) {
            self.sending = None;
        }
    }
}
