use serde::{Deserialize, Serialize};

use crate::{config::VoterAddress, voter::VoterHandle};

/// What a daemon knows of the members, so that one that was told of any of them reaches the leader. A daemon learns
/// the others otherwise only from members that send to it, which they do not before it has a seat; see
/// docs/design.md, section 5.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownMembers {
    /// The leader that the daemon follows; the daemon itself if it leads.
    pub leader: Option<VoterAddress>,
    /// Known addresses of all other daemons.
    pub others: Vec<VoterAddress>,
}

impl KnownMembers {
    /// Returns what the daemon of a voter knows.
    #[must_use]
    pub fn of_voter(voter: &VoterHandle) -> Self {
        let addresses = voter.addresses();
        let leader = voter.status().leader;
        Self {
            leader: leader.and_then(|leader| addresses.find(&leader.vm)),
            others: addresses.others(),
        }
    }

    /// Adopts the addresses that are not known yet, and the leader.
    pub fn adopt(&self, voter: &VoterHandle) {
        let addresses = voter.addresses();
        addresses.insert_missing(&self.others);
        if let Some(leader) = &self.leader {
            addresses.insert_missing(std::slice::from_ref(leader));
            addresses.record_leader(leader);
        }
    }
}
