//! What an instance knows of its cluster, as `GET /cluster/members` at the second address shows it. The names of its
//! fields are an interface of the program.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dewladder_membership::codec::OpenError;
use dewladder_membership::{Member, Membership};
use dewladder_replica::Replica;
use serde_json::{json, Value};

use crate::interface::Micros;

/// Written by the cluster's loop, and read by the second address.
#[derive(Clone, Debug)]
pub struct View {
    cluster: String,
    contents: Arc<Mutex<Contents>>,
}

#[derive(Debug, Default)]
struct Contents {
    /// The members, this instance and its counters; `null` until the loop runs.
    members: Value,
    /// Datagrams that were refused, by kind.
    refused: BTreeMap<&'static str, u64>,
}

impl View {
    pub(super) fn new(cluster: &str) -> Self {
        Self { cluster: cluster.to_owned(), contents: Arc::default() }
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a datagram that was refused; whether it is the first of its kind.
    pub(super) fn count_refused(&self, error: OpenError) -> bool {
        let kind = match error {
            OpenError::NotThisProtocol => "foreign",
            OpenError::UnknownVersion(_) => "version",
            OpenError::OtherCluster => "cluster",
            OpenError::WrongHmac => "mac",
            OpenError::UnreadableBody => "body",
        };
        let mut contents = self.contents();
        let count = contents.refused.entry(kind).or_default();
        *count += 1;
        *count == 1
    }

    /// Shows the present state.
    pub(super) fn update(&self, membership: &Membership, replica: Option<&Replica>, now: Micros) {
        let me = membership.own_update();
        let members: Vec<Value> = membership.others().map(|(_, member)| member_json(member, now)).collect();
        let counters = membership.counters();
        self.contents().members = json!({
            "replica": replica.map(replica_json),
            "me": {"name": me.name, "address": me.address.to_string(), "state": me.state.name(),
                "incarnation": me.incarnation, "health": membership.health_score()},
            "members": members,
            "counts": {"probes": counters.probes, "failed_probes": counters.failed_probes,
                "deaths": counters.deaths, "refuted": counters.refutations, "pauses": counters.pauses,
                "namesakes": counters.name_conflicts},
        });
    }

    /// All of it, as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        let contents = self.contents();
        let mut all = json!({"cluster": self.cluster, "refused": contents.refused});
        if let (Value::Object(all), Value::Object(members)) = (&mut all, contents.members.clone()) {
            all.extend(members);
        }
        all
    }
}

fn member_json(member: &Member, now: Micros) -> Value {
    json!({"name": member.name, "address": member.address.to_string(), "state": member.state.name(),
        "incarnation": member.incarnation, "for_s": now.saturating_sub(member.since) / 1_000_000})
}

fn replica_json(replica: &Replica) -> Value {
    let counters = replica.counters();
    json!({"records": replica.store().len(), "ranges_behind": replica.ranges_behind(),
        "hints": replica.hints(), "granted": counters.granted, "found": counters.conflicts,
        "no_quorum": counters.no_quorum, "full": counters.store_full,
        "hints_lost": counters.hints_dropped})
}
