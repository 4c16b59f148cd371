//! Guards against voters whose states differ although they applied the same log.

use proptest::{collection::vec, prelude::*};
use serde_bytes::ByteArray;
use waxwinglatch::{
    order::OrderAction,
    state::{
        ApplyRequest, ClaimKey, ClaimRequest, ClaimTicket, Command, ControlState, DrainRequest,
        DrainState, DrainSubject, RecordedResponse, SettleResult, StampedCommand,
    },
    sync::ResidentCopy,
};

use super::{START_MS, config, entry};

fn ticket(number: u8) -> ClaimTicket {
    let builder = uuid::Builder::from_unix_timestamp_millis(START_MS, &[number; 10]);
    ClaimTicket {
        key: ClaimKey {
            key: builder.into_uuid(),
            team: "a".into(),
            route: "b".into(),
        },
        claimant: entry(u64::from(number % 2)),
        attempt: u64::from(number),
    }
}

fn command((kind, number): (u8, u8)) -> Command {
    let fingerprint = ByteArray::new([number % 3; 16]);
    let (holder, attempt, fencing) = (
        entry(u64::from(number % 2)),
        u64::from(number),
        u64::from(number),
    );
    let copy = ResidentCopy {
        model: format!("m{}", number % 4).into(),
        version: "1".into(),
        first_accelerator: 0,
        span: 1,
        memory_mib: u64::from(number),
        is_ready: true,
    };
    let target = "fenced".into();
    match kind % 14 {
        0 => Command::Apply(Box::new(ApplyRequest::new(
            format!("r{number}").into(),
            u64::from(number % 4),
            config(&[&format!("t{number}")]),
        ))),
        1 => Command::Claim(ClaimRequest {
            ticket: ticket(number),
            body_hash: ByteArray::new([1; 32]),
        }),
        2 => Command::Complete {
            ticket: ticket(number),
            response: RecordedResponse {
                status: 200,
                headers: vec![],
                body: Some(vec![number].into()),
            },
        },
        3 => Command::Release(ticket(number)),
        4 => Command::Abandon(ticket(number)),
        5 => Command::LoseClaimant { claimant: holder },
        6 => Command::ReportCrash {
            fingerprint,
            target: format!("e{number}").into(),
        },
        7 => Command::TakeTurn {
            fingerprint,
            holder,
            attempt,
        },
        8 => Command::EndTurn {
            fingerprint,
            holder,
            attempt,
        },
        9 => Command::Reserve {
            target,
            fencing,
            action: OrderAction::Load(copy),
        },
        10 => Command::Settle {
            target,
            fencing,
            result: SettleResult::Confirmed,
        },
        11 => Command::ConfirmReport {
            target,
            incarnation: 1,
            last_fencing: fencing,
            copies: vec![copy],
        },
        12 => Command::Drain(DrainRequest {
            request_id: format!("d{number}").into(),
            subject: DrainSubject::Vm(format!("vm-{}", number % 3).into()),
            state: DrainState::Draining,
        }),
        _ => Command::RaiseLevel {
            level: u32::from(number),
        },
    }
}

proptest! {
    #![proptest_config(super::seeded_config())]

    /// A voter that restores a snapshot in the middle of the log reaches the same state and the
    /// same encoded bytes.
    #[test]
    fn a_restored_voter_equals_one_that_applied_the_whole_log(
        log in vec((any::<(u8, u8)>(), 0..HALF_DAY_MS), 1..80),
        cut in any::<prop::sample::Index>(),
    ) {
        let log: Vec<_> = log.into_iter()
            .map(|(pick, offset)| StampedCommand { at_ms: START_MS + offset, command: command(pick) })
            .collect();
        let cut = cut.index(log.len());
        let mut replayed = ControlState::default();
        let mut restored = ControlState::default();
        for (index, stamped) in log.iter().enumerate() {
            if index == cut {
                restored = ControlState::restore(&restored.snapshot().unwrap()).unwrap();
            }
            let index = index as u64 + 1;
            let previous_ms = replayed.now_ms();
            prop_assert_eq!(replayed.apply(index, stamped), restored.apply(index, stamped));
            prop_assert!(replayed.now_ms() >= previous_ms);
        }
        prop_assert_eq!(&replayed, &restored);
        prop_assert_eq!(replayed.snapshot().unwrap(), restored.snapshot().unwrap());
    }

    /// Encoding and decoding a command returns the same command.
    #[test]
    fn commands_are_unchanged_by_encoding(pick: (u8, u8)) {
        let stamped = StampedCommand { at_ms: START_MS, command: command(pick) };
        let bytes = rmp_serde::to_vec_named(&stamped).unwrap();
        prop_assert_eq!(rmp_serde::from_slice::<StampedCommand>(&bytes).unwrap(), stamped);
    }
}

const HALF_DAY_MS: u64 = 12 * super::HOUR_MS;

#[test]
fn damaged_snapshots_are_refused() {
    let bytes = ControlState::default().snapshot().unwrap();
    assert!(ControlState::restore(&bytes[..bytes.len() - 1]).is_err());
}
