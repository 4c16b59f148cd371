use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use super::{
    check_range,
    models::{MAX_ACCELERATORS, MAX_MEMORY_MIB},
};
use crate::{
    border::{FleetConfig, TargetConfig, TargetKind},
    fleet::ConfigIssue,
};

/// Validates targets.
pub(super) fn check(config: &FleetConfig, issues: &mut Vec<ConfigIssue>) {
    let mut addresses = HashMap::new();
    for (index, target) in config.targets.iter().enumerate() {
        let path = |field: &str| format!("targets[{index}].{field}");
        match check_address(&target.address) {
            Err(message) => issues.push(ConfigIssue::new(path("address"), message)),
            Ok(address) => {
                if let Some(earlier) = addresses.insert(address, index) {
                    let message = format!("is also the address of targets[{earlier}]");
                    issues.push(ConfigIssue::new(path("address"), message));
                }
            }
        }
        check_range(&path("slots"), target.slots.into(), 1..=100_000, issues);
        match target.kind {
            TargetKind::Engine => check_engine(target, path, issues),
            TargetKind::Service => check_service(target, path, issues),
        }
    }
}

fn check_engine(
    target: &TargetConfig,
    path: impl Fn(&str) -> String,
    issues: &mut Vec<ConfigIssue>,
) {
    let count = target.accelerators.into();
    check_range(&path("accelerators"), count, 1..=MAX_ACCELERATORS, issues);
    let memory = target.accelerator_memory_mib;
    check_range(
        &path("accelerator_memory_mib"),
        memory,
        1..=MAX_MEMORY_MIB,
        issues,
    );
    if target.service.is_some() {
        let message = "must be absent for kind 'engine'";
        issues.push(ConfigIssue::new(path("service"), message));
    }
}

fn check_service(
    target: &TargetConfig,
    path: impl Fn(&str) -> String,
    issues: &mut Vec<ConfigIssue>,
) {
    if target.service.is_none() {
        let message = "is missing for kind 'service'";
        issues.push(ConfigIssue::new(path("service"), message));
    }
    for (field, value) in [
        ("accelerators", u64::from(target.accelerators)),
        ("accelerator_memory_mib", target.accelerator_memory_mib),
    ] {
        if value > 0 {
            let message = "must be 0 or absent for kind 'service'";
            issues.push(ConfigIssue::new(path(field), message));
        }
    }
}

/// Parses the address of a target. Host names are rejected because the system does not resolve
/// them.
fn check_address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|_| {
        "must be an IP address and port, such as 127.0.0.1:9000 or [::1]:9000".to_owned()
    })?;
    let is_group_address = match address.ip() {
        IpAddr::V4(ip) => ip.is_multicast() || ip.is_broadcast(),
        IpAddr::V6(ip) => ip.is_multicast(),
    };
    match address {
        address if address.port() == 0 => Err("must have a port other than 0".to_owned()),
        address if is_group_address || address.ip().is_unspecified() => {
            Err("must be the address of one machine".to_owned())
        }
        address => Ok(address),
    }
}
