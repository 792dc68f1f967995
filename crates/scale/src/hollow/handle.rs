//! The lines between a hollow process and who started it, and the handle that writes them.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use super::{
    DispatcherOptions, GossipLedger, HollowDispatchers, HollowReplicas, ReplicaLedger, ReplicaOptions,
};

/// Why a hollow process could not be used.
#[derive(Debug, Error)]
pub enum HollowError {
    /// It could not be started, or spoken to.
    #[error("hollow {what}: {error}")]
    Io {
        /// Which.
        what: &'static str,
        /// What the system says.
        error: io::Error,
    },
    /// What it said is no answer.
    #[error("hollow {what}: {error}")]
    Malformed {
        /// Which.
        what: &'static str,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// It has ended.
    #[error("hollow {what}: it has ended")]
    Ended {
        /// Which.
        what: &'static str,
    },
}

/// What the replicas are told.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReplicaCommand {
    Lose(u32),
    ReturnCold(u32),
    Ledger,
}

/// What the replicas answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReplicaAnswer {
    Listening(Vec<SocketAddr>),
    Done,
    Ledger(Box<ReplicaLedger>),
}

/// What the dispatchers answer; they are told nothing but to say what they have seen.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DispatcherAnswer {
    Listening(SocketAddr),
    Ledger(GossipLedger),
}

/// A hollow process; it is killed as this is dropped.
#[derive(Debug)]
struct Process {
    what: &'static str,
    _child: Child,
    to: ChildStdin,
    from: Lines<BufReader<ChildStdout>>,
}

impl Process {
    fn start(
        what: &'static str,
        program: &Path,
        command: &str,
        options: &impl Serialize,
    ) -> Result<Self, HollowError> {
        let io = |error| HollowError::Io { what, error };
        let options =
            serde_json::to_string(options).map_err(|error| HollowError::Malformed { what, error })?;
        let mut child = Command::new(program)
            .args([command, &options])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(io)?;
        let ended = HollowError::Ended { what };
        let (Some(to), Some(from)) = (child.stdin.take(), child.stdout.take()) else { return Err(ended) };
        Ok(Self { what, _child: child, to, from: BufReader::new(from).lines() })
    }

    async fn hear<T: DeserializeOwned>(&mut self) -> Result<T, HollowError> {
        let what = self.what;
        let line = self.from.next_line().await.map_err(|error| HollowError::Io { what, error })?;
        let line = line.ok_or(HollowError::Ended { what })?;
        serde_json::from_str(&line).map_err(|error| HollowError::Malformed { what, error })
    }

    async fn ask<T: DeserializeOwned>(&mut self, command: &impl Serialize) -> Result<T, HollowError> {
        let what = self.what;
        let line =
            serde_json::to_string(command).map_err(|error| HollowError::Malformed { what, error })? + "\n";
        self.to.write_all(line.as_bytes()).await.map_err(|error| HollowError::Io { what, error })?;
        self.hear().await
    }
}

/// The process of all replicas.
#[derive(Debug)]
pub struct ReplicasHandle {
    process: Process,
    /// Where each replica listens.
    pub addresses: Vec<SocketAddr>,
}

impl ReplicasHandle {
    /// Starts it: `program` with the sub-command `hollow-replicas`.
    ///
    /// # Errors
    /// One that does not come up.
    pub async fn start(program: &Path, options: &ReplicaOptions) -> Result<Self, HollowError> {
        let mut process = Process::start("replicas", program, "hollow-replicas", options)?;
        match process.hear().await? {
            ReplicaAnswer::Listening(addresses) => Ok(Self { process, addresses }),
            _ => Err(HollowError::Ended { what: "replicas" }),
        }
    }

    /// A zone's replicas vanish.
    ///
    /// # Errors
    /// A process that has ended.
    pub async fn lose(&mut self, zone: u32) -> Result<(), HollowError> {
        self.process.ask::<ReplicaAnswer>(&ReplicaCommand::Lose(zone)).await.map(drop)
    }

    /// A zone's replicas are back, cold.
    ///
    /// # Errors
    /// A process that has ended.
    pub async fn return_cold(&mut self, zone: u32) -> Result<(), HollowError> {
        self.process.ask::<ReplicaAnswer>(&ReplicaCommand::ReturnCold(zone)).await.map(drop)
    }

    /// What they have seen.
    ///
    /// # Errors
    /// A process that has ended.
    pub async fn ledger(&mut self) -> Result<ReplicaLedger, HollowError> {
        match self.process.ask(&ReplicaCommand::Ledger).await? {
            ReplicaAnswer::Ledger(ledger) => Ok(*ledger),
            _ => Err(HollowError::Ended { what: "replicas" }),
        }
    }
}

/// The process of all other dispatchers.
#[derive(Debug)]
pub struct DispatchersHandle {
    process: Process,
    /// What reaches all dispatchers.
    pub address: SocketAddr,
}

impl DispatchersHandle {
    /// Starts it: `program` with the sub-command `hollow-dispatchers`.
    ///
    /// # Errors
    /// One that does not come up.
    pub async fn start(program: &Path, options: &DispatcherOptions) -> Result<Self, HollowError> {
        let mut process = Process::start("dispatchers", program, "hollow-dispatchers", options)?;
        match process.hear().await? {
            DispatcherAnswer::Listening(address) => Ok(Self { process, address }),
            DispatcherAnswer::Ledger(_) => Err(HollowError::Ended { what: "dispatchers" }),
        }
    }

    /// What has gone to and fro.
    ///
    /// # Errors
    /// A process that has ended.
    pub async fn ledger(&mut self) -> Result<GossipLedger, HollowError> {
        match self.process.ask(&"ledger").await? {
            DispatcherAnswer::Ledger(ledger) => Ok(ledger),
            DispatcherAnswer::Listening(_) => Err(HollowError::Ended { what: "dispatchers" }),
        }
    }
}

fn say(answer: &impl Serialize) -> io::Result<()> {
    println!("{}", serde_json::to_string(answer)?);
    Ok(())
}

/// Plays all replicas until the input ends.
///
/// # Errors
/// What the system says, or a line that is no command.
pub async fn serve_replicas(options: &str) -> io::Result<()> {
    let replicas = HollowReplicas::start(serde_json::from_str(options)?)?;
    say(&ReplicaAnswer::Listening(replicas.addresses.clone()))?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let answer = match serde_json::from_str(&line)? {
            ReplicaCommand::Lose(zone) => {
                replicas.lose(zone);
                ReplicaAnswer::Done
            }
            ReplicaCommand::ReturnCold(zone) => {
                replicas.return_cold(zone);
                ReplicaAnswer::Done
            }
            ReplicaCommand::Ledger => ReplicaAnswer::Ledger(Box::new(replicas.ledger())),
        };
        say(&answer)?;
    }
    Ok(())
}

/// Plays all other dispatchers until the input ends.
///
/// # Errors
/// What the system says.
pub async fn serve_dispatchers(options: &str) -> io::Result<()> {
    let dispatchers = HollowDispatchers::start(serde_json::from_str(options)?).await?;
    say(&DispatcherAnswer::Listening(dispatchers.address))?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while lines.next_line().await?.is_some() {
        say(&DispatcherAnswer::Ledger(dispatchers.ledger()))?;
    }
    Ok(())
}
