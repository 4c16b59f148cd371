use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::DataCentreId;

/// A gateway that serves requests for another one that reaches no target; see docs/design/stranded.md.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// Address at which it accepts passed requests.
    pub address: SocketAddr,
    /// Data centre of the gateway.
    pub data_centre: DataCentreId,
}
