//! Tests the clock of leases and proofs.
//!
//! Guards against a leader that holds its lease for valid after its VM was suspended (CONFIG): the clock stood
//! still in that time.

use std::{fs, time::Duration};

use waxwinglatch::clock::BootInstant;

/// The kernel counts suspended time in its uptime, but not on the clock of `std::time::Instant`.
#[test]
fn clock_of_leases_counts_the_time_in_which_the_vm_is_suspended() {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    let seconds: f64 = text.split(' ').next().unwrap().parse().unwrap();
    let uptime = Duration::from_secs_f64(seconds);
    let clock = BootInstant::now().since_boot();
    assert!(
        clock.abs_diff(uptime) < Duration::from_secs(2),
        "{clock:?}, uptime {uptime:?}"
    );
}

#[test]
fn time_since_a_later_moment_is_zero() {
    let now = BootInstant::now();
    let later = now + Duration::from_secs(5);
    assert_eq!(now.saturating_since(later), Duration::ZERO);
    assert_eq!(later.saturating_since(now), Duration::from_secs(5));
}
