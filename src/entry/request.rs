use serde::Deserialize;

use crate::ids::ModelId;

/// The fields of a model request that routing needs; the rest passes through.
#[derive(Debug, Deserialize)]
pub struct ModelRequest {
    /// Model or adapter.
    pub model: ModelId,
}
