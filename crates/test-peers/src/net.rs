//! A network between instances that harms what passes: datagrams are lost, delayed, or cut off in one direction.
//!
//! Each instance is reached by the others at an address of this network ([`Net::address`]), which it gives as its own.
//! A datagram's sender is known by the socket that it was sent from ([`Net::attach`]), and what is passed on comes from
//! the sender's address in this network: so each way from one to another can be harmed alone.

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
    own: BTreeMap<usize, SocketAddr>,
    /// Share of datagrams that is lost.
    loss: f64,
    delay: Duration,
    cuts: BTreeSet<(usize, usize)>,
    passed: u64,
    lost: u64,
    rng: Pcg64Mcg,
}

/// See the module.
#[derive(Debug)]
pub struct Net {
    addresses: Vec<SocketAddr>,
    rules: Arc<Mutex<Rules>>,
    tasks: Vec<JoinHandle<()>>,
}

fn locked(rules: &Mutex<Rules>) -> MutexGuard<'_, Rules> {
    rules.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Net {
    /// A network for so many instances; the lots for what is lost come from `seed`.
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
            own: BTreeMap::new(),
            loss: 0.0,
            delay: Duration::ZERO,
            cuts: BTreeSet::new(),
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
        locked(&self.rules).own.insert(at, own);
    }

    /// The share of datagrams that is lost from now on, on all ways.
    pub fn lose(&self, share: f64) {
        locked(&self.rules).loss = share;
    }

    /// How long each datagram is under way from now on.
    pub fn delay(&self, delay: Duration) {
        locked(&self.rules).delay = delay;
    }

    /// Cuts one way, or mends it.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        let mut rules = locked(&self.rules);
        if cut {
            rules.cuts.insert((from, to));
        } else {
            rules.cuts.remove(&(from, to));
        }
    }

    /// Cuts all ways between these and the others, or mends them.
    pub fn partition(&self, side: &[usize], cut: bool) {
        for &a in side {
            for b in (0..self.addresses.len()).filter(|b| !side.contains(b)) {
                self.cut(a, b, cut);
                self.cut(b, a, cut);
            }
        }
    }

    /// Datagrams that were passed on, and those that were lost or cut off.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        let rules = locked(&self.rules);
        (rules.passed, rules.lost)
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Passes on what comes for one instance.
async fn pass_on(to: usize, sockets: Vec<Arc<UdpSocket>>, rules: Arc<Mutex<Rules>>) {
    let mut bytes = vec![0; 65_536];
    loop {
        let Ok((length, source)) = sockets[to].recv_from(&mut bytes).await else { continue };
        let (from, own, delay) = {
            let mut rules = locked(&rules);
            let from = rules.own.iter().find(|(_, own)| **own == source).map(|(&at, _)| at);
            let lot = rules.rng.next_u64() as f64 / u64::MAX as f64;
            let passes = from.is_some_and(|from| lot >= rules.loss && !rules.cuts.contains(&(from, to)));
            let (Some(from), Some(&own), true) = (from, rules.own.get(&to), passes) else {
                rules.lost += 1;
                continue;
            };
            rules.passed += 1;
            (from, own, rules.delay)
        };
        let socket = sockets[from].clone();
        if delay.is_zero() {
            // One that has died hears nothing, as on any network.
            let _ = socket.try_send_to(&bytes[..length], own);
        } else {
            let bytes = bytes[..length].to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.try_send_to(&bytes, own);
            });
        }
    }
}
