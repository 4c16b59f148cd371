use std::{net::TcpListener, path::Path, time::Duration};

use tempfile::TempDir;
use waxwinglatch::{
    config::{ControlConfig, ListenAddress, VoterAddress},
    control::{ControlDaemon, ServingControl},
    ids::EntryKey,
    state::{ClaimKey, ClaimRequest, ClaimTicket, Command},
    voter::VoterHandle,
};

/// Control daemons in this process that talk over HTTP on loopback.
pub struct LocalDaemons {
    pub daemons: Vec<ServingControl>,
    _folder: TempDir,
}

impl LocalDaemons {
    pub fn start(count: usize) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be made");
        let daemons = settings(folder.path(), count)
            .iter()
            .map(|config| {
                ControlDaemon::new(config)
                    .start()
                    .expect("the daemon starts")
            })
            .collect();
        Self {
            daemons,
            _folder: folder,
        }
    }

    /// Waits for the voter that leads.
    pub async fn leader(&self) -> VoterHandle {
        loop {
            let voters = self.daemons.iter().map(ServingControl::voter);
            if let Some(leader) = voters.into_iter().find(|voter| voter.lease().is_some()) {
                return leader.clone();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub async fn stop(self) {
        let ends = self
            .daemons
            .into_iter()
            .map(|daemon| daemon.serve(async {}));
        futures::future::join_all(ends).await;
    }
}

/// Settings of daemons that found one fleet.
pub fn settings(folder: &Path, count: usize) -> Vec<ControlConfig> {
    let secret = folder.join("secret");
    std::fs::write(&secret, "measurement").expect("the folder is writable");
    let listen = || ListenAddress {
        address: [127, 0, 0, 1].into(),
        port: free_port(),
    };
    let addresses: Vec<_> = (0..count)
        .map(|number| (number, listen(), listen()))
        .collect();
    let voters: Vec<_> = addresses
        .iter()
        .map(|(number, system, admin)| VoterAddress {
            vm: format!("vm-{number}").into(),
            data_centre: "dc-1".into(),
            system: system.socket(),
            admin: admin.socket(),
        })
        .collect();
    let config = |(number, system, admin): &(usize, ListenAddress, ListenAddress)| ControlConfig {
        vm: format!("vm-{number}").into(),
        data_centre: "dc-1".into(),
        data_folder: folder.join(format!("vm-{number}")),
        system_listen: *system,
        admin_listen: *admin,
        voters: voters.clone(),
        seeds: Vec::new(),
        join: false,
        system_secret_file: secret.clone(),
        admin_token_file: secret.clone(),
        platform_list: None,
    };
    addresses.iter().map(config).collect()
}

/// A claim as an entry makes it before it sends a request that may run at most once.
pub fn claim() -> Command {
    let key = ClaimKey {
        key: uuid::Uuid::now_v7(),
        team: "north-counter".into(),
        route: "reservations".into(),
    };
    let claimant = EntryKey {
        vm: "vm-3".into(),
        incarnation: 7,
    };
    let attempt = 1;
    let ticket = ClaimTicket {
        key,
        claimant,
        attempt,
    };
    let body_hash = [9; 32].into();
    Command::Claim(ClaimRequest { ticket, body_hash })
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address").port()
}
