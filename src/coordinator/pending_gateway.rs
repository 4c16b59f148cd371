use crate::sync::{DelegatedGateway, ServingState, SyncSerial};

/// What a delegate has not told the leader yet of a gateway, or not been answered.
#[derive(Clone, Debug)]
pub(super) struct PendingGateway {
    pub told: DelegatedGateway,
    /// Sync that this is about; `None` if it is not known.
    serial: Option<SyncSerial>,
    /// Last sync whose reply had a first plan; `None` if it is not known.
    sent_with: Option<SyncSerial>,
}

impl PendingGateway {
    /// Creates what is not known to be about a certain sync.
    pub fn new(told: DelegatedGateway) -> Self {
        Self {
            told,
            serial: None,
            sent_with: None,
        }
    }

    /// Sets the sync that this is about.
    pub fn with_serial(self, serial: Option<SyncSerial>) -> Self {
        let sent_with = serial.filter(|_| self.told.first_plan > 0);
        Self {
            serial,
            sent_with,
            ..self
        }
    }

    /// Returns what this and a later record of the gateway say together. Of several first plans that it was sent, the
    /// gateway may have any, unless it has reported none in a sync that it sent after those.
    pub fn merge(self, later: Self) -> Self {
        let is_lost = later.told.plan_version == 0
            && self
                .sent_with
                .zip(later.serial)
                .is_some_and(|(sent_with, serial)| serial > sent_with);
        let (first, sent_with) = match (self.told.first_plan, later.told.first_plan) {
            (earlier, _) if earlier == 0 || is_lost => (later.told.first_state(), later.sent_with),
            (_, 0) => (self.told.first_state(), self.sent_with),
            _ => {
                let sent_with = self.sent_with.zip(later.sent_with);
                (
                    self.told.first_state().meet(later.told.first_state()),
                    sent_with.map(|(earlier, later)| earlier.max(later)),
                )
            }
        };
        let held = later.told.serving_state().join(self.told.serving_state());
        Self {
            told: merged_record(held, first, later.told),
            serial: later.serial.max(self.serial),
            sent_with,
        }
    }
}

fn merged_record(
    held: ServingState,
    first: ServingState,
    later: DelegatedGateway,
) -> DelegatedGateway {
    DelegatedGateway {
        plan_version: held.plan_version,
        first_plan: first.plan_version,
        evacuation_revision: held.evacuation_revision,
        first_revision: first.evacuation_revision,
        ..later
    }
}
