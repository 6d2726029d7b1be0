//! Digests of the keys by which callers are known.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a digest in bytes: half of SHA-256, which leaves no chance of two keys with one digest.
const DIGEST_BYTES: usize = 16;
/// Number of bytes that [`fmt::Display`] shows.
const SHOWN_BYTES: usize = 4;

/// Digest of a key. It stands for the key in the state, in messages and in logs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// ```
    /// use accounts::KeyDigest;
    /// assert_eq!(KeyDigest::of("a"), KeyDigest::of("a"));
    /// assert_ne!(KeyDigest::of("a"), KeyDigest::of("b"));
    /// ```
    pub fn of(key: &str) -> KeyDigest {
        let full = Sha256::digest(key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        KeyDigest(digest)
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Shows the first bytes, enough to tell the keys of a configuration apart.
impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
