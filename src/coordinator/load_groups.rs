use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use super::gateway_table::GatewayState;
use crate::{
    ids::{DataCentreId, EntryKey},
    sync::LoadTopology,
};

/// Maximum number of gateways in a group. A relay of a whole data centre of 60 gateways would
/// fill a link of 10 Mbit/s.
const MAX_GROUP_SIZE: usize = 26;

/// Groups of gateways that share a relay. A relay sends every change of the load to each member of
/// its group, which bounds the size of a group; see docs/platform.md.
#[derive(Debug)]
pub(super) struct LoadGroups {
    groups: Vec<LoadGroup>,
    /// Index of the group of each gateway.
    by_gateway: HashMap<EntryKey, usize>,
}

#[derive(Debug)]
struct LoadGroup {
    /// The first member in the order of keys, so that the choice is stable while it runs.
    relay: EntryKey,
    /// All members, the relay first.
    addresses: Vec<SocketAddr>,
}

impl LoadGroup {
    /// Returns the group of some gateways; `None` when there are none.
    fn new(keys: &[&EntryKey], gateways: &BTreeMap<EntryKey, GatewayState>) -> Option<Self> {
        let relay = keys.iter().min()?;
        let others = keys.iter().filter(|key| *key != relay);
        let addresses = std::iter::once(relay).chain(others);
        let addresses = addresses.filter_map(|key| gateways.get(*key));
        Some(Self {
            relay: (*relay).clone(),
            addresses: addresses.map(|state| state.load_address).collect(),
        })
    }
}

impl LoadGroups {
    /// Divides the gateways of each data centre into groups of one size, in the order of a hash, so
    /// that a gateway that comes or goes moves at most one gateway of each group.
    pub fn new(gateways: &BTreeMap<EntryKey, GatewayState>) -> Self {
        let mut centres: BTreeMap<&DataCentreId, Vec<&EntryKey>> = BTreeMap::new();
        for (key, state) in gateways {
            centres.entry(&state.data_centre).or_default().push(key);
        }
        let mut groups = Vec::new();
        let mut by_gateway = HashMap::new();
        for mut keys in centres.into_values() {
            keys.sort_by_key(|key| (crc32fast::hash(key.vm.as_bytes()), key.incarnation));
            let count = keys.len().div_ceil(MAX_GROUP_SIZE).max(1);
            for group in keys.chunks(keys.len().div_ceil(count)) {
                by_gateway.extend(group.iter().map(|key| ((*key).clone(), groups.len())));
                groups.extend(LoadGroup::new(group, gateways));
            }
        }
        Self { groups, by_gateway }
    }

    /// Returns where a gateway sends its loads.
    pub fn topology(&self, gateway: &EntryKey) -> LoadTopology {
        let index = self.by_gateway.get(gateway).copied();
        let Some((index, group)) = index.and_then(|index| Some((index, self.groups.get(index)?)))
        else {
            return LoadTopology::Unknown;
        };
        let relay_of = |group: &LoadGroup| group.addresses.first().copied();
        if group.relay != *gateway {
            let relay = relay_of(group);
            return relay.map_or(LoadTopology::Unknown, |relay| LoadTopology::Member {
                relay,
            });
        }
        let others = self.groups.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        LoadTopology::Relay {
            members: group.addresses.iter().skip(1).copied().collect(),
            relays: others.filter_map(|(_, group)| relay_of(group)).collect(),
        }
    }
}
