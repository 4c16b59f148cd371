//! Rules for granting votes and for counting the votes of other members.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::{
    ids::{LogIndex, Term},
    raft::{
        EntryPayload, LogEntry, Membership, MessageBody, RaftCore, RaftEffect, RaftInput,
        RaftLimits, RaftMessage, RaftRole, RaftTiming, RestoredState, SnapshotMeta, VoteKind,
        VoterId,
    },
};

fn voter(vm: u8) -> VoterId {
    VoterId::new(format!("vm{vm}"), 1)
}

/// Creates voter 0 of three, started at time 0 in a term and with a log of entries of the given
/// terms.
fn member(term: Term, log: &[Term]) -> RaftCore {
    let entries = log.iter().zip(1..).map(|(term, index)| LogEntry {
        term: *term,
        index,
        payload: EntryPayload::Noop,
    });
    let restored = RestoredState {
        term,
        snapshot: SnapshotMeta::founding(Membership::of_voters((0..3).map(voter))),
        entries: entries.collect(),
        ..RestoredState::default()
    };
    let (timing, limits) = (RaftTiming::default(), RaftLimits::default());
    RaftCore::new(voter(0), restored, timing, limits, 1, Duration::ZERO)
}

fn receive(
    core: &mut RaftCore,
    at_ms: u64,
    from: VoterId,
    term: Term,
    body: MessageBody,
) -> Vec<RaftEffect> {
    let to = voter(0);
    let message = RaftMessage {
        from,
        to,
        term,
        body,
    };
    core.step(Duration::from_millis(at_ms), RaftInput::Message(message))
}

fn request(kind: VoteKind, (last_term, last_index): (Term, LogIndex)) -> MessageBody {
    MessageBody::VoteRequest {
        kind,
        last_index,
        last_term,
    }
}

/// Returns whether the effects grant a vote, and checks that it is saved before it is sent.
fn grants_vote(kind: VoteKind, effects: &[RaftEffect]) -> bool {
    let is_grant = |effect: &RaftEffect| {
        let RaftEffect::Send { message } = effect else {
            return false;
        };
        matches!(message.body, MessageBody::VoteReply { granted: true, .. })
    };
    let is_saved = |effect: &RaftEffect| matches!(effect, RaftEffect::SaveVote { .. });
    let position = effects.iter().position(is_grant);
    assert!(position.is_none_or(|reply| {
        kind == VoteKind::PreVote || effects[..reply].iter().any(is_saved)
    }));
    position.is_some()
}

/// Guards against a vote while a lease may be valid, and for a candidate with missing entries.
#[rstest]
#[case::leader_active(VoteKind::Campaign, 3, (2, 2), 1_799, false)]
#[case::leader_silent(VoteKind::Campaign, 3, (2, 2), 1_800, true)]
#[case::pre_vote_leader_active(VoteKind::PreVote, 3, (2, 2), 1_799, false)]
#[case::pre_vote_leader_silent(VoteKind::PreVote, 3, (2, 2), 1_800, true)]
#[case::pre_vote_for_this_term(VoteKind::PreVote, 2, (2, 2), 1_800, false)]
#[case::transfer(VoteKind::Transfer, 3, (2, 2), 1_001, true)]
#[case::transfer_of_this_term(VoteKind::Transfer, 2, (2, 2), 1_001, false)]
#[case::transfer_shorter_log(VoteKind::Transfer, 3, (2, 1), 1_001, false)]
#[case::old_term(VoteKind::Campaign, 1, (2, 2), 1_800, false)]
#[case::shorter_log(VoteKind::Campaign, 3, (2, 1), 1_800, false)]
#[case::older_log(VoteKind::Campaign, 3, (1, 9), 1_800, false)]
#[case::longer_log(VoteKind::Campaign, 3, (2, 9), 1_800, true)]
fn a_vote_is_granted_only_when_it_is_safe(
    #[case] kind: VoteKind,
    #[case] term: Term,
    #[case] last: (Term, LogIndex),
    #[case] at_ms: u64,
    #[case] is_granted: bool,
) {
    let mut core = member(2, &[1, 2]);
    let heartbeat = MessageBody::AppendRequest {
        round: 1,
        prev_index: 2,
        prev_term: 2,
        entries: Vec::new(),
        commit: 0,
    };
    receive(&mut core, 1_000, voter(1), 2, heartbeat);
    let effects = receive(&mut core, at_ms, voter(2), term, request(kind, last));
    assert_eq!(grants_vote(kind, &effects), is_granted);
}

/// Guards against a vote that violates a lease confirmed before a restart.
#[rstest]
#[case::too_early(2, 799, false)]
#[case::late_enough(2, 800, true)]
#[case::never_in_a_term(0, 1, true)]
fn a_restarted_member_waits_before_it_votes(
    #[case] term: Term,
    #[case] at_ms: u64,
    #[case] is_granted: bool,
) {
    let mut core = member(term, &[]);
    let request_body = request(VoteKind::Campaign, (0, 0));
    let effects = receive(&mut core, at_ms, voter(1), 3, request_body);
    assert_eq!(grants_vote(VoteKind::Campaign, &effects), is_granted);
}

