use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use reqwest::Client;
use spdlog::prelude::*;

use crate::{
    control::ask_member,
    raft::{MemberChange, Membership, VoterId},
    voter::{LeaderLease, VoterHandle, member_name},
};

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(700);
/// Silence after which a voter is replaced when a learner can take its place. A restart takes less.
const REPLACE_AFTER: Duration = Duration::from_secs(3);
/// Silence after which a learner is removed.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The leader's duty to keep the wanted number of live voters.
pub struct MemberDuty {
    voter: VoterHandle,
    client: Client,
    secret: String,
    voters: usize,
    heard: HashMap<VoterId, Instant>,
}

impl MemberDuty {
    pub fn new(voter: VoterHandle, client: Client, secret: String, voters: usize) -> Self {
        Self {
            voter,
            client,
            secret,
            voters,
            heard: HashMap::new(),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(ROUND_PERIOD).await;
            if self
                .voter
                .lease()
                .is_none_or(|lease| !LeaderLease::holds(&lease))
            {
                self.heard.clear();
                continue;
            }
            let membership = self.voter.status().membership;
            let live = self.ask(&membership).await;
            if let Some(change) = self.next_change(&membership, &live) {
                let (MemberChange::AddLearner(id)
                | MemberChange::Promote(id)
                | MemberChange::Remove(id)) = &change;
                let name = member_name(id);
                info!("raft: changes the membership", kv: { member = name.as_str(), change:? = change });
                if let Err(error) = self.voter.change(change.clone()).await {
                    warn!("raft: the change of {name} failed: {error}");
                }
            }
        }
    }

    /// Asks all members who they are and returns those that answer as the same member.
    async fn ask(&mut self, membership: &Membership) -> Vec<VoterId> {
        let now = Instant::now();
        let asked = membership.members().map(|member| {
            let address = self.voter.addresses().system(&member.vm);
            let (client, secret) = (&self.client, &self.secret);
            async move {
                let reply = ask_member(client, secret, address?).await.ok()?;
                (reply.id == *member).then(|| member.clone())
            }
        });
        let answered = futures::future::join_all(asked).await;
        let live: Vec<VoterId> = answered.into_iter().flatten().collect();
        let own = self.voter.status().id;
        self.heard.retain(|member, _| membership.contains(member));
        for member in membership.members() {
            // A member that was never heard counts from now on.
            let heard = self.heard.entry(member.clone()).or_insert(now);
            if live.contains(member) || *member == own {
                *heard = now;
            }
        }
        live
    }

    fn next_change(&self, membership: &Membership, live: &[VoterId]) -> Option<MemberChange> {
        let silent = |member: &&VoterId, limit: Duration| {
            self.heard
                .get(*member)
                .is_none_or(|at| at.elapsed() > limit)
        };
        // A data folder that was made anew on the same VM proves that the former one is gone.
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
        let lost = voters.find(|member| silent(member, REPLACE_AFTER));
        match (successor, lost) {
            (Some(successor), _) if membership.voters.len() < self.voters => {
                Some(MemberChange::Promote(successor.clone()))
            }
            (_, Some(lost)) if membership.voters.len() > self.voters => {
                Some(MemberChange::Remove(lost.clone()))
            }
            (Some(successor), Some(_)) => Some(MemberChange::Promote(successor.clone())),
            _ => {
                let mut learners = membership.learners.iter();
                let lost = learners.find(|member| silent(member, FORGET_AFTER));
                lost.map(|lost| MemberChange::Remove(lost.clone()))
            }
        }
    }
}
