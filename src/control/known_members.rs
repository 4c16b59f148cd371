use serde::{Deserialize, Serialize};

use crate::{config::VoterAddress, ids::Term, voter::VoterHandle};

/// What a daemon knows of the members, so that one that was told of any of them reaches the leader. A daemon learns
/// the others otherwise only from members that send to it, which they do not before it has a seat; see
/// docs/design.md, section 5.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownMembers {
    /// Term of the daemon.
    pub term: Term,
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
        let status = voter.status();
        Self {
            term: status.term,
            leader: status.leader.and_then(|leader| addresses.find(&leader.vm)),
            others: addresses.others(),
        }
    }

    /// Adopts the addresses that are not known yet, and the leader. A voter does not adopt a leader that it has given
    /// up itself: another voter may notice the loss later.
    pub fn adopt(&self, voter: &VoterHandle) {
        let addresses = voter.addresses();
        addresses.insert_missing(&self.others);
        let status = voter.status();
        let is_voter = status.membership.voters.contains(&status.id);
        let is_given_up = self.term < status.term || (is_voter && self.term == status.term);
        match &self.leader {
            Some(leader) if !is_given_up => {
                addresses.insert_missing(std::slice::from_ref(leader));
                addresses.record_leader(leader, self.term);
            }
            _ => {}
        }
    }
}
