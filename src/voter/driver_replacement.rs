use std::time::Instant;

use spdlog::prelude::*;

use super::{driver::VoterDriver, member_name, pending::send_answer, request::AnswerSender};
use crate::{
    error::Error,
    raft::{RaftInput, RaftRole, ReplacementStep, VoterId},
    state::Outcome,
};

/// A voter that stops as planned and waits until it is removed.
pub struct VoterDeparture {
    id: VoterId,
    deadline: Instant,
    answer: AnswerSender,
}

impl VoterDriver {
    /// Makes the next change of the membership if one is due. Returns whether it made one.
    pub fn advance_replacement(&mut self) -> bool {
        let Some(policy) = self.settings.replacement else {
            return false;
        };
        if self.core.role() != RaftRole::Leader {
            self.replacement = ReplacementStep::Settled;
            return false;
        }
        let now = self.started.elapsed();
        let step = self.core.next_replacement(now, &policy, &self.contacts);
        let is_new = step != self.replacement;
        if is_new {
            self.log_replacement(&step);
        }
        self.replacement = step;
        match &self.replacement {
            ReplacementStep::Due { change, .. } => {
                let change = change.clone();
                // No request has token 0, so nothing waits for the outcome.
                self.step(RaftInput::Change { token: 0, change });
                true
            }
            _ => false,
        }
    }

    fn log_replacement(&self, step: &ReplacementStep) {
        let now = self.started.elapsed();
        let confirmation = self.settings.timing.election_timeout_min;
        let name = |member: &Option<VoterId>| member.as_ref().map_or_else(String::new, member_name);
        let silent_ms = |member: &Option<VoterId>| {
            let silence = member
                .as_ref()
                .map(|id| self.contacts.silence(id, now, confirmation));
            silence.unwrap_or_default().as_millis()
        };
        match step {
            ReplacementStep::Settled => info!("raft: the membership needs no change"),
            ReplacementStep::Waiting {
                cause,
                member,
                obstacle,
            } => {
                info!("raft: a change of the membership waits", kv: {
                    member = name(member).as_str(),
                    cause:? = cause,
                    silent_ms = silent_ms(member),
                    obstacle:? = obstacle,
                });
            }
            ReplacementStep::Due {
                cause,
                member,
                change,
            } => {
                info!("raft: changes the membership", kv: {
                    member = name(member).as_str(),
                    cause:? = cause,
                    silent_ms = silent_ms(member),
                    change:? = change,
                });
            }
        }
    }

    /// Starts to give the seat of a voter that stops as planned to a learner.
    pub fn release_seat(&mut self, id: VoterId, deadline: Instant, answer: AnswerSender) {
        if self.core.role() != RaftRole::Leader || id == self.id {
            return self.refuse(answer);
        }
        self.contacts.add_leaving(id.clone());
        self.departures.push(VoterDeparture {
            id,
            deadline,
            answer,
        });
    }

    /// Answers the departures that have ended.
    pub fn answer_departures(&mut self) {
        for departure in std::mem::take(&mut self.departures) {
            let membership = self.core.membership();
            let is_member = membership.contains(&departure.id);
            let has_successor = !membership.learners.is_empty()
                || self
                    .settings
                    .replacement
                    .is_some_and(|policy| membership.voters.len() > policy.voter_count);
            let is_refused = self.settings.replacement.is_none()
                || !has_successor
                || departure.deadline <= Instant::now();
            if self.core.role() != RaftRole::Leader {
                self.contacts.remove_leaving(&departure.id);
                self.refuse(departure.answer);
            } else if !is_member && self.core.is_membership_settled(self.started.elapsed()) {
                send_answer(departure.answer, Ok(Outcome::Done));
            } else if is_member && is_refused {
                self.contacts.remove_leaving(&departure.id);
                let reason = "no learner can take the seat of this voter".to_owned();
                send_answer(departure.answer, Err(Error::Refused { reason }));
            } else {
                self.departures.push(departure);
            }
        }
    }
}
