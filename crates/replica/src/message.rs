//! Messages between instances. The order of variants and fields is the order of encoding: new ones go last.

use serde::{Deserialize, Serialize};

use crate::notes::Note;
use crate::record::{AttemptId, Record, RecordId};
use crate::{Copies, Micros};

/// Space for records in one message, so that it fits into a datagram.
const MAX_RECORDS_BYTES: usize = 1_200;
/// Upper bounds of the encoded size of a record and of each of its attempts.
const MAX_RECORD_BYTES: usize = 16 + 1 + 10;
const MAX_ATTEMPT_BYTES: usize = 3 * 10 + 1 + 1 + 10;

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Hold this attempt, unless another one is known that may execute.
    Offer {
        /// The request.
        id: RecordId,
        /// The attempt.
        attempt: AttemptId,
        /// When its record expires.
        expires: Micros,
    },
    /// The offer is accepted: this holder has the record.
    OfferAccepted {
        /// The request.
        id: RecordId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The offer is refused.
    OfferRefused {
        /// The request.
        id: RecordId,
        /// The attempt that was offered.
        attempt: AttemptId,
        /// What this holder knows of the request; absent where it has no room for more records.
        known: Option<Record>,
    },
    /// This holder has not caught up with the request's range: it can neither accept nor refuse.
    NotCaughtUp {
        /// The request.
        id: RecordId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Merge these copies.
    Write {
        /// Returned in the answer; 0 where none is wanted.
        number: u64,
        /// The copies.
        records: Copies,
    },
    /// The copies are merged.
    WriteAcknowledged {
        /// Of the write.
        number: u64,
    },
    /// Digests of the sender's copies of a range: send the records of the buckets that differ.
    CompareDigests {
        /// The range.
        range: u8,
        /// Of each bucket.
        digests: Vec<u64>,
    },
    /// The result of a comparison.
    DigestsCompared {
        /// The range.
        range: u8,
        /// All digests were equal.
        equal: bool,
        /// The sender of this message has caught up with that range.
        caught_up: bool,
        /// Buckets that differ, as bits: send their records back.
        differing: u64,
    },
    /// Notes about servers.
    Notes(Vec<Note>),
}

/// Records in parts that each fit into a datagram.
pub(crate) fn split_into_messages(records: Copies) -> Vec<Copies> {
    let mut parts: Vec<Copies> = Vec::new();
    let mut room_bytes = 0;
    for (id, record) in records {
        let bytes = MAX_RECORD_BYTES + record.attempts() * MAX_ATTEMPT_BYTES;
        if bytes > room_bytes {
            parts.push(Vec::new());
            room_bytes = MAX_RECORDS_BYTES;
        }
        room_bytes = room_bytes.saturating_sub(bytes);
        if let Some(part) = parts.last_mut() {
            part.push((id, record));
        }
    }
    parts
}
