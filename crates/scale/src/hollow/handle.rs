//! The protocol of a hollow process, JSON lines on its standard input and output: the handles of the process that
//! starts one, and the loops that serve them.

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

/// Why a hollow process can't be used.
#[derive(Debug, Error)]
pub enum HollowError {
    /// The process could not be started, or its input or output failed.
    #[error("hollow {name}: {error}")]
    Io {
        /// The kind of process: `replicas` or `dispatchers`.
        name: &'static str,
        /// The system's error.
        error: io::Error,
    },
    /// A command could not be written as JSON, or an answer could not be read.
    #[error("hollow {name}: {error}")]
    Malformed {
        /// The kind of process: `replicas` or `dispatchers`.
        name: &'static str,
        /// What is wrong with the JSON.
        error: serde_json::Error,
    },
    /// The process closed its output, or gave an answer of another kind than the command asks for.
    #[error("hollow {name}: the process ended or gave an unexpected answer")]
    Ended {
        /// The kind of process: `replicas` or `dispatchers`.
        name: &'static str,
    },
}

/// A command to the process of the replicas.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReplicaCommand {
    Lose(u32),
    ReturnCold(u32),
    Ledger,
}

/// What the process of the replicas writes: `Listening` once at its start, then an answer to each command.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReplicaAnswer {
    Listening(Vec<SocketAddr>),
    Done,
    Ledger(Box<ReplicaLedger>),
}

/// What the process of the dispatchers writes: `Listening` once at its start, then `Ledger` for each line that it
/// reads. It has no other command.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DispatcherAnswer {
    Listening(SocketAddr),
    Ledger(GossipLedger),
}

/// A running hollow process, which is killed when this is dropped.
#[derive(Debug)]
struct HollowProcess {
    name: &'static str,
    _child: Child,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

impl HollowProcess {
    fn start(
        name: &'static str,
        program: &Path,
        command: &str,
        options: &impl Serialize,
    ) -> Result<Self, HollowError> {
        let io = |error| HollowError::Io { name, error };
        let options =
            serde_json::to_string(options).map_err(|error| HollowError::Malformed { name, error })?;
        let mut child = Command::new(program)
            .args([command, &options])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(io)?;
        let err = HollowError::Ended { name };
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else { return Err(err) };
        Ok(Self { name, _child: child, input, output: BufReader::new(output).lines() })
    }

    async fn read_answer<T: DeserializeOwned>(&mut self) -> Result<T, HollowError> {
        let name = self.name;
        let line = self.output.next_line().await.map_err(|error| HollowError::Io { name, error })?;
        let line = line.ok_or(HollowError::Ended { name })?;
        serde_json::from_str(&line).map_err(|error| HollowError::Malformed { name, error })
    }

    async fn send_command<T: DeserializeOwned>(
        &mut self,
        command: &impl Serialize,
    ) -> Result<T, HollowError> {
        let name = self.name;
        let line =
            serde_json::to_string(command).map_err(|error| HollowError::Malformed { name, error })? + "\n";
        self.input.write_all(line.as_bytes()).await.map_err(|error| HollowError::Io { name, error })?;
        self.read_answer().await
    }
}

/// The process that simulates all replicas.
#[derive(Debug)]
pub struct ReplicasHandle {
    process: HollowProcess,
    /// Listen address of each replica, by server number.
    pub addresses: Vec<SocketAddr>,
}

impl ReplicasHandle {
    /// Starts `program` with the sub-command `hollow-replicas` and waits until the replicas listen.
    ///
    /// # Errors
    /// The process can't be started or ends before it listens.
    pub async fn start(program: &Path, options: &ReplicaOptions) -> Result<Self, HollowError> {
        let mut process = HollowProcess::start("replicas", program, "hollow-replicas", options)?;
        match process.read_answer().await? {
            ReplicaAnswer::Listening(addresses) => Ok(Self { process, addresses }),
            _ => Err(HollowError::Ended { name: "replicas" }),
        }
    }

