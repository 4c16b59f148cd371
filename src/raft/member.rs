use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VmId};

/// Identity of a member of the log. Each new data directory gets a new incarnation, so a member
/// that lost its disk is a different member afterwards and cannot vote twice in a term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterId {
    /// VM that the member runs on.
    pub vm: VmId,
    /// Random number of the data directory.
    pub incarnation: Incarnation,
}

impl VoterId {
    /// Creates the identity of one data directory on a VM.
    pub fn new(vm: impl Into<VmId>, incarnation: Incarnation) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
        }
    }
}

/// The voters and learners of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and count towards a quorum.
    pub voters: BTreeSet<VoterId>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeSet<VoterId>,
    /// Number of VMs that the fleet was set up with; 0 while daemons of earlier releases, which do not know half
    /// quorums, may take part. See docs/design.md, section 5.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub fleet_size: usize,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde calls.
fn is_unknown(fleet_size: &usize) -> bool {
    *fleet_size == 0
}

impl Membership {
    /// Creates a membership without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = VoterId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the member is a voter or a learner.
    #[must_use]
    pub fn contains(&self, member: &VoterId) -> bool {
        self.voters.contains(member) || self.learners.contains(member)
    }

    /// Sets the number of VMs that the fleet was set up with, unless it is known already.
    #[must_use]
    pub fn with_fleet_size(self, fleet_size: usize) -> Self {
        match self.fleet_size {
            0 => Self { fleet_size, ..self },
            _ => self,
        }
    }

    /// Returns whether half of an even number of voters may be a quorum once another voter has lost its data folder.
    #[must_use]
    pub fn allows_half_quorums(&self) -> bool {
        self.fleet_size > 0
    }

    /// Iterates over voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the membership after a change; `None` when the change does not apply: the learner is
    /// already a member, the member to promote is not a learner, or the member to remove is unknown
    /// or the last voter.
    #[must_use]
    pub fn with_change(&self, change: &MemberChange) -> Option<Self> {
        let mut next = self.clone();
        let applies = match change {
            MemberChange::AddLearner(member) => {
                !self.voters.contains(member) && next.learners.insert(member.clone())
            }
            MemberChange::Promote(member) => {
                next.learners.remove(member) && next.voters.insert(member.clone())
            }
            MemberChange::Remove(member) => {
                next.voters.remove(member) || next.learners.remove(member)
            }
        };
        (applies && !next.voters.is_empty()).then_some(next)
    }

    pub(super) fn size(&self) -> usize {
        self.members().map(|member| member.vm.len() + 16).sum()
    }
}

/// A change of the membership by one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberChange {
    /// Starts to replicate the log to a new member.
    AddLearner(VoterId),
    /// Turns a learner that has every committed entry into a voter.
    Promote(VoterId),
    /// Removes a voter or a learner.
    Remove(VoterId),
}
