use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use spdlog::prelude::*;

use super::{
    AddressBook, LeaderLease, PeerMessages, PeerSender, VoterAbsence, VoterPhase, VoterSettings,
    applier::StateApplier,
    driver_replacement::VoterDeparture,
    level_reports::LevelReports,
    member_name,
    pending::{PendingStage, PendingTable, send_answer},
    request::{AnswerSender, VoterRequest},
    settings::HALF_QUORUM_LEVEL,
    shared::SharedVoter,
    snapshot_buffers::SnapshotBuffers,
};
use crate::{
    clock::BootInstant,
    error::{Error, Result},
    ids::{CommandLevel, LogIndex, Term},
    journal::{Journal, Snapshot},
    raft::{
        MemberContacts, Membership, MessageBody, RaftCore, RaftEffect, RaftInput, RaftRole,
        RefusalReason, ReplacementStep, RestoredState, SnapshotMeta, VoterId,
    },
    state::{Command, StampedCommand},
    sync,
};

/// Maximum size of an encoded command. It must be well below the size limit of a peer message.
const MAX_COMMAND_BYTES: usize = 8 << 20;

/// Owns the consensus core and the journal, and is the only writer of the state.
pub struct VoterDriver {
    pub settings: VoterSettings,
    pub id: VoterId,
    pub shared: Arc<SharedVoter>,
    pub addresses: Arc<AddressBook>,
    pub peers: Box<dyn PeerSender>,
    /// Instant at which the clock of the core is zero.
    pub started: BootInstant,
    pub core: RaftCore,
    pub journal: Journal,
    pub applier: StateApplier,
    pub pending: PendingTable,
    pub snapshots: SnapshotBuffers,
    pub levels: LevelReports,
    /// Index of the latest snapshot; `None` before this voter is initialized.
    pub snapshot: Option<LogIndex>,
    /// Size of the state in the latest snapshot, in bytes.
    pub state_bytes: usize,
    /// Size of the entries appended since the latest snapshot was started, in bytes.
    pub appended_bytes: usize,
    /// Index of the last entry in the log at the start of the process.
    pub restored_last: LogIndex,
    /// Commit index in the first append request that this process received from a current leader.
    pub leader_commit: Option<LogIndex>,
    /// Index and term of the last appended entry that is not yet reported to the core as durable.
    pub appended: Option<(LogIndex, Term)>,
    pub effects: Vec<RaftEffect>,
    pub contacts: MemberContacts,
    /// The last step of a replacement, to log each once.
    pub replacement: ReplacementStep,
    pub departures: Vec<VoterDeparture>,
    /// Votes and lost voters of the last failed election, to log equal ones once.
    pub failed_election: Option<(BTreeSet<VoterId>, BTreeSet<VoterId>)>,
    /// Term and level of the last proposal to raise the command level.
    pub raised_level: Option<(Term, CommandLevel)>,
}

impl VoterDriver {
    /// Handles a batch of requests with one sync, unless a snapshot is installed within the batch.
    ///
    /// # Errors
    /// When a file operation fails or a committed entry cannot be applied. The voter must stop.
    pub fn process_batch(
        &mut self,
        requests: impl Iterator<Item = VoterRequest>,
        tick: bool,
    ) -> Result<()> {
        for request in requests {
            self.accept(request)?;
        }
        if tick {
            self.tick()?;
        }
        self.execute_effects()?;
        if self.advance_replacement() {
            self.execute_effects()?;
        }
        self.answer_departures();
        self.publish();
        Ok(())
    }

    fn accept(&mut self, request: VoterRequest) -> Result<()> {
        match request {
            VoterRequest::Propose {
                deadline, answer, ..
            }
            | VoterRequest::Read { deadline, answer }
                if deadline <= Instant::now() =>
            {
                self.refuse(answer);
            }
            VoterRequest::Propose {
                command,
                deadline,
                answer,
            } => self.propose(*command, deadline, answer)?,
            VoterRequest::Read { deadline, answer } => {
                let stage = PendingStage::ReadRequested;
                let token = self.pending.add(answer, deadline, stage);
                self.step(RaftInput::Read { token });
            }
            VoterRequest::Change {
                change,
                deadline,
                answer,
            } => {
                let stage = PendingStage::Proposed;
                let token = self.pending.add(answer, deadline, stage);
                self.step(RaftInput::Change { token, change });
            }
            VoterRequest::Release {
                id,
                deadline,
                answer,
            } => self.release_seat(id, deadline, answer),
            VoterRequest::Sighted(member) => self.record_sighting(member),
            VoterRequest::Messages(batch) => self.receive(*batch),
            VoterRequest::Initialize { membership, answer } => {
                let result = self.initialize(membership);
                // A failed file operation stops the voter, so the caller needs no details.
                let _ = answer.send(Ok(()));
                result?;
            }
            VoterRequest::Transfer => self.step(RaftInput::Transfer),
            VoterRequest::Stop => {}
        }
        Ok(())
    }

