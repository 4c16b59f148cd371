//! Types of the operator's configuration, generated from `schema/fleet.schema.json`.
//!
//! Regenerate them with `UPDATE_BORDER=1 cargo test --test border`; see docs/operators.md.
#![allow(missing_docs, clippy::pedantic, clippy::all)]

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///An adapter of a model; callers address it as a model.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An adapter of a model; callers address it as a model.",
///  "type": "object",
///  "required": [
///    "id",
///    "memory_mib",
///    "model",
///    "version"
///  ],
///  "properties": {
///    "id": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "memory_mib": {
///      "description": "Memory on each accelerator that the model copy spans, in MiB.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "model": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "residency": {
///      "default": "on_demand",
///      "$ref": "#/definitions/ResidencyPolicy"
///    },
///    "version": {
///      "$ref": "#/definitions/Identifier"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AdapterConfig {
    pub id: ::compact_str::CompactString,
    ///Memory on each accelerator that the model copy spans, in MiB.
    pub memory_mib: u64,
    pub model: ::compact_str::CompactString,
    #[serde(default = "defaults::adapter_config_residency")]
    pub residency: ResidencyPolicy,
    pub version: ::compact_str::CompactString,
}
impl ::std::convert::From<&AdapterConfig> for AdapterConfig {
    fn from(value: &AdapterConfig) -> Self {
        value.clone()
    }
}
///The whole configuration of a fleet, as operators write and apply it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "FleetConfig",
///  "description": "The whole configuration of a fleet, as operators write and apply it.",
///  "type": "object",
///  "required": [
///    "models",
///    "routes",
///    "targets",
///    "teams",
///    "weight_store"
///  ],
///  "properties": {
///    "adapters": {
///      "default": [],
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/AdapterConfig"
///      }
///    },
///    "keys": {
///      "default": [],
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/KeyConfig"
///      }
///    },
///    "models": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ModelConfig"
///      }
///    },
///    "routes": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/RouteConfig"
///      }
///    },
///    "targets": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TargetConfig"
///      }
///    },
///    "teams": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TeamConfig"
///      }
///    },
///    "weight_store": {
///      "$ref": "#/definitions/WeightStoreConfig"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub adapters: ::std::vec::Vec<AdapterConfig>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub keys: ::std::vec::Vec<KeyConfig>,
    pub models: ::std::vec::Vec<ModelConfig>,
    pub routes: ::std::vec::Vec<RouteConfig>,
    pub targets: ::std::vec::Vec<TargetConfig>,
    pub teams: ::std::vec::Vec<TeamConfig>,
    pub weight_store: WeightStoreConfig,
}
impl ::std::convert::From<&FleetConfig> for FleetConfig {
    fn from(value: &FleetConfig) -> Self {
        value.clone()
    }
}
///A caller's key, known only by its keyed hash.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A caller's key, known only by its keyed hash.",
///  "type": "object",
///  "required": [
///    "hash",
///    "id",
///    "team"
///  ],
///  "properties": {
///    "hash": {
///      "description": "BLAKE3 keyed hash of the key, as 64 hexadecimal digits.",
///      "type": "string"
///    },
///    "id": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "priority": {
///      "description": "Highest priority that requests with this key may have; 0 is the lowest and 9 the highest.",
///      "default": 4,
///      "type": "integer",
///      "format": "uint8",
///      "minimum": 0.0
///    },
///    "team": {
///      "$ref": "#/definitions/Identifier"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    ///BLAKE3 keyed hash of the key, as 64 hexadecimal digits.
    pub hash: ::std::string::String,
    pub id: ::compact_str::CompactString,
    ///Highest priority that requests with this key may have; 0 is the lowest and 9 the highest.
    #[serde(default = "defaults::default_u64::<u8, 4>")]
    pub priority: u8,
    pub team: ::compact_str::CompactString,
}
impl ::std::convert::From<&KeyConfig> for KeyConfig {
    fn from(value: &KeyConfig) -> Self {
        value.clone()
    }
}
///A model and the version that is to be served.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A model and the version that is to be served.",
///  "type": "object",
///  "required": [
///    "id",
///    "memory_mib",
///    "version"
///  ],
///  "properties": {
///    "id": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "max_tokens_default": {
///      "description": "Generated tokens assumed when a request does not say.",
///      "default": 256,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "memory_mib": {
///      "description": "Memory that the model takes on each accelerator it spans, in MiB.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "min_copies": {
///      "description": "Copies to keep resident when the policy is 'pinned'.",
///      "default": 1,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "residency": {
///      "default": "on_demand",
///      "$ref": "#/definitions/ResidencyPolicy"
///    },
///    "span": {
///      "description": "Number of accelerators of one target that one copy spans.",
///      "default": 1,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "version": {
///      "$ref": "#/definitions/Identifier"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    pub id: ::compact_str::CompactString,
    ///Generated tokens assumed when a request does not say.
    #[serde(default = "defaults::default_u64::<u64, 256>")]
    pub max_tokens_default: u64,
    ///Memory that the model takes on each accelerator it spans, in MiB.
    pub memory_mib: u64,
    ///Copies to keep resident when the policy is 'pinned'.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub min_copies: u32,
    #[serde(default = "defaults::model_config_residency")]
    pub residency: ResidencyPolicy,
    ///Number of accelerators of one target that one copy spans.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub span: u32,
    pub version: ::compact_str::CompactString,
}
impl ::std::convert::From<&ModelConfig> for ModelConfig {
    fn from(value: &ModelConfig) -> Self {
        value.clone()
    }
}
///Whether copies must stay resident or follow demand.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Whether copies must stay resident or follow demand.",
///  "type": "string",
///  "enum": [
///    "pinned",
///    "on_demand"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ResidencyPolicy {
    #[serde(rename = "pinned")]
    Pinned,
    #[serde(rename = "on_demand")]
    OnDemand,
}
impl ::std::convert::From<&Self> for ResidencyPolicy {
    fn from(value: &ResidencyPolicy) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ResidencyPolicy {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Pinned => f.write_str("pinned"),
            Self::OnDemand => f.write_str("on_demand"),
        }
    }
}
impl ::std::str::FromStr for ResidencyPolicy {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "pinned" => Ok(Self::Pinned),
            "on_demand" => Ok(Self::OnDemand),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ResidencyPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ResidencyPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ResidencyPolicy {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Whether a key is needed.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Whether a key is needed.",
///  "type": "string",
///  "enum": [
///    "keyed",
///    "open"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RouteAccess {
    #[serde(rename = "keyed")]
    Keyed,
    #[serde(rename = "open")]
    Open,
}
impl ::std::convert::From<&Self> for RouteAccess {
    fn from(value: &RouteAccess) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RouteAccess {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Keyed => f.write_str("keyed"),
            Self::Open => f.write_str("open"),
        }
    }
}
impl ::std::str::FromStr for RouteAccess {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "keyed" => Ok(Self::Keyed),
            "open" => Ok(Self::Open),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RouteAccess {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RouteAccess {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteAccess {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Maps a path prefix to the model interface or to a plain service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Maps a path prefix to the model interface or to a plain service.",
///  "type": "object",
///  "required": [
///    "id",
///    "kind",
///    "path_prefix"
///  ],
///  "properties": {
///    "access": {
///      "default": "keyed",
///      "$ref": "#/definitions/RouteAccess"
///    },
///    "id": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "idempotency": {
///      "default": "by_method",
///      "$ref": "#/definitions/RouteIdempotency"
///    },
///    "key_cookie": {
///      "description": "Cookie that may carry the key.",
///      "type": "string"
///    },
///    "key_header": {
///      "description": "Header besides Authorization that may carry the key.",
///      "type": "string"
///    },
///    "key_query": {
///      "description": "Query parameter that may carry the key.",
///      "type": "string"
///    },
///    "kind": {
///      "$ref": "#/definitions/RouteKind"
///    },
///    "max_body_bytes": {
///      "description": "Largest request body, in bytes.",
///      "default": 4194304,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "path_prefix": {
///      "description": "Path prefix that this route serves; the longest match wins.",
///      "type": "string"
///    },
///    "request_tokens": {
///      "description": "Tokens that one request to a plain service costs.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "service": {
///      "description": "Service whose targets receive the requests; for kind 'service' only.",
///      "$ref": "#/definitions/Identifier"
///    },
///    "timeout_ms": {
///      "description": "Time within which the first byte of the answer must come, in milliseconds.",
///      "default": 30000,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    #[serde(default = "defaults::route_config_access")]
    pub access: RouteAccess,
    pub id: ::compact_str::CompactString,
    #[serde(default = "defaults::route_config_idempotency")]
    pub idempotency: RouteIdempotency,
    ///Cookie that may carry the key.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub key_cookie: ::std::option::Option<::std::string::String>,
    ///Header besides Authorization that may carry the key.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub key_header: ::std::option::Option<::std::string::String>,
    ///Query parameter that may carry the key.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub key_query: ::std::option::Option<::std::string::String>,
    pub kind: RouteKind,
    ///Largest request body, in bytes.
    #[serde(default = "defaults::default_u64::<u64, 4194304>")]
    pub max_body_bytes: u64,
    ///Path prefix that this route serves; the longest match wins.
    pub path_prefix: ::std::string::String,
    ///Tokens that one request to a plain service costs.
    #[serde(default)]
    pub request_tokens: u64,
    ///Service whose targets receive the requests; for kind 'service' only.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::compact_str::CompactString>,
    ///Time within which the first byte of the answer must come, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub timeout_ms: u64,
}
impl ::std::convert::From<&RouteConfig> for RouteConfig {
    fn from(value: &RouteConfig) -> Self {
        value.clone()
    }
}
///Which requests may be repeated: by HTTP method, all of them, or none; 'claimed' demands an Idempotency-Key for methods that change state.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Which requests may be repeated: by HTTP method, all of them, or none; 'claimed' demands an Idempotency-Key for methods that change state.",
///  "type": "string",
///  "enum": [
///    "by_method",
///    "idempotent",
///    "non_idempotent",
///    "claimed"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RouteIdempotency {
    #[serde(rename = "by_method")]
    ByMethod,
    #[serde(rename = "idempotent")]
    Idempotent,
    #[serde(rename = "non_idempotent")]
    NonIdempotent,
    #[serde(rename = "claimed")]
    Claimed,
}
impl ::std::convert::From<&Self> for RouteIdempotency {
    fn from(value: &RouteIdempotency) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RouteIdempotency {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::ByMethod => f.write_str("by_method"),
            Self::Idempotent => f.write_str("idempotent"),
            Self::NonIdempotent => f.write_str("non_idempotent"),
            Self::Claimed => f.write_str("claimed"),
        }
    }
}
impl ::std::str::FromStr for RouteIdempotency {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "by_method" => Ok(Self::ByMethod),
            "idempotent" => Ok(Self::Idempotent),
            "non_idempotent" => Ok(Self::NonIdempotent),
            "claimed" => Ok(Self::Claimed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RouteIdempotency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RouteIdempotency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteIdempotency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///`RouteKind`
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "type": "string",
///  "enum": [
///    "model",
///    "service"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RouteKind {
    #[serde(rename = "model")]
    Model,
    #[serde(rename = "service")]
    Service,
}
impl ::std::convert::From<&Self> for RouteKind {
    fn from(value: &RouteKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RouteKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Model => f.write_str("model"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for RouteKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "model" => Ok(Self::Model),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RouteKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RouteKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A model engine or one instance of a plain service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A model engine or one instance of a plain service.",
///  "type": "object",
///  "required": [
///    "address",
///    "data_centre",
///    "id",
///    "kind",
///    "vm"
///  ],
///  "properties": {
///    "accelerator_memory_mib": {
///      "description": "Memory of each accelerator that models may fill, in MiB.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "accelerators": {
///      "description": "Number of accelerators of an engine.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "address": {
///      "description": "IP address and port, such as 127.0.0.1:9000.",
///      "type": "string"
///    },
///    "checks_fencing": {
///      "description": "Whether the engine refuses orders with an old fencing number.",
///      "default": false,
///      "type": "boolean"
///    },
///    "checks_origin": {
///      "description": "Whether the engine checks who gives an order.",
///      "default": false,
///      "type": "boolean"
///    },
///    "data_centre": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "draining": {
///      "description": "Whether the operator is taking the target out of service.",
///      "default": false,
///      "type": "boolean"
///    },
///    "id": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "kind": {
///      "$ref": "#/definitions/TargetKind"
///    },
///    "service": {
///      "description": "Service that this target belongs to; for kind 'service' only.",
///      "$ref": "#/definitions/Identifier"
///    },
///    "slots": {
///      "description": "Requests that the target runs at once.",
///      "default": 16,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "vm": {
///      "$ref": "#/definitions/Identifier"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TargetConfig {
    ///Memory of each accelerator that models may fill, in MiB.
    #[serde(default)]
    pub accelerator_memory_mib: u64,
    ///Number of accelerators of an engine.
    #[serde(default)]
    pub accelerators: u32,
    ///IP address and port, such as 127.0.0.1:9000.
    pub address: ::std::string::String,
    ///Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    ///Whether the engine checks who gives an order.
    #[serde(default)]
    pub checks_origin: bool,
    pub data_centre: ::compact_str::CompactString,
    ///Whether the operator is taking the target out of service.
    #[serde(default)]
    pub draining: bool,
    pub id: ::compact_str::CompactString,
    pub kind: TargetKind,
    ///Service that this target belongs to; for kind 'service' only.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::compact_str::CompactString>,
    ///Requests that the target runs at once.
    #[serde(default = "defaults::default_u64::<u32, 16>")]
    pub slots: u32,
    pub vm: ::compact_str::CompactString,
}
impl ::std::convert::From<&TargetConfig> for TargetConfig {
    fn from(value: &TargetConfig) -> Self {
        value.clone()
    }
}
///`TargetKind`
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "type": "string",
///  "enum": [
///    "engine",
///    "service"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum TargetKind {
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "service")]
    Service,
}
impl ::std::convert::From<&Self> for TargetKind {
    fn from(value: &TargetKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for TargetKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Engine => f.write_str("engine"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for TargetKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TargetKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for TargetKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TargetKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A tenant with its share of the fleet.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A tenant with its share of the fleet.",
///  "type": "object",
///  "required": [
///    "burst_tokens",
///    "id",
///    "rate_tokens_per_second"
///  ],
///  "properties": {
///    "burst_tokens": {
///      "description": "Most tokens that the team may use at once, over all VMs.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "id": {
///      "$ref": "#/definitions/Identifier"
///    },
///    "rate_tokens_per_second": {
///      "description": "Tokens a second that the team may use on average, over all VMs.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "weight": {
///      "description": "Relative share of capacity that is short.",
///      "default": 1,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    ///Most tokens that the team may use at once, over all VMs.
    pub burst_tokens: u64,
    pub id: ::compact_str::CompactString,
    ///Tokens a second that the team may use on average, over all VMs.
    pub rate_tokens_per_second: u64,
    ///Relative share of capacity that is short.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub weight: u32,
}
impl ::std::convert::From<&TeamConfig> for TeamConfig {
    fn from(value: &TeamConfig) -> Self {
        value.clone()
    }
}
///Limits of the store that engines load weights from.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Limits of the store that engines load weights from.",
///  "type": "object",
///  "required": [
///    "concurrent_loads",
///    "loads_per_second"
///  ],
///  "properties": {
///    "concurrent_adapter_loads": {
///      "description": "Adapter loads in flight before they slow down.",
///      "default": 15,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "concurrent_loads": {
///      "description": "Model loads at once at full speed.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "loads_per_second": {
///      "description": "Model loads started a second.",
///      "type": "number",
///      "format": "double"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreConfig {
    ///Adapter loads in flight before they slow down.
    #[serde(default = "defaults::default_u64::<u32, 15>")]
    pub concurrent_adapter_loads: u32,
    ///Model loads at once at full speed.
    pub concurrent_loads: u32,
    pub loads_per_second: f64,
}
impl ::std::convert::From<&WeightStoreConfig> for WeightStoreConfig {
    fn from(value: &WeightStoreConfig) -> Self {
        value.clone()
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn adapter_config_residency() -> super::ResidencyPolicy {
        super::ResidencyPolicy::OnDemand
    }
    pub(super) fn model_config_residency() -> super::ResidencyPolicy {
        super::ResidencyPolicy::OnDemand
    }
    pub(super) fn route_config_access() -> super::RouteAccess {
        super::RouteAccess::Keyed
    }
    pub(super) fn route_config_idempotency() -> super::RouteIdempotency {
        super::RouteIdempotency::ByMethod
    }
}
