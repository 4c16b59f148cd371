//! Choice of the gateways that serve requests for one that reaches no target; see docs/design/stranded.md.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use super::gateway_table::GatewayState;
use crate::{ids::EntryKey, sync::Neighbour};

/// Number of neighbours that a gateway is told, so that some remain when several fail together.
const MAX_NEIGHBOURS: usize = 4;

/// Returns the neighbours of a gateway. Each gateway ranks the others by a hash of both names, which spreads
/// the requests of gateways that lose their links together.
pub(super) fn choose_neighbours(
    own: &EntryKey,
    gateways: &BTreeMap<EntryKey, GatewayState>,
) -> Vec<Neighbour> {
    let rank = |other: &EntryKey| {
        let mut hasher = DefaultHasher::new();
        (&own.vm, &other.vm).hash(&mut hasher);
        hasher.finish()
    };
    let others = gateways.iter();
    let others = others.filter(|(key, state)| key.vm != own.vm && !state.is_stranded);
    let mut ranked: Vec<_> = others.map(|(key, state)| (rank(key), state)).collect();
    // Each sync of hundreds of gateways asks for them, so only the nearest ones are sorted.
    if ranked.len() > MAX_NEIGHBOURS {
        ranked.select_nth_unstable_by_key(MAX_NEIGHBOURS, |(rank, _)| *rank);
        ranked.truncate(MAX_NEIGHBOURS);
    }
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let nearest = ranked.iter().map(|(_, state)| Neighbour {
        address: state.load_address,
        data_centre: state.data_centre.clone(),
    });
    nearest.collect()
}
