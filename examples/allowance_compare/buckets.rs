use std::time::Duration;

use waxwinglatch::allowance::{GRANT_OUTSTANDING, RateLimit};

use crate::scheme::{Agenda, Scheme, Wake};

#[derive(Clone, Copy)]
struct Bucket {
    level: f64,
    outstanding: f64,
    refilled_at: Duration,
}

/// Buckets without messages: the ideal (one bucket for all entries, without delay), equal shares
/// of a fixed number of entries, or equal shares leased to the live entries.
pub struct LocalBuckets {
    limits: Vec<RateLimit>,
    buckets: Vec<Vec<Bucket>>,
    shares: f64,
    is_leased: bool,
    /// Share after the leases of lost entries have expired.
    next_shares: Option<(Duration, f64)>,
    timers: Vec<Duration>,
    entries: usize,
}

impl LocalBuckets {
    /// `shares` is the number of buckets per team.
    pub fn new(limits: Vec<RateLimit>, entries: usize, shares: usize, is_leased: bool) -> Self {
        let count = shares;
        let shares = shares as f64;
        let full = |limit: &RateLimit| Bucket {
            level: limit.burst as f64 / shares,
            outstanding: 0.0,
            refilled_at: Duration::ZERO,
        };
        let row: Vec<Bucket> = limits.iter().map(full).collect();
        Self {
            limits,
            buckets: vec![row; count],
            shares,
            is_leased,
            next_shares: None,
            timers: vec![Duration::ZERO; entries],
            entries,
        }
    }

    fn bucket(&mut self, entry: usize, team: usize, now: Duration) -> &mut Bucket {
        if let Some((at, shares)) = self.next_shares
            && now >= at
        {
            self.shares = shares;
            self.next_shares = None;
        }
        let place = if self.buckets.len() == 1 { 0 } else { entry };
        let (limit, shares) = (self.limits[team], self.shares);
        let bucket = &mut self.buckets[place][team];
        let earned = (now - bucket.refilled_at).as_secs_f64() * limit.rate as f64 / shares;
        let room = (limit.burst as f64 / shares - bucket.level - bucket.outstanding).max(0.0);
        bucket.level += earned.min(room);
        bucket.refilled_at = now;
        bucket
    }
}

impl Scheme for LocalBuckets {
    fn admit(&mut self, entry: usize, team: usize, tokens: u64, now: Duration) -> Option<u64> {
        let bucket = self.bucket(entry, team, now);
        if bucket.level < tokens as f64 {
            return None;
        }
        bucket.level -= tokens as f64;
        bucket.outstanding += tokens as f64;
        Some(tokens)
    }

    fn waiting(
        &mut self,
        entry: usize,
        _: usize,
        first: u64,
        _: u64,
        now: Duration,
        agenda: &mut Agenda,
    ) {
        // Stands for the timer of the bucket.
        let place = if self.buckets.len() == 1 { 0 } else { entry };
        if first > 0 && self.timers[place] <= now {
            self.timers[place] = now + Duration::from_millis(10);
            agenda
                .wakes
                .push((now + Duration::from_millis(10), Wake::Held(entry)));
        }
    }

    fn settle(&mut self, entry: usize, team: usize, reservation: u64, used: u64, now: Duration) {
        let bucket = self.bucket(entry, team, now);
        bucket.outstanding -= reservation as f64;
        bucket.level += (reservation - used) as f64;
    }

    fn wake(&mut self, wake: Wake, _: Duration, agenda: &mut Agenda) {
        match wake {
            Wake::Held(_) if self.buckets.len() == 1 => agenda.retry.extend(0..self.entries),
            Wake::Held(entry) => agenda.retry.push(entry),
            _ => {}
        }
    }

    fn lose(&mut self, _: usize, now: Duration) {
        if self.is_leased {
            let shares = self.next_shares.map_or(self.shares, |(_, shares)| shares);
            self.next_shares = Some((now + GRANT_OUTSTANDING, shares - 1.0));
        }
    }

    fn change_leader(&mut self, _: Duration) {}
}
