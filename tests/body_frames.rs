//! Bodies whose frames each keep the buffer alive in which they were received.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::http::Extensions;
use bytes::Bytes;
use dewladder::edge::clients::memory_budget::MemoryBudget;
use dewladder::edge::clients::request_body::{read_body, BodyError, MAX_BODY_BYTES};
use dewladder::edge::clients::request_timing::ReceiveLimits;
use dewladder::edge::contiguous_body::{collect, CollectError};
use dewladder::edge::phase::Phase;
use http_body::Frame;
use tokio::sync::watch;
use tokio::time::Instant;

/// A receive buffer that counts itself while it is alive.
struct Buffer(Arc<AtomicUsize>);

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        b"x"
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body of frames of one byte, each with a buffer of its own.
struct OneByteFrames {
    frames_left: usize,
    alive: Arc<AtomicUsize>,
    /// The most buffers that were alive at once.
    most_alive: Arc<AtomicUsize>,
}

impl OneByteFrames {
    fn new(frames: usize) -> (Self, Arc<AtomicUsize>) {
        let most_alive = Arc::<AtomicUsize>::default();
        (Self { frames_left: frames, alive: Arc::default(), most_alive: most_alive.clone() }, most_alive)
    }
}

impl http_body::Body for OneByteFrames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.frames_left == 0 {
            return Poll::Ready(None);
        }
        self.frames_left -= 1;
        let alive = self.alive.fetch_add(1, Ordering::Relaxed) + 1;
        self.most_alive.fetch_max(alive, Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(Buffer(self.alive.clone()))))))
    }
}

fn extensions(memory: &MemoryBudget) -> Extensions {
    let (deadline, memory) = (Instant::now() + Duration::from_secs(60), memory.clone());
    let (_, phase) = watch::channel(Phase::Serving);
    let mut extensions = Extensions::new();
    extensions.insert(ReceiveLimits { deadline, memory, phase });
    extensions
}

/// A body of 4 MB in chunks of one byte held 148 MB: each frame, and with it its receive buffer, was kept to the end.
#[tokio::test]
async fn frames_of_a_request_body_are_not_kept() {
    let (body, most_alive) = OneByteFrames::new(10_000);
    let memory = MemoryBudget::new(1 << 20);
    let read = read_body(Body::new(body), &extensions(&memory)).await.unwrap();
    assert_eq!((read.len(), most_alive.load(Ordering::Relaxed)), (10_000, 1));
    assert!(memory.reserved() >= 10_000, "{}", memory.reserved());
    let clone = read.clone();
    drop(read);
    assert!(memory.reserved() >= 10_000, "the clone still holds the bytes");
    drop(clone);
    assert_eq!(memory.reserved(), 0);
}

/// Answers of servers and lists of servers are collected in the same way.
#[tokio::test]
async fn frames_of_an_answer_are_not_kept() {
    let (body, most_alive) = OneByteFrames::new(10_000);
    assert_eq!(collect(body, 10_000).await.unwrap().len(), 10_000);
    assert_eq!(most_alive.load(Ordering::Relaxed), 1);
    let too_long = collect(OneByteFrames::new(10_001).0, 10_000).await;
    assert!(matches!(too_long, Err(CollectError::TooLong)), "{too_long:?}");
}

/// What bodies hold in sum is bounded, whatever their number, and small ones still find room beside large ones.
#[tokio::test]
async fn bodies_share_a_budget_that_large_ones_cannot_use_up() {
    let memory = MemoryBudget::new(1 << 20);
    let mut read = Vec::new();
    let refused = loop {
        match read_body(Body::from(vec![b'x'; MAX_BODY_BYTES]), &extensions(&memory)).await {
            Ok(body) => read.push(body),
            Err(error) => break error,
        }
        assert!(read.len() < 10, "{} bytes are reserved", memory.reserved());
    };
    assert_eq!((refused, read.len()), (BodyError::NoRoom, 3));
    let usual = read_body(Body::from(vec![b'x'; 30_000]), &extensions(&memory)).await;
    assert_eq!(usual.unwrap().len(), 30_000);
    read.pop();
    let large = read_body(Body::from(vec![b'x'; MAX_BODY_BYTES]), &extensions(&memory)).await;
    assert!(large.is_ok(), "the memory of a body that is gone is free again: {large:?}");
}
