use std::collections::BTreeSet;

use crate::{clock::BootInstant, raft::VoterId, sync::AbsenceReport};

/// Time in which no leader could count on this voter, as of the last step of the voter's thread; see
/// docs/design.md, section 18.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterAbsence {
    /// When the voter's promise to the last leader that it followed had ended. A process that has just
    /// started counts as one that followed a leader at its start.
    pub began: BootInstant,
    /// When the voter's thread last looked.
    pub ended: BootInstant,
}

impl VoterAbsence {
    /// Returns the absence up to `ended`; `None` if the promise had not ended by then.
    #[must_use]
    pub fn new(began: BootInstant, ended: BootInstant) -> Option<Self> {
        (began <= ended).then_some(Self { began, ended })
    }

    /// Returns the statement for a reply that is made now. Rounding makes the time shorter.
    #[must_use]
    pub fn report(&self, voter: VoterId, voters: BTreeSet<VoterId>) -> AbsenceReport {
        let age_ms = |at: BootInstant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        AbsenceReport {
            voter,
            voters,
            began_ms: age_ms(self.began),
            ended_ms: age_ms(self.ended).saturating_add(1),
        }
    }
}
