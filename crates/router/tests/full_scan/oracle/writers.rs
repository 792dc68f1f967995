//! Which writer fetches a state that has been read.

use rand_core::RngCore;

use super::constants::{
    AVERAGE_HALF_LIFE_US, QUEUEING_SHARE, SLOW_LINK_MULTIPLE, SLOW_MULTIPLE, WAIT_SHARE_OF_OBJECTIVE,
};
use super::Router;
use crate::interface::{CellId, RequestId, Role, ServerEntry, ServerId};
use crate::records::{CellBalance, Server, Stage};
use crate::statistics::{lower_median, mix, unit_interval};

impl Router {
    /// The writer for a state: of two ready ones drawn in the reader's cell, else its zone, else any, the
    /// one with fewer own tokens under way. Mixed servers help where no writer is ready.
    /// Racks are uneven: a cell, or a zone, keeps only the part of its states that its writers can take, and
    /// the rest goes where writers have room to spare. Harm: states that a quiet rack could have kept move.
    pub(super) fn select_writer(&mut self, id: RequestId, reader: ServerId) -> Option<ServerId> {
        let [stays, in_zone, spare] = [(); 3].map(|()| self.rng.next_u64());
        let request = self.requests.get(&id)?;
        // What has been read is not thrown away for an estimate; early enough that a connect may yet fail.
        let last =
            request.held_state.is_none_or(|held| self.now >= held.since + self.settings.max_hold_time / 2);
        let ready = [Role::Writer, Role::Mixed].into_iter().map(|role| {
            let mean = if last { 0.0 } else { self.mean_memory_tokens(role) };
            let mut ready = self.candidate_pool(role, request);
            ready.retain(|id| self.has_memory_left(&self.servers[id], mean));
            ready
        });
        let mut ready = ready.into_iter().find(|ready| !ready.is_empty())?;
        self.pass_congested(&mut ready, unit_interval(mix(!spare)));
        let Some(from) = self.servers.get(&reader).map(|server| &server.entry) else {
            return self.less_loaded_of_two(&ready);
        };
        let whole = CellBalance::default();
        let cell = |entry: &ServerEntry| self.cells.get(&entry.cell).unwrap_or(&whole);
        let stays = unit_interval(stays) < cell(from).writer_surplus;
        let in_zone = unit_interval(in_zone) < cell(from).zone_retention;
        let has_spare = |to: &ServerEntry| {
            unit_interval(mix(spare ^ u64::from(to.server.0))) < 1.0 - 1.0 / cell(to).writer_surplus
        };
        let tests: [&dyn Fn(&ServerEntry) -> bool; 5] = [
            &|to| stays && to.cell == from.cell,
            &|to| in_zone && to.zone == from.zone && has_spare(to),
            &|to| to.zone != from.zone && has_spare(to),
            &|to| to.zone == from.zone,
            &|_| true,
        ];
        let draw = |test: &&dyn Fn(&ServerEntry) -> bool| -> Vec<ServerId> {
            ready.iter().copied().filter(|id| test(&self.servers[id].entry)).collect()
        };
        let drawn = tests.iter().map(draw).find(|drawn| !drawn.is_empty());
        self.less_loaded_of_two(&drawn.unwrap_or_default())
    }

    /// Passes writers of a cell that lately queued or timed out over what is permitted and twice the middle
    /// cell, in proportion, unless links are slow: a dispatcher meets the cell often, each writer seldom. Also
    /// catches a cell of slow writers. Harm: one slow writer sends its neighbours' states off.
    pub(super) fn pass_congested(&self, ready: &mut Vec<ServerId>, draw: f64) {
        if self.links_are_slow() {
            return;
        }
        let queued = |cell: &CellBalance| cell.queueing_us.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
        let middle = lower_median(self.cells.values().map(queued).collect()).unwrap_or(0.0);
        let permitted =
            WAIT_SHARE_OF_OBJECTIVE[Stage::Write as usize] * self.settings.shortest_latency_objective();
        let limit = (QUEUEING_SHARE * permitted).max(SLOW_MULTIPLE * middle);
        let prompt = self.cells.iter().filter(|(_, cell)| draw < limit / queued(cell));
        let prompt: Vec<&CellId> = prompt.map(|(id, _)| id).collect();
        let stays = |id: &ServerId| prompt.contains(&&self.servers[id].entry.cell);
        if ready.iter().any(stays) {
            ready.retain(stays);
        }
    }

    /// Over slow links a reader without a writer in its cell is passed like one at its cap.
    pub(super) fn is_stranded(&self, reader: &Server, class: u32) -> bool {
        let beside = |e: &&Server| e.role != Role::Reader && e.entry.cell == reader.entry.cell;
        let mut beside = self.servers.values().filter(beside);
        reader.role == Role::Reader && self.links_are_slow() && !beside.any(|e| self.is_healthy(e, class))
    }

    pub(super) fn links_are_slow(&self) -> bool {
        let crosses_cells = self.remote_fetch_us_per_token.value_at(self.now, 0.0, AVERAGE_HALF_LIFE_US);
        crosses_cells > SLOW_LINK_MULTIPLE * self.stages[Stage::Write as usize].median_us_per_token
    }

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
