use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{raft::VoterId, sync::AbsenceReport};

/// Time after which an answer is of no use any more: gateways go on without a leader for less.
const ANSWER_RETENTION: Duration = Duration::from_secs(60);

/// What a gateway knows of times without a leader, from the voters that it has asked.
///
/// One coordinator's word proves nothing: one that is cut off or has just started knows no leader while
/// others follow one. Nothing can be acknowledged only while a quorum supports no leader; see
/// docs/design.md, section 18.
#[derive(Debug, Default)]
pub struct AbsenceWatch {
    answers: HashMap<VoterId, VoterAnswer>,
}

/// Last answer of a voter. Times are on the gateway's clock.
#[derive(Debug)]
struct VoterAnswer {
    voters: BTreeSet<VoterId>,
    began: Duration,
    ended: Duration,
}

impl AbsenceWatch {
    /// Creates the watch of a gateway that has asked no voter.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what a voter says in reply to a question that was sent and answered at these times. The
    /// voter's ages count from some moment between the two, so that the time without its support began no
    /// later and ended no earlier than is recorded.
    pub fn record(&mut self, report: &AbsenceReport, sent_at: Duration, received_at: Duration) {
        let age = Duration::from_millis;
        let answer = VoterAnswer {
            voters: report.voters.clone(),
            began: received_at.saturating_sub(age(report.began_ms)),
            ended: sent_at.saturating_sub(age(report.ended_ms)),
        };
        self.answers
            .retain(|_, known| received_at.saturating_sub(known.ended) < ANSWER_RETENTION);
        self.answers.insert(report.voter.clone(), answer);
    }

    /// Returns whether no leader can have acknowledged anything from `from` to `to`, both included: a quorum of
    /// each membership that one of its voters names supported none.
    #[must_use]
    pub fn was_leaderless(&self, from: Duration, to: Duration) -> bool {
        let absent = self
            .answers
            .iter()
            .filter(|(_, answer)| answer.began <= from && to < answer.ended);
        let (absent, answers): (BTreeSet<&VoterId>, Vec<&VoterAnswer>) = absent.unzip();
        !answers.is_empty()
            && answers.iter().all(|answer| {
                let voters = answer.voters.iter();
                let count = voters.filter(|voter| absent.contains(voter)).count();
                count > answer.voters.len() / 2
            })
    }
}
