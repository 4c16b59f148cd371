//! Tests in which order waiting requests get slots, and which are refused at once. A wrong order delays
//! the requests whose delay costs callers most.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::admission::{AdmissionQueue, RANKS, RankCounts, TicketId, WaitingRequest};

const TARGET: Duration = Duration::from_millis(1_000);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn request(rank: u8, arrived_at: Duration) -> WaitingRequest {
    WaitingRequest {
        rank,
        team: "team".into(),
        arrived_at,
        latest_start: arrived_at + TARGET,
        wait_until: arrived_at + TARGET,
        work: 100,
    }
}

fn no_others() -> RankCounts {
    [0; RANKS]
}

/// Takes slots until the queue is empty. Returns the tickets in order.
fn drain(queue: &mut AdmissionQueue, now: Duration) -> Vec<TicketId> {
    let mut order = Vec::new();
    while let Some(ticket) = queue.begin_round(now) {
        assert!(queue.admit(ticket, now));
        order.push(ticket);
    }
    order
}

/// Guards against an order that ignores a criterion. The second request goes first in each case.
#[rstest]
#[case::rank(request(1, ms(0)), request(0, ms(5)))]
#[case::target_missed(
    WaitingRequest { latest_start: ms(5), ..request(0, ms(0)) },
    request(0, ms(5))
)]
#[case::latest_start(request(0, ms(0)), WaitingRequest { latest_start: ms(100), ..request(0, ms(5)) })]
#[case::work(
    WaitingRequest { work: 5_000, ..request(0, ms(0)) },
    request(0, ms(0))
)]
fn the_order_is_by_rank_target_deadline_and_work(
    #[case] later: WaitingRequest,
    #[case] sooner: WaitingRequest,
) {
    let mut queue = AdmissionQueue::new(ms(0));
    let later = queue.push(later, ms(5));
    let sooner = queue.push(sooner, ms(5));
    assert_eq!(drain(&mut queue, ms(10)), [sooner, later]);
}

/// Guards against a team that takes all slots by sending more: slots go in turns, whatever the number
/// of requests. The load is 30 requests of one team before 3 of another.
#[test]
fn teams_share_the_slots_of_a_rank() {
    let mut queue = AdmissionQueue::new(ms(0));
    for _ in 0..30 {
        queue.push(request(0, ms(0)), ms(0));
    }
    let small: Vec<TicketId> = (0..3)
        .map(|_| {
            let other = WaitingRequest {
                team: "small".into(),
                ..request(0, ms(1))
            };
            queue.push(other, ms(1))
        })
        .collect();
    let order = drain(&mut queue, ms(10));
    assert!(small.iter().all(|ticket| order[..7].contains(ticket)));
}

/// Guards against starvation, and against less urgent requests that get more than their share. The load
/// is a gateway at which the most urgent rank always waits.
#[test]
fn one_of_sixteen_slots_goes_to_the_longest_waiting_less_urgent_request() {
    let mut queue = AdmissionQueue::new(ms(0));
    queue.push(request(5, ms(1)), ms(1));
    let longest = queue.push(request(9, ms(0)), ms(1));
    for _ in 0..200 {
        queue.push(request(0, ms(1)), ms(1));
    }
    let ranks: Vec<u8> = (0..160)
        .map(|_| {
            let ticket = queue.begin_round(ms(2)).unwrap();
            let rank = queue.rank(ticket).unwrap();
            assert!(rank < 9 || ticket == longest);
            queue.admit(ticket, ms(2));
            // The number of less urgent requests stays the same.
            if rank > 0 {
                queue.push(request(5, ms(2)), ms(2));
            }
            rank
        })
        .collect();
    let less_urgent = ranks.iter().filter(|rank| **rank > 0).count();
    assert_eq!(less_urgent, 10, "{ranks:?}");
    assert_eq!(ranks[15], 9);
}

/// Guards against a wake that is lost with its request: when a caller leaves, the next request has the
/// turn.
#[test]
fn a_request_that_leaves_gives_the_turn_to_the_next_one() {
    let mut queue = AdmissionQueue::new(ms(0));
    let first = queue.push(request(0, ms(0)), ms(0));
    let second = queue.push(request(0, ms(1)), ms(1));
    assert_eq!(queue.begin_round(ms(2)), Some(first));
    assert!(queue.remove(first, ms(3)));
    assert!(!queue.remove(first, ms(3)));
    assert_eq!(queue.begin_round(ms(3)), Some(second));
}

/// Guards against a long prompt that blocks short ones of its rank, and against a less urgent request
/// that takes the room meanwhile.
#[test]
fn a_turn_is_passed_on_within_the_rank_only() {
    let mut queue = AdmissionQueue::new(ms(0));
    let first = queue.push(request(0, ms(0)), ms(0));
    let second = queue.push(request(0, ms(1)), ms(1));
    queue.push(request(1, ms(0)), ms(1));
    assert_eq!(queue.begin_round(ms(2)), Some(first));
    assert_eq!(queue.pass_turn(first, ms(2)), Some(second));
    assert_eq!(queue.pass_turn(second, ms(2)), None);
}

