//! Keyed fingerprints of idempotency keys and bodies, and the canonical form of a body, which does not depend on how it
//! was written.

use serde_json::Value;

/// Separates this program's keys from those of others that derive them from the same material.
const KEY_CONTEXT: &str = "dewladder 2026-12-01 fingerprints of repeated requests";

/// 128 bits of a keyed hash. Two requests with the same one are taken for the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u64; 2]);

impl Fingerprint {
    /// Bits for a hash table: to anybody without the secret, all bits of a fingerprint are as good as random.
    #[must_use]
    pub fn hash_bits(self) -> u64 {
        self.0[0]
    }
}

/// Makes fingerprints under a secret, so that nobody outside can make two requests collide.
#[derive(Clone)]
pub struct Fingerprinter {
    secret: [u8; 32],
}

impl std::fmt::Debug for Fingerprinter {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str("Fingerprinter(secret)")
    }
}

impl Fingerprinter {
    /// Under the secret that is derived from `material`, of which nobody outside may know all.
    #[must_use]
    pub fn new(material: &[u8]) -> Self {
        Self { secret: blake3::derive_key(KEY_CONTEXT, material) }
    }

    /// The fingerprint of `parts` in a domain of its own. Each part goes in with its length: `("ab", "c")` is
    /// not `("a", "bc")`, and a key never collides with a body.
    #[must_use]
    pub fn fingerprint(&self, domain: &str, parts: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in std::iter::once(domain.as_bytes()).chain(parts.iter().copied()) {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let word = |at: usize| {
            let bytes = &hash.as_bytes()[at..at + 8];
            bytes.iter().fold(0, |bits, byte| bits << 8 | u64::from(*byte))
        };
        Fingerprint([word(0), word(8)])
    }
}

/// A body's canonical text: without blanks, the names of each object in order. Numbers stay as they were written
/// as far as the parser keeps them: libraries repeat a body byte for byte, and two bodies that differ must never
/// be taken for the same.
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
            for (at, name) in names.into_iter().enumerate() {
                if at > 0 {
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
            for (at, item) in items.iter().enumerate() {
                if at > 0 {
                    text.push(b',');
                }
                write_value(item, text);
            }
            text.push(b']');
        }
        plain => text.extend(plain.to_string().bytes()),
    }
}
