use std::collections::BTreeSet;

use spdlog::prelude::*;

use super::{driver::VoterDriver, entry_codec, member_name};
use crate::{
    error::Result,
    journal::VoteRecord,
    raft::{LogEntry, RaftEffect, RaftInput, VoterId},
};

impl VoterDriver {
    /// Executes effects until none are left.
    pub fn execute_effects(&mut self) -> Result<()> {
        loop {
            while !self.effects.is_empty() {
                let mut batch = std::mem::take(&mut self.effects);
                let is_install =
                    |effect: &RaftEffect| matches!(effect, RaftEffect::InstallSnapshot { .. });
                // Effects before a snapshot installation are executed before it, later ones after.
                let rest = batch
                    .iter()
                    .position(is_install)
                    .map(|position| batch.split_off(position + 1));
                self.execute_batch(batch)?;
                if let Some(rest) = rest {
                    self.effects.splice(0..0, rest);
                }
            }
            self.applier.apply(&mut self.pending)?;
            self.start_snapshot()?;
            if self.effects.is_empty() {
                return Ok(());
            }
        }
    }

    /// Makes the persistent effects durable with one sync, then executes the others.
    fn execute_batch(&mut self, batch: Vec<RaftEffect>) -> Result<()> {
        let (persistent, others): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(RaftEffect::is_persistent);
        let mut install = None;
        for effect in persistent {
            match effect {
                RaftEffect::SaveVote { term, voted_for } => self.journal.save_vote(VoteRecord {
                    term,
                    candidate: voted_for,
                }),
                RaftEffect::Append { entries } => self.append(&entries)?,
                RaftEffect::Truncate { from } => {
                    self.journal.truncate(from);
                    self.applier.truncate(from);
                }
                other => install = Some(other),
            }
        }
        self.journal.sync()?;
        if let Some((index, term)) = self.appended.take() {
            self.step(RaftInput::Persisted { index, term });
        }
        for effect in others {
            self.execute(effect)?;
        }
        if let Some(RaftEffect::InstallSnapshot {
            meta,
            offset,
            bytes,
            last,
        }) = install
            && let Some(state) = self.snapshots.receive(offset, &bytes, last)?
        {
            self.install(&meta, state)?;
        }
        Ok(())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<()> {
        for entry in entries {
            self.journal.append(entry_codec::to_journal(entry)?)?;
            self.appended_bytes += entry.size();
        }
        self.applier.append(entries);
        if let Some(last) = entries.last() {
            self.appended = Some((last.index, last.term));
        }
        Ok(())
    }

    fn execute(&mut self, effect: RaftEffect) -> Result<()> {
        match effect {
            RaftEffect::Send { message } => self.peers.send(message),
            RaftEffect::Commit { up_to } => self.applier.commit(up_to),
            RaftEffect::Proposed { token, term, index } => self.pending.append(token, term, index),
            RaftEffect::ReadReady { token, index } => {
                self.pending.read_at(token, index);
                let applied = self.shared.state().applied();
                self.pending.answer_reads(applied);
            }
            RaftEffect::Refuse {
                token,
                reason,
                leader,
            } => {
                let error = self.refusal(reason, leader);
                self.pending.refuse(token, error);
            }
            RaftEffect::ReadSnapshot {
                to,
                index,
                offset,
                limit,
            } => {
                let read = (index, offset);
                if let Some(chunk) = self.snapshots.read(&self.journal, to, read, limit)? {
                    self.step(chunk);
                }
            }
            RaftEffect::ElectionFailed { granted, lost } => self.log_failed_election(granted, lost),
            RaftEffect::RoleChanged { role, term, leader } => {
                if leader.is_some() {
                    self.failed_election = None;
                }
                let name = leader
                    .as_ref()
                    .map_or("unknown", |leader| leader.vm.as_str());
                info!("raft: {role:?} in term {term}, leader {name}");
            }
            RaftEffect::SaveVote { .. }
            | RaftEffect::Append { .. }
            | RaftEffect::Truncate { .. }
            | RaftEffect::InstallSnapshot { .. } => {}
        }
        Ok(())
    }

    /// Logs who agreed to an election and who is missing, unless the last one lacked the same votes.
    fn log_failed_election(&mut self, granted: BTreeSet<VoterId>, lost: BTreeSet<VoterId>) {
        let names = |ids: &BTreeSet<VoterId>| {
            let names: Vec<String> = ids.iter().map(member_name).collect();
            names.join(" ")
        };
        let failed = Some((granted, lost));
        if self.failed_election == failed {
            return;
        }
        if let Some((granted, lost)) = &failed {
            let membership = self.core.membership();
            info!("raft: an election lacks votes", kv: {
                granted = names(granted).as_str(),
                voters = names(&membership.voters).as_str(),
                learners = names(&membership.learners).as_str(),
                lost = names(lost).as_str(),
                is_committed = self.core.is_membership_committed(),
            });
        }
        self.failed_election = failed;
    }
}
