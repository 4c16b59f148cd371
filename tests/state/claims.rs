//! Guards against running a request twice that may run at most once.

use proptest::{collection::vec, prelude::*};
use rstest::rstest;
use serde_bytes::{ByteArray, ByteBuf};
use uuid::Uuid;
use waxwinglatch::state::{
    ClaimKey, ClaimLimits, ClaimOutcome, ClaimRequest, ClaimTable, ClaimTicket, Command, Outcome,
    RecordedResponse,
};

use super::{DAY_MS, HOUR_MS, START_MS, TestState, entry};

/// Maximum time that a record is retained after its key expired, since records are removed by
/// shard.
const SHARD_MS: u64 = 300_000;

fn ticket(created_ms: u64, suffix: u8, claimant: u64, attempt: u64) -> ClaimTicket {
    let builder = uuid::Builder::from_unix_timestamp_millis(created_ms, &[suffix; 10]);
    let (team, route) = ("counter".into(), "orders".into());
    ClaimTicket {
        key: ClaimKey {
            key: builder.into_uuid(),
            team,
            route,
        },
        claimant: entry(claimant),
        attempt,
    }
}

fn claim(ticket: &ClaimTicket, body: u8) -> ClaimRequest {
    ClaimRequest {
        ticket: ticket.clone(),
        body_hash: ByteArray::new([body; 32]),
    }
}

fn response(bytes: usize) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        headers: vec![("content-type".into(), "text/plain".to_owned())],
        body: Some(ByteBuf::from(vec![7; bytes])),
    }
}

fn outcome(state: &mut TestState, ticket: &ClaimTicket, body: u8) -> ClaimOutcome {
    match state.apply(Command::Claim(claim(ticket, body))) {
        Outcome::Claim(outcome) => outcome,
        other => panic!("a claim gave {other:?}"),
    }
}

#[rstest]
#[case::completed(|ticket| Command::Complete { ticket, response: response(3) }, ClaimOutcome::Recorded(response(3)))]
#[case::running(|_| Command::Noop, ClaimOutcome::InProgress)]
#[case::abandoned(Command::Abandon, ClaimOutcome::Unknown)]
#[case::claimant_gone(|ticket: ClaimTicket| Command::LoseClaimant { claimant: ticket.claimant }, ClaimOutcome::Unknown)]
#[case::released(Command::Release, ClaimOutcome::Granted)]
fn a_resend_gets_the_outcome_of_the_first_run(
    #[case] end: fn(ClaimTicket) -> Command,
    #[case] expected: ClaimOutcome,
) {
    let mut state = TestState::new();
    let first = ticket(START_MS, 1, 1, 1);
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::Granted);
    assert_eq!(
        outcome(&mut state, &first, 1),
        ClaimOutcome::Granted,
        "a retry after a lost reply"
    );
    state.apply(end(first));
    assert_eq!(outcome(&mut state, &ticket(START_MS, 1, 2, 1), 1), expected);
}

#[rstest]
#[case::other_body(ticket(START_MS, 1, 2, 1), 2, ClaimOutcome::Reused)]
#[case::old(ticket(START_MS - DAY_MS, 2, 1, 2), 1, ClaimOutcome::Expired)]
#[case::nearly_old(ticket(START_MS - DAY_MS + 1, 2, 1, 2), 1, ClaimOutcome::Granted)]
#[case::slightly_ahead(ticket(START_MS + 300_000, 2, 1, 2), 1, ClaimOutcome::Granted)]
#[case::far_ahead(ticket(START_MS + 300_001, 2, 1, 2), 1, ClaimOutcome::Invalid)]
fn keys_are_checked_for_body_and_age(
    #[case] second: ClaimTicket,
    #[case] body: u8,
    #[case] expected: ClaimOutcome,
) {
    let mut state = TestState::new();
    let first = ticket(START_MS, 1, 1, 1);
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::Granted);
    assert_eq!(outcome(&mut state, &second, body), expected);
}

#[test]
fn a_key_of_another_uuid_version_is_invalid() {
    let mut state = TestState::new();
    let mut first = ticket(START_MS, 1, 1, 1);
    first.key.key = Uuid::from_u128(0x1234_5678_1234_4678_8234_5678_1234_5678);
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::Invalid);
}

#[test]
fn a_key_stays_expired_after_its_record_was_removed() {
    let mut state = TestState::new();
    let first = ticket(START_MS, 1, 1, 1);
    outcome(&mut state, &first, 1);
    state.at_ms += DAY_MS;
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::Expired);
    state.at_ms += SHARD_MS;
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::Expired);
    assert!(
        state.state.claims().is_empty(),
        "the record was not removed"
    );
    state.at_ms -= 2 * HOUR_MS;
    assert_eq!(
        outcome(&mut state, &first, 1),
        ClaimOutcome::Expired,
        "the clock went back"
    );
}

#[test]
fn delayed_commands_of_an_older_attempt_have_no_effect() {
    let mut state = TestState::new();
    let [first, second] = [ticket(START_MS, 1, 1, 1), ticket(START_MS, 1, 1, 2)];
    outcome(&mut state, &first, 1);
    state.apply(Command::Release(first.clone()));
    assert_eq!(outcome(&mut state, &second, 1), ClaimOutcome::Granted);
    state.apply(Command::Release(first.clone()));
    state.apply(Command::Complete {
        ticket: first.clone(),
        response: response(1),
    });
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::InProgress);
}

