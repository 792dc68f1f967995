//! The turns in which buffered requests of all connections are begun.

use std::future::poll_fn;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use dewladder::edge::clients::pipeline_turns::PipelineTurns;
use tokio::task::{yield_now, JoinSet};

/// As many requests are begun between two polls of another ready task at most, whatever the number of connections.
const MAX_BEGUN_AT_ONCE: usize = 16;

/// Hundreds of connections that each began their next buffered request at once held up streams by 400 ms and more.
#[tokio::test]
async fn other_tasks_have_their_turn_between_requests_of_many_connections() {
    const CONNECTIONS: usize = 500;
    const REQUESTS: usize = 6;
    let turns = PipelineTurns::default();
    let begun = Arc::new(AtomicUsize::new(0));
    let mut connections = JoinSet::new();
    for connection in 0..CONNECTIONS {
        let (turns, begun) = (turns.clone(), begun.clone());
        connections.spawn(async move {
            let mut ticket = None;
            for _ in 0..REQUESTS {
                poll_fn(|context| turns.poll_begin(&mut ticket, context)).await;
                assert_eq!(ticket, None);
                begun.fetch_add(1, Ordering::Relaxed);
                if connection % 50 == 49 {
                    return; // some end early
                }
                yield_now().await;
            }
        });
    }
    // A connection that has ended while it waited takes a place in a turn, and nothing more.
    for _ in 0..20 {
        let turns = turns.clone();
        let waiting = tokio::spawn(async move {
            let mut ticket = None;
            poll_fn(|context| turns.poll_begin(&mut ticket, context)).await;
        });
        yield_now().await;
        waiting.abort();
    }
    let (mut before, mut most) = (begun.load(Ordering::Relaxed), 0);
    let all = CONNECTIONS * REQUESTS - CONNECTIONS / 50 * (REQUESTS - 1);
    while begun.load(Ordering::Relaxed) < all {
        yield_now().await;
        let now = begun.load(Ordering::Relaxed);
        most = most.max(now - before);
        before = now;
    }
    while let Some(ended) = connections.join_next().await {
        ended.unwrap();
    }
    assert!(most > 0 && most <= MAX_BEGUN_AT_ONCE, "{most} requests in one turn");
}

#[tokio::test]
async fn a_single_connection_begins_its_requests_one_after_the_other() {
    let turns = PipelineTurns::default();
    let mut ticket = None;
    for _ in 0..1_000 {
        poll_fn(|context| turns.poll_begin(&mut ticket, context)).await;
    }
}
