//! What an instance knows of its cluster, for the second address to show.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dewladder_membership::codec::OpenError;
use dewladder_membership::Membership;
use dewladder_replica::Replica;
use serde_json::{json, Value};

use crate::interface::Micros;

/// Shared by the loop that writes it and those that read it.
#[derive(Clone, Debug)]
pub struct View {
    cluster: String,
    shown: Arc<Mutex<Shown>>,
}

#[derive(Debug, Default)]
struct Shown {
    membership: Value,
    refused: BTreeMap<&'static str, u64>,
}

impl View {
    pub(super) fn new(cluster: &str) -> Self {
        Self { cluster: cluster.to_owned(), shown: Arc::default() }
    }

    fn shown(&self) -> MutexGuard<'_, Shown> {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a datagram that was not taken; true for the first of its kind.
    pub(super) fn refuse(&self, why: OpenError) -> bool {
        let kind = match why {
            OpenError::NotThisProtocol => "foreign",
            OpenError::UnknownVersion(_) => "version",
            OpenError::OtherCluster => "cluster",
            OpenError::WrongHmac => "mac",
            OpenError::UnreadableBody => "body",
        };
        let mut shown = self.shown();
        let count = shown.refused.entry(kind).or_default();
        *count += 1;
        *count == 1
    }

    pub(super) fn show(&self, membership: &Membership, replica: Option<&Replica>, now: Micros) {
        let me = membership.own_update();
        let members: Vec<Value> = membership
            .others()
            .map(|(_, member)| {
                json!({"name": member.name, "address": member.address.to_string(),
                    "state": member.state.name(), "incarnation": member.incarnation,
                    "for_s": now.saturating_sub(member.since) / 1_000_000})
            })
            .collect();
        let counts = membership.counters();
        let replica = replica.map(|replica| {
            let counts = replica.counters();
            json!({"records": replica.store().len(), "ranges_behind": replica.ranges_behind(), "hints": replica.hints(),
                "granted": counts.granted, "found": counts.conflicts, "no_quorum": counts.no_quorum,
                "full": counts.store_full, "hints_lost": counts.hints_dropped})
        });
        self.shown().membership = json!({
            "replica": replica,
            "me": {"name": me.name, "address": me.address.to_string(), "state": me.state.name(),
                "incarnation": me.incarnation, "health": membership.health_score()},
            "members": members,
            "counts": {"probes": counts.probes, "failed_probes": counts.failed_probes, "deaths": counts.deaths,
                "refuted": counts.refutations, "pauses": counts.pauses, "namesakes": counts.name_conflicts},
        });
    }

    /// All of it, as JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        let shown = self.shown();
        let mut all = json!({"cluster": self.cluster, "refused": shown.refused});
        if let (Value::Object(all), Value::Object(rest)) = (&mut all, shown.membership.clone()) {
            all.extend(rest);
        }
        all
    }
}