#[test]
fn a_claim_that_arrives_after_its_release_is_not_granted() {
    let mut state = TestState::new();
    let first = ticket(START_MS, 1, 1, 1);
    state.apply(Command::Release(first.clone()));
    assert_eq!(outcome(&mut state, &first, 1), ClaimOutcome::InProgress);
    assert_eq!(
        outcome(&mut state, &ticket(START_MS, 1, 2, 1), 1),
        ClaimOutcome::Granted
    );
}

#[test]
fn a_full_table_refuses_claims_and_discards_the_oldest_bodies() {
    let mut table = ClaimTable::with_limits(ClaimLimits {
        max_claims: 3,
        max_recorded_bytes: 100,
    });
    for number in 0..3 {
        let ticket = ticket(START_MS, number, 1, 1);
        assert_eq!(
            table.claim(START_MS, &claim(&ticket, 1)),
            ClaimOutcome::Granted
        );
        table.complete(&ticket, &response(20));
        assert!(table.recorded_bytes() <= 100);
    }
    let fourth = claim(&ticket(START_MS, 3, 1, 1), 1);
    assert_eq!(table.claim(START_MS, &fourth), ClaimOutcome::TableFull);
    let outcomes =
        (0..3).map(|number| table.claim(START_MS, &claim(&ticket(START_MS, number, 2, 1), 1)));
    let has_body: Vec<bool> = outcomes
        .map(|outcome| matches!(outcome, ClaimOutcome::Recorded(response) if response.body.is_some()))
        .collect();
    assert_eq!(has_body, [false, true, true]);
    table.expire(START_MS + DAY_MS + SHARD_MS);
    assert_eq!((table.len(), table.recorded_bytes()), (0, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Claim(u8, u64, u64),
    Complete(u8, u64, u64),
    Release(u8, u64, u64),
    Abandon(u8, u64, u64),
    ClaimantLost(u64),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ids = || (0..3_u8, 0..3_u64, 0..3_u64);
    prop_oneof![
        4 => ids().prop_map(|(key, claimant, attempt)| Step::Claim(key, claimant, attempt)),
        1 => ids().prop_map(|(key, claimant, attempt)| Step::Complete(key, claimant, attempt)),
        1 => ids().prop_map(|(key, claimant, attempt)| Step::Release(key, claimant, attempt)),
        1 => ids().prop_map(|(key, claimant, attempt)| Step::Abandon(key, claimant, attempt)),
        1 => (0..3_u64).prop_map(Step::ClaimantLost),
        1 => (0..30 * HOUR_MS).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(super::seeded_config())]

    /// At most one attempt per key is ever granted and not released.
    #[test]
    fn a_key_has_at_most_one_unreleased_grant(steps in vec(step(), 1..200)) {
        let mut state = TestState::new();
        let mut running = std::collections::HashMap::new();
        for step in steps {
            match step {
                Step::Claim(key, claimant, attempt) => {
                    let ticket = ticket(START_MS, key, claimant, attempt);
                    if outcome(&mut state, &ticket, 1) == ClaimOutcome::Granted {
                        let holder = running.entry(key).or_insert((claimant, attempt));
                        prop_assert_eq!(*holder, (claimant, attempt));
                    }
                }
                Step::Complete(key, claimant, attempt) => {
                    let ticket = ticket(START_MS, key, claimant, attempt);
                    state.apply(Command::Complete { ticket, response: response(1) });
                }
                // An entry releases a claim only if it did not send the request. The release
                // took effect if another attempt is granted now.
                Step::Release(key, claimant, attempt) => {
                    let claimed = ticket(START_MS, key, claimant, attempt);
                    state.apply(Command::Release(claimed));
                    if running.get(&key) == Some(&(claimant, attempt)) {
                        let other = ticket(START_MS, key, 9, 9);
                        let is_free = outcome(&mut state, &other, 1) == ClaimOutcome::Granted;
                        if is_free {
                            running.remove(&key);
                            state.apply(Command::Release(other));
                        }
                    }
                }
                Step::Abandon(key, claimant, attempt) => {
                    state.apply(Command::Abandon(ticket(START_MS, key, claimant, attempt)));
                }
                Step::ClaimantLost(claimant) => {
                    state.apply(Command::LoseClaimant { claimant: entry(claimant) });
                }
                Step::Advance(by) => state.at_ms += by,
            }
        }
    }
}

proptest! {
    #![proptest_config(super::seeded_config())]

    /// For any order of keys and completions, the recorded bytes stay within the limit, and the
    /// counters match the responses that resends receive.
    #[test]
    fn recorded_bytes_stay_within_the_limit(
        steps in vec((0..40_u64, 0..60_usize, 0..4_u64), 1..80),
    ) {
        let mut table = ClaimTable::with_limits(ClaimLimits { max_claims: 30, max_recorded_bytes: 300 });
        let mut keys = std::collections::BTreeSet::new();
        for (minute, bytes, delay) in steps {
            let now_ms = START_MS + delay * 60_000;
            let first = ticket(START_MS + minute * 60_000 % 7 + minute, 1, 1, 1);
            if table.claim(now_ms, &claim(&first, 1)) == ClaimOutcome::Granted {
                keys.insert(first.key.clone());
            }
            table.complete(&first, &response(bytes));
            prop_assert!(table.recorded_bytes() <= 300);
            prop_assert_eq!(table.len(), keys.len());
        }
        let mut sum = 0;
        for key in keys {
            let resend = ClaimTicket { key, claimant: entry(2), attempt: 1 };
            if let ClaimOutcome::Recorded(response) = table.claim(START_MS, &claim(&resend, 1)) {
                sum += response.size();
            }
        }
        prop_assert_eq!(sum, table.recorded_bytes());
    }
}
