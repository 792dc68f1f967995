//! Follows a chunked body (RFC 9112, section 7.1) to its end. It accepts no more than hyper does: where the two could
//! differ, the end is not known.

/// Maximum number of digits of a chunk's size; more might not fit into 64 bits.
const MAX_SIZE_DIGITS: u32 = 16;

/// The position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkedBody {
    /// In the size of a chunk, with its value and number of digits so far.
    Size { value: u64, digits: u32 },
    /// In a chunk extension, which is ignored.
    Extension { size: u64 },
    /// After the carriage return that ends the line of the size.
    SizeLineFeed { size: u64 },
    /// In the data of a chunk, with the number of bytes that remain.
    Data { remaining: u64 },
    /// After the data of a chunk.
    DataCarriageReturn,
    /// After the carriage return that follows the data of a chunk.
    DataLineFeed,
    /// At the start of a trailer line, or of the empty line that ends the body.
    TrailerStart,
    /// In a trailer line.
    Trailer,
    /// After the carriage return of a trailer line.
    TrailerLineFeed,
    /// After the carriage return of the empty line that ends the body.
    EndLineFeed,
}

/// What lies behind bytes that were followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Boundary {
    /// The data of a chunk of this size (bytes) begins.
    ChunkBegins { size: u64 },
    /// A chunk has ended, with the line end behind its data.
    ChunkEnds,
    /// The body has ended, with its last chunk and the trailers.
    BodyEnds,
}

/// What came of following some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Followed {
    /// All bytes belong to the body, which goes on.
    GoesOn,
    /// The body ends after this many of the bytes.
    EndsAfter(usize),
    /// The bytes are no chunked body, so its end can't be known.
    Malformed,
}

impl ChunkedBody {
    /// The position at the beginning of a body.
    pub(crate) fn start() -> Self {
        Self::Size { value: 0, digits: 0 }
    }

    /// Follows received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Followed {
        let mut at = 0;
        while at < bytes.len() {
            let Some((length, boundary)) = self.advance(&bytes[at..]) else { return Followed::Malformed };
            at += length;
            if boundary == Some(Boundary::BodyEnds) {
                return Followed::EndsAfter(at);
            }
        }
        Followed::GoesOn
    }

    /// Follows some of these bytes, at least one and no further than the next boundary. Returns how many and the boundary
    /// behind them, if there is one; `None` if the bytes are no chunked body.
    pub(crate) fn advance(&mut self, bytes: &[u8]) -> Option<(usize, Option<Boundary>)> {
        if let Self::Data { remaining } = self {
            let length = usize::try_from(*remaining).unwrap_or(usize::MAX).min(bytes.len());
            *remaining -= length as u64;
            if *remaining == 0 {
                *self = Self::DataCarriageReturn;
            }
            return Some((length, None));
        }
        let byte = *bytes.first()?;
        if (*self, byte) == (Self::EndLineFeed, b'\n') {
            return Some((1, Some(Boundary::BodyEnds)));
        }
        let before = std::mem::replace(self, self.after(byte)?);
        let boundary = match (before, *self) {
            (Self::SizeLineFeed { size }, Self::Data { .. }) => Some(Boundary::ChunkBegins { size }),
            (Self::DataLineFeed, Self::Size { .. }) => Some(Boundary::ChunkEnds),
            _ => None,
        };
        Some((1, boundary))
    }

    /// The position after a byte that is not data of a chunk; `None` if the byte is not allowed there.
    fn after(self, byte: u8) -> Option<Self> {
        Some(match (self, byte) {
            (Self::Size { value, digits }, byte) if byte.is_ascii_hexdigit() => {
                let digit = u64::from(char::from(byte).to_digit(16)?);
                let digits = Some(digits + 1).filter(|&digits| digits <= MAX_SIZE_DIGITS)?;
                Self::Size { value: value * 16 + digit, digits }
            }
            (Self::Size { value, digits: 1.. }, b'\r') => Self::SizeLineFeed { size: value },
            (Self::Size { value, digits: 1.. }, b';' | b' ' | b'\t') => Self::Extension { size: value },
            (Self::Extension { size }, b'\r') => Self::SizeLineFeed { size },
            (extension @ Self::Extension { .. }, byte) if byte != b'\n' => extension,
            (Self::SizeLineFeed { size: 0 } | Self::TrailerLineFeed, b'\n') => Self::TrailerStart,
            (Self::SizeLineFeed { size }, b'\n') => Self::Data { remaining: size },
            (Self::DataCarriageReturn, b'\r') => Self::DataLineFeed,
            (Self::DataLineFeed, b'\n') => Self::start(),
            (Self::TrailerStart, b'\r') => Self::EndLineFeed,
            (Self::Trailer, b'\r') => Self::TrailerLineFeed,
            (Self::TrailerStart | Self::Trailer, byte) if byte != b'\n' => Self::Trailer,
            _ => return None,
        })
    }
}
