//! Stand-ins of this repository's own for the peers that a dispatcher speaks with, on loopback ports that the
//! system picks: servers that do what a test says ([`Server`]), a fleet that reads and writes in two steps and
//! keeps a ledger of all that began ([`Fleet`]), a discovery agent ([`Agent`]), a plain client, and a peer whose every step
//! is the test's ([`Peer`]).

mod agent;
mod client;
mod fleet;
mod net;
mod peer;
mod scripted;
mod wire;
mod wrong;

pub use agent::{config, member, Agent};
pub use client::{body, chat, platform, post, talk, until_close};
pub use fleet::{Begun, Fault, Fleet, Shape};
pub use net::Net;
pub use peer::{LatePeer, Line, Message, Peer};
pub use scripted::{event, Does, Server, LAST_EVENTS};
pub use wire::{chunk, field, message, plain};
pub use wrong::{wrong_front, Wrong};
