//! A request that is served without any failure.

use super::request_info;
use super::World;
use dewladder_router::interface::{Key, Outcome, RequestId, ServerId};

/// Sends a request of a session and serves both of its stages in 52 ms. Returns the reader.
pub fn serve(world: &mut World, id: u64, session: u64) -> ServerId {
    let mut info = request_info(id, world.now);
    info.session = Some(Key(session));
    world.send_request(info);
    let reader = world.in_flight(RequestId(id)).expect("sent to a reader").server;
    world.pass(40_000);
    world.end_with(RequestId(id), Outcome::Read, 1_000);
    world.pass(12_000);
    world.stream_first_token(RequestId(id));
    world.end(RequestId(id), Outcome::Served);
    reader
}
