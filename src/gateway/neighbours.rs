use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom;

use crate::{ids::RouteId, region::DataCentreFilter, sync::Neighbour};

/// Time for which a neighbour that did not take a request is not asked again.
const REST_TIME: Duration = Duration::from_millis(300);
/// Time for which requests of a route whose targets a neighbour doesn't reach either are not passed on.
const ROUTE_REST_TIME: Duration = Duration::from_millis(500);
/// Time after an answer of a target that a neighbour reaches in which this gateway counts as stranded.
const USE_TIME: Duration = Duration::from_secs(1);

/// Gateways that serve requests for this one while it reaches no target; see docs/design/stranded.md.
#[derive(Debug, Default)]
pub struct NeighbourTable {
    state: Mutex<NeighbourState>,
}

#[derive(Debug, Default)]
struct NeighbourState {
    neighbours: Vec<Neighbour>,
    /// Until when neighbours rest.
    resting: HashMap<SocketAddr, Instant>,
    /// Until when routes rest.
    resting_routes: HashMap<RouteId, Instant>,
    /// When a target that a neighbour reaches last answered a passed request.
    served_at: Option<Instant>,
}

impl NeighbourTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, NeighbourState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the neighbours. Coordinators that know of none, such as a leader that has just started, leave
    /// the former ones.
    pub fn set(&self, neighbours: Vec<Neighbour>) {
        if !neighbours.is_empty() {
            self.state().neighbours = neighbours;
        }
    }

    /// Chooses a neighbour at random among those in allowed data centres that have not been tried and do not
    /// rest.
    #[must_use]
    pub fn choose(&self, allowed: &DataCentreFilter, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let state = self.state();
        let usable = state.neighbours.iter();
        let usable = usable.filter(|neighbour| allowed.allows(&neighbour.data_centre));
        let usable = usable.map(|neighbour| neighbour.address);
        let is_resting =
            |address: &SocketAddr| state.resting.get(address).is_some_and(|until| now < *until);
        let usable = usable.filter(|address| !tried.contains(address) && !is_resting(address));
        usable.choose(&mut rand::rng())
    }

    /// Records that a target answered a request that was passed on.
    pub fn record_served(&self) {
        self.state().served_at = Some(Instant::now());
    }

    /// Returns whether neighbours reach targets for this gateway at the moment.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        let served_at = self.state().served_at;
        served_at.is_some_and(|at| at.elapsed() < USE_TIME)
    }

    /// Records that a neighbour did not take a request.
    pub fn record_failure(&self, address: SocketAddr) {
        let now = Instant::now();
        let mut state = self.state();
        state.resting.retain(|_, until| now < *until);
        state.resting.insert(address, now + REST_TIME);
    }

    /// Records that a neighbour reaches no target of a route either.
    pub fn record_unreachable(&self, route: &RouteId) {
        let now = Instant::now();
        let mut state = self.state();
        state.resting_routes.retain(|_, until| now < *until);
        state
            .resting_routes
            .insert(route.clone(), now + ROUTE_REST_TIME);
    }

    /// Returns whether requests of a route are not passed on because neighbours reach no target either.
    #[must_use]
    pub fn is_resting(&self, route: &RouteId) -> bool {
        let state = self.state();
        let until = state.resting_routes.get(route);
        until.is_some_and(|until| Instant::now() < *until)
    }
}
