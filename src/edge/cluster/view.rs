//! The JSON document that `GET /cluster/members` on the admin address returns: what an instance knows about its
//! cluster. Its field names are a public interface.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dewladder_membership::codec::OpenError;
use dewladder_membership::{Member, Membership};
use dewladder_replica::Replica;
use serde_json::{json, Value};

use crate::interface::Micros;

/// A shared handle on the document: the cluster's event loop updates it, the admin address reads it.
#[derive(Clone, Debug)]
pub struct View {
    cluster: String,
    contents: Arc<Mutex<Contents>>,
}

#[derive(Debug, Default)]
struct Contents {
    /// The members, this instance, its counters and its replica, as [`View::update`] writes them; `null` until the
    /// event loop runs.
    members: Value,
    /// The number of rejected datagrams by reason.
    refused: BTreeMap<&'static str, u64>,
}

impl View {
    pub(super) fn new(cluster: &str) -> Self {
        Self { cluster: cluster.to_owned(), contents: Arc::default() }
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a rejected datagram. Returns whether it is the first with this reason.
    pub(super) fn count_rejected(&self, error: OpenError) -> bool {
        let reason = match error {
            OpenError::NotThisProtocol => "foreign",
            OpenError::UnknownVersion(_) => "version",
            OpenError::OtherCluster => "cluster",
            OpenError::WrongHmac => "mac",
            OpenError::UnreadableBody => "body",
        };
        let mut contents = self.contents();
        let count = contents.refused.entry(reason).or_default();
        *count += 1;
        *count == 1
    }

    /// Replaces the contents with the present state.
    pub(super) fn update(&self, membership: &Membership, replica: Option<&Replica>, now: Micros) {
        let own = membership.own_update();
        let members: Vec<Value> = membership.others().map(|(_, member)| member_json(member, now)).collect();
        let counters = membership.counters();
        self.contents().members = json!({
            "replica": replica.map(replica_json),
            "me": {"name": own.name, "address": own.address.to_string(), "state": own.state.name(),
                "incarnation": own.incarnation, "health": membership.health_score()},
            "members": members,
            "counts": {"probes": counters.probes, "failed_probes": counters.failed_probes,
                "deaths": counters.deaths, "refuted": counters.refutations, "pauses": counters.pauses,
                "namesakes": counters.name_conflicts},
        });
    }

    /// The whole document.
    #[must_use]
    pub fn json(&self) -> Value {
        let contents = self.contents();
        let mut document = json!({"cluster": self.cluster, "refused": contents.refused});
        if let (Value::Object(document), Value::Object(members)) = (&mut document, contents.members.clone()) {
            document.extend(members);
        }
        document
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
