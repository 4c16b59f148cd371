use std::{net::SocketAddr, time::Duration};

use smallvec::SmallVec;

/// Time for which a coordinator that did not answer is not asked again because another one names it
/// as the leader. Coordinators notice the loss of their leader about a second after gateways.
const UNREACHABLE_TIME: Duration = Duration::from_millis(2_500);

/// Time for which coordinators that did not answer are asked after all others. Each may cost a time-out of seconds, which
/// is longer than some leaders last.
const SILENCE_TIME: Duration = Duration::from_secs(10);

/// Coordinators known to a gateway, in the order in which they are asked.
#[derive(Debug)]
pub struct CoordinatorList {
    addresses: Vec<SocketAddr>,
    /// Coordinators that the platform names. They are asked again once no other one answers.
    seeds: Vec<SocketAddr>,
    /// Coordinators that did not answer lately, and when.
    silent: SmallVec<[(SocketAddr, Duration); 4]>,
    /// Number of coordinators in turn that did not answer.
    failures: usize,
}

impl CoordinatorList {
    /// Returns a list that starts with the coordinators known at start-up.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            addresses: seeds.clone(),
            seeds,
            silent: SmallVec::new(),
            failures: 0,
        }
    }

    /// Returns the coordinator to ask next.
    #[must_use]
    pub fn first(&self) -> Option<SocketAddr> {
        self.addresses.first().copied()
    }

    /// Replaces the coordinators by those that one of them names; the known ones keep their order. Each of the others
    /// may be gone, and would cost a time-out when a leader is looked for.
    pub fn replace(&mut self, named: &[SocketAddr]) {
        if named.is_empty() {
            return;
        }
        self.addresses.retain(|known| named.contains(known));
        self.add(named);
    }

    /// Puts coordinators first, in their order. The platform names those that run, and the others do not answer.
    pub fn put_first(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
        self.addresses.retain(|known| !seeds.contains(known));
        self.addresses.splice(0..0, seeds.iter().copied());
        self.silent.clear();
        self.failures = 0;
    }

    /// Records that a coordinator answered as the leader.
    pub fn record_answer(&mut self) {
        self.silent.clear();
        self.failures = 0;
    }

    /// Records that a coordinator did not answer, and moves on to the next one.
    pub fn record_failure(&mut self, failed: SocketAddr, now: Duration) {
        self.silent
            .retain(|(known, at)| *known != failed && now.saturating_sub(*at) < SILENCE_TIME);
        self.silent.push((failed, now));
        self.move_back(failed, now);
        self.failures += 1;
        if self.failures >= self.addresses.len() {
            let seeds = self.seeds.clone();
            self.add(&seeds);
        }
    }

    /// Records that a coordinator does not lead and may have named the leader. Returns whether the
    /// leader is asked next; one that did not answer a moment ago is not.
    pub fn record_redirect(
        &mut self,
        asked: SocketAddr,
        leader: Option<SocketAddr>,
        now: Duration,
    ) -> bool {
        self.failures = 0;
        self.silent.retain(|(known, _)| *known != asked);
        self.move_back(asked, now);
        let is_unreachable = |leader: &SocketAddr| self.is_silent(*leader, now, UNREACHABLE_TIME);
        let Some(leader) = leader.filter(|leader| !is_unreachable(leader)) else {
            return false;
        };
        self.addresses.retain(|address| *address != leader);
        self.addresses.insert(0, leader);
        true
    }

    fn add(&mut self, named: &[SocketAddr]) {
        for address in named {
            if !self.addresses.contains(address) {
                self.addresses.push(*address);
            }
        }
    }

    /// Moves the coordinator that was asked behind all that have not been silent lately.
    fn move_back(&mut self, asked: SocketAddr, now: Duration) {
        if self.first() != Some(asked) {
            return;
        }
        self.addresses.remove(0);
        let is_silent = |known: &SocketAddr| self.is_silent(*known, now, SILENCE_TIME);
        let last_heard = self.addresses.iter().rposition(|known| !is_silent(known));
        let place = if is_silent(&asked) {
            self.addresses.len()
        } else {
            last_heard.map_or(0, |last| last + 1)
        };
        self.addresses.insert(place, asked);
    }

    fn is_silent(&self, address: SocketAddr, now: Duration, time: Duration) -> bool {
        let mut silent = self.silent.iter();
        silent.any(|(known, at)| *known == address && now.saturating_sub(*at) < time)
    }
}
