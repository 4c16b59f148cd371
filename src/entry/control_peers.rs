use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use reqwest::{Response, StatusCode};

use crate::{
    error::{Error, Result},
    sync::LEADER_HEADER,
};

/// Control daemons that an entry asks: those of its settings, and the leader that one of them names. Operators may
/// have added the leader since the settings were written.
#[derive(Debug)]
pub struct ControlPeers {
    named: Vec<SocketAddr>,
    state: Mutex<PeerChoice>,
}

#[derive(Debug)]
struct PeerChoice {
    /// Daemon that is asked next.
    current: SocketAddr,
    /// Index of the daemon of the settings that is asked after a failure.
    next: usize,
}

impl ControlPeers {
    /// Creates the peers of an entry from the daemons in its settings, of which there is at least one.
    ///
    /// # Panics
    /// If there are none, which the check of the settings refuses.
    #[must_use]
    pub fn new(named: Vec<SocketAddr>) -> Self {
        let current = named[0];
        Self {
            named,
            state: Mutex::new(PeerChoice { current, next: 1 }),
        }
    }

    /// Returns the daemon to ask next.
    pub fn current(&self) -> SocketAddr {
        self.state().current
    }

    /// Returns the number of daemons in the settings.
    pub fn count(&self) -> usize {
        self.named.len()
    }

    /// Moves on after a failed request, to the leader that the daemon named or else to the next one of the settings.
    pub fn record_failure(&self, asked: SocketAddr, error: &Error) {
        let leader = match error {
            Error::NotLeader { leader } => leader.as_ref().and_then(|leader| leader.parse().ok()),
            _ => None,
        };
        let mut state = self.state();
        // A concurrent request may have moved on already.
        if state.current != asked {
            return;
        }
        state.current = match leader {
            Some(leader) if leader != asked => leader,
            _ => {
                let next = self.named[state.next % self.named.len()];
                state.next = state.next.wrapping_add(1);
                next
            }
        };
    }

    fn state(&self) -> MutexGuard<'_, PeerChoice> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a response unless it has an error status.
///
/// # Errors
/// [`Error::NotLeader`] with the leader that a control daemon names, [`Error::Transport`] for other statuses.
pub fn check_response(peer: SocketAddr, response: Response) -> Result<Response> {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        let leader = response.headers().get(LEADER_HEADER);
        let leader = leader.and_then(|leader| leader.to_str().ok());
        let leader = leader.map(str::to_owned);
        return Err(Error::NotLeader { leader });
    }
    response
        .error_for_status()
        .map_err(|error| Error::Transport {
            peer: peer.to_string(),
            reason: error.to_string(),
        })
}
