use std::collections::HashMap;

use super::PlacementInput;

/// Rounds in which the demand for models is spread over their copies.
const SPREAD_ROUNDS: usize = 24;

/// Spreads the demand for each model over its copies the way gateways do, which prefer the less
/// loaded ones, and returns the demand that each engine carries.
pub fn spread_demand(input: &PlacementInput) -> Vec<f64> {
    let mut loads = vec![0.0; input.engines.len()];
    let mut holders: HashMap<&str, Vec<(usize, f64)>> = HashMap::new();
    for (number, engine) in input.engines.iter().enumerate() {
        let held = engine.models.iter().filter(|_| engine.is_available);
        let reserved = engine.reserved_for.iter().filter(|model| {
            // A model that is reserved and loading counts once.
            engine.is_available && !engine.models.contains(model)
        });
        for model in held.chain(reserved) {
            let engines = holders.entry(model.as_str()).or_default();
            engines.push((number, 1.0));
        }
    }
    let mut shares: Vec<(f64, Vec<(usize, f64)>)> = Vec::new();
    for need in input
        .models
        .iter()
        .filter(|need| need.tokens_per_second > 0.0)
    {
        let holders = holders.remove(need.id.as_str()).unwrap_or_default();
        shares.push((need.tokens_per_second, holders));
    }
    let floor = shares.iter().map(|(demand, _)| demand).sum::<f64>() * 1e-3 + 1e-9;
    for round in 0..SPREAD_ROUNDS {
        let former = loads.clone();
        loads.fill(0.0);
        for (demand, holders) in &mut shares {
            if round > 0 {
                for (number, weight) in holders.iter_mut() {
                    *weight /= (former[*number] + floor).sqrt();
                }
            }
            let sum: f64 = holders.iter().map(|(_, weight)| weight).sum();
            for (number, weight) in holders.iter_mut() {
                *weight /= sum;
                loads[*number] += *demand * *weight;
            }
        }
    }
    loads
}
