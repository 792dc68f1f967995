//! Test doubles for the peers of a dispatcher, on loopback ports chosen by the operating system:
//!
//! - [`Server`]: a model server that treats every request alike,
//! - [`Fleet`]: readers and writers that record every request that a writer started to answer,
//! - [`Agent`]: a discovery agent,
//! - [`talk`], [`until_close`]: a client that sends fixed text,
//! - [`Peer`]: a server whose accepts, reads, writes and closes are single calls of the test,
//! - [`Malformation`]: a proxy that breaks the chat front's answers or requests in one way,
//! - [`FaultyNetwork`]: UDP forwarding with loss, delay and partitions.

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
