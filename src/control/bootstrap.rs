use std::time::Duration;

use futures::{StreamExt, stream::FuturesUnordered};
use reqwest::Client;
use spdlog::prelude::*;

use super::{
    member_client::MemberClient,
    raft_api::MemberReply,
    saved_addresses::{read_addresses, write_addresses},
    seat_search::{MemberReturn, SeatSearch},
};
use crate::{
    adapter::SeedList,
    config::ControlConfig,
    raft::Membership,
    voter::{VoterHandle, VoterPhase},
};

/// Interval of attempts to found or join the fleet.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of announcements while no leader is known.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// Founds a new fleet or joins an existing one, and keeps the addresses of the members.
///
/// A fleet is founded once, by the daemon with the lowest VM name in the `voters` settings, after
/// all of them have answered that they belong to no fleet. Every quorum of an existing fleet of
/// these daemons includes one that would answer otherwise, so the loss of a disk never leads to a
/// second fleet. The other daemons adopt the founding membership if it contains them, and join as
/// learners if it does not.
pub struct FleetBootstrap {
    config: ControlConfig,
    voter: VoterHandle,
    client: MemberClient,
    member_return: MemberReturn,
    seeds: SeedList,
}

impl FleetBootstrap {
    pub fn new(config: ControlConfig, voter: VoterHandle, client: Client, secret: String) -> Self {
        Self {
            seeds: SeedList::new(config.seeds.clone()),
            config,
            voter,
            client: MemberClient::new(client, secret),
            member_return: MemberReturn::NewOnly,
        }
    }

    /// Sets which members ask for a seat when no leader sends to them.
    #[must_use]
    pub fn with_return(mut self, member_return: MemberReturn) -> Self {
        self.member_return = member_return;
        self
    }

    /// Sets the seeds of a daemon whose settings may name others later.
    #[must_use]
    pub fn with_seeds(mut self, seeds: SeedList) -> Self {
        self.seeds = seeds;
        self
    }

    /// Runs until the task is dropped or the voter has stopped.
    pub async fn run(mut self) {
        while self.voter.status().phase == VoterPhase::Uninitialized {
            if let Some(membership) = self.find_membership().await {
                let result = self.voter.initialize(membership).await;
                if result.is_err() {
                    return;
                }
            } else {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        let mut saved_addresses = read_addresses(&self.config);
        let mut search = self.seat_search();
        loop {
            let status = self.voter.status();
            if status.phase == VoterPhase::Stopped {
                return;
            }
            if status.leader.is_none() || !status.membership.contains(&status.id) {
                search.ask_all(&status, ANNOUNCE_INTERVAL).await;
            } else {
                // A change that is not committed yet may still be undone.
                if status.is_membership_committed {
                    self.voter.addresses().forget_others(&status.membership);
                }
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
            let known_addresses = self.voter.addresses().others();
            if saved_addresses != known_addresses
                && write_addresses(&self.config, &known_addresses).is_ok()
            {
                saved_addresses = known_addresses;
            }
        }
    }

    /// Returns the membership to start with, which is empty for a daemon that joins a fleet, or
    /// `None` if the attempt must be repeated.
    async fn find_membership(&mut self) -> Option<Membership> {
        if !self.config.seeds.is_empty() {
            return self.find_membership_by_seeds().await;
        }
        if self.config.join {
            info!("raft: joins an existing fleet");
            return Some(Membership::default());
        }
        let id = self.voter.status().id;
        let others = self.config.voters.iter().filter(|voter| voter.vm != id.vm);
        let requests = others.map(|voter| self.client.fetch(voter.system));
        let replies = futures::future::join_all(requests).await;
        let mut has_unreachable = false;
        let mut membership = Membership::of_voters([id.clone()]);
        for reply in replies {
            match reply {
                Ok(MemberReply {
                    founding: Some(founding),
                    ..
                }) if founding.voters.contains(&id) => {
                    info!(
                        "raft: takes part in the fleet of {} voters",
                        founding.voters.len()
                    );
                    return Some(founding);
                }
                Ok(reply) if reply.takes_part => {
                    warn!("raft: the fleet exists without this data folder; joins as a learner");
                    return Some(Membership::default());
                }
                Ok(reply) => {
                    membership.voters.insert(reply.id);
                }
                Err(_) => has_unreachable = true,
            }
        }
        let first_vm = self.config.voters.iter().map(|voter| &voter.vm).min();
        let is_founder = !has_unreachable
            && first_vm == Some(&id.vm)
            && membership.voters.len() == self.config.voters.len();
        if is_founder {
            info!("raft: founds a fleet of {} voters", membership.voters.len());
        }
        is_founder.then_some(membership)
    }

    /// Does the same as [`Self::find_membership`] for a daemon whose settings contain only
    /// addresses. The daemon at the lowest address founds the fleet with all of them as voters; any
    /// other daemon joins.
    async fn find_membership_by_seeds(&mut self) -> Option<Membership> {
        let id = self.voter.status().id;
        let own = self.config.system_listen.socket();
        // All founders must agree on who they are, so they go by their first settings.
        let may_found = !self.config.join && self.config.seeds.contains(&own);
        let seeds = if may_found {
            self.config.seeds.clone()
        } else {
            self.seeds.refresh().to_vec()
        };
        let others = seeds.iter().copied().filter(|seed| *seed != own);
        let mut replies: FuturesUnordered<_> = others.map(|seed| self.client.fetch(seed)).collect();
        let mut membership = Membership::of_voters([id.clone()]);
        // One reply may be enough, and a seed that does not answer must not delay it.
        while let Some(reply) = replies.next().await {
            let Ok(reply) = reply else { continue };
            self.voter.addresses().update(&reply.address);
            reply.known.adopt(&self.voter);
            match reply.founding {
                Some(founding) if founding.voters.contains(&id) => {
                    info!(
                        "raft: takes part in the fleet of {} voters",
                        founding.voters.len()
                    );
                    return Some(founding);
                }
                _ if reply.takes_part => {
                    info!("raft: joins the fleet that {} takes part in", reply.id.vm);
                    return Some(Membership::default());
                }
                _ => {
                    membership.voters.insert(reply.id);
                }
            }
        }
        let is_founder =
            may_found && seeds.iter().min() == Some(&own) && membership.voters.len() == seeds.len();
        if is_founder {
            info!("raft: founds a fleet of {} voters", membership.voters.len());
        }
        is_founder.then_some(membership)
    }

    fn seat_search(&self) -> SeatSearch {
        SeatSearch::new(
            self.seeds.clone(),
            self.voter.clone(),
            self.client.clone(),
            self.member_return,
        )
    }
}
