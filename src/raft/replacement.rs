use std::time::Duration;

use super::{MemberChange, RefusalReason, VoterId};

/// When the leader replaces members by itself; see docs/design.md, section 5.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplacementPolicy {
    /// Intended number of voters while no successor waits.
    pub voter_count: usize,
    /// Silence after which a voter counts as lost.
    pub voter_silence: Duration,
    /// Silence after which a learner is removed.
    pub learner_silence: Duration,
}

/// Silence after which a learner is removed. It takes no part in quorums, so there is no hurry.
const LEARNER_SILENCE: Duration = Duration::from_secs(30);

impl ReplacementPolicy {
    /// Creates the policy for a fleet in which a replacement must be complete `catch_up` after the start of the
    /// successor. Half of it is left for the join, the election and the two changes of the membership.
    #[must_use]
    pub fn new(voter_count: usize, catch_up: Duration) -> Self {
        Self {
            voter_count,
            voter_silence: catch_up / 2,
            learner_silence: LEARNER_SILENCE,
        }
    }
}

/// Why the membership has to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementCause {
    /// A member with a new data folder runs on the VM of a voter, whose own folder is gone.
    Superseded,
    /// A voter has been silent for too long.
    Silent,
    /// A voter stops as planned.
    Leaving,
    /// There are fewer voters than intended.
    TooFewVoters,
    /// A machine was added to the fleet, and is the successor of whichever machine is lost next.
    Successor,
    /// A learner has been silent for too long.
    SilentLearner,
}

/// What holds up a change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementObstacle {
    /// The voter has not been silent for long enough to count as lost.
    MayReturn,
    /// No learner answers.
    NoLearner,
    /// No learner that answers has every committed entry.
    LearnerBehind,
    /// Too few of the voters after the change have answered lately to form a quorum.
    QuorumAtRisk,
    /// The core refuses the change for now.
    Refused(RefusalReason),
}

/// What the leader has to do next for the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplacementStep {
    /// This member does not lead, or no change is needed.
    Settled,
    /// A change is needed and has to wait.
    Waiting {
        /// Why a change is needed.
        cause: ReplacementCause,
        /// The member that is lost or leaves, if any.
        member: Option<VoterId>,
        /// What holds the change up.
        obstacle: ReplacementObstacle,
    },
    /// A change is needed and possible.
    Due {
        /// Why it is needed.
        cause: ReplacementCause,
        /// The member that is lost or leaves, if any.
        member: Option<VoterId>,
        /// The change.
        change: MemberChange,
    },
}
