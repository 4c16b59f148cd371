use std::time::Duration;

/// A moment at which a scheme wants to act again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    /// The entry's periodic sync.
    Sync(usize),
    /// A message arrives; the number is the scheme's own.
    Message(usize),
    /// A node that holds syncs looks at them again.
    Held(usize),
}

/// Calls back into the run.
#[derive(Default)]
pub struct Agenda {
    pub wakes: Vec<(Duration, Wake)>,
    /// Entries whose waiting requests should be tried again.
    pub retry: Vec<usize>,
    pub messages: u64,
    pub bytes: u64,
}

/// One way to share a team's allowance between entries.
pub trait Scheme {
    /// Admits a request and returns its reservation.
    fn admit(&mut self, entry: usize, team: usize, tokens: u64, now: Duration) -> Option<u64>;
    /// States what waits at an entry for a team.
    fn waiting(
        &mut self,
        entry: usize,
        team: usize,
        first: u64,
        all: u64,
        now: Duration,
        agenda: &mut Agenda,
    );
    fn settle(&mut self, entry: usize, team: usize, reservation: u64, used: u64, now: Duration);
    fn wake(&mut self, wake: Wake, now: Duration, agenda: &mut Agenda);
    /// An entry dies.
    fn lose(&mut self, entry: usize, now: Duration);
    /// The control leader is replaced.
    fn change_leader(&mut self, now: Duration);
}
