//! Messages between instances. They are encoded by position, without names: variants and fields keep their order, and
//! new variants go last.

use serde::{Deserialize, Serialize};

use crate::notes::Note;
use crate::record::{AttemptId, Record, RecordId};
use crate::{Copies, Micros};

/// Maximum size of the records in one message, so that the message fits into a datagram.
const MAX_RECORDS_BYTES: usize = 1_200;
/// Upper bound of the encoded size of a record without its attempts: id, number of attempts, expiry.
const MAX_RECORD_BYTES: usize = 16 + 1 + 10;
/// Upper bound of the encoded size of one attempt: the three numbers of its id, its stage, and the outcome's two
/// fields.
const MAX_ATTEMPT_BYTES: usize = 3 * 10 + 1 + 1 + 10;

/// A message from one instance to another. Messages may be lost, repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a holder to store this attempt, unless it knows of another attempt that may execute or have executed.
    Offer {
        /// The id of the request's record.
        id: RecordId,
        /// The offered attempt.
        attempt: AttemptId,
        /// When the record expires (Unix time).
        expires: Micros,
    },
    /// The holder accepts the offer: it has stored the attempt.
    OfferAccepted {
        /// The id of the request's record.
        id: RecordId,
        /// The offered attempt.
        attempt: AttemptId,
    },
    /// The holder refuses the offer.
    OfferRefused {
        /// The id of the request's record.
        id: RecordId,
        /// The offered attempt.
        attempt: AttemptId,
        /// The holder's copy of the record; `None` if the offer needs a new record and the holder's store is full.
        known: Option<Record>,
    },
    /// The receiver of the offer can neither accept nor refuse it: it has not caught up with the request's range, is
    /// not a holder of that range, or the offer has expired.
    NotCaughtUp {
        /// The id of the request's record.
        id: RecordId,
        /// The offered attempt.
        attempt: AttemptId,
    },
    /// Asks a holder to merge these copies into its own.
    Write {
        /// Identifies the write in its acknowledgement; 0 asks for no acknowledgement.
        number: u64,
        /// The copies to merge.
        records: Copies,
    },
    /// All copies of a write have been merged.
    WriteAcknowledged {
        /// The `number` of the write.
        number: u64,
    },
    /// Carries digests of the sender's copies of a range, and asks for the records of the buckets that differ.
    CompareDigests {
        /// The range, below [`RANGES`](crate::RANGES).
        range: u8,
        /// The digest of each bucket, in order.
        digests: Vec<u64>,
    },
    /// The result of comparing the digests; records of differing buckets follow as [`Message::Write`]s.
    DigestsCompared {
        /// The range, below [`RANGES`](crate::RANGES).
        range: u8,
        /// Whether all digests were equal.
        equal: bool,
        /// Whether the sender of this message has caught up with the range.
        caught_up: bool,
        /// The buckets whose digests differ, one bit each. The receiver sends its records of these buckets back.
        differing: u64,
    },
    /// Notes about servers, to be merged.
    Notes(Vec<Note>),
}

/// Splits records into parts that each fit into one message.
pub(crate) fn split_into_messages(records: Copies) -> Vec<Copies> {
    let mut parts: Vec<Copies> = Vec::new();
    let mut free_bytes = 0;
    for (id, record) in records {
        let max_encoded_bytes = MAX_RECORD_BYTES + record.attempts() * MAX_ATTEMPT_BYTES;
        if max_encoded_bytes > free_bytes {
            parts.push(Vec::new());
            free_bytes = MAX_RECORDS_BYTES;
        }
        free_bytes = free_bytes.saturating_sub(max_encoded_bytes);
        if let Some(part) = parts.last_mut() {
            part.push((id, record));
        }
    }
    parts
}
