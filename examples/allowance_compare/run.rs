use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use crate::{
    scheme::{Agenda, Scheme, Wake},
    traffic::{Arrival, LENGTH, Team},
};

/// Longest wait for allowance.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    TenthLost,
    LeaderChange,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Fault,
    Settle(usize),
    Wake(Wake),
    Arrive(usize),
    GiveUp(usize),
}

/// What became of each arrival.
pub struct Record {
    /// Moment of admission.
    pub admitted: Vec<Option<Duration>>,
    /// Whether the request was cut off by the loss of its entry.
    pub lost: Vec<bool>,
    pub messages: u64,
    pub bytes: u64,
}

pub struct Run<'r> {
    arrivals: &'r [Arrival],
    scheme: Box<dyn Scheme>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    /// Waiting arrivals per entry and team.
    lines: Vec<Vec<VecDeque<usize>>>,
    reservations: Vec<u64>,
    places: Vec<usize>,
    alive: Vec<bool>,
    record: Record,
}

impl<'r> Run<'r> {
    pub fn new(
        teams: &[Team],
        arrivals: &'r [Arrival],
        entries: usize,
        scheme: Box<dyn Scheme>,
    ) -> Self {
        let mut events = BinaryHeap::new();
        for (index, arrival) in arrivals.iter().enumerate() {
            events.push(Reverse((arrival.at, Event::Arrive(index))));
        }
        for entry in 0..entries {
            // Entries sync out of step.
            let first =
                Duration::from_secs(5) + Duration::from_micros(entry as u64 * 997 % 400_000);
            events.push(Reverse((first, Event::Wake(Wake::Sync(entry)))));
        }
        events.push(Reverse((LENGTH / 2, Event::Fault)));
        let count = arrivals.len();
        Self {
            arrivals,
            scheme,
            events,
            lines: vec![vec![VecDeque::new(); teams.len()]; entries],
            reservations: vec![0; count],
            places: arrivals.iter().map(|arrival| arrival.entry).collect(),
            alive: vec![true; entries],
            record: Record {
                admitted: vec![None; count],
                lost: vec![false; count],
                messages: 0,
                bytes: 0,
            },
        }
    }

    pub fn finish(mut self, fault: Fault) -> Record {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > LENGTH + Duration::from_secs(5) {
                break;
            }
            let mut agenda = Agenda::default();
            match event {
                Event::Arrive(index) => self.arrive(index, now, &mut agenda),
                Event::Wake(wake) => self.scheme.wake(wake, now, &mut agenda),
                Event::GiveUp(index) => self.give_up(index, now, &mut agenda),
                Event::Settle(index) if self.alive[self.places[index]] => {
                    let (entry, team) = (self.places[index], self.arrivals[index].team);
                    self.scheme.settle(
                        entry,
                        team,
                        self.reservations[index],
                        self.arrivals[index].used,
                        now,
                    );
                    self.serve(entry, team, now, &mut agenda);
                }
                Event::Settle(index) => {
                    // The ideal counts what a lost entry ran as used; other schemes forgot it.
                    let arrival = &self.arrivals[index];
                    let reservation = self.reservations[index];
                    let entry = self.places[index];
                    self.scheme
                        .settle(entry, arrival.team, reservation, arrival.reserved, now);
                }
                Event::Fault => self.strike(fault, now),
            }
            for entry in std::mem::take(&mut agenda.retry) {
                for team in 0..self.lines[entry].len() {
                    self.serve(entry, team, now, &mut agenda);
                }
            }
            for (at, wake) in agenda.wakes {
                self.events.push(Reverse((at, Event::Wake(wake))));
            }
            self.record.messages += agenda.messages;
            self.record.bytes += agenda.bytes;
        }
        self.record
    }

    fn arrive(&mut self, index: usize, now: Duration, agenda: &mut Agenda) {
        let count = self.alive.len();
        // The load balancer moves the callers of a lost entry.
        while !self.alive[self.places[index]] {
            self.places[index] = (self.places[index] + 1) % count;
        }
        let (entry, team) = (self.places[index], self.arrivals[index].team);
        self.lines[entry][team].push_back(index);
        self.events
            .push(Reverse((now + PATIENCE, Event::GiveUp(index))));
        self.serve(entry, team, now, agenda);
    }

    fn give_up(&mut self, index: usize, now: Duration, agenda: &mut Agenda) {
        let (entry, team) = (self.places[index], self.arrivals[index].team);
        let line = &mut self.lines[entry][team];
        if let Some(place) = line.iter().position(|waiting| *waiting == index) {
            line.remove(place);
            self.tell(entry, team, now, agenda);
        }
    }

    fn serve(&mut self, entry: usize, team: usize, now: Duration, agenda: &mut Agenda) {
        let was_waiting = !self.lines[entry][team].is_empty();
        while let Some(index) = self.lines[entry][team].front().copied() {
            let Some(reservation) =
                self.scheme
                    .admit(entry, team, self.arrivals[index].reserved, now)
            else {
                break;
            };
            self.lines[entry][team].pop_front();
            self.reservations[index] = reservation;
            self.record.admitted[index] = Some(now);
            self.events.push(Reverse((
                now + self.arrivals[index].length,
                Event::Settle(index),
            )));
        }
        if was_waiting {
            self.tell(entry, team, now, agenda);
        }
    }

    fn tell(&mut self, entry: usize, team: usize, now: Duration, agenda: &mut Agenda) {
        let line = &self.lines[entry][team];
        let tokens = |index: &usize| self.arrivals[*index].reserved;
        let first = line.front().map_or(0, tokens);
        let all = line.iter().map(tokens).sum();
        self.scheme.waiting(entry, team, first, all, now, agenda);
    }

    fn strike(&mut self, fault: Fault, now: Duration) {
        match fault {
            Fault::None => {}
            Fault::LeaderChange => self.scheme.change_leader(now),
            Fault::TenthLost => {
                for entry in (0..self.alive.len()).step_by(10) {
                    self.alive[entry] = false;
                    self.scheme.lose(entry, now);
                    for index in std::mem::take(&mut self.lines[entry]).into_iter().flatten() {
                        self.record.lost[index] = true;
                    }
                    self.lines[entry] = vec![VecDeque::new(); 64];
                }
            }
        }
    }
}
