use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use compact_str::{CompactString, ToCompactString, format_compact};
use spdlog::prelude::*;
use tokio::{sync::mpsc, time::Instant};

use super::{
    change_log::ChangeLog,
    known_members::KnownMembers,
    member_calls::MemberCalls,
    member_client::{MemberClient, SeatAnswer},
    raft_api::{JOIN_PATH, JoinRequest, MEMBER_PATH},
};
use crate::{
    adapter::SeedList,
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

/// Search of a daemon to which no leader sends for its seat. Only the leader gives seats, and the daemon may know only
/// machines that do not lead, or that search themselves; so each answer says whom the other one knows, and whoever is
/// new is asked at once.
pub struct SeatSearch {
    seeds: SeedList,
    voter: VoterHandle,
    client: MemberClient,
    member_return: MemberReturn,
    calls: MemberCalls,
    answers: Arc<ChangeLog<SocketAddr>>,
    news_sender: mpsc::UnboundedSender<KnownMembers>,
    news: mpsc::UnboundedReceiver<KnownMembers>,
}

impl SeatSearch {
    /// Creates the search of a daemon that was told of some others by its settings.
    pub fn new(
        seeds: SeedList,
        voter: VoterHandle,
        client: MemberClient,
        member_return: MemberReturn,
    ) -> Self {
        let (news_sender, news) = mpsc::unbounded_channel();
        Self {
            seeds,
            voter,
            client,
            member_return,
            calls: MemberCalls::default(),
            answers: Arc::default(),
            news_sender,
            news,
        }
    }

    /// Asks all known members once more, and those that their answers name until `interval` is over.
    pub async fn ask_all(&mut self, status: &VoterStatus, interval: Duration) {
        let end = Instant::now() + interval;
        let request = Arc::new(self.request(status));
        let mut asked = HashSet::new();
        // What came after the last search is outdated.
        while self.news.try_recv().is_ok() {}
        self.fetch_seeds();
        self.request_seats(&request, &mut asked);
        while let Ok(Some(known)) = tokio::time::timeout_at(end, self.news.recv()).await {
            known.adopt(&self.voter);
            self.request_seats(&request, &mut asked);
        }
    }

    /// Returns the announcement of this member's address, with the request to be added as a learner if it is no
    /// member of theirs.
    fn request(&self, status: &VoterStatus) -> JoinRequest {
        let is_new = status.last == 0 && !status.membership.contains(&status.id);
        JoinRequest {
            id: status.id.clone(),
            address: self.voter.addresses().own().clone(),
            learner: is_new || self.member_return == MemberReturn::Always,
        }
    }

    /// Fetches the members at the seed addresses. A power failure may also destroy the saved
    /// addresses, and members that do not know each other's addresses cannot elect a leader.
    fn fetch_seeds(&mut self) {
        let own = self.voter.addresses().own().system;
        let seeds = self.seeds.refresh().iter().copied();
        for seed in seeds.filter(|seed| *seed != own) {
            let (client, voter) = (self.client.clone(), self.voter.clone());
            let news = self.news_sender.clone();
            self.calls.start((MEMBER_PATH, seed), async move {
                // A seed that does not answer is asked again.
                if let Ok(reply) = client.fetch(seed).await {
                    voter.addresses().update(&reply.address);
                    // Fails only once the search has ended.
                    let _ = news.send(reply.known);
                }
            });
        }
    }

    /// Sends the request to all known members that were not asked yet.
    fn request_seats(&mut self, request: &Arc<JoinRequest>, asked: &mut HashSet<SocketAddr>) {
        let known = self.voter.addresses().others();
        let known_count = known.len();
        let leader = self.voter.addresses().named_leader();
        for member in known.into_iter().chain(leader).map(|member| member.system) {
            if !asked.insert(member) {
                continue;
            }
            let (client, request) = (self.client.clone(), Arc::clone(request));
            let (answers, news) = (Arc::clone(&self.answers), self.news_sender.clone());
            // Members that do not lead refuse to add a learner; all are asked again.
            self.calls.start((JOIN_PATH, member), async move {
                let answer = client.request_seat(member, &request).await;
                log_answer(&answers, member, &answer, known_count);
                if let Ok(answer) = answer {
                    // Fails only once the search has ended.
                    let _ = news.send(answer.known().clone());
                }
            });
        }
    }
}

/// Logs the answer of a member if it differs from its last one.
fn log_answer(
    answers: &ChangeLog<SocketAddr>,
    member: SocketAddr,
    answer: &Result<SeatAnswer>,
    known_count: usize,
) {
    let text = match answer {
        Ok(SeatAnswer::Accepted(known)) => describe("accepted", known),
        Ok(SeatAnswer::Refused(known)) => describe("refused", known),
        Err(error) => error.to_compact_string(),
    };
    if answers.is_new(member, &text) {
        info!("raft: asked a member for a seat", kv: {
            member:? = member,
            answer = text.as_str(),
            known = known_count,
        });
    }
}

fn describe(answer: &str, known: &KnownMembers) -> CompactString {
    match &known.leader {
        Some(leader) => format_compact!("{answer}; leader: {}", leader.vm),
        None => format_compact!("{answer}; leader: unknown"),
    }
}
