//! Keyed fingerprints of idempotency keys and bodies, and the canonical form of a JSON body, which does not depend on
//! its whitespace or on the order of its fields.

use serde_json::Value;

/// The context string of the key derivation, so that no other program derives the same secret from the same material.
const KEY_CONTEXT: &str = "dewladder 2026-12-01 fingerprints of repeated requests";

/// 128 bits of a keyed hash. Two requests with equal fingerprints count as the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u64; 2]);

impl Fingerprint {
    /// Half of the fingerprint as a hash for a hash table, which needs no further hashing: without the secret, the
    /// bits are indistinguishable from random ones.
    #[must_use]
    pub fn hash_bits(self) -> u64 {
        self.0[0]
    }
}

/// Computes fingerprints with a secret, so that clients cannot construct two requests that collide.
#[derive(Clone)]
pub struct Fingerprinter {
    secret: [u8; 32],
}

impl std::fmt::Debug for Fingerprinter {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Fingerprinter(secret)")
    }
}

impl Fingerprinter {
    /// Derives the secret from `material`, which must not be fully known outside the program.
    #[must_use]
    pub fn new(material: &[u8]) -> Self {
        Self { secret: blake3::derive_key(KEY_CONTEXT, material) }
    }

    /// The fingerprint of `parts` within `domain`. The domain and each part are hashed with their lengths, so that
    /// `("ab", "c")` and `("a", "bc")` differ, and a key never collides with a body, which is in another domain.
    #[must_use]
    pub fn fingerprint(&self, domain: &str, parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in std::iter::once(domain.as_bytes()).chain(parts.iter().copied()) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let word = |position: usize| {
            let bytes = &hash.as_bytes()[position..position + 8];
            bytes.iter().fold(0, |bits, byte| bits << 8 | u64::from(*byte))
        };
        Fingerprint([word(0), word(8)])
    }
}

/// The canonical text of a JSON body: without whitespace, and with the fields of each object sorted by name. Numbers
/// stay as they were written, as far as the parser keeps that: client libraries repeat a body byte for byte, and two
/// bodies that differ must never count as the same.
#[must_use]
pub fn canonical_json(body: &Value) -> Vec<u8> {
    let mut text = Vec::new();
    write_value(body, &mut text);
    text
}

fn write_value(value: &Value, text: &mut Vec<u8>) {
    match value {
        Value::Object(fields) => {
            let mut names: Vec<&String> = fields.keys().collect();
            names.sort_unstable();
            text.push(b'{');
            for (position, name) in names.into_iter().enumerate() {
                if position > 0 {
                    text.push(b',');
                }
                text.extend(Value::String(name.clone()).to_string().bytes());
                text.push(b':');
                write_value(&fields[name], text);
            }
            text.push(b'}');
        }
        Value::Array(items) => {
            text.push(b'[');
            for (position, item) in items.iter().enumerate() {
                if position > 0 {
                    text.push(b',');
                }
                write_value(item, text);
            }
            text.push(b']');
        }
        scalar => text.extend(scalar.to_string().bytes()),
    }
}
