use std::{net::SocketAddr, time::Duration};

/// Time for which a coordinator that did not answer is not asked again because another one names it
/// as the leader. Coordinators notice the loss of their leader about a second after gateways.
const UNREACHABLE_TIME: Duration = Duration::from_millis(2_500);

/// Coordinators known to a gateway, in the order in which they are asked.
#[derive(Debug)]
pub struct CoordinatorList {
    addresses: Vec<SocketAddr>,
    /// Coordinators that the platform names. They are asked again once no other one answers.
    seeds: Vec<SocketAddr>,
    /// Number of coordinators in turn that did not answer.
    silent: usize,
    /// Coordinator that did not answer last, and when.
    unreachable: Option<(SocketAddr, Duration)>,
}

impl CoordinatorList {
    /// Returns a list that starts with the coordinators known at start-up.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            addresses: seeds.clone(),
            seeds,
            silent: 0,
            unreachable: None,
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
        self.silent = 0;
    }

    /// Records that a coordinator answered as the leader.
    pub fn record_answer(&mut self) {
        self.unreachable = None;
        self.silent = 0;
    }

    /// Records that a coordinator did not answer, and moves on to the next one.
    pub fn record_failure(&mut self, failed: SocketAddr, now: Duration) {
        self.unreachable = Some((failed, now));
        self.rotate(failed);
        self.silent += 1;
        if self.silent >= self.addresses.len() {
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
        self.silent = 0;
        self.rotate(asked);
        let is_unreachable = |leader: &SocketAddr| {
            let unreachable = self.unreachable.filter(|(known, _)| known == leader);
            unreachable.is_some_and(|(_, at)| now.saturating_sub(at) < UNREACHABLE_TIME)
        };
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

    fn rotate(&mut self, asked: SocketAddr) {
        if self.first() == Some(asked) {
            self.addresses.rotate_left(1);
        }
    }
}
