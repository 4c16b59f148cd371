use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use serde_json::json;

use crate::{
    border::FleetConfig,
    config::{ControlConfig, EntryConfig, ListenAddress, VoterAddress},
    error::{Error, Result},
    fleet::KeyHash,
    logger::LogFormat,
};

/// Name of the only VM and data centre of a development fleet.
const VM: &str = "dev-vm";
const DATA_CENTRE: &str = "dev-dc";

/// Addresses and files of a development fleet; everything listens on the loopback address.
#[derive(Clone, Debug)]
pub struct DevSettings {
    /// Port for callers.
    pub caller_port: u16,
    /// Port for operators.
    pub admin_port: u16,
    /// Folder for the durable state and the secrets.
    pub data_folder: PathBuf,
    system_port: u16,
    engine_ports: [u16; 2],
    service_port: u16,
}

impl DevSettings {
    /// Chooses free ports for all parts that callers and operators do not address.
    ///
    /// # Errors
    /// [`Error::Server`] when no loopback port is free.
    pub fn new(caller_port: u16, admin_port: u16, data_folder: PathBuf) -> Result<Self> {
        // The listeners are held until all ports are chosen, so that no port is chosen twice.
        let listeners = (0..4)
            .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
            .collect::<std::io::Result<Vec<_>>>()
            .map_err(|error| Error::Server {
                reason: error.to_string(),
            })?;
        let port = |index: usize| {
            listeners[index]
                .local_addr()
                .map(|address: SocketAddr| address.port())
                .map_err(|error| Error::Server {
                    reason: error.to_string(),
                })
        };
        Ok(Self {
            caller_port,
            admin_port,
            data_folder,
            system_port: port(0)?,
            engine_ports: [port(1)?, port(2)?],
            service_port: port(3)?,
        })
    }

    /// Listen address of each stand-in engine.
    #[must_use]
    pub fn engines(&self) -> [ListenAddress; 2] {
        self.engine_ports.map(loopback)
    }

    /// Listen address of the stand-in service.
    #[must_use]
    pub fn service(&self) -> ListenAddress {
        loopback(self.service_port)
    }

    /// Settings of the control daemon.
    #[must_use]
    pub fn control(&self) -> ControlConfig {
        ControlConfig {
            vm: VM.into(),
            data_centre: DATA_CENTRE.into(),
            data_folder: self.data_folder.join("control"),
            system_listen: loopback(self.system_port),
            admin_listen: loopback(self.admin_port),
            voters: vec![VoterAddress {
                vm: VM.into(),
                data_centre: DATA_CENTRE.into(),
                system: loopback(self.system_port).socket(),
                admin: loopback(self.admin_port).socket(),
            }],
            seeds: Vec::new(),
            join: false,
            system_secret_file: self.secret_path("system.secret"),
            admin_token_file: self.secret_path("admin.token"),
            platform_list: None,
        }
    }

    /// Settings of the entry daemon.
    #[must_use]
    pub fn entry(&self) -> EntryConfig {
        EntryConfig {
            vm: VM.into(),
            data_centre: DATA_CENTRE.into(),
            listen: loopback(self.caller_port),
            control: vec![loopback(self.system_port).socket()],
            system_secret_file: self.secret_path("system.secret"),
            key_hash_secret_file: self.secret_path("key.secret"),
            freshness_bound_ms: 2_000,
            drain_timeout_ms: 5_000,
            drain_delay_ms: 0,
            manage_listen: None,
            first_token_target_ms: 320,
            inter_token_target_ms: 36,
            data_centre_rtt_ms: BTreeMap::new(),
            log: LogFormat::Text,
        }
    }

    /// Path of a secret in the data folder.
    #[must_use]
    pub fn secret_path(&self, name: &str) -> PathBuf {
        self.data_folder.join(name)
    }

    /// The first configuration: one team, one key, two models, an adapter and a plain service.
    ///
    /// # Errors
    /// [`Error::Decode`] when the configuration does not fit the border types.
    pub fn fleet(&self, key: &KeyHash) -> Result<FleetConfig> {
        let engine = |name: &str, port: u16| {
            json!({
                "id": name, "vm": name, "data_centre": DATA_CENTRE, "kind": "engine",
                "address": loopback(port).socket().to_string(),
                "accelerators": 1, "accelerator_memory_mib": 81_920,
            })
        };
        let config = json!({
            "teams": [{ "id": "demo", "rate_tokens_per_second": 2_000, "burst_tokens": 20_000 }],
            "keys": [{ "id": "demo-1", "team": "demo", "hash": key.to_string() }],
            "routes": [
                { "id": "models", "path_prefix": "/v1", "kind": "model" },
                { "id": "stock", "path_prefix": "/stock", "kind": "service", "service": "stock" },
            ],
            "models": [
                { "id": "chat-small", "version": "1", "memory_mib": 16_384, "residency": "pinned" },
                { "id": "draft-large", "version": "1", "memory_mib": 49_152 },
            ],
            "adapters": [
                { "id": "chat-warranty", "model": "chat-small", "version": "1", "memory_mib": 64 },
            ],
            "targets": [
                engine("engine-1", self.engine_ports[0]),
                engine("engine-2", self.engine_ports[1]),
                {
                    "id": "stock-1", "vm": "stock-1", "data_centre": DATA_CENTRE,
                    "kind": "service", "service": "stock",
                    "address": self.service().socket().to_string(),
                },
            ],
            "weight_store": { "loads_per_second": 1.5, "concurrent_loads": 10 },
        });
        serde_json::from_value(config).map_err(|error| Error::Decode {
            what: "development configuration",
            reason: error.to_string(),
        })
    }
}

/// Creates the folder of a development fleet; a folder of an earlier run is kept.
///
/// # Errors
/// [`Error::File`] when the folder cannot be made.
pub fn create_folder(path: &Path) -> Result<()> {
    std::fs::create_dir_all(path).map_err(|source| Error::file(path, source))
}

fn loopback(port: u16) -> ListenAddress {
    ListenAddress {
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        port,
    }
}
