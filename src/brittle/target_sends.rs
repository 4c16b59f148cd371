use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use super::{LOAD_DELAY, RejectionLimit, SendPart, SendTerms, TargetSlots};

/// Time for which a rejection counts.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Number of windows whose unused parts a gateway may use later. More would let gateways that were idle send together.
const SAVED_WINDOWS: f64 = 8.0;

/// What one gateway has sent to a brittle target a moment ago, and what the target has turned away.
#[derive(Debug, Default)]
pub struct TargetSends {
    /// Admissions that the gateway's own load does not contain yet.
    unsent: SmallVec<[Duration; 4]>,
    /// Mean number of requests that the gateway may send to shared slots after its last draw, and when it drew.
    credit: Option<(f64, Duration)>,
    rejections: SmallVec<[(Duration, RejectionLimit); 2]>,
}

impl TargetSends {
    /// Returns whether nothing is known that still matters.
    #[must_use]
    pub fn is_idle(&self, now: Duration) -> bool {
        let is_old = |at: &Duration| now.saturating_sub(*at) >= REJECTION_WINDOW;
        let times = self.unsent.iter();
        let times = times.chain(self.rejections.iter().map(|(at, _)| at));
        times
            .chain(self.credit.iter().map(|(_, at)| at))
            .all(is_old)
    }

    /// Returns the slots that count as taken since the target has turned requests away: the known load is too low then.
    #[must_use]
    pub fn withheld_slots(&self, total: u32, now: Duration) -> u32 {
        let recent = self.rejections.iter();
        let recent = recent.filter(|(at, _)| now.saturating_sub(*at) < REJECTION_WINDOW);
        let withheld = recent.map(|(_, limit)| limit.withheld_slots(total));
        withheld.fold(0, u32::saturating_add).min(total)
    }

    /// Returns the slots by what this gateway knows besides the reported loads.
    pub fn known_slots(&mut self, slots: TargetSlots, now: Duration) -> TargetSlots {
        self.forget(now);
        let unsent = u32::try_from(self.unsent.len()).unwrap_or(u32::MAX);
        let withheld = self.withheld_slots(slots.total, now);
        TargetSlots {
            free: slots.free.saturating_sub(unsent.saturating_add(withheld)),
            own: slots.own.saturating_add(unsent),
            ..slots
        }
    }

    /// Returns whether another request is within this gateway's part of the slots.
    pub fn take_part(
        &mut self,
        slots: TargetSlots,
        gateways: u32,
        terms: SendTerms,
        now: Duration,
        rng: &mut impl Rng,
    ) -> bool {
        let part = SendPart::new(slots, gateways, terms.limit.deviations());
        slots.own < part.own_slots || self.draw(part.shared_mean, terms.window, now, rng)
    }

    /// Draws for a shared slot. What may be sent on average grows by `mean` in each window.
    fn draw(&mut self, mean: f64, window: Duration, now: Duration, rng: &mut impl Rng) -> bool {
        let limit = (mean * SAVED_WINDOWS).min(1.0).max(mean);
        let (credit, since) = self.credit.unwrap_or((mean, now));
        let grown = mean * now.saturating_sub(since).div_duration_f64(window);
        let credit = (credit + grown).min(limit);
        let is_drawn = rng.random::<f64>() < credit;
        // A draw costs what it might have brought, so that requests that draw again send no more on average.
        self.credit = Some(((credit - 1.0).max(0.0), now));
        is_drawn
    }

    /// Records a request that may be sent now.
    pub fn record_admission(&mut self, now: Duration) {
        self.unsent.push(now);
    }

    /// Records that an admitted request is part of the gateway's load from now on.
    pub fn record_send(&mut self) {
        if !self.unsent.is_empty() {
            self.unsent.remove(0);
        }
    }

    /// Records that the target has turned a request away.
    pub fn record_rejection(&mut self, limit: RejectionLimit, now: Duration) {
        self.rejections.push((now, limit));
    }

    fn forget(&mut self, now: Duration) {
        self.unsent
            .retain(|at| now.saturating_sub(*at) < LOAD_DELAY);
        self.rejections
            .retain(|(at, _)| now.saturating_sub(*at) < REJECTION_WINDOW);
    }
}
