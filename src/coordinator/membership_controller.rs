use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;

use crate::{
    control::fetch_member,
    raft::{MemberChange, Membership, VoterId},
    voter::{LeaderLease, VoterHandle, member_name},
};

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Time without an answer after which a voter is replaced if a learner can take its place. A
/// restart takes less.
const VOTER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without an answer after which a learner is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(30);

/// Task of the leader that keeps the configured number of live voters.
pub struct MembershipController {
    voter: VoterHandle,
    client: Client,
    secret: String,
    voter_count: usize,
    last_answers: HashMap<VoterId, Instant>,
}

impl MembershipController {
    pub fn new(voter: VoterHandle, client: Client, secret: String, voter_count: usize) -> Self {
        Self {
            voter,
            client,
            secret,
            voter_count,
            last_answers: HashMap::new(),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self
                .voter
                .lease()
                .is_none_or(|lease| !LeaderLease::is_valid(&lease))
            {
                self.last_answers.clear();
                continue;
            }
            let membership = self.voter.status().membership;
            let live = self.poll_members(&membership).await;
            if let Some(change) = self.next_change(&membership, &live) {
                let (MemberChange::AddLearner(id)
                | MemberChange::Promote(id)
                | MemberChange::Remove(id)) = &change;
                let name = member_name(id);
                info!("raft: changes the membership", kv: { member = name.as_str(), change:? = change });
                if let Err(error) = self.voter.change_membership(change.clone()).await {
                    warn!("raft: the change of {name} failed: {error}");
                }
            }
        }
    }

    /// Asks all members for their identity and returns those that answer with the expected one.
    async fn poll_members(&mut self, membership: &Membership) -> Vec<VoterId> {
        let now = Instant::now();
        let calls = membership.members().map(|member| {
            let address = self.voter.addresses().system_address(&member.vm);
            let (client, secret) = (&self.client, &self.secret);
            async move {
                let reply = fetch_member(client, secret, address?).await.ok()?;
                (reply.id == *member).then(|| member.clone())
            }
        });
        let answers = futures::future::join_all(calls).await;
        let live: Vec<VoterId> = answers.into_iter().flatten().collect();
        let own = self.voter.status().id;
        self.last_answers
            .retain(|member, _| membership.contains(member));
        for member in membership.members() {
            // The timeout of a member that has never answered begins with the first poll.
            let last_answer = self.last_answers.entry(member.clone()).or_insert(now);
            if live.contains(member) || *member == own {
                *last_answer = now;
            }
        }
        live
    }

    /// Returns the membership change that is needed next, given the members that answered.
    fn next_change(&self, membership: &Membership, live: &[VoterId]) -> Option<MemberChange> {
        let is_silent = |member: &&VoterId, timeout: Duration| {
            self.last_answers
                .get(*member)
                .is_none_or(|at| at.elapsed() > timeout)
        };
        // A live member with a new data folder on the same VM proves that the former one is gone.
        let is_superseded = |member: &&VoterId| {
            membership
                .members()
                .any(|other| other.vm == member.vm && other != *member && live.contains(other))
        };
        let mut voters = membership.voters.iter();
        let superseded = voters.find(|member| is_superseded(member) && !live.contains(member));
        if let Some(lost) = superseded {
            return Some(MemberChange::Remove(lost.clone()));
        }
        let successor = membership
            .learners
            .iter()
            .find(|member| live.contains(member));
        let mut voters = membership.voters.iter();
        let lost = voters.find(|member| is_silent(member, VOTER_TIMEOUT));
        match (successor, lost) {
            (Some(successor), _) if membership.voters.len() < self.voter_count => {
                Some(MemberChange::Promote(successor.clone()))
            }
            (_, Some(lost)) if membership.voters.len() > self.voter_count => {
                Some(MemberChange::Remove(lost.clone()))
            }
            (Some(successor), Some(_)) => Some(MemberChange::Promote(successor.clone())),
            _ => {
                let mut learners = membership.learners.iter();
                let lost = learners.find(|member| is_silent(member, LEARNER_TIMEOUT));
                lost.map(|lost| MemberChange::Remove(lost.clone()))
            }
        }
    }
}
