use std::{collections::VecDeque, time::Duration};

use crate::ids::LogIndex;

/// Replication mode of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum SendState {
    /// The leader searches for the common log prefix with empty requests.
    Probe,
    /// The leader pipelines entries without waiting for replies.
    Replicate,
    /// The leader sends a snapshot.
    Snapshot {
        /// Index of the snapshot; `None` until the driver has read the first chunk.
        index: Option<LogIndex>,
        /// Offset of the next byte that the member needs.
        offset: u64,
        /// Time of the last request to the driver for that chunk.
        requested_at: Duration,
    },
}

/// Replication progress of one other member, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberProgress {
    /// Index of the last entry that is durable on the member and matches the leader's log.
    pub(super) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(super) next_index: LogIndex,
    pub(super) state: SendState,
    /// Latest heartbeat round that the member answered.
    pub(super) acked_round: u64,
    /// Time at which that round was started; `None` before the first reply.
    pub(super) acked_at: Option<Duration>,
    in_flight: VecDeque<(LogIndex, usize)>,
    in_flight_bytes: usize,
}

impl MemberProgress {
    /// Assumes that the member has all entries before `next_index`; a rejection corrects this.
    pub(super) fn new(next_index: LogIndex) -> Self {
        Self {
            match_index: 0,
            next_index,
            state: SendState::Replicate,
            acked_round: 0,
            acked_at: None,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// Returns how many more bytes may be sent before the next reply; 0 when the limit is reached.
    pub(super) fn available_bytes(&self, limit: usize) -> usize {
        if self.in_flight.is_empty() {
            return limit.max(1);
        }
        limit.saturating_sub(self.in_flight_bytes)
    }

    /// Records that entries up to `last` were sent.
    pub(super) fn record_sent(&mut self, last: LogIndex, bytes: usize) {
        self.next_index = last + 1;
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Records that the member's log matches up to `index`.
    pub(super) fn record_accepted(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while let Some(&(last, bytes)) = self.in_flight.front() {
            if last > self.match_index {
                break;
            }
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }

    /// Changes the replication mode and continues at `next_index`.
    pub(super) fn change_state(&mut self, state: SendState, next_index: LogIndex) {
        self.state = state;
        self.next_index = next_index;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
