use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use compact_str::format_compact;

use super::view::EntryView;
use crate::{
    border::{RouteAccess, RouteConfig},
    code::ResultCode,
    fleet::KeyHash,
    ids::{RequestId, TeamId},
};

/// The sender of a request, identified by its key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Team to which the request is charged.
    pub team: TeamId,
    /// Hash of the caller's key.
    pub key: KeyHash,
    /// Requested priority, limited to that of the key.
    pub priority: u8,
}

/// Data about a request that is shared by all stages of its processing.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Request id, which is sent to the target and returned to the caller.
    pub id: RequestId,
    /// Route of the request.
    pub route: Arc<RouteConfig>,
    /// Caller; `None` on open routes.
    pub caller: Option<Caller>,
    /// Arrival time of the request.
    pub started: Instant,
    /// Deadline of the first byte of the response.
    pub deadline: Instant,
}

impl RequestContext {
    /// Creates the context of a request that has just arrived.
    pub fn new(id: RequestId, route: Arc<RouteConfig>, caller: Option<Caller>) -> Self {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(route.timeout_ms);
        Self {
            id,
            route,
            caller,
            started,
            deadline,
        }
    }

    /// Generates a request id.
    pub fn new_id() -> RequestId {
        format_compact!("{}", uuid::Uuid::now_v7())
    }

    /// Returns the team of the caller.
    pub fn team(&self) -> Option<&TeamId> {
        self.caller.as_ref().map(|caller| &caller.team)
    }

    /// Checks key, route and freshness against a newer view.
    ///
    /// # Errors
    /// The result code and message of the error.
    pub fn revalidate(
        &self,
        view: &EntryView,
        freshness_bound: Duration,
    ) -> Result<(), (ResultCode, &'static str)> {
        let route = view.index.route_by_id(&self.route.id);
        if route.is_none_or(|route| **route != *self.route) {
            return Err((
                ResultCode::UnknownRoute,
                "the route changed while the request waited",
            ));
        }
        let Some(caller) = &self.caller else {
            return Ok(());
        };
        debug_assert!(self.route.access == RouteAccess::Keyed);
        if !view.is_fresh(freshness_bound) {
            return Err((
                ResultCode::StaleConfiguration,
                "this entry cannot prove that its configuration is current",
            ));
        }
        match view.index.key(&caller.key) {
            Some(key) if key.team == caller.team => Ok(()),
            _ => Err((ResultCode::UnknownKey, "the key is not valid")),
        }
    }
}