/// Guards against two votes in one term.
#[test]
fn a_member_votes_once_in_a_term() {
    let mut core = member(0, &[]);
    let request_body = || request(VoteKind::Campaign, (0, 0));
    let answers = [1, 2, 1].map(|candidate| {
        let effects = receive(&mut core, 1_000, voter(candidate), 1, request_body());
        effects.iter().any(|effect| {
            let RaftEffect::Send { message } = effect else {
                return false;
            };
            message.body
                == MessageBody::VoteReply {
                    kind: VoteKind::Campaign,
                    granted: true,
                }
        })
    });
    assert_eq!(answers, [true, false, true]);
}

/// Guards against counting votes and replies of a member that lost its disk: another incarnation on
/// the same VM is not a member.
#[test]
fn another_incarnation_neither_elects_nor_commits() {
    let other = |vm: u8| VoterId::new(format!("vm{vm}"), 9);
    let grant = |kind| MessageBody::VoteReply {
        kind,
        granted: true,
    };
    let mut core = member(0, &[]);
    core.step(Duration::from_millis(1_600), RaftInput::Tick);
    for (from, role) in [
        (other(1), RaftRole::PreCandidate),
        (other(2), RaftRole::PreCandidate),
        (voter(1), RaftRole::Candidate),
    ] {
        receive(&mut core, 1_601, from, 1, grant(VoteKind::PreVote));
        assert_eq!(core.role(), role);
    }
    for (from, role) in [
        (other(1), RaftRole::Candidate),
        (voter(1), RaftRole::Leader),
    ] {
        receive(&mut core, 1_602, from, 1, grant(VoteKind::Campaign));
        assert_eq!(core.role(), role);
    }
    let now = Duration::from_millis(1_603);
    core.step(now, RaftInput::Persisted { index: 1, term: 1 });
    for (from, commit) in [(other(1), 0), (other(2), 0), (voter(2), 1)] {
        let body = MessageBody::AppendReply {
            round: 1,
            outcome: waxwinglatch::raft::AppendOutcome::Accepted { match_index: 1 },
        };
        receive(&mut core, 1_604, from, 1, body);
        assert_eq!(core.commit_index(), commit);
        assert_eq!(core.lease_until(now).is_some(), commit == 1);
    }
    let message = RaftMessage {
        from: voter(1),
        to: other(0),
        term: 7,
        body: MessageBody::TimeoutNow,
    };
    assert!(core.step(now, RaftInput::Message(message)).is_empty());
}

/// When a candidate hears that voter 3 has lost its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sighting {
    Never,
    BeforeRequests,
    AfterRequests,
    /// Voter 3 has sent a message since.
    Withdrawn,
}

/// Guards against two leaders in a term: half of the voters is a quorum only if the membership allows it, if the number
/// of voters is even, and if the loss of another voter was known before the votes were requested.
#[rstest]
#[case::known_loss(4, 4, Sighting::BeforeRequests, true)]
#[case::no_loss(4, 4, Sighting::Never, false)]
#[case::late(4, 4, Sighting::AfterRequests, false)]
#[case::withdrawn(4, 4, Sighting::Withdrawn, false)]
#[case::earlier_release(4, 0, Sighting::BeforeRequests, false)]
#[case::odd(5, 4, Sighting::BeforeRequests, false)]
fn half_of_the_voters_elects_a_leader_only_beside_a_known_loss(
    #[case] voters: u8,
    #[case] fleet_size: usize,
    #[case] sighting: Sighting,
    #[case] leads: bool,
) {
    let membership = Membership::of_voters((0..voters).map(voter)).with_fleet_size(fleet_size);
    let restored = RestoredState {
        snapshot: SnapshotMeta::founding(membership),
        ..RestoredState::default()
    };
    let (timing, limits) = (RaftTiming::default(), RaftLimits::default());
    let mut core = RaftCore::new(voter(0), restored, timing, limits, 1, Duration::ZERO);
    let sight = |core: &mut RaftCore| {
        let member = VoterId::new("vm3", 2);
        core.step(Duration::from_secs(1), RaftInput::Sighted { member });
    };
    let reply = |kind| MessageBody::VoteReply {
        kind,
        granted: true,
    };
    if matches!(sighting, Sighting::BeforeRequests | Sighting::Withdrawn) {
        sight(&mut core);
    }
    if sighting == Sighting::Withdrawn {
        let denied = MessageBody::VoteReply {
            kind: VoteKind::PreVote,
            granted: false,
        };
        receive(&mut core, 1_000, voter(3), 0, denied);
    }
    core.step(Duration::from_secs(2), RaftInput::Tick);
    for other in [1, 2] {
        receive(&mut core, 2_000, voter(other), 1, reply(VoteKind::PreVote));
    }
    assert_eq!(core.role(), RaftRole::Candidate);
    if sighting == Sighting::AfterRequests {
        sight(&mut core);
    }
    receive(&mut core, 2_001, voter(1), 1, reply(VoteKind::Campaign));
    assert_eq!(core.role() == RaftRole::Leader, leads);
}
