use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Address and port that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddress {
    /// IP address; host names are not resolved.
    pub address: IpAddr,
    /// TCP port.
    pub port: u16,
}

impl ListenAddress {
    /// Returns the address as a socket address.
    #[must_use]
    pub fn socket(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.port)
    }
}
