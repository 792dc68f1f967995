//! Recorded samples, as one JSON file: each part with the commit that it was taken at and the machine's cores.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the file that this program reads and writes.
pub const VERSION: u32 = 1;

/// Why a file of results can't be used; one plain line with its path.
#[derive(Debug, Error)]
pub enum ResultsError {
    /// It can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// It is cut, or not of this form.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// It is of another version.
    #[error("{path}: version {found}, this program reads {VERSION}")]
    Version {
        /// The file.
        path: PathBuf,
        /// Its version.
        found: u32,
    },
    /// A part does not say at which commit it was taken.
    #[error("{path}: {part} has no commit")]
    NoCommit {
        /// The file.
        path: PathBuf,
        /// The part.
        part: &'static str,
    },
}

/// Samples of one part, taken in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part<T> {
    /// The commit of the program.
    #[serde(default)]
    pub commit: String,
    /// The machine's cores.
    pub cores: usize,
    /// The samples.
    pub samples: Vec<T>,
}

/// Which program made the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decider {
    /// The router with its index.
    Indexed,
    /// The same decisions by a full scan of all servers, as before the index.
    FullScan,
}

/// What decisions cost on one core. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionSample {
    /// Which program.
    pub decider: Decider,
    /// Servers of the list.
    pub servers: u32,
    /// How many of a hundred are in slow start.
    #[serde(rename = "cold_percent")]
    pub slow_start_percent: u32,
    /// Dispatchers in the settings.
    pub dispatchers: u32,
    /// Classes of requests.
    pub classes: u32,
    /// Requests measured.
    pub requests: u64,
    /// Of them, how many were answered with a stream.
    pub served: u64,
    /// A whole request: arrival, read, write, end.
    pub request_mean: f64,
    /// See [`Self::request_mean`].
    pub request_p99: f64,
    /// See [`Self::request_mean`].
    pub request_worst: f64,
    /// A sweep, each 40 ms.
    pub sweep_mean: f64,
    /// The whole list.
    pub whole_list: f64,
    /// A list of one changed entry.
    pub changed_entry: f64,
    /// A load update of another dispatcher.
    #[serde(rename = "update_heard")]
    pub update_received: f64,
    /// Resident memory that the decisions took (bytes).
    pub memory: u64,
}

/// Membership in virtual time. Times of processors are in microseconds for a member and second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSample {
    /// Members.
    pub members: u32,
    /// What happened: `quiet`, or `healed` after a cut into two regions for an hour.
    pub event: MembershipEvent,
    /// Bytes that a member sent a second, UDP and IP headers counted.
    pub bytes: f64,
    /// Datagrams that a member sent a second.
    pub messages: f64,
    /// Processor time for a member and second (us), of both its sending and its taking.
    pub processor: f64,
    /// From a death, or from the end of the cut, until all know (s); `None` where they did not in the time played.
    pub known_after: Option<f64>,
    /// Time played (s of virtual time).
    pub played: f64,
}

/// What happens to the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipEvent {
    /// One member dies.
    Death,
    /// Two regions lose each other and meet again.
    Cut,
}

/// Load gossip of one dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipSample {
    /// `prices.peer`.
    pub price: f64,
    /// Dispatchers.
    pub dispatchers: u32,
    /// Requests a second of each.
    pub requests: f64,
    /// Updates for each request.
    #[serde(rename = "told_for_each_request")]
    pub updates_per_request: f64,
    /// Datagrams that it sends a second, to one address that reaches all.
    pub sent: f64,
    /// Datagrams that it hears a second from all others.
    pub heard: f64,
    /// Bytes that it hears a second, UDP and IP headers counted.
    #[serde(rename = "bytes_heard")]
    pub bytes_received: f64,
    /// The same without headers.
    #[serde(rename = "payload_heard")]
    pub payload_received: f64,
}

/// The list of servers, as one dispatcher takes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListSample {
    /// Servers.
    pub servers: u32,
    /// What is told: the whole list, one replaced server, or a zone lost and back.
    pub told: ListChange,
    /// Bytes of the answers, without their heads.
    pub bytes: u64,
    /// Processor time to read it and to act on it (us).
    pub processor: f64,
    /// Resident memory that is held after it beyond what was before (bytes).
    pub memory: u64,
}

/// What the list tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListChange {
    /// All servers.
    Whole,
    /// One server goes, and another comes in its place.
    Replaced,
    /// A zone's servers go at once and are back at once.
    Zone,
}

/// The data path of one real dispatcher, from the difference between two loads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataPathSample {
    /// Streams that were open, as measured.
    pub streams: f64,
    /// Events relayed a second.
    pub events: f64,
    /// Requests a second.
    pub requests: f64,
    /// Processor time (share of a core).
    pub processor: f64,
    /// Resident memory (bytes).
    pub memory: u64,
    /// Descriptors.
    pub descriptors: u64,
}

