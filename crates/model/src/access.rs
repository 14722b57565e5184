//! Access keys of customers and operators.

use std::fmt;
use std::hash;

use serde::{Deserialize, Serialize};
use sha2::Digest;
use subtle::ConstantTimeEq;

use crate::error::{Error, Result};

/// Random bytes in an access key.
const KEY_BYTES: usize = 32;

/// Bytes of a SHA-256 digest.
const HASH_BYTES: usize = 32;

/// Secret that a caller or operator presents as a bearer token.
///
/// It is shown only once, when it is granted. Its `Debug` output hides the secret.
pub struct AccessKey(String);

impl AccessKey {
    /// Creates a random key of 256 bits, written in hexadecimal.
    pub fn generate() -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        Self(to_hex(&bytes))
    }

    /// Returns the secret as text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest that is stored in place of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccessKey(..)")
    }
}

/// SHA-256 digest of an access key, the only form in which keys are stored.
///
/// Comparison for equality takes constant time.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Returns the digest of `secret`.
    pub fn of(secret: &str) -> Self {
        Self(sha2::Sha256::digest(secret.as_bytes()).into())
    }

    /// Parses a digest of 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not exactly 64 lower-case hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self> {
        let invalid = || Error::invalid_name("key hash", text);
        let digits = text.as_bytes();
        if digits.len() != HASH_BYTES * 2 {
            return Err(invalid());
        }
        let mut hash = [0; HASH_BYTES];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            let high = hex_value(pair[0]).ok_or_else(invalid)?;
            let low = hex_value(pair[1]).ok_or_else(invalid)?;
            *byte = high << 4 | low;
        }
        Ok(Self(hash))
    }

    /// Returns the digest in hexadecimal.
    pub fn to_hex(&self) -> String {
        to_hex(&self.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({})", &self.to_hex()[..8])
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_hex()
    }
}

impl hash::Hash for KeyHash {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl TryFrom<String> for KeyHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::from_hex(&text)
    }
}

/// Encodes `bytes` in lower-case hexadecimal.
fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the value of one lower-case hexadecimal digit.
fn hex_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