    fn propose(&mut self, command: Command, deadline: Instant, sender: AnswerSender) -> Result<()> {
        let current_level = self.shared.state().level();
        let refuse = |reason: String| Err(Error::Refused { reason });
        if command.level() > current_level && self.core.role() == RaftRole::Leader {
            let reason = format!("command level {} is not permitted yet", command.level());
            send_answer(sender, refuse(reason));
            return Ok(());
        }
        let at_ms = unix_time_ms();
        let payload = sync::encode(&StampedCommand { at_ms, command })?;
        if payload.len() > MAX_COMMAND_BYTES {
            let reason = format!("a command of {} bytes is too long", payload.len());
            send_answer(sender, refuse(reason));
            return Ok(());
        }
        let stage = PendingStage::Proposed;
        let token = self.pending.add(sender, deadline, stage);
        let payload = payload.into();
        self.step(RaftInput::Propose { token, payload });
        Ok(())
    }

    fn receive(&mut self, batch: PeerMessages) {
        self.levels.record(batch.id, batch.level, Instant::now());
        if self.snapshot.is_none() {
            // A vote or an entry accepted before initialization could conflict with the founding
            // membership.
            return;
        }
        for message in batch.messages {
            if let MessageBody::AppendRequest { commit, .. } = &message.body
                && message.to == self.id
                && message.term >= self.core.term()
            {
                self.leader_commit.get_or_insert(*commit);
            }
            self.contacts.record(&message, self.started.elapsed());
            self.step(RaftInput::Message(message));
        }
    }

    fn record_sighting(&mut self, member: VoterId) {
        let known = self.core.lost_voters().clone();
        let found = member_name(&member);
        self.step(RaftInput::Sighted { member });
        for lost in self.core.lost_voters().difference(&known) {
            info!("raft: a voter has lost its data folder", kv: {
                voter = member_name(lost).as_str(),
                found = found.as_str(),
            });
        }
    }

    /// Starts to participate in the log.
    fn initialize(&mut self, membership: Membership) -> Result<()> {
        if self.snapshot.is_some() {
            return Ok(());
        }
        let meta = SnapshotMeta::founding(membership);
        let snapshot = Snapshot {
            index: meta.index,
            term: meta.term,
            members: sync::encode(&meta.membership)?.into(),
            state: bytes::Bytes::new(),
        };
        self.journal.save_snapshot(&snapshot, meta.index)?;
        self.snapshot = Some(meta.index);
        let founding = Some(meta.membership.clone()).filter(|found| !found.voters.is_empty());
        self.shared.update_status(|status| {
            status.founding = founding;
            status.phase = VoterPhase::CatchingUp;
        });
        let restored = RestoredState {
            snapshot: meta,
            ..RestoredState::default()
        };
        self.core = RaftCore::new(
            self.id.clone(),
            restored,
            self.settings.timing,
            self.settings.limits,
            rand::random(),
            self.started.elapsed(),
        );
        Ok(())
    }

    fn tick(&mut self) -> Result<()> {
        let now = Instant::now();
        self.pending.expire(now);
        self.snapshots.expire();
        self.contacts.observe(&self.core, self.started.elapsed());
        if self.shared.state().plan_version() > 0 {
            self.contacts.end_setup();
        }
        if self.shared.state().level() >= HALF_QUORUM_LEVEL {
            self.core.permit_half_quorums(self.contacts.fleet_size());
        }
        self.step(RaftInput::Tick);
        if let Some((index, state)) = self.snapshots.encoded()? {
            self.save_snapshot(index, state)?;
        }
        self.raise_level(now);
        Ok(())
    }

