//! Tests of the decisions that follow the pace of targets, without a network. The load is that of 60
//! engines with speeds of 0.6, 1.0 and 1.6 whose noisy neighbours make work take 2.5 times as long for
//! 0.15 of the time; streams may pause for 300 ms.

use std::{collections::BinaryHeap, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use waxwinglatch::{
    answer::EventBoundary,
    ids::TargetId,
    pace::{PromptWork, StreamPauses, TargetActivity, TargetPace, TargetWork, WorkPace},
    region::DataCentreFilter,
    route::{
        ExchangeOutcome, LoadReport, PoolId, ReplicaSpec, ReplicaTable, RouteRequest, RouteTuning,
    },
};

const MAX_GAP: Duration = Duration::from_millis(300);
const MS_PER_TOKEN: f32 = 0.04;
const SPEEDS: [f32; 3] = [0.6, 1.0, 1.6];
const NOISE: f32 = 2.5;
const NOISE_SHARE: f64 = 0.15;
const ENGINES: usize = 60;
const SLOTS: u32 = 12;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pace(factor: f32) -> WorkPace {
    WorkPace::from_percent(factor * 100.0).unwrap()
}

fn assert_near(actual: f32, expected: f32, tolerance: f32) {
    assert!(
        (actual - expected).abs() <= tolerance,
        "{actual} is not within {tolerance} of {expected}"
    );
}

/// Guards against figures that make a target unusable or attract all requests: a target that states
/// nonsense is to be treated like one that states nothing.
#[rstest]
#[case(100.0, Some(1.0))]
#[case(250.0, Some(2.5))]
#[case(60.0, Some(0.6))]
#[case(10_000.0, Some(100.0))]
#[case(0.001, Some(0.1))]
#[case(0.0, None)]
#[case(-100.0, None)]
#[case(10_001.0, None)]
#[case(f32::NAN, None)]
#[case(f32::INFINITY, None)]
fn only_plausible_figures_are_accepted(#[case] percent: f32, #[case] factor: Option<f32>) {
    assert_eq!(
        WorkPace::from_percent(percent).map(WorkPace::factor),
        factor
    );
}

/// Guards against an old figure that decides for good, and against one that is forgotten at once.
#[rstest]
#[case(0, 4.0)]
#[case(300, 4.0)]
#[case(600, 2.79)]
#[case(2_000, 1.57)]
#[case(60_000, 1.01)]
fn stated_figure_decays_to_learned_one_and_then_to_the_usual(
    #[case] age_ms: u64,
    #[case] expected: f32,
) {
    let mut target = TargetPace::new(pace(1.0), ms(0));
    target.record_stated(pace(1.0), ms(500));
    // With its weight of 0.2 the last figure makes the learned pace 1.6.
    target.record_stated(pace(4.0), ms(1_000));
    assert_near(target.factor(ms(1_000 + age_ms)), expected, 0.02);
}

/// Guards against a learned pace that depends on the model of the target: a large model has long gaps at
/// the usual pace.
#[rstest]
#[case::small_model(20, 2.5)]
#[case::large_model(80, 2.5)]
#[case::fast_target(20, 0.6)]
fn gaps_tell_the_pace_while_no_figure_arrives(#[case] usual_gap_ms: u64, #[case] factor: f32) {
    let mut target = TargetPace::new(pace(1.0), ms(0));
    let mut now = ms(0);
    for _ in 0..30 {
        now += ms(usual_gap_ms);
        target.record_stated(pace(1.0), now);
        target.record_gap(ms(usual_gap_ms), now);
    }
    let slow_gap = ms(usual_gap_ms).mul_f32(factor);
    let end = now + ms(4_000);
    while now < end {
        now += slow_gap;
        target.record_gap(slow_gap, now);
    }
    assert_near(target.factor(now), factor, 0.25 * factor);
}

/// Guards against first bytes that are taken for the pace although the estimate of the usual time is off
/// by a constant factor.
#[test]
fn first_bytes_tell_the_pace_while_no_figure_arrives() {
    let mut target = TargetPace::new(pace(1.0), ms(0));
    for step in 0..30 {
        target.record_stated(pace(1.0), ms(step * 50));
        target.record_first_byte(ms(90), 30.0, ms(step * 50));
    }
    for step in 0..60 {
        target.record_first_byte(ms(225), 30.0, ms(2_500 + step * 50));
    }
    assert_near(target.factor(ms(5_500)), 2.5, 0.3);
}

/// Guards against slow engines that are mistaken for silent ones (1,684 times in 34 s with the load of
/// this file), and against lost engines that get requests for longer than 3 s.
#[rstest]
#[case::usual(1.0, 0.5, 0.0, 700)]
#[case::fast(0.6, 1.0, 0.0, 700)]
#[case::slow(1.6, 0.8, 0.0, 1_120)]
#[case::noisy(2.5, 0.8, 0.0, 1_750)]
#[case::prompts(1.0, 0.8, 200.0, 900)]
#[case::slow_with_prompts(1.6, 0.8, 200.0, 1_440)]
#[case::overfull(1.0, 2.0, 0.0, 1_400)]
#[case::slow_and_noisy(4.0, 0.8, 200.0, 3_000)]
#[case::stated_nonsense(100.0, 10.0, 1e9, 3_000)]
fn silence_is_what_the_work_does_not_explain(
    #[case] factor: f32,
    #[case] occupancy: f32,
    #[case] prefill_ms: f32,
    #[case] limit_ms: u64,
) {
    let work = TargetWork {
        factor,
        occupancy,
        prefill_ms,
    };
    let limit = work.silence_limit().as_secs_f32();
    assert_near(limit, ms(limit_ms).as_secs_f32(), 0.001);
}

/// Guards against a slow target that is called silent since its figure decays to the usual pace while it
/// sends nothing.
#[test]
fn silent_time_is_judged_by_the_slow_pace_while_no_figure_arrives() {
    let mut target = TargetPace::new(pace(2.5), ms(0));
    assert_near(target.silence_factor(ms(1_700)), 2.5, 0.01);
    target.record_stated(pace(2.5), ms(2_000));
    assert_near(target.silence_factor(ms(3_700)), 2.5, 0.3);
}

/// Guards against prompts that make running streams pause longer than allowed at slow targets, against
/// fast ones that are left idle, and against a change for targets that state nothing. The limit at the
/// usual pace is 5,250 tokens: 0.7 of 300 ms at 0.04 ms per token.
#[rstest]
#[case::unstated_within(None, 3_000, 2_200, false, true)]
#[case::unstated_above(None, 3_000, 2_300, false, false)]
#[case::unstated_only_prompt(None, 0, 50_000, false, true)]
#[case::usual_within(Some(1.0), 3_000, 2_200, false, true)]
#[case::usual_above(Some(1.0), 3_000, 2_300, false, false)]
#[case::fast_within(Some(0.6), 5_000, 3_700, false, true)]
#[case::fast_above(Some(0.6), 5_000, 3_800, false, false)]
#[case::slow_within(Some(1.6), 2_000, 1_200, false, true)]
#[case::slow_above(Some(1.6), 2_000, 1_300, false, false)]
#[case::noisy_above(Some(4.0), 1_000, 400, false, false)]
#[case::only_prompt_within(Some(2.5), 0, 2_900, false, true)]
#[case::only_prompt_above(Some(2.5), 0, 3_100, false, false)]
#[case::only_prompt_at_idle_target(Some(2.5), 0, 3_100, true, true)]
#[case::only_prompt_too_long_everywhere(Some(2.5), 0, 8_000, false, true)]
fn room_for_prompts_follows_the_pace(
    #[case] factor: Option<f32>,
    #[case] pending_tokens: u32,
    #[case] new_tokens: u32,
    #[case] is_idle: bool,
    #[case] has_room: bool,
) {
    let work = PromptWork {
        pending_tokens,
        new_tokens,
        ms_per_token: MS_PER_TOKEN,
        factor,
        is_idle,
    };
    assert_eq!(work.has_room(MAX_GAP), has_room);
}

/// Guards against chunks that are counted as events: a chunk may hold several, or a part of one, and
/// comments that keep a connection open are none.
#[rstest]
#[case("data: a\n\ndata: b\n\n", 2)]
#[case("data: a\r\n\r\ndata: b\r\n", 1)]
#[case("id: 1\ndata: a\n\n", 1)]
#[case(": ping\n\n\n", 0)]
fn complete_events_are_counted(#[case] stream: &str, #[case] events: u64) {
    for step in 1..=stream.len() {
        let mut boundary = EventBoundary::default();
        for chunk in stream.as_bytes().chunks(step) {
            boundary.push(chunk);
        }
        assert_eq!(boundary.events(), events, "chunks of {step}");
    }
}

/// Guards against a pause that is reported without its cause: the prompt that caused it is gone when the
/// next event arrives, or arrived after the event before it.
#[test]
fn longest_pause_is_reported_with_what_the_target_did() {
    let activity = |running, prompt_tokens, pace| TargetActivity {
        running,
        prompt_tokens,
        pace,
    };
    let mut pauses = StreamPauses::default();
    pauses.record(0, activity(9, 0, None), ms(10));
    assert_eq!(pauses.longest(), None);
    assert_eq!(pauses.undisturbed_gap(ms(20)), None);
    pauses.record(1, activity(1, 0, None), ms(300));
    pauses.record(2, activity(3, 4_000, Some(1.0)), ms(350));
    assert_eq!(pauses.undisturbed_gap(ms(400)), None);
    pauses.record(1, activity(2, 0, Some(2.5)), ms(800));
    assert_eq!(pauses.undisturbed_gap(ms(850)), Some(ms(50)));
    pauses.record(1, activity(8, 9, Some(0.6)), ms(850));
    let longest = pauses.longest().unwrap();
    assert_eq!((longest.began_at, longest.length), (ms(350), ms(450)));
    assert_eq!(longest.activity, activity(3, 4_000, Some(2.5)));
    assert_eq!(pauses.events(), 5);
    assert_eq!(pauses.first_event_at(), Some(ms(300)));
    pauses.record_break(activity(1, 0, None), ms(3_000));
    assert_eq!(pauses.longest().unwrap().length, ms(2_150));
    assert_eq!(pauses.events(), 5);
}

fn target_id(index: usize) -> TargetId {
    format!("i-{index}").into()
}

/// Requests that engines of each speed got, and the mean time to the first byte that they caused.
struct Outcome {
    shares: [f64; 3],
    mean_first_byte_ms: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Figures {
    Stated,
    Unstated,
}

/// Plays 20 s of one gateway before [`ENGINES`] engines at 0.6 of their capacity.
fn play(figures: Figures, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let tuning = RouteTuning {
        prefill_ms_per_token: MS_PER_TOKEN,
        slot_ms: 2_000.0,
        temperature_ms: 6.0,
        peer_load_exponent: 0.0,
        ..RouteTuning::default()
    };
    let pool = PoolId::Service("drafts".into());
    let mut table = ReplicaTable::new(tuning, &[]);
    for index in 0..ENGINES {
        table.upsert(&ReplicaSpec {
            target: target_id(index),
            data_centre: "a".into(),
            slots: SLOTS,
            pools: vec![(pool.clone(), None)],
        });
    }
    let mut is_noisy = [false; ENGINES];
    let mut running = [0_u32; ENGINES];
    // Ends of requests in milliseconds, negated so that the next one is the greatest.
    let mut ends: BinaryHeap<(i64, usize)> = BinaryHeap::new();
    let mut counts = [0_u32; 3];
    let mut first_byte_sum = 0.0;
    for step in 0..4_000_u64 {
        let at = i64::try_from(step * 5).unwrap();
        let now = ms(step * 5);
        if step % 100 == 0 {
            is_noisy = std::array::from_fn(|_| rng.random_bool(NOISE_SHARE));
        }
        while ends.peek().is_some_and(|(end, _)| -end <= at) {
            let (_, index) = ends.pop().unwrap();
            running[index] -= 1;
            table.record_end(&target_id(index), now);
        }
        // 237 requests a second: 0.6 of the capacity of 395 a second of all slots.
        let arrivals = 1 + u32::from(rng.random_bool(0.185));
        for _ in 0..arrivals {
            let request = RouteRequest {
                pool: &pool,
                version: None,
                prompt_tokens: 500,
                prefix: &[],
                tried: &[],
                data_centres: &DataCentreFilter::Any,
                priority: 4,
                warmth: None,
            };
            let choice = table.choose(&request, now, &mut rng).unwrap();
            let index = (0..ENGINES)
                .find(|index| target_id(*index) == choice.target)
                .unwrap();
            let noise = if is_noisy[index] { NOISE } else { 1.0 };
            let factor = SPEEDS[index % 3] * noise;
            let first_byte_ms = choice.baseline_ms * factor;
            counts[index % 3] += 1;
            first_byte_sum += f64::from(first_byte_ms);
            running[index] += 1;
            table.record_send(&choice, now);
            let first_byte = Duration::from_secs_f32(first_byte_ms / 1000.0);
            let outcome = ExchangeOutcome::Answered { first_byte };
            table.record_outcome(&choice, outcome, now);
            table.apply_report(
                &choice.target,
                LoadReport {
                    running: running[index],
                    queued: 0,
                    measured_at: now,
                },
            );
            if figures == Figures::Stated {
                table.record_pace(&choice.target, pace(factor), now);
            }
            #[allow(clippy::cast_possible_truncation)] // Some seconds.
            ends.push((-(at + (2_000.0 * factor) as i64), index));
        }
    }
    let total = f64::from(counts.iter().sum::<u32>());
    Outcome {
        shares: counts.map(|count| f64::from(count) / total),
        mean_first_byte_ms: first_byte_sum / total,
    }
}

/// Guards against slow engines that get as many requests as fast ones, and against fast engines that get
/// no more than the usual ones, at 60 engines with speeds of 0.6, 1.0 and 1.6 and noisy neighbours.
#[rstest]
fn fast_targets_get_more_work_and_slow_ones_less(#[values(1, 2, 3)] seed: u64) {
    let paced = play(Figures::Stated, seed);
    let unpaced = play(Figures::Unstated, seed);
    let [fast, usual, slow] = paced.shares;
    println!(
        "stated: {:?}, {:.1} ms; unstated: {:?}, {:.1} ms",
        paced.shares, paced.mean_first_byte_ms, unpaced.shares, unpaced.mean_first_byte_ms
    );
    assert!(fast > usual && usual > slow, "{:?}", paced.shares);
    assert!(fast > unpaced.shares[0], "{:?}", unpaced.shares);
    assert!(slow < unpaced.shares[2], "{:?}", unpaced.shares);
    assert!(slow > 0.0);
    assert!(paced.mean_first_byte_ms < unpaced.mean_first_byte_ms);
}

/// Guards against a change of the choice among targets that state no figure: first bytes and gaps alone
/// must not move it.
#[test]
fn targets_without_a_figure_have_no_pace() {
    let mut table = ReplicaTable::new(RouteTuning::default(), &[]);
    let pool = PoolId::Service("drafts".into());
    table.upsert(&ReplicaSpec {
        target: target_id(0),
        data_centre: "a".into(),
        slots: SLOTS,
        pools: vec![(pool.clone(), None)],
    });
    let request = RouteRequest {
        pool: &pool,
        version: None,
        prompt_tokens: 500,
        prefix: &[],
        tried: &[],
        data_centres: &DataCentreFilter::Any,
        priority: 4,
        warmth: None,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let before = table.choose(&request, ms(0), &mut rng).unwrap();
    for step in 0..50 {
        table.record_send(&before, ms(step));
        let first_byte = ms(900);
        table.record_outcome(&before, ExchangeOutcome::Answered { first_byte }, ms(step));
        table.record_gap(&target_id(0), ms(900), ms(step));
        table.record_end(&target_id(0), ms(step));
    }
    assert!(table.pace(&target_id(0)).is_none());
    let after = table.choose(&request, ms(50), &mut rng).unwrap();
    assert_eq!(before.cost_ms.to_bits(), after.cost_ms.to_bits());
}
