//! Test doubles of this repository's own for the peers that a dispatcher speaks with, on loopback ports that the system
//! picks: servers with a given behavior ([`Server`]), a fleet of readers and writers that records every request it
//! started to answer ([`Fleet`]), a discovery agent ([`Agent`]), a plain client, a peer whose every step is the
//! test's ([`Peer`]), a front that is malformed in one way ([`Malformation`]), and a faulty network ([`FaultyNetwork`]).

mod agent;
mod client;
mod fleet;
mod http;
mod malformed;
mod network;
mod peer;
mod server;

pub use agent::{config, member, Agent};
pub use client::{body, chat, platform, post, talk, until_close};
pub use fleet::{Fault, Fleet, Shape, StartedRequest};
pub use http::{chunk, field, message, plain};
pub use malformed::{malformed_front, Malformation};
pub use network::FaultyNetwork;
pub use peer::{LatePeer, Line, Message, Peer};
pub use server::{event, Behavior, Server, LAST_EVENTS};