/// Guards against a less urgent request that takes the slot of a more urgent one at another gateway.
#[rstest]
#[case::enough_for_all(3, true)]
#[case::none_left(2, false)]
fn slots_for_more_urgent_requests_elsewhere_are_left_free(#[case] free: u32, #[case] taken: bool) {
    let mut queue = AdmissionQueue::new(ms(0));
    let ticket = queue.push(request(3, ms(0)), ms(0));
    let mut others = no_others();
    (others[1], others[3]) = (2, 4);
    assert_eq!(
        queue.may_take_slot(ticket, free, &others, 0.0, 0.0, ms(1)),
        taken
    );
}

/// Guards against starvation by requests of other gateways: of 160 slots that they give in a second, the
/// only less urgent request that waits gets the tenth part of a second's share.
#[test]
fn a_less_urgent_request_earns_a_slot_while_others_wait_elsewhere() {
    let mut queue = AdmissionQueue::new(ms(0));
    let ticket = queue.push(request(3, ms(0)), ms(0));
    let mut others = no_others();
    others[0] = 500;
    let taken_at = (0..1_000)
        .step_by(10)
        .find(|at| queue.may_take_slot(ticket, 1, &others, 160.0, 0.0, ms(*at)));
    assert!(
        taken_at.is_some_and(|at| (90..=120).contains(&at)),
        "{taken_at:?}"
    );
}

/// Guards against a refusal at once while the rate is unknown, and against waits that are futile. The
/// load is a gateway whose pool gives 10 slots a second, then none.
#[test]
fn only_a_known_rate_makes_a_wait_futile() {
    let mut queue = AdmissionQueue::new(ms(0));
    let patient = |arrived_at: Duration| WaitingRequest {
        latest_start: arrived_at + ms(10_000),
        ..request(0, arrived_at)
    };
    for number in 0..40 {
        queue.push(patient(ms(number)), ms(number));
    }
    let newest = queue.push(patient(ms(40)), ms(40));
    assert!(!queue.forecast(newest, ms(40)).is_futile(TARGET));
    for slot in 1..=20 {
        let now = ms(40 + slot * 100);
        let ticket = queue.begin_round(now).unwrap();
        queue.admit(ticket, now);
    }
    let forecast = queue.forecast(newest, ms(2_040));
    let rate = forecast.rate.unwrap();
    assert!((8.0..12.0).contains(&rate), "{forecast:?}");
    assert!(forecast.is_futile(TARGET), "{forecast:?}");
    let urgent = queue.push(request(0, ms(2_040)), ms(2_040));
    assert!(!queue.forecast(urgent, ms(2_040)).is_futile(TARGET));
}

/// Guards against an endless queue at a pool without capacity: after half a second without a slot, new
/// requests are refused at once.
#[test]
fn without_any_slot_new_requests_are_refused_at_once() {
    let mut queue = AdmissionQueue::new(ms(0));
    let first = queue.push(request(0, ms(0)), ms(0));
    assert!(!queue.forecast(first, ms(0)).is_futile(TARGET));
    let second = queue.push(request(0, ms(800)), ms(800));
    assert!(queue.forecast(second, ms(800)).is_futile(TARGET));
}

/// Guards against a rate that is used long after it was measured.
#[test]
fn the_rate_is_unknown_again_after_a_pause() {
    let mut queue = AdmissionQueue::new(ms(0));
    let first = queue.push(request(0, ms(0)), ms(0));
    queue.remove(first, ms(900));
    let second = queue.push(request(0, ms(5_000)), ms(5_000));
    assert!(!queue.forecast(second, ms(5_000)).is_futile(TARGET));
}

/// Guards against tens of gateways that all take the same free slots: with 59 requests of the same rank at
/// 59 gateways and 10 free slots, about 10 requests are sent, not 59.
#[test]
fn gateways_divide_free_slots() {
    let mut others = no_others();
    others[0] = 58;
    let taken = (0..59)
        .filter(|number| {
            let mut queue = AdmissionQueue::new(ms(0));
            let ticket = queue.push(request(0, ms(0)), ms(0));
            let draw = f64::from(*number) / 59.0;
            queue.may_take_slot(ticket, 10, &others, 0.0, draw, ms(1))
        })
        .count();
    assert_eq!(taken, 10);
}

/// Guards against a refusal while a slot is free that no request ahead needs, and against a wait behind slots
/// that all go to others. The load is a pool whose rate is known to be zero.
#[rstest]
#[case::free_for_it(5, false)]
#[case::needed_by_others(4, true)]
fn a_request_is_refused_at_once_only_without_a_slot_for_it(
    #[case] free: u32,
    #[case] refused: bool,
) {
    let mut queue = AdmissionQueue::new(ms(0));
    queue.push(request(1, ms(0)), ms(0));
    let ticket = queue.push(request(2, ms(800)), ms(800));
    let mut others = no_others();
    // Those of rank 3 do not precede it.
    (others[0], others[2], others[3]) = (2, 1, 9);
    assert_eq!(queue.is_futile(ticket, free, &others, ms(800)), refused);
}
