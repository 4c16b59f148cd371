use std::fmt;

use subtle::ConstantTimeEq;

/// Keyed BLAKE3 hash of a caller's key. Only hashes are stored and sent between processes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// Parses 64 hexadecimal digits.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text).ok().map(Self)
    }

    /// Compares two hashes in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}..)", &self.0.to_hex()[..8])
    }
}

/// Hashes callers' keys with the fleet's secret, so that a leaked configuration reveals no key.
#[derive(Clone)]
pub struct KeyHasher {
    secret: [u8; 32],
}

impl KeyHasher {
    /// Derives the hashing secret from the content of the secret file.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            secret: blake3::derive_key("waxwinglatch caller key hash v1", secret.trim().as_bytes()),
        }
    }

    /// Hashes a caller's key.
    #[must_use]
    pub fn hash(&self, key: &str) -> KeyHash {
        KeyHash(blake3::keyed_hash(&self.secret, key.as_bytes()))
    }
}
