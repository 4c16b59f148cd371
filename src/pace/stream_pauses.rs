use std::time::Duration;

/// What a target does at one moment, as far as a gateway knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetActivity {
    /// Requests that it runs or queues, of all gateways.
    pub running: u32,
    /// Prompt tokens that it has not processed, of all gateways.
    pub prompt_tokens: u32,
    /// Factor on the usual time of work; `None` for a target that states no pace.
    pub pace: Option<f32>,
}

impl TargetActivity {
    /// Returns the higher figures of two moments. The prompt that causes a pause arrives after its begin
    /// or is processed before its end.
    fn max(self, other: Self) -> Self {
        let paces = self.pace.into_iter().chain(other.pace);
        Self {
            running: self.running.max(other.running),
            prompt_tokens: self.prompt_tokens.max(other.prompt_tokens),
            pace: paces.reduce(f32::max),
        }
    }
}

/// Time between two consecutive events of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPause {
    /// Time of the event before the pause, since the request was sent.
    pub began_at: Duration,
    /// Time until the next event.
    pub length: Duration,
    /// What the target did at the begin and at the end of the pause; the higher figures of both.
    pub activity: TargetActivity,
}

/// Events of one stream and the longest pause between them. All times count from the moment at which the
/// request was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPauses {
    events: u64,
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    last_activity: TargetActivity,
    longest: Option<StreamPause>,
}

impl StreamPauses {
    /// Returns the gap that one event brings that arrives at `now`, if the target had no prompts to process
    /// at its begin; `None` for the first event.
    #[must_use]
    pub fn undisturbed_gap(&self, now: Duration) -> Option<Duration> {
        let is_undisturbed = self.events > 0 && self.last_activity.prompt_tokens == 0;
        is_undisturbed.then(|| now.saturating_sub(self.last_event_at))
    }

    /// Records events that arrive together. Parts of one chunk have no pause between them.
    pub fn record(&mut self, events: u64, activity: TargetActivity, now: Duration) {
        if events == 0 {
            return;
        }
        self.record_pause(activity, now);
        self.first_event_at.get_or_insert(now);
        self.events += events;
        self.last_event_at = now;
        self.last_activity = activity;
    }

    /// Records that the stream breaks off at `now`, which ends the pause after its last event.
    pub fn record_break(&mut self, activity: TargetActivity, now: Duration) {
        self.record_pause(activity, now);
    }

    /// Returns the number of events.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the time of the first event.
    #[must_use]
    pub fn first_event_at(&self) -> Option<Duration> {
        self.first_event_at
    }

    /// Returns the longest pause; `None` for a stream with fewer than two events.
    #[must_use]
    pub fn longest(&self) -> Option<StreamPause> {
        self.longest
    }

    fn record_pause(&mut self, activity: TargetActivity, now: Duration) {
        let length = now.saturating_sub(self.last_event_at);
        let is_longest = self.longest.is_none_or(|longest| length > longest.length);
        if self.events > 0 && is_longest {
            self.longest = Some(StreamPause {
                began_at: self.last_event_at,
                length,
                activity: self.last_activity.max(activity),
            });
        }
    }
}
