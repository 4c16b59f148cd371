use std::collections::BTreeSet;

use smallvec::SmallVec;

use super::{Membership, VoterId};

/// The memberships of which a quorum is needed: the latest one, and the one before it while the change between
/// them may be uncommitted.
pub(super) type OpenMemberships<'a> = SmallVec<[&'a Membership; 2]>;

/// Which voters have to agree on an election, a commit or a lease.
///
/// A majority of each membership is enough. So is half of an even number of voters if a voter outside that half has
/// lost its data folder for good: half and majority have a voter in common, and two such halves would each need
/// votes that the lost voters of the other one gave before their loss. See docs/design.md, section 5.
pub(super) struct QuorumRule<'a> {
    memberships: OpenMemberships<'a>,
    lost: &'a BTreeSet<VoterId>,
}

impl<'a> QuorumRule<'a> {
    /// Creates the rule for memberships of which each is needed. `lost` are voters whose data folders were known to
    /// be gone before any of the votes or acknowledgements was requested.
    pub(super) fn new(memberships: OpenMemberships<'a>, lost: &'a BTreeSet<VoterId>) -> Self {
        Self { memberships, lost }
    }

    /// Returns the largest value that a quorum has reached or exceeded.
    pub(super) fn value<T: Ord>(&self, value: impl Fn(&VoterId) -> T) -> Option<T> {
        let values = self.memberships.iter();
        values
            .map(|membership| self.value_in(membership, &value))
            .min()?
    }

    /// Returns whether the voters that agree are a quorum.
    pub(super) fn is_met(&self, agrees: impl Fn(&VoterId) -> bool) -> bool {
        self.value(agrees) == Some(true)
    }

    fn value_in<T: Ord>(
        &self,
        membership: &Membership,
        value: &impl Fn(&VoterId) -> T,
    ) -> Option<T> {
        let voters = &membership.voters;
        let by_majority = nth_largest(voters.iter().map(value), membership.quorum());
        let is_lost = |voter: &VoterId| self.lost.contains(voter);
        let allows_half = membership.allows_half_quorums()
            && voters.len().is_multiple_of(2)
            && voters.iter().any(is_lost);
        if !allows_half {
            return by_majority;
        }
        let remaining = voters.iter().filter(|voter| !is_lost(voter));
        by_majority.max(nth_largest(remaining.map(value), voters.len() / 2))
    }
}

/// Returns the value that `count` of the values reach or exceed, if there are as many.
fn nth_largest<T: Ord>(values: impl Iterator<Item = T>, count: usize) -> Option<T> {
    let mut values: SmallVec<[T; 8]> = values.collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(count - 1)
}
