use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use compact_str::{CompactString, format_compact};
use spdlog::prelude::*;

use super::{
    member_calls::MemberCalls,
    member_client::{MemberClient, SeatAnswer},
    raft_api::{JOIN_PATH, JoinRequest, MEMBER_PATH},
};
use crate::{
    error::Result,
    voter::{VoterHandle, VoterStatus},
};

/// Which members ask for a seat when no leader sends to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberReturn {
    /// Only those with an empty log: others may have been removed by an operator.
    NewOnly,
    /// All: the leader removes silent members by itself, and they come back.
    Always,
}

/// Search of a daemon to which no leader sends for its seat.
pub struct SeatSearch {
    seeds: Vec<SocketAddr>,
    voter: VoterHandle,
    client: MemberClient,
    member_return: MemberReturn,
    calls: MemberCalls,
    answers: Arc<AnswerLog>,
}

impl SeatSearch {
    /// Creates the search of a daemon that was told of some others by its settings.
    pub fn new(
        seeds: Vec<SocketAddr>,
        voter: VoterHandle,
        client: MemberClient,
        member_return: MemberReturn,
    ) -> Self {
        Self {
            seeds,
            voter,
            client,
            member_return,
            calls: MemberCalls::default(),
            answers: Arc::default(),
        }
    }

    /// Asks all known members once more.
    pub fn ask_all(&mut self, status: &VoterStatus) {
        self.refresh_addresses();
        self.announce(status);
    }

    /// Fetches the members at the seed addresses. A power failure may also destroy the saved
    /// addresses, and members that do not know each other's addresses cannot elect a leader.
    fn refresh_addresses(&mut self) {
        for seed in self.seeds.clone() {
            let (client, voter) = (self.client.clone(), self.voter.clone());
            self.calls.start((MEMBER_PATH, seed), async move {
                // A seed that does not answer is asked again.
                if let Ok(reply) = client.fetch(seed).await {
                    voter.addresses().update(&reply.address);
                }
            });
        }
    }

    /// Announces this member's address to the known members, and requests to be added as a learner if it is no
    /// member of theirs.
    fn announce(&mut self, status: &VoterStatus) {
        let is_new = status.last == 0 && !status.membership.contains(&status.id);
        let request = Arc::new(JoinRequest {
            id: status.id.clone(),
            address: self.voter.addresses().own().clone(),
            learner: is_new || self.member_return == MemberReturn::Always,
        });
        let known = self.voter.addresses().others();
        let known_count = known.len();
        for member in known {
            let (client, request) = (self.client.clone(), Arc::clone(&request));
            let answers = Arc::clone(&self.answers);
            // Members that do not lead refuse to add a learner; all are asked again.
            self.calls.start((JOIN_PATH, member.system), async move {
                let answer = client.request_seat(member.system, &request).await;
                answers.record(member.system, &answer, known_count);
            });
        }
    }
}

/// Last answer of each member, so that a line is logged only when it changes.
#[derive(Default)]
struct AnswerLog {
    last: Mutex<HashMap<SocketAddr, CompactString>>,
}

impl AnswerLog {
    fn record(&self, member: SocketAddr, answer: &Result<SeatAnswer>, known_count: usize) {
        let text = match answer {
            Ok(answer) => format_compact!("{answer:?}"),
            Err(error) => format_compact!("{error}"),
        };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.get(&member) != Some(&text) {
            info!("raft: asked a member for a seat", kv: {
                member:? = member,
                answer = text.as_str(),
                known = known_count,
            });
            last.insert(member, text);
        }
    }
}
