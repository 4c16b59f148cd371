use std::{collections::VecDeque, time::Duration};

use crate::ids::LogIndex;

/// How the leader sends the log to one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum SendState {
    /// The logs' common part is being searched with empty requests.
    Probe,
    /// Entries are sent ahead of the answers.
    Replicate,
    /// A snapshot is being sent.
    Snapshot {
        /// Index of the snapshot, once the driver has named it.
        index: Option<LogIndex>,
        /// Position of the next byte that the member needs.
        offset: u64,
        /// When that part was last asked of the driver.
        asked_at: Duration,
    },
}

/// What the leader knows of one other member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberProgress {
    /// Last entry that the member durably shares with the leader.
    pub(super) match_index: LogIndex,
    /// Next entry to send.
    pub(super) next_index: LogIndex,
    pub(super) state: SendState,
    /// Latest heartbeat round that the member answered.
    pub(super) acked_round: u64,
    /// When that round was started; `None` before the first answer.
    pub(super) acked_at: Option<Duration>,
    in_flight: VecDeque<(LogIndex, usize)>,
    in_flight_bytes: usize,
}

impl MemberProgress {
    /// Assumes that the member lacks only the entry at `next_index`; a rejection corrects this.
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

    /// Returns how many more bytes may be sent before an answer; 0 when the bound is reached.
    pub(super) fn room(&self, limit: usize) -> usize {
        if self.in_flight.is_empty() {
            return limit.max(1);
        }
        limit.saturating_sub(self.in_flight_bytes)
    }

    /// Records that entries up to `last` were sent.
    pub(super) fn sent(&mut self, last: LogIndex, bytes: usize) {
        self.next_index = last + 1;
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Records that the member shares the log up to `index`.
    pub(super) fn accepted(&mut self, index: LogIndex) {
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

    /// Changes how the log is sent, from `next_index` on.
    pub(super) fn switch(&mut self, state: SendState, next_index: LogIndex) {
        self.state = state;
        self.next_index = next_index;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}
