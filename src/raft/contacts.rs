use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{RaftCore, RaftMessage, RaftRole, VoterId};
use crate::ids::VmId;

/// When a member last heard from each other member, across elections: a new leader that began to count at its own
/// election would hold a lost voter for present all that time anew.
#[derive(Clone, Debug, Default)]
pub struct MemberContacts {
    /// Last message of each member; the first moment as a member where there was none since.
    heard: BTreeMap<VoterId, Duration>,
    /// The other member that was followed last. It alone sends without being asked.
    followed: Option<VoterId>,
    /// Time since which this member asks all voters, as a candidate and then as the leader.
    asking_since: Option<Duration>,
    leaving: BTreeSet<VoterId>,
    /// VMs with members while the fleet was set up, or when this member started.
    founding_vms: BTreeSet<VmId>,
    is_set_up: bool,
}

impl MemberContacts {
    /// Records a message from another member.
    pub fn record(&mut self, message: &RaftMessage, now: Duration) {
        if let Some(heard) = self.heard.get_mut(&message.from) {
            *heard = now;
        }
    }

    /// Adopts membership, role and leader of the member itself. The driver calls this before each tick.
    pub fn observe(&mut self, core: &RaftCore, now: Duration) {
        let membership = core.membership();
        self.heard.retain(|member, _| membership.contains(member));
        self.leaving.retain(|member| membership.contains(member));
        for member in membership.members() {
            if !self.heard.contains_key(member) {
                self.heard.insert(member.clone(), now);
            }
        }
        if !self.is_set_up {
            let vms = membership.members().map(|member| member.vm.clone());
            self.founding_vms.extend(vms);
        }
        self.asking_since = match core.role() {
            RaftRole::Follower => None,
            _ => self.asking_since.or(Some(now)),
        };
        let leader = core.leader().filter(|leader| *leader != core.id());
        if leader.is_some() && self.followed.as_ref() != leader {
            self.followed = leader.cloned();
        }
    }

    /// Ends the time in which the fleet is set up: machines that join from now on are additional.
    pub fn end_setup(&mut self) {
        self.is_set_up = !self.founding_vms.is_empty();
    }

    /// Returns the number of VMs that the fleet was set up with, as far as this member knows; 0 while it is set up.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        let founding_vms = Some(&self.founding_vms).filter(|_| self.is_set_up);
        founding_vms.map_or(0, BTreeSet::len)
    }

    /// Marks a member that stops as planned; it counts as lost from now on.
    pub fn add_leaving(&mut self, member: VoterId) {
        self.leaving.insert(member);
    }

    /// Withdraws the mark of a member that stays after all.
    pub fn remove_leaving(&mut self, member: &VoterId) {
        self.leaving.remove(member);
    }

    /// Returns whether a member stops as planned.
    #[must_use]
    pub fn is_leaving(&self, member: &VoterId) -> bool {
        self.leaving.contains(member)
    }

    /// Returns for how long a member has been silent, as far as this member can tell. It may have been cut off
    /// itself, so the silence of the former leader counts from its last message only once the leader has asked in
    /// vain for `confirmation`; that of others counts from the first question.
    #[must_use]
    pub fn silence(&self, member: &VoterId, now: Duration, confirmation: Duration) -> Duration {
        let Some(heard) = self.heard.get(member).copied() else {
            return Duration::ZERO;
        };
        let asking_since = self.asking_since.unwrap_or(now);
        let unanswered = now.saturating_sub(heard.max(asking_since));
        match &self.followed {
            Some(followed) if followed == member && unanswered >= confirmation => {
                now.saturating_sub(heard)
            }
            _ => unanswered,
        }
    }
}