    /// Raises the command level to the highest level that all members have reported to support.
    fn raise_level(&mut self, now: Instant) {
        if self.core.lease_until(self.started.elapsed()).is_none() {
            return;
        }
        let own = self.settings.supported_level;
        self.levels.record(self.id.clone(), own, now);
        let common = self.levels.common_level(self.core.membership(), now);
        let current_level = self.shared.state().level();
        let Some(level) = common.filter(|common| *common > current_level) else {
            return;
        };
        // The command was proposed in this term and is not applied yet.
        if self.raised_level == Some((self.core.term(), level)) {
            return;
        }
        self.raised_level = Some((self.core.term(), level));
        let command = Command::RaiseLevel { level };
        let at_ms = unix_time_ms();
        if let Ok(payload) = sync::encode(&StampedCommand { at_ms, command }) {
            info!("raft: all members can apply command level {level}");
            // No request has token 0, so nothing waits for the outcome.
            let payload = payload.into();
            self.step(RaftInput::Propose { token: 0, payload });
        }
    }

    pub fn step(&mut self, input: RaftInput) {
        // The contract of the core requires a time read after the input was received.
        let now = self.started.elapsed();
        self.effects.extend(self.core.step(now, input));
    }

    pub fn refuse(&self, sender: AnswerSender) {
        let leader = self.core.leader().filter(|leader| **leader != self.id);
        let leader = self.leader_address(leader);
        send_answer(sender, Err(Error::NotLeader { leader }));
    }

    pub fn refusal(&self, reason: RefusalReason, leader: Option<VoterId>) -> Error {
        let reason = match reason {
            RefusalReason::NotLeader | RefusalReason::Transferring => {
                let leader = self.leader_address(leader.as_ref());
                return Error::NotLeader { leader };
            }
            RefusalReason::LogFull => "the log in memory is full until the next snapshot",
            RefusalReason::ChangePending => "another membership change is not committed yet",
            RefusalReason::ChangeInvalid => "the change does not apply to the membership",
            RefusalReason::NotCaughtUp => "the learner has not caught up",
            RefusalReason::QuorumAtRisk => "too few of the remaining voters have answered lately",
        };
        Error::Refused {
            reason: reason.to_owned(),
        }
    }

    /// Returns the operators' address of a leader; without one, of the leader that other members name.
    fn leader_address(&self, leader: Option<&VoterId>) -> Option<String> {
        let address = match leader {
            Some(leader) => self.addresses.find(&leader.vm),
            None if self.core.leader().is_none() => self.addresses.named_leader(),
            None => None,
        };
        Some(address?.admin.to_string())
    }

    /// Publishes lease and status to the handles.
    fn publish(&mut self) {
        let now = self.started.elapsed();
        let until = self.core.lease_until(now);
        let term = self.core.term();
        let applied_term = self.applier.last_term();
        self.shared.set_lease(
            until.and_then(|until| {
                LeaderLease::of_applied(term, applied_term, self.started + until)
            }),
        );
        let absence = self
            .core
            .support_end()
            .and_then(|end| VoterAbsence::new(self.started + end, self.started + now));
        self.shared.set_absence(absence);
        let applied = self.shared.state().applied();
        // If an entry of the current term is applied, so are all entries of earlier terms.
        let has_applied_term = applied_term == term;
        let is_restored = has_applied_term || applied >= self.restored_last;
        let is_caught_up = match self.core.role() {
            RaftRole::Leader => has_applied_term,
            _ => is_restored && self.leader_commit.is_some_and(|commit| applied >= commit),
        };
        let membership = self.core.membership();
        let is_participating = self.core.leader().is_some() && membership.contains(&self.id);
        self.shared.update_status(|status| {
            if status.phase == VoterPhase::CatchingUp && is_caught_up && is_participating {
                status.phase = VoterPhase::Ready;
            }
            if status.membership != *membership {
                status.membership = membership.clone();
            }
            status.role = self.core.role();
            status.term = term;
            if status.leader.as_ref() != self.core.leader() {
                status.leader = self.core.leader().cloned();
            }
            status.is_membership_committed = self.core.is_membership_committed();
            status.commit = self.core.commit_index();
            status.last = self.core.last_index();
        });
    }
}

pub fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
