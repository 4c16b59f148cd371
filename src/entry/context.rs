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

/// Who sent a request, as its key tells.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Team that the request runs for.
    pub team: TeamId,
    /// Hash of the key.
    pub key: KeyHash,
    /// Highest priority that the key allows.
    pub priority: u8,
}

/// What the parts that handle a request need to know about it.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// Id that the target echoes and the caller receives.
    pub id: RequestId,
    /// Route of the request.
    pub route: Arc<RouteConfig>,
    /// Caller; `None` on routes open to all.
    pub caller: Option<Caller>,
    /// Arrival of the request.
    pub started: Instant,
    /// Moment by which the first byte of the response must come.
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

    /// Creates the id of a request.
    pub fn new_id() -> RequestId {
        format_compact!("{}", uuid::Uuid::now_v7())
    }

    /// Team of the caller.
    pub fn team(&self) -> Option<&TeamId> {
        self.caller.as_ref().map(|caller| &caller.team)
    }

    /// Checks key, route and freshness against a newer view.
    ///
    /// # Errors
    /// The code and message of the refusal.
    pub fn check_again(
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