/// A configuration of the target's size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationSample {
    /// Servers in its list.
    pub servers: u32,
    /// Classes.
    pub classes: u32,
    /// Its size (bytes).
    pub bytes: u64,
    /// Processor time to read and check it (us).
    pub read: f64,
    /// Processor time for the decisions to take it over (us).
    pub taken_over: f64,
}

/// One real dispatcher in a run among hollow ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunSample {
    /// Servers, all of one hollow process.
    pub servers: u32,
    /// Dispatchers in all.
    pub dispatchers: u32,
    /// How many of them were real.
    pub real: u32,
    /// What happened in the run.
    pub event: RunEvent,
    /// How long load lasted (s).
    pub seconds: u64,
    /// Which real one, from 0 on.
    pub number: u32,
    /// Requests that its clients sent, by their ends.
    pub ends: Ends,
    /// Processor time (share of a core), over the load.
    pub processor: f64,
    /// Resident memory at its most (bytes).
    pub memory: u64,
    /// Descriptors at their most.
    pub descriptors: u64,
    /// Load gossip datagrams that it sent and got a second.
    pub datagrams_out: f64,
    /// See [`Self::datagrams_out`].
    pub datagrams_in: f64,
    /// From the request's last byte to its first attempt's last byte (ms).
    pub first_attempt_p50: f64,
    /// See [`Self::first_attempt_p50`].
    pub first_attempt_p99: f64,
    /// Calls at any server over its slow-start budget, over the whole fleet.
    pub over_budget: u64,
    /// Requests that ran twice and must not, over the whole fleet.
    pub ran_twice: u64,
}

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEvent {
    /// Nothing.
    None,
    /// A zone's servers are lost, and all are back in slow start at once.
    Zone,
}

/// What became of a dispatcher's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ends {
    /// Answered with a whole stream.
    pub served: u64,
    /// Refused with 429 or 503.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// A stream that was cut.
    pub cut: u64,
    /// No answer.
    pub unanswered: u64,
}

impl Ends {
    /// All of them.
    #[must_use]
    pub fn all(&self) -> u64 {
        self.served + self.refused + self.failed + self.cut + self.unanswered
    }
}

/// The file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Results {
    /// See [`VERSION`].
    pub version: u32,
    /// What decisions cost.
    pub decisions: Option<Part<DecisionSample>>,
    /// What membership costs.
    pub membership: Option<Part<MembershipSample>>,
    /// What load gossip costs.
    pub gossip: Option<Part<GossipSample>>,
    /// What the list costs.
    pub list: Option<Part<ListSample>>,
    /// What the data path costs.
    pub data_path: Option<Part<DataPathSample>>,
    /// What a configuration costs.
    pub configuration: Option<Part<ConfigurationSample>>,
    /// Runs of real dispatchers among hollow ones.
    pub run: Option<Part<RunSample>>,
}

impl Results {
    /// A file without any samples.
    #[must_use]
    pub fn empty() -> Self {
        Self { version: VERSION, ..Self::default() }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// One that can't be read, is cut, is of another version, or has a part without a commit.
    pub fn read(path: &Path) -> Result<Self, ResultsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ResultsError::File { path: path.to_owned(), error })?;
        Self::parse(path, &text)
    }

    /// Reads a file's text; `path` is named in errors.
    ///
    /// # Errors
    /// See [`Results::read`].
    pub fn parse(path: &Path, text: &str) -> Result<Self, ResultsError> {
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let malformed = |error| ResultsError::Malformed { path: path.to_owned(), error };
        let Versioned { version } = serde_json::from_str(text).map_err(malformed)?;
        if version != VERSION {
            return Err(ResultsError::Version { path: path.to_owned(), found: version });
        }
        let results: Self = serde_json::from_str(text).map_err(malformed)?;
        match results.without_commit() {
            Some(part) => Err(ResultsError::NoCommit { path: path.to_owned(), part }),
            None => Ok(results),
        }
    }

    fn without_commit(&self) -> Option<&'static str> {
        fn lacks<T>(part: &Option<Part<T>>) -> bool {
            part.as_ref().is_some_and(|part| part.commit.is_empty())
        }
        let parts = [
            ("decisions", lacks(&self.decisions)),
            ("membership", lacks(&self.membership)),
            ("gossip", lacks(&self.gossip)),
            ("list", lacks(&self.list)),
            ("data_path", lacks(&self.data_path)),
            ("configuration", lacks(&self.configuration)),
            ("run", lacks(&self.run)),
        ];
        parts.into_iter().find(|(_, lacks)| *lacks).map(|(name, _)| name)
    }

    /// Writes the file.
    ///
    /// # Errors
    /// What the system says.
    pub fn write(&self, path: &Path) -> Result<(), ResultsError> {
        let file = |error| ResultsError::File { path: path.to_owned(), error };
        let text = serde_json::to_string_pretty(self).map_err(|error| file(error.into()))?;
        std::fs::write(path, text + "\n").map_err(file)
    }
}
