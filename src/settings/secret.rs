//! Secret keys and digests of keys and tokens.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The minimum length of a [`SecretKey`], in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// A secret key without surrounding white space, redacted in `Debug` output.
#[derive(Clone)]
pub struct SecretKey(Vec<u8>);

/// The reason why a secret or a digest is invalid.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SecretError {
    /// The secret is too short to resist guessing.
    #[error("the secret has {length} bytes; expected at least {MIN_SECRET_BYTES}")]
    TooShort {
        /// The actual length, in bytes.
        length: usize,
    },
    /// The text is not a BLAKE3 digest in hexadecimal.
    #[error("expected a BLAKE3 digest of 64 hexadecimal digits")]
    Digest,
}

impl SecretKey {
    /// Returns the bytes of the secret, which must not be logged.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(..)")
    }
}

impl TryFrom<Vec<u8>> for SecretKey {
    type Error = SecretError;

    fn try_from(secret: Vec<u8>) -> Result<Self, SecretError> {
        let secret = secret.trim_ascii();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(SecretError::TooShort {
                length: secret.len(),
            });
        }
        Ok(Self(secret.to_owned()))
    }
}

/// The BLAKE3 digest of a key or token, compared in constant time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Computes the digest of a key or token.
    ///
    /// # Examples
    ///
    /// ```
    /// use borageladder::settings::KeyDigest;
    ///
    /// let digest = KeyDigest::of("a workspace key");
    /// assert_eq!(digest.to_string().parse(), Ok(digest));
    /// assert_ne!(digest, KeyDigest::of("another key"));
    /// ```
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl FromStr for KeyDigest {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        let digest = blake3::Hash::from_hex(text);
        digest.map(Self).or(Err(SecretError::Digest))
    }
}
