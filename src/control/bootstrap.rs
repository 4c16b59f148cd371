use std::{fs, io::Write, net::SocketAddr, path::PathBuf, time::Duration};

use reqwest::Client;
use spdlog::prelude::*;

use super::raft_api::{JOIN_PATH, JoinRequest, MEMBER_PATH, MemberReply};
use crate::{
    config::{ControlConfig, VoterAddress},
    error::{Error, Result},
    raft::Membership,
    sync::{self, SECRET_HEADER},
    voter::{VoterHandle, VoterPhase, VoterStatus},
};

/// Name of the file with the known addresses of other members.
const ADDRESSES_NAME: &str = "addresses.json";
/// Time between two attempts to found or find the fleet.
const FIND_PERIOD: Duration = Duration::from_millis(200);
/// Time between two announcements while no leader is heard.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Time that another control daemon has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Founds a new fleet or joins an existing one, and keeps the addresses of the members.
///
/// A fleet is founded once, by the daemon with the first VM name in the `voters` settings, after
/// every one of them has answered that it takes no part in a fleet yet. A quorum of any fleet that
/// these daemons founded would include one that knows of it, so a lost disk never founds a second
/// fleet. The others adopt the founding membership when they see themselves in it, and join as
/// learners when they do not.
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
        self.find_addresses().await;
        while self.voter.status().phase == VoterPhase::Uninitialized {
            if let Some(membership) = self.find_membership().await {
                let begun = self.voter.initialize(membership).await;
                if begun.is_err() {
                    return;
                }
            } else {
                tokio::time::sleep(FIND_PERIOD).await;
            }
        }
        let mut saved = read_addresses(&self.config);
        loop {
            tokio::time::sleep(ANNOUNCE_PERIOD).await;
            let status = self.voter.status();
            if status.phase == VoterPhase::Stopped {
                return;
            }
            if status.leader.is_none() {
                self.find_addresses().await;
                self.announce(&status).await;
            }
            let known = self.voter.addresses().others();
            if saved != known && write_addresses(&self.config, &known).is_ok() {
                saved = known;
            }
        }
    }

    /// Returns the membership to begin with, an empty one to join with, or `None` to ask again.
    async fn find_membership(&self) -> Option<Membership> {
        if !self.config.seeds.is_empty() {
            return self.find_by_seeds().await;
        }
        if self.config.join {
            info!("raft: joins an existing fleet");
            return Some(Membership::default());
        }
        let id = self.voter.status().id;
        let others = self.config.voters.iter().filter(|voter| voter.vm != id.vm);
        let asked = others.map(|voter| self.fetch_member(voter.system));
        let replies = futures::future::join_all(asked).await;
        let mut missing = false;
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
                Err(_) => missing = true,
            }
        }
        let first = self.config.voters.iter().map(|voter| &voter.vm).min();
        let founds = !missing
            && first == Some(&id.vm)
            && membership.voters.len() == self.config.voters.len();
        if founds {
            info!("raft: founds a fleet of {} voters", membership.voters.len());
        }
        founds.then_some(membership)
    }

    /// As [`Self::find_membership`], for a daemon that knows only addresses. The daemon at the least
    /// of them founds the fleet of all of them; any other daemon joins.
    async fn find_by_seeds(&self) -> Option<Membership> {
        let id = self.voter.status().id;
        let own = self.config.system_listen.socket();
        let seeds = &self.config.seeds;
        let others = seeds.iter().copied().filter(|seed| *seed != own);
        let asked = others.map(|seed| self.fetch_member(seed));
        let replies = futures::future::join_all(asked).await;
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
        let founds = !self.config.join
            && seeds.iter().min() == Some(&own)
            && membership.voters.len() == seeds.len();
        if founds {
            info!("raft: founds a fleet of {} voters", membership.voters.len());
        }
        founds.then_some(membership)
    }

    async fn fetch_member(&self, address: SocketAddr) -> Result<MemberReply> {
        fetch_member(&self.client, &self.secret, address).await
    }

    /// Asks the seeds who they are. After a loss of power the saved addresses may be gone too, and
    /// members that do not know each other's addresses elect no leader.
    async fn find_addresses(&self) {
        let own = self.config.system_listen.socket();
        let others = self.config.seeds.iter().filter(|seed| **seed != own);
        let asked = others.map(|seed| self.fetch_member(*seed));
        for reply in futures::future::join_all(asked).await.into_iter().flatten() {
            self.voter.addresses().update(&reply.address);
        }
    }

    /// Tells the known members where this one is. A member without any entry asks to be added; one
    /// that has entries was a member before and may have been removed on purpose.
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
                .timeout(ANSWER_TIMEOUT)
                .body(body.clone())
                .send()
        });
        // Those that do not lead refuse to add a learner; the next round repeats what failed.
        futures::future::join_all(announcements).await;
    }
}

/// Asks a control daemon who it is.
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
        .timeout(ANSWER_TIMEOUT)
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .map_err(transport)?;
    sync::decode("member reply", &answer.bytes().await.map_err(transport)?)
}

/// Reads the addresses that an earlier run knew. They only help to find members that the settings
/// do not name, so an unreadable file is the same as none.
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
    config.data_folder.join(ADDRESSES_NAME)
}
