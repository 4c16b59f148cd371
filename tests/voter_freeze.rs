//! Guards against a leader that uses an expired lease after its process was suspended and resumed.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
#[path = "harness/freshness_probe.rs"]
mod freshness_probe;
mod harness;

use std::time::Duration;

use control_fleet::{ControlFleet, apply_request};
use freshness_probe::prove;
use reqwest::StatusCode;

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_leader_confirms_and_accepts_nothing() {
    let fleet = ControlFleet::start(3);
    for round in 0..5 {
        let frozen = fleet.leader().await;
        let rest: Vec<usize> = (0..3).filter(|number| *number != frozen).collect();
        let before = round * 2;
        assert_eq!(
            fleet
                .apply_until_done(&[frozen], &apply_request(before))
                .await,
            before + 1
        );
        // Opens the connections before the freeze, so that later requests wait in the frozen process.
        assert_eq!(
            prove(&fleet.client, fleet.ports[frozen].system).await,
            Some(StatusCode::OK)
        );
        fleet.signal(frozen, "STOP");
        fleet.leader_among(&rest).await;
        assert_eq!(
            fleet
                .apply_until_done(&rest, &apply_request(before + 1))
                .await,
            before + 2
        );
        let waiting = async {
            let proofs = futures::future::join_all(
                (0..8).map(|_| prove(&fleet.client, fleet.ports[frozen].system)),
            );
            // The change is based on the revision that the frozen leader still has.
            let stale = apply_request(before + 1)
                .to_string()
                .replace("request-", "stale-");
            let stale = serde_json::from_str(&stale).unwrap();
            let applied = fleet.apply(frozen, &stale);
            tokio::join!(proofs, applied)
        };
        let resume = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            fleet.signal(frozen, "CONT");
        };
        let ((proofs, applied), ()) = tokio::join!(waiting, resume);
        assert_eq!(applied, None, "round {round}");
        for proof in proofs.into_iter().flatten() {
            assert_eq!(proof, StatusCode::MISDIRECTED_REQUEST, "round {round}");
        }
        for &number in &rest {
            fleet.wait_revision(number, before + 2).await;
        }
    }
}
