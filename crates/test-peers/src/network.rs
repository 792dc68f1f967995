//! A faulty network between instances: datagrams are lost, delayed, or blocked in one direction.
//!
//! Each instance is reached by the others at an address of this network ([`FaultyNetwork::address`]), which it gives as its own.
//! A datagram's sender is known by the socket that it was sent from ([`FaultyNetwork::attach`]), and what is passed on comes from
//! the sender's address in this network: so each direction from one to another can be faulty by itself.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

#[derive(Debug)]
struct Rules {
    /// Where each instance's own socket is.
    sockets: BTreeMap<usize, SocketAddr>,
    /// Share of datagrams that is lost.
    loss: f64,
    delay: Duration,
    /// Directions in which nothing passes.
    blocked: BTreeSet<(usize, usize)>,
    passed: u64,
    lost: u64,
    rng: Pcg64Mcg,
}

/// A faulty network, see the module.
#[derive(Debug)]
pub struct FaultyNetwork {
    addresses: Vec<SocketAddr>,
    rules: Arc<Mutex<Rules>>,
    tasks: Vec<JoinHandle<()>>,
}

fn locked(rules: &Mutex<Rules>) -> MutexGuard<'_, Rules> {
    rules.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyNetwork {
    /// A network for so many instances; the draws for what is lost come from `seed`.
    ///
    /// # Errors
    /// What the system says.
    pub async fn start(count: usize, seed: u64) -> std::io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in 0..count {
            sockets.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
        }
        let addresses = sockets.iter().map(|socket| socket.local_addr()).collect::<Result<Vec<_>, _>>()?;
        let rules = Arc::new(Mutex::new(Rules {
            sockets: BTreeMap::new(),
            loss: 0.0,
            delay: Duration::ZERO,
            blocked: BTreeSet::new(),
            passed: 0,
            lost: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }));
        let tasks = (0..count).map(|to| tokio::spawn(pass_on(to, sockets.clone(), rules.clone()))).collect();
        Ok(Self { addresses, rules, tasks })
    }

    /// Where the others reach that instance.
    #[must_use]
    pub fn address(&self, at: usize) -> SocketAddr {
        self.addresses[at]
    }

    /// Where that instance's own socket is; after a restart it is another.
    pub fn attach(&self, at: usize, own: SocketAddr) {
        locked(&self.rules).sockets.insert(at, own);
    }

    /// The share of datagrams that is lost from now on, in all directions.
    pub fn lose(&self, share: f64) {
        locked(&self.rules).loss = share;
    }

    /// The delay of each datagram from now on.
    pub fn delay(&self, delay: Duration) {
        locked(&self.rules).delay = delay;
    }

    /// Blocks one direction, or opens it again.
    pub fn block(&self, from: usize, to: usize, blocked: bool) {
        let mut rules = locked(&self.rules);
        if blocked {
            rules.blocked.insert((from, to));
        } else {
            rules.blocked.remove(&(from, to));
        }
    }

    /// Blocks all directions between these and the others, or opens them again.
    pub fn partition(&self, side: &[usize], blocked: bool) {
        for &a in side {
            for b in (0..self.addresses.len()).filter(|b| !side.contains(b)) {
                self.block(a, b, blocked);
                self.block(b, a, blocked);
            }
        }
    }

    /// Datagrams that were passed on, and those that were lost or blocked.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let rules = locked(&self.rules);
        (rules.passed, rules.lost)
    }
}

impl Drop for FaultyNetwork {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Rules {
    /// From whom, and to which socket, a datagram for an instance is passed on; `None` where it is lost.
    fn route(&mut self, source: SocketAddr, to: usize) -> Option<(usize, SocketAddr)> {
        let from = self.sockets.iter().find(|(_, socket)| **socket == source).map(|(&from, _)| from);
        let draw = self.rng.next_u64() as f64 / u64::MAX as f64;
        let passes = from.is_some_and(|from| draw >= self.loss && !self.blocked.contains(&(from, to)));
        match (from, self.sockets.get(&to)) {
            (Some(from), Some(&socket)) if passes => {
                self.passed += 1;
                Some((from, socket))
            }
            _ => {
                self.lost += 1;
                None
            }
        }
    }
}

/// Passes on what comes for one instance.
async fn pass_on(to: usize, sockets: Vec<Arc<UdpSocket>>, rules: Arc<Mutex<Rules>>) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok((length, source)) = sockets[to].recv_from(&mut buffer).await else { continue };
        let (route, delay) = {
            let mut rules = locked(&rules);
            (rules.route(source, to), rules.delay)
        };
        let Some((from, destination)) = route else { continue };
        let socket = sockets[from].clone();
        // An instance that has died receives nothing, as on any network.
        if delay.is_zero() {
            let _ = socket.try_send_to(&buffer[..length], destination);
        } else {
            let datagram = buffer[..length].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.try_send_to(&datagram, destination);
            });
        }
    }
}