    /// Makes the replicas of a zone unreachable, see [`HollowReplicas::lose_zone`].
    ///
    /// # Errors
    /// The process has ended, or its answer is not the expected one.
    pub async fn lose_zone(&mut self, zone: u32) -> Result<(), HollowError> {
        self.process.send_command::<ReplicaAnswer>(&ReplicaCommand::Lose(zone)).await.map(drop)
    }

    /// Makes the replicas of a zone reachable again, in slow start, see [`HollowReplicas::restart_zone`].
    ///
    /// # Errors
    /// The process has ended, or its answer is not the expected one.
    pub async fn restart_zone(&mut self, zone: u32) -> Result<(), HollowError> {
        self.process.send_command::<ReplicaAnswer>(&ReplicaCommand::ReturnCold(zone)).await.map(drop)
    }

    /// What the replicas have counted so far.
    ///
    /// # Errors
    /// The process has ended, or its answer is not the expected one.
    pub async fn ledger(&mut self) -> Result<ReplicaLedger, HollowError> {
        match self.process.send_command(&ReplicaCommand::Ledger).await? {
            ReplicaAnswer::Ledger(ledger) => Ok(*ledger),
            _ => Err(HollowError::Ended { name: "replicas" }),
        }
    }
}

/// The process that simulates all dispatchers but the real ones.
#[derive(Debug)]
pub struct DispatchersHandle {
    process: HollowProcess,
    /// Where a real dispatcher sends its updates; stands for the broadcast address of all dispatchers.
    pub address: SocketAddr,
}

impl DispatchersHandle {
    /// Starts `program` with the sub-command `hollow-dispatchers` and waits until its socket is bound.
    ///
    /// # Errors
    /// The process can't be started or ends before it listens.
    pub async fn start(program: &Path, options: &DispatcherOptions) -> Result<Self, HollowError> {
        let mut process = HollowProcess::start("dispatchers", program, "hollow-dispatchers", options)?;
        match process.read_answer().await? {
            DispatcherAnswer::Listening(address) => Ok(Self { process, address }),
            DispatcherAnswer::Ledger(_) => Err(HollowError::Ended { name: "dispatchers" }),
        }
    }

    /// The datagrams counted so far.
    ///
    /// # Errors
    /// The process has ended, or its answer is not the expected one.
    pub async fn ledger(&mut self) -> Result<GossipLedger, HollowError> {
        match self.process.send_command(&"ledger").await? {
            DispatcherAnswer::Ledger(ledger) => Ok(ledger),
            DispatcherAnswer::Listening(_) => Err(HollowError::Ended { name: "dispatchers" }),
        }
    }
}

fn print_answer(answer: &impl Serialize) -> io::Result<()> {
    println!("{}", serde_json::to_string(answer)?);
    Ok(())
}

/// Simulates all replicas until standard input is closed. `options` are [`ReplicaOptions`] as JSON.
///
/// # Errors
/// The options or a line can't be read, or the system fails.
pub async fn serve_replicas(options: &str) -> io::Result<()> {
    let replicas = HollowReplicas::start(serde_json::from_str(options)?)?;
    print_answer(&ReplicaAnswer::Listening(replicas.addresses.clone()))?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let answer = match serde_json::from_str(&line)? {
            ReplicaCommand::Lose(zone) => {
                replicas.lose_zone(zone);
                ReplicaAnswer::Done
            }
            ReplicaCommand::ReturnCold(zone) => {
                replicas.restart_zone(zone);
                ReplicaAnswer::Done
            }
            ReplicaCommand::Ledger => ReplicaAnswer::Ledger(Box::new(replicas.ledger())),
        };
        print_answer(&answer)?;
    }
    Ok(())
}

/// Simulates all dispatchers but the real ones until standard input is closed. `options` are [`DispatcherOptions`]
/// as JSON.
///
/// # Errors
/// The options can't be read, or the system fails.
pub async fn serve_dispatchers(options: &str) -> io::Result<()> {
    let dispatchers = HollowDispatchers::start(serde_json::from_str(options)?).await?;
    print_answer(&DispatcherAnswer::Listening(dispatchers.address))?;
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while lines.next_line().await?.is_some() {
        print_answer(&DispatcherAnswer::Ledger(dispatchers.ledger()))?;
    }
    Ok(())
}
