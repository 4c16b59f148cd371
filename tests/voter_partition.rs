//! Guards against two leaders, lost changes and unnecessary elections when the leader is isolated
//! without closed connections: they stay open and transfer no data.

#[path = "harness/control_fleet.rs"]
mod control_fleet;
#[path = "harness/freshness_probe.rs"]
mod freshness_probe;
mod harness;
#[path = "harness/tcp_relay.rs"]
mod tcp_relay;

use std::time::{Duration, Instant};

use control_fleet::{ControlFleet, DaemonPorts, apply_request, elapsed_ms, vm};
use freshness_probe::prove;
use harness::free_port;
use reqwest::StatusCode;
use tcp_relay::{SilentCut, start_relay};

const PARTITION_DURATION: Duration = Duration::from_secs(5);

async fn start_with_relays(cut: &SilentCut) -> ControlFleet {
    let mut ports = Vec::new();
    for number in 0..3 {
        let system = free_port();
        let advertised = start_relay(vm(number), system, cut.clone()).await;
        let admin = free_port();
        ports.push(DaemonPorts {
            system,
            advertised,
            admin,
        });
    }
    ControlFleet::start_at(ports)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_confirms_nothing_when_another_leads() {
    let cut = SilentCut::default();
    let fleet = start_with_relays(&cut).await;
    let old = fleet.leader().await;
    let rest: Vec<usize> = (0..3).filter(|number| *number != old).collect();
    assert_eq!(fleet.apply_until_done(&[old], &apply_request(0)).await, 1);
    let proof = |number: usize| prove(&fleet.client, fleet.ports[number].system);
    assert_eq!(proof(old).await, Some(StatusCode::OK));

    let started = Instant::now();
    cut.isolate(&vm(old));
    let mut revision = 1;
    let mut other_proof = None;
    while started.elapsed() < PARTITION_DURATION {
        let first = proof(rest[0]).await == Some(StatusCode::OK);
        if first || proof(rest[1]).await == Some(StatusCode::OK) {
            other_proof.get_or_insert_with(|| elapsed_ms(started));
        }
        // Checked after the others, so a confirmation here would overlap with theirs.
        let stale = proof(old).await == Some(StatusCode::OK);
        assert!(
            !stale || other_proof.is_none(),
            "two leaders confirmed after {} ms",
            elapsed_ms(started)
        );
        if other_proof.is_some() && revision < 20 {
            revision = fleet
                .apply_until_done(&rest, &apply_request(revision))
                .await;
        }
    }
    assert!(
        other_proof.is_some_and(|at| at < 4_000),
        "no other leader: {other_proof:?}"
    );
    assert_eq!(fleet.apply(old, &apply_request(1_000)).await, None);
    let term = fleet.members(rest[0]).await.expect("no answer").term;

    cut.heal();
    fleet.wait_ready(old).await;
    fleet.leader().await;
    let next = fleet
        .apply_until_done(&rest, &apply_request(revision))
        .await;
    assert_eq!(next, revision + 1);
    harness::wait_for("current revision", Duration::from_secs(5), async || {
        (fleet.revision(old).await? == next).then_some(())
    })
    .await;
    // The pre-vote prevents the returning voter from raising the term.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.members(rest[0]).await.expect("no answer").term, term);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_follower_delays_no_commit() {
    let cut = SilentCut::default();
    let fleet = start_with_relays(&cut).await;
    let leader = fleet.leader().await;
    let isolated = (leader + 1) % 3;
    assert_eq!(
        fleet.apply_until_done(&[leader], &apply_request(0)).await,
        1
    );
    cut.isolate(&vm(isolated));
    let started = Instant::now();
    for expected in 1..60 {
        let begun = Instant::now();
        assert_eq!(
            fleet.apply(leader, &apply_request(expected)).await,
            Some(expected + 1)
        );
        let taken = elapsed_ms(begun);
        assert!(
            taken < 400,
            "a commit took {taken} ms, {} ms into the partition",
            elapsed_ms(started)
        );
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    cut.heal();
    harness::wait_for("current revision", Duration::from_secs(5), async || {
        (fleet.revision(isolated).await? == 60).then_some(())
    })
    .await;
}
