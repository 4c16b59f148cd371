use std::{fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use reqwest::Client;
use spdlog::prelude::*;

use super::raft_api::{JOIN_PATH, JoinRequest, MEMBER_PATH, MemberReply};
use crate::{
    client,
    config::{ControlConfig, VoterAddress},
    error::{Error, Result},
    raft::Membership,
    sync::{self, SECRET_HEADER},
    voter::{VoterHandle, VoterPhase, VoterStatus},
};

/// File in the data folder with the known addresses of other members.
const ADDRESSES_FILE: &str = "addresses.json";
/// Interval of attempts to found or join the fleet.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of announcements while no leader is known.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request to another control daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

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
    client: Client,
    secret: String,
}

impl FleetBootstrap {
    pub fn new(config: ControlConfig, voter: VoterHandle, client: Client, secret: String) -> Self {
        Self {
            config,
            voter,
            client,
            secret,
        }
    }

    /// Runs until the task is dropped or the voter has stopped.
    pub async fn run(self) {
        self.refresh_addresses().await;
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
        loop {
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            let status = self.voter.status();
            if status.phase == VoterPhase::Stopped {
                return;
            }
            if status.leader.is_none() {
                self.refresh_addresses().await;
                self.announce(&status).await;
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
    async fn find_membership(&self) -> Option<Membership> {
        if !self.config.seeds.is_empty() {
            return self.find_membership_by_seeds().await;
        }
        if self.config.join {
            info!("raft: joins an existing fleet");
            return Some(Membership::default());
        }
        let id = self.voter.status().id;
        let others = self.config.voters.iter().filter(|voter| voter.vm != id.vm);
        let requests = others.map(|voter| self.fetch_member(voter.system));
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
    async fn find_membership_by_seeds(&self) -> Option<Membership> {
        let id = self.voter.status().id;
        let own = self.config.system_listen.socket();
        let seeds = &self.config.seeds;
        let others = seeds.iter().copied().filter(|seed| *seed != own);
        let requests = others.map(|seed| self.fetch_member(seed));
        let replies = futures::future::join_all(requests).await;
        let mut membership = Membership::of_voters([id.clone()]);
        for reply in replies.into_iter().flatten() {
            self.voter.addresses().update(&reply.address);
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
        let is_founder = !self.config.join
            && seeds.iter().min() == Some(&own)
            && membership.voters.len() == seeds.len();
        if is_founder {
            info!("raft: founds a fleet of {} voters", membership.voters.len());
        }
        is_founder.then_some(membership)
    }

    async fn fetch_member(&self, address: SocketAddr) -> Result<MemberReply> {
        fetch_member(&self.client, &self.secret, address).await
    }

    /// Fetches the members at the seed addresses. A power failure may also destroy the saved
    /// addresses, and members that do not know each other's addresses cannot elect a leader.
    async fn refresh_addresses(&self) {
        let own = self.config.system_listen.socket();
        let others = self.config.seeds.iter().filter(|seed| **seed != own);
        let requests = others.map(|seed| self.fetch_member(*seed));
        for reply in futures::future::join_all(requests)
            .await
            .into_iter()
            .flatten()
        {
            self.voter.addresses().update(&reply.address);
        }
    }

    /// Announces this member's address to the known members. A member with an empty log requests to
    /// be added as a learner; one with entries was a member before and may have been removed on
    /// purpose.
    async fn announce(&self, status: &VoterStatus) {
        let learner = status.last == 0 && !status.membership.contains(&status.id);
        let request = JoinRequest {
            id: status.id.clone(),
            address: self.voter.addresses().own().clone(),
            learner,
        };
        let Ok(body) = sync::encode(&request) else {
            return;
        };
        let announcements = self.voter.addresses().others().into_iter().map(|member| {
            self.client
                .post(format!("http://{}{JOIN_PATH}", member.system))
                .header(SECRET_HEADER, &self.secret)
                .timeout(REQUEST_TIMEOUT)
                .body(body.clone())
                .send()
        });
        // Members that do not lead refuse to add a learner; failed requests are repeated after
        // ANNOUNCE_INTERVAL.
        futures::future::join_all(announcements).await;
    }
}

/// Fetches the identity and state of the control daemon at an address.
pub async fn fetch_member(
    client: &Client,
    secret: &str,
    address: SocketAddr,
) -> Result<MemberReply> {
    let transport = |error: reqwest::Error| Error::Transport {
        peer: address.to_string(),
        reason: error.to_string(),
    };
    let answer = client
        .get(format!("http://{address}{MEMBER_PATH}"))
        .header(SECRET_HEADER, secret)
        .timeout(REQUEST_TIMEOUT)
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .map_err(transport)?;
    let peer = address.to_string();
    let body = client::read_body(&peer, answer, client::MAX_MESSAGE_BYTES).await?;
    sync::decode("member reply", &body)
}

/// Reads the member addresses that an earlier run saved. They only help to reach members that are
/// not in the settings, so an unreadable file is treated as an empty one.
pub fn read_addresses(config: &ControlConfig) -> Vec<VoterAddress> {
    fs::read(addresses_path(config))
        .ok()
        .and_then(|content| serde_json::from_slice(&content).ok())
        .unwrap_or_default()
}

fn write_addresses(config: &ControlConfig, addresses: &[VoterAddress]) -> Result<()> {
    let path = addresses_path(config);
    let temporary = path.with_extension("tmp");
    let content = serde_json::to_vec(addresses).unwrap_or_default();
    let write = || {
        let mut file = fs::File::create(&temporary)?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        fs::File::open(&config.data_folder)?.sync_all()
    };
    write().map_err(|source| Error::file(path, source))
}

fn addresses_path(config: &ControlConfig) -> PathBuf {
    config.data_folder.join(ADDRESSES_FILE)
}
