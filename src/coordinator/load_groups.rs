use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use super::gateway_table::GatewayState;
use crate::{
    ids::{DataCentreId, EntryKey},
    sync::LoadTopology,
};

/// Mean number of gateways in a group, at most. A relay of a whole data centre of 60 gateways would
/// fill a link of 10 Mbit/s.
const MAX_GROUP_SIZE: u32 = 26;

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

impl LoadGroups {
    /// Assigns each gateway to a group of its data centre by a hash, so that a gateway that comes or
    /// goes rarely moves others.
    pub fn new(gateways: &BTreeMap<EntryKey, GatewayState>) -> Self {
        let mut sizes: BTreeMap<&DataCentreId, u32> = BTreeMap::new();
        for state in gateways.values() {
            *sizes.entry(&state.data_centre).or_default() += 1;
        }
        let mut groups: Vec<LoadGroup> = Vec::new();
        let mut indexes: BTreeMap<(&DataCentreId, u32), usize> = BTreeMap::new();
        let mut by_gateway = HashMap::new();
        for (key, state) in gateways {
            let size = sizes.get(&state.data_centre).copied().unwrap_or(1);
            let count = size.div_ceil(MAX_GROUP_SIZE).max(1);
            let number = crc32fast::hash(key.vm.as_bytes()) % count;
            let index = *indexes
                .entry((&state.data_centre, number))
                .or_insert(groups.len());
            if index == groups.len() {
                groups.push(LoadGroup {
                    relay: key.clone(),
                    addresses: Vec::new(),
                });
            }
            groups[index].addresses.push(state.load_address);
            by_gateway.insert(key.clone(), index);
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
