use std::time::Duration;

use rand::Rng;
use smallvec::SmallVec;

use super::{FairPart, LOAD_DELAY, RejectionLimit, TargetSlots};

/// Time for which a rejection counts.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// What one gateway has sent to a brittle target a moment ago, and what the target has turned away.
#[derive(Debug, Default)]
pub struct TargetSends {
    /// Admissions that other gateways may not know yet.
    admitted_at: SmallVec<[Duration; 4]>,
    /// Admissions that the gateway's own load does not contain yet.
    unsent: SmallVec<[Duration; 4]>,
    /// Latest draw, and when it was made.
    draw: Option<(Duration, f64)>,
    rejections: SmallVec<[(Duration, RejectionLimit); 2]>,
}

impl TargetSends {
    /// Returns whether nothing is known that still matters.
    #[must_use]
    pub fn is_idle(&self, now: Duration) -> bool {
        let is_old = |at: &Duration| now.saturating_sub(*at) >= REJECTION_WINDOW;
        let times = self.admitted_at.iter().chain(&self.unsent);
        let times = times.chain(self.rejections.iter().map(|(at, _)| at));
        times.chain(self.draw.iter().map(|(at, _)| at)).all(is_old)
    }

    /// Returns the slots that count as taken since the target has turned requests away: the known load is too low then.
    #[must_use]
    pub fn withheld_slots(&self, total: u32, now: Duration) -> u32 {
        let recent = self.rejections.iter();
        let recent = recent.filter(|(at, _)| now.saturating_sub(*at) < REJECTION_WINDOW);
        let withheld = recent.map(|(_, limit)| limit.withheld_slots(total));
        withheld.fold(0, u32::saturating_add).min(total)
    }

    /// Returns how many more requests the target has slots for.
    pub fn free_slots(&mut self, slots: TargetSlots, now: Duration) -> u32 {
        self.forget(now);
        let unsent = u32::try_from(self.unsent.len()).unwrap_or(u32::MAX);
        let withheld = self.withheld_slots(slots.total, now);
        slots.free.saturating_sub(unsent.saturating_add(withheld))
    }

    /// Returns whether another request is within this gateway's part of the free slots.
    pub fn is_within_part(
        &mut self,
        free_slots: u32,
        gateways: u32,
        limit: RejectionLimit,
        now: Duration,
        rng: &mut impl Rng,
    ) -> bool {
        let sent = u32::try_from(self.admitted_at.len()).unwrap_or(u32::MAX);
        // The slots were free before this gateway took some of them.
        let free_before = free_slots.saturating_add(sent);
        let part = FairPart::new(free_before, gateways, limit.deviations());
        if sent != part.requests {
            return sent < part.requests;
        }
        let (_, draw) = self.draw.get_or_insert_with(|| (now, rng.random()));
        let is_drawn = *draw < part.probability;
        if is_drawn {
            // A draw is good for one request.
            *draw = 1.0;
        }
        is_drawn
    }

    /// Records a request that may be sent now.
    pub fn record_admission(&mut self, now: Duration) {
        self.admitted_at.push(now);
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
        let is_recent = |at: Duration| now.saturating_sub(at) < LOAD_DELAY;
        self.admitted_at.retain(|at| is_recent(*at));
        self.unsent.retain(|at| is_recent(*at));
        self.draw = self.draw.filter(|(at, _)| is_recent(*at));
        self.rejections
            .retain(|(at, _)| now.saturating_sub(*at) < REJECTION_WINDOW);
    }
}
