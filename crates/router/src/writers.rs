//! Which writer takes a state that has been read.

use rand_core::RngCore;

use crate::figures::{lower_median, mix, unit};
use crate::health::PACE_HALF_LIFE;
use crate::interface::{CellId, EngineId, Entry, RequestId, Role};
use crate::load::SLUGGISH;
use crate::overload::{QUEUED_PART, WAIT_SHARE_OF_AIM};
use crate::router::Router;
use crate::state::{Cell, Engine, Pool, Request, Stage};

/// Times the usual that first tokens take after a far move, where links are slow.
pub(crate) const SLOW_LINKS: f64 = 3.0;

impl Router {
    /// The writer for a state: of two ready ones drawn in the reader's cell, else its zone, else any, the
    /// one with fewer own tokens under way. Mixed servers help where no writer is ready.
    /// Racks are uneven: a cell, or a zone, keeps only the part of its states that its writers can take, and
    /// the rest goes where writers have room to spare. Harm: states that a quiet rack could have kept move.
    pub(crate) fn pick_writer(&mut self, id: RequestId, reader: EngineId) -> Option<EngineId> {
        let lots = [(); 3].map(|()| self.rng.next_u64());
        let request = self.requests.get(&id)?;
        let drawn = self.writers_for(request, reader, lots);
        self.better_of_two(&drawn)
    }

    pub(crate) fn writers_for(&self, request: &Request, reader: EngineId, lots: [u64; 3]) -> Vec<EngineId> {
        let [stays, in_zone, spare] = lots;
        // What has been read is not thrown away for an estimate; early enough that a connect may yet fail.
        let last = request.state.is_none_or(|(_, at)| self.now >= at + self.settings.release_within / 2);
        let usable = |pool: &Pool, mean, e: &Engine| self.in_pool(pool, request, e) && self.has_room(e, mean);
        let found = [Role::Writer, Role::Mixed].into_iter().find_map(|role| {
            let mean = if last { 0.0 } else { self.mean_tokens(role) };
            let pool = self.pool(role, request)?;
            self.fleet.ready(role).any(|e| usable(&pool, mean, e)).then_some((pool, mean))
        });
        let Some((pool, mean)) = found else { return Vec::new() };
        let crowded = self.crowded_cells(unit(mix(!spare)));
        let prompt = |e: &Engine| !crowded.contains(&e.entry.cell);
        let all_crowded =
            !crowded.is_empty() && !self.fleet.ready(pool.role).any(|e| prompt(e) && usable(&pool, mean, e));
        let ready = |e: &Engine| (all_crowded || prompt(e)) && usable(&pool, mean, e);
        let Some(from) = self.fleet.get(reader).map(|engine| &engine.entry) else {
            return self.fleet.passing(pool.role, ready);
        };
        let whole = Cell::default();
        let cell = |entry: &Entry| self.cells.get(&entry.cell).unwrap_or(&whole);
        if unit(stays) < cell(from).near {
            let near = self.fleet.ready_in(from.cell, pool.role);
            let near: Vec<EngineId> = near.filter(|e| ready(e)).map(|e| e.entry.engine).collect();
            if !near.is_empty() {
                return near;
            }
        }
        let in_zone = unit(in_zone) < cell(from).zone_takes;
        let has_spare = |to: &Entry| unit(mix(spare ^ u64::from(to.engine.0))) < 1.0 - 1.0 / cell(to).near;
        let tests: [&dyn Fn(&Entry) -> bool; 4] = [
            &|to| in_zone && to.zone == from.zone && has_spare(to),
            &|to| to.zone != from.zone && has_spare(to),
            &|to| to.zone == from.zone,
            &|_| true,
        ];
        let draw =
            |test: &&dyn Fn(&Entry) -> bool| self.fleet.passing(pool.role, |e| test(&e.entry) && ready(e));
        tests.iter().map(draw).find(|drawn| !drawn.is_empty()).unwrap_or_default()
    }

    /// Cells to pass: their writers lately queued or timed out over what is permitted and twice the middle
    /// cell, in proportion, unless links are slow: a front meets the cell often, each writer seldom. Also
    /// catches a cell of slow writers. Harm: one slow writer sends its neighbours' states off.
    pub(crate) fn crowded_cells(&self, lot: f64) -> Vec<CellId> {
        if self.slow_links() {
            return Vec::new();
        }
        let queued = |cell: &Cell| cell.queued.now(0.0, self.now, PACE_HALF_LIFE);
        let middle = lower_median(self.cells.values().map(queued).collect()).unwrap_or(0.0);
        let permitted = WAIT_SHARE_OF_AIM[Stage::Write as usize] * self.shortest_aim;
        let limit = (QUEUED_PART * permitted).max(SLUGGISH * middle);
        let prompt = |cell: &Cell| lot < limit / queued(cell);
        self.cells.iter().filter(|(_, cell)| !prompt(cell)).map(|(&id, _)| id).collect()
    }

    /// Over slow links a reader without a writer in its cell is passed like one at its cap.
    pub(crate) fn stranded(&self, reader: &Engine, class: u32) -> bool {
        let beside = |role| self.fleet.ready_in(reader.entry.cell, role).any(|e| self.is_healthy(e, class));
        reader.role == Role::Reader && self.slow_links() && !beside(Role::Writer) && !beside(Role::Mixed)
    }

    pub(crate) fn slow_links(&self) -> bool {
        let far = self.far_pace.now(0.0, self.now, PACE_HALF_LIFE);
        far > SLOW_LINKS * self.stages[Stage::Write as usize].usual
    }

    pub(crate) fn better_of_two(&mut self, from: &[EngineId]) -> Option<EngineId> {
        if from.len() < 2 {
            return from.first().copied();
        }
        let first = self.rng.next_u64() as usize % from.len();
        let second = (first + 1 + self.rng.next_u64() as usize % (from.len() - 1)) % from.len();
        let load = |at: usize| {
            let engine = &self.fleet[from[at]];
            engine.tokens as f64 / engine.entry.weight.max(0.01) / self.share_for_pace(engine, Stage::Write)
        };
        Some(if load(second) < load(first) { from[second] } else { from[first] })
    }
}
