use std::collections::HashMap;

use super::PlacementInput;

/// Iterations that distribute the demand for models over their copies.
const ITERATIONS: usize = 24;

/// Estimates the demand that each engine serves. Gateways prefer copies on less loaded engines, so
/// the demand for each model is distributed over its copies iteratively, with weights that fall
/// with the load of the engine in the previous iteration.
pub fn estimate_engine_loads(input: &PlacementInput) -> Vec<f64> {
    let mut loads = vec![0.0; input.engines.len()];
    let mut holders: HashMap<&str, Vec<(usize, f64)>> = HashMap::new();
    for (index, engine) in input.engines.iter().enumerate() {
        let models = engine.models.iter().filter(|_| engine.is_available);
        let reserved = engine.reserved_for.iter().filter(|model| {
            // A reserved model that is already loading must not count twice.
            engine.is_available && !engine.models.contains(model)
        });
        for model in models.chain(reserved) {
            let engines = holders.entry(model.as_str()).or_default();
            engines.push((index, 1.0));
        }
    }
    let mut distributions: Vec<(f64, Vec<(usize, f64)>)> = Vec::new();
    for need in input
        .models
        .iter()
        .filter(|need| need.tokens_per_second > 0.0)
    {
        let holders = holders.remove(need.id.as_str()).unwrap_or_default();
        distributions.push((need.tokens_per_second, holders));
    }
    // Keeps the weights finite on engines without load.
    let floor = distributions.iter().map(|(demand, _)| demand).sum::<f64>() * 1e-3 + 1e-9;
    for iteration in 0..ITERATIONS {
        let previous = loads.clone();
        loads.fill(0.0);
        for (demand, holders) in &mut distributions {
            if iteration > 0 {
                for (index, weight) in holders.iter_mut() {
                    *weight /= (previous[*index] + floor).sqrt();
                }
            }
            let sum: f64 = holders.iter().map(|(_, weight)| weight).sum();
            for (index, weight) in holders.iter_mut() {
                *weight /= sum;
                loads[*index] += *demand * *weight;
            }
        }
    }
    loads
}
