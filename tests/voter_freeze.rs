//! Guards against a leader that acts on an old lease after its process was stopped and resumed.

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
async fn a_leader_that_was_frozen_proves_and_accepts_nothing() {
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
        // Connections are open before the freeze, so that the requests wait at the frozen process.
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
            // It starts from the revision that the frozen leader still shows.
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
            assert_eq!(
                fleet.revision(number).await,
                Some(before + 2),
                "round {round}"
            );
        }
    }
}
