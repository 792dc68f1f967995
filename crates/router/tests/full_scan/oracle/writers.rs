//! Selection of the writer that fetches a held state.

use rand_core::RngCore;

use super::constants::{
    AVERAGE_HALF_LIFE_US, QUEUEING_SHARE, SLOW_LINK_MULTIPLE, SLOW_MULTIPLE, WAIT_SHARE_OF_OBJECTIVE,
};
use super::Router;
use crate::interface::{CellId, RequestId, Role, ServerEntry, ServerId};
use crate::records::{CellBalance, Server, Stage};
use crate::statistics::{lower_median, mix, unit_interval};

impl Router {
    /// Selects the writer for a state: of two ready ones drawn at random in the reader's cell, else in its zone, else
    /// anywhere, the one with fewer tokens of this dispatcher in flight. Mixed servers are used if no writer is ready.
    ///
    /// Cells (racks) differ in their ratio of writers to readers. A cell, or a zone, keeps only the part of its states
    /// that its writers can take; the others go to cells with spare writers. Known drawback: states also leave a cell
    /// that is idle enough to have kept them.
    pub(super) fn select_writer(&mut self, id: RequestId, reader: ServerId) -> Option<ServerId> {
        let [stays, in_zone, spare] = [(); 3].map(|()| self.rng.next_u64());
        let request = self.requests.get(&id)?;
        // After half of the hold time, the estimate of what other dispatchers hold excludes no writer any more: a
        // finished read is not discarded because of an estimate, and time must be left for another attempt in case a
        // connect fails.
        let is_urgent =
            request.held_state.is_none_or(|held| self.now >= held.since + self.settings.max_hold_time / 2);
        let ready = [Role::Writer, Role::Mixed].into_iter().map(|role| {
            let mean = if is_urgent { 0.0 } else { self.mean_memory_tokens(role) };
            let mut ready = self.candidate_pool(role, request);
            ready.retain(|id| self.has_memory_left(&self.servers[id], mean));
            ready
        });
        let mut ready = ready.into_iter().find(|ready| !ready.is_empty())?;
        self.skip_congested_cells(&mut ready, unit_interval(mix(!spare)));
        let Some(from) = self.servers.get(&reader).map(|server| &server.entry) else {
            return self.less_loaded_of_two(&ready);
        };
        let balanced = CellBalance::default();
        let cell = |entry: &ServerEntry| self.cells.get(&entry.cell).unwrap_or(&balanced);
        let stays = unit_interval(stays) < cell(from).writer_surplus;
        let in_zone = unit_interval(in_zone) < cell(from).zone_retention;
        let has_spare = |to: &ServerEntry| {
            unit_interval(mix(spare ^ u64::from(to.server.0))) < 1.0 - 1.0 / cell(to).writer_surplus
        };
        let destinations: [&dyn Fn(&ServerEntry) -> bool; 5] = [
            &|to| stays && to.cell == from.cell,
            &|to| in_zone && to.zone == from.zone && has_spare(to),
            &|to| to.zone != from.zone && has_spare(to),
            &|to| to.zone == from.zone,
            &|_| true,
        ];
        let draw = |matches_destination: &&dyn Fn(&ServerEntry) -> bool| -> Vec<ServerId> {
            ready.iter().copied().filter(|id| matches_destination(&self.servers[id].entry)).collect()
        };
        let candidates = destinations.iter().map(draw).find(|candidates| !candidates.is_empty());
        self.less_loaded_of_two(&candidates.unwrap_or_default())
    }

    /// Removes writers of cells where states recently queued or timed out for longer than the limit: the permitted
    /// wait at the write stage, and at least twice the median cell. A cell is skipped with a probability that grows
    /// with the excess; `draw` is in (0, 1]. No cell is skipped while links between cells are slow, or if no writer
    /// would be left.
    ///
    /// The limit is per cell because a dispatcher has recent samples for each cell, but seldom for each writer. It
    /// also catches a cell whose writers are slow. Known drawback: one slow writer diverts states from the other
    /// writers of its cell.
    pub(super) fn skip_congested_cells(&self, ready: &mut Vec<ServerId>, draw: f64) {
        if self.links_are_slow() {
            return;
        }
        let queueing = |cell: &CellBalance| cell.queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
        let median_us = lower_median(self.cells.values().map(queueing).collect()).unwrap_or(0.0);
        let permitted_us =
            WAIT_SHARE_OF_OBJECTIVE[Stage::Write as usize] * self.settings.shortest_latency_objective();
        let limit_us = (QUEUEING_SHARE * permitted_us).max(SLOW_MULTIPLE * median_us);
        let uncongested = self.cells.iter().filter(|(_, cell)| draw < limit_us / queueing(cell));
        let uncongested: Vec<&CellId> = uncongested.map(|(id, _)| id).collect();
        let stays = |id: &ServerId| uncongested.contains(&&self.servers[id].entry.cell);
        if ready.iter().any(stays) {
            ready.retain(stays);
        }
    }

    /// Whether links between cells are slow and a reader's cell has no healthy writer or mixed server to fetch its
    /// states. Such a reader is skipped like one at capacity.
    pub(super) fn lacks_local_writers(&self, reader: &Server, class: u32) -> bool {
        let local = |s: &&Server| s.role != Role::Reader && s.entry.cell == reader.entry.cell;
        let mut local = self.servers.values().filter(local);
        reader.role == Role::Reader && self.links_are_slow() && !local.any(|s| self.is_healthy(s, class))
    }

    /// Whether the time per token of remote fetches was recently far above the median of all writes.
    pub(super) fn links_are_slow(&self) -> bool {
        let remote_pace = self.remote_fetch_us_per_token.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
        remote_pace > SLOW_LINK_MULTIPLE * self.stages[Stage::Write as usize].median_us_per_token
    }

    /// Of two servers drawn at random, the one with fewer tokens of this dispatcher in flight, relative to its weight
    /// and pace.
    pub(super) fn less_loaded_of_two(&mut self, from: &[ServerId]) -> Option<ServerId> {
        if from.len() < 2 {
            return from.first().copied();
        }
        let first = self.rng.next_u64() as usize % from.len();
        let second = (first + 1 + self.rng.next_u64() as usize % (from.len() - 1)) % from.len();
        let load = |at: usize| {
            let server = &self.servers[&from[at]];
            server.memory_tokens_in_flight as f64
                / server.entry.weight.max(0.01)
                / self.share_for_pace(server, Stage::Write)
        };
        Some(if load(second) < load(first) { from[second] } else { from[first] })
    }
}
