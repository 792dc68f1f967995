//! The dispatcher on sockets: the reducer of requests, attempts and outcomes (`core`), the event loop that feeds it
//! (`driver`), and modules for its peers: clients, servers, discovery, balancers and other dispatchers.

pub mod accept;
pub mod admin;
pub mod balancers;
mod chunked_framing;
pub mod clients;
pub mod clock;
pub mod cluster;
pub mod config_reload;
pub mod connections;
pub mod contiguous_body;
pub mod core;
pub mod discovery;
pub mod dispatcher;
pub mod driver;
pub mod event_shape;
pub mod gossip_transport;
pub mod guard;
pub mod heartbeat;
pub mod hot_restart;
pub mod phase;
pub mod servers;
pub mod settings;
pub mod shutdown_times;
pub mod stats;
pub mod tcp;
pub mod transient;
pub mod transitions;
