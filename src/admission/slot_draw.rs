use std::time::Duration;

/// Time for which a gateway that drew no slot does not draw again. Loads and waiting requests of other
/// gateways are known about 20 ms late, and several draws on the same figures would add up.
const HOLD_TIME: Duration = Duration::from_millis(15);

/// Random division of free slots among gateways at which requests of the same rank wait.
///
/// All gateways see the same free slots. Without a division, each of them would fill the slots, and
/// tens of gateways would send several times as many requests as there are slots.
#[derive(Debug, Default)]
pub(super) struct SlotDraw {
    held: Option<(usize, Duration)>,
}

impl SlotDraw {
    /// Returns whether this gateway takes one of `free` slots that `own` requests wait for here and
    /// `others` elsewhere. `draw` is uniform between 0 and 1.
    pub fn takes_slot(
        &mut self,
        rank: usize,
        (free, own, others): (u32, u32, u32),
        draw: f64,
        now: Duration,
    ) -> bool {
        if free == 0 {
            return false;
        }
        if others == 0 {
            return true;
        }
        // A more urgent request than the held one has a chance of its own.
        if self
            .held
            .is_some_and(|(held, until)| held <= rank && now < until)
        {
            return false;
        }
        let share = f64::from(free) * f64::from(own) / f64::from(own + others);
        let is_taken = draw < share;
        self.held = (!is_taken).then_some((rank, now + HOLD_TIME));
        is_taken
    }
}
