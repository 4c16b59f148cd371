//! Clock of leases and proofs, which also runs while the VM is suspended; see docs/design.md, section 18.

use std::{ops::Add, time::Duration};

use nix::time::{ClockId, clock_gettime};

/// Moment on the clock since the VM's boot.
///
/// [`std::time::Instant`] stands still while a VM is suspended. A leader would hold its lease for valid afterwards
/// although another one leads by then, and a gateway would take an old proof for a recent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the present moment.
    ///
    /// # Panics
    /// When the kernel has no such clock. Linux has one since 2.6.39.
    #[must_use]
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(now.expect("the kernel has a clock since boot").into())
    }

    /// Returns the time from the VM's boot to this moment.
    #[must_use]
    pub fn since_boot(&self) -> Duration {
        self.0
    }

    /// Returns the time since this moment.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_since(*self)
    }

    /// Returns the time since an earlier moment; zero if that is later.
    #[must_use]
    pub fn saturating_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment that lies some time before this one, at the earliest that of the boot.
    #[must_use]
    pub fn saturating_sub(&self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}
