//! Tests when a gateway takes its links to all targets for lost.

use std::time::Duration;

use rstest::rstest;
use waxwinglatch::gateway::{LinkLoss, LinkWatch};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a gateway that takes one lost target, or targets that were tried only just now, for a loss of all
/// links.
#[rstest]
#[case::one_of_many(&[("a", 1_000)], 3, false)]
#[case::only_one(&[("a", 1_000)], 1, true)]
#[case::two_of_many(&[("a", 1_000), ("b", 1_100)], 3, true)]
#[case::second_just_now(&[("a", 1_000), ("b", 1_200)], 3, false)]
#[case::same_twice(&[("a", 1_000), ("a", 1_100)], 3, false)]
#[case::none(&[], 0, false)]
fn suspicion_needs_several_unanswered_targets(
    #[case] attempts: &[(&str, u64)],
    #[case] known: usize,
    #[case] expected: bool,
) {
    let mut watch = LinkWatch::new();
    watch.record_heard(ms(900));
    for (target, at) in attempts {
        watch.record_attempt(&(*target).into(), ms(*at));
    }
    assert_eq!(watch.is_suspicious(known, ms(1_400)), expected);
    let loss = watch.record_unreachable(known, ms(1_400));
    let expected_loss = expected.then_some(LinkLoss {
        tried: attempts.len(),
        silence: ms(500),
    });
    assert_eq!(loss, expected_loss);
    assert_eq!(watch.is_cut_off(), expected);
}

/// Guards against a loss that outlasts the first byte of a target, and against one that begins although a target was
/// heard while connections were tried.
#[test]
fn any_byte_ends_a_loss_and_a_suspicion() {
    let mut watch = LinkWatch::new();
    let attempt = |watch: &mut LinkWatch, at| {
        watch.record_attempt(&"a".into(), ms(at));
        watch.record_attempt(&"b".into(), ms(at));
    };
    attempt(&mut watch, 0);
    assert!(watch.is_suspicious(5, ms(300)));
    assert_eq!(watch.record_heard(ms(310)), None);
    assert_eq!(watch.record_unreachable(5, ms(320)), None);
    attempt(&mut watch, 400);
    assert!(watch.record_unreachable(5, ms(800)).is_some());
    assert_eq!(watch.record_unreachable(5, ms(900)), None, "it has begun");
    assert_eq!(watch.record_heard(ms(2_000)), Some(ms(1_200)));
    assert!(!watch.is_cut_off());
    assert!(!watch.is_suspicious(5, ms(5_000)));
}
