use std::{collections::HashSet, fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use reqwest::Client;
use spdlog::prelude::*;
use tokio::task::JoinSet;

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
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
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
    member_return: MemberReturn,
}

/// Which members ask for a seat when no leader sends to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberReturn {
    /// Only those with an empty log: others may have been removed by an operator.
    NewOnly,
    /// All: the leader removes silent members by itself, and they come back.
    Always,
}

impl FleetBootstrap {
    pub fn new(config: ControlConfig, voter: VoterHandle, client: Client, secret: String) -> Self {
        Self {
            config,
            voter,
            client,
            secret,
            member_return: MemberReturn::NewOnly,
        }
    }

    /// Sets which members ask for a seat when no leader sends to them.
    #[must_use]
    pub fn with_return(mut self, member_return: MemberReturn) -> Self {
        self.member_return = member_return;
        self
    }

    /// Runs until the task is dropped or the voter has stopped.
    pub async fn run(self) {
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
        let mut calls = MemberCalls::default();
        loop {
            let status = self.voter.status();
            if status.phase == VoterPhase::Stopped {
                return;
            }
            if status.leader.is_none() || !status.membership.contains(&status.id) {
                self.refresh_addresses(&mut calls);
                self.announce(&status, &mut calls);
            }
            let known_addresses = self.voter.addresses().others();
            if saved_addresses != known_addresses
                && write_addresses(&self.config, &known_addresses).is_ok()
            {
                saved_addresses = known_addresses;
            }
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
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
        let mut replies: FuturesUnordered<_> = others.map(|seed| self.fetch_member(seed)).collect();
        let mut membership = Membership::of_voters([id.clone()]);
        // One reply may be enough, and a seed that does not answer must not delay it.
        while let Some(reply) = replies.next().await {
            let Ok(reply) = reply else { continue };
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
    fn refresh_addresses(&self, calls: &mut MemberCalls) {
        let own = self.config.system_listen.socket();
        for seed in self.config.seeds.iter().filter(|seed| **seed != own) {
            let (client, secret, seed) = (self.client.clone(), self.secret.clone(), *seed);
            let voter = self.voter.clone();
            calls.start((MEMBER_PATH, seed), async move {
                // A seed that does not answer is asked again.
                if let Ok(reply) = fetch_member(&client, &secret, seed).await {
                    voter.addresses().update(&reply.address);
                }
            });
        }
    }

    /// Announces this member's address to the known members, and requests to be added as a learner if it is no
    /// member of theirs.
    fn announce(&self, status: &VoterStatus, calls: &mut MemberCalls) {
        let is_new = status.last == 0 && !status.membership.contains(&status.id);
        let request = JoinRequest {
            id: status.id.clone(),
            address: self.voter.addresses().own().clone(),
            learner: is_new || self.member_return == MemberReturn::Always,
        };
        let Ok(body) = sync::encode(&request) else {
            return;
        };
        for member in self.voter.addresses().others() {
            let call = self
                .client
                .post(format!("http://{}{JOIN_PATH}", member.system))
                .header(SECRET_HEADER, &self.secret)
                .timeout(REQUEST_TIMEOUT)
                .body(body.clone())
                .send();
            // Members that do not lead refuse to add a learner; all are asked again.
            calls.start((JOIN_PATH, member.system), async move { drop(call.await) });
        }
    }
}

/// Calls in progress to other members, one of each kind to each, so that one that does not answer delays no other.
#[derive(Default)]
struct MemberCalls {
    running: JoinSet<MemberCall>,
    started: HashSet<MemberCall>,
}

/// Path and address of a call.
type MemberCall = (&'static str, SocketAddr);

impl MemberCalls {
    fn start(&mut self, call: MemberCall, run: impl Future<Output = ()> + Send + 'static) {
        while let Some(ended) = self.running.try_join_next() {
            match ended {
                Ok(ended) => {
                    self.started.remove(&ended);
                }
                Err(error) => error!("raft: a call to a member failed: {error}"),
            }
        }
        if self.started.insert(call) {
            self.running.spawn(async move {
                run.await;
                call
            });
        }
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
