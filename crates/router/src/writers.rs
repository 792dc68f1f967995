//! Selection of the writer that fetches a held state: one in the reader's cell, else in its zone, else
//! anywhere.
//!
//! Cells differ in their ratio of writers to readers. A cell, or a zone, keeps only the part of its states
//! that its writers can take; the others go to cells with spare writers. Known drawback: states also leave a
//! cell that is idle enough to have kept them.

use rand_core::RngCore;

use crate::averaging::AVERAGE_HALF_LIFE_US;
use crate::eligibility::CandidatePool;
use crate::interface::{CellId, Role, ServerEntry, ServerId};
use crate::load::{self, SLOW_MULTIPLE};
use crate::overload::{QUEUEING_SHARE, WAIT_SHARE_OF_OBJECTIVE};
use crate::records::{CellBalance, RequestState, Server, Stage};
use crate::remote_fetch;
use crate::routing_state::RoutingState;
use crate::statistics::{lower_median, mix, unit_interval};

/// Lower bound of a server's weight, which is a divisor.
const MIN_WEIGHT: f64 = 0.01;

/// The random draws of one selection.
struct Draws {
    /// Decides whether the state stays in its cell, in (0, 1].
    stay_in_cell: f64,
    /// Decides whether a state that leaves its cell stays in its zone, in (0, 1].
    stay_in_zone: f64,
    /// Seed that is hashed with a server to decide whether its cell counts as having spare writers.
    spare_seed: u64,
}

impl Draws {
    fn new(rng: &mut impl RngCore) -> Self {
        let stay_in_cell = unit_interval(rng.next_u64());
        let stay_in_zone = unit_interval(rng.next_u64());
        Self { stay_in_cell, stay_in_zone, spare_seed: rng.next_u64() }
    }
}

/// Writers that can take a state now; mixed servers if no writer can.
struct Candidates<'a> {
    state: &'a RoutingState,
    pool: CandidatePool<'a>,
    /// Mean memory tokens of this dispatcher's attempts per server of the role, the basis for the estimate of
    /// what other dispatchers hold there; 0 if that estimate must not exclude any server.
    mean_memory_tokens: f64,
    /// Cells to skip, unless no other candidate is left.
    congested: Vec<CellId>,
}

/// Where a state that leaves its cell may go, in order of preference.
const DESTINATIONS: [Destination; 4] = [
    Destination::SpareCellsInZone,
    Destination::SpareCellsElsewhere,
    Destination::OwnZone,
    Destination::Anywhere,
];

#[derive(Clone, Copy, Debug)]
enum Destination {
    /// Cells with spare writers in the reader's zone, for the part of the states that the zone keeps.
    SpareCellsInZone,
    /// Cells with spare writers in other zones.
    SpareCellsElsewhere,
    OwnZone,
    Anywhere,
}

/// Selects the writer for the state that `reader` holds: of two random candidates, the one with fewer tokens
/// of this dispatcher in flight, relative to its weight and pace. `None` if no server can take the state now.
pub(crate) fn select_writer(
    state: &RoutingState,
    request: &RequestState,
    reader: ServerId,
    rng: &mut impl RngCore,
) -> Option<ServerId> {
    let draws = Draws::new(rng);
    let candidates = Candidates::of(state, request, &draws)?;
    let writers = match state.fleet.get(reader) {
        Some(reader) => candidates.candidates_for(&reader.entry, &draws),
        None => state.fleet.ready_passing(candidates.pool.role, |server| candidates.contains(server)),
    };
    less_loaded_of_two(state, &writers, rng)
}

impl<'a> Candidates<'a> {
    fn of(state: &'a RoutingState, request: &'a RequestState, draws: &Draws) -> Option<Self> {
        let found = [Role::Writer, Role::Mixed].into_iter().find_map(|role| {
            let mean_memory_tokens =
                if is_urgent(state, request) { 0.0 } else { load::mean_memory_tokens(state, role) };
            let pool = CandidatePool::of(state, role, request)?;
            let candidates = Self { state, pool, mean_memory_tokens, congested: Vec::new() };
            candidates.any_ready().then_some(candidates)
        })?;
        let congested = congested_cells(state, unit_interval(mix(!draws.spare_seed)));
        if congested.is_empty() {
            return Some(found);
        }
        let uncongested = Self { congested, ..found };
        if uncongested.any_ready() {
            return Some(uncongested);
        }
        Some(Self { congested: Vec::new(), ..uncongested })
    }

    fn any_ready(&self) -> bool {
        self.state.fleet.ready(self.pool.role).any(|server| self.contains(server))
    }

    fn contains(&self, server: &Server) -> bool {
        !self.congested.contains(&server.entry.cell)
            && self.pool.contains(server)
            && load::has_memory_left(self.state, server, self.mean_memory_tokens)
    }

    /// The candidates among which the writer for a state of `reader` is drawn.
    fn candidates_for(&self, reader: &ServerEntry, draws: &Draws) -> Vec<ServerId> {
        let local_probability = self.balance(reader, |cell| cell.writer_surplus);
        if draws.stay_in_cell < local_probability {
            let local = self.state.fleet.ready_in_cell(reader.cell, self.pool.role);
            let local = local.filter(|server| self.contains(server));
            let local: Vec<ServerId> = local.map(|server| server.entry.server).collect();
            if !local.is_empty() {
                return local;
            }
        }
        for destination in DESTINATIONS {
            let is_at_destination =
                |entry: &ServerEntry| self.matches_destination(destination, entry, reader, draws);
            let passing = |server: &Server| is_at_destination(&server.entry) && self.contains(server);
            let found = self.state.fleet.ready_passing(self.pool.role, passing);
            if !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }

    fn matches_destination(
        &self,
        destination: Destination,
        writer: &ServerEntry,
        reader: &ServerEntry,
        draws: &Draws,
    ) -> bool {
        let is_in_zone = writer.zone == reader.zone;
        match destination {
            Destination::SpareCellsInZone => {
                let stays = draws.stay_in_zone < self.balance(reader, |cell| cell.zone_retention);
                stays && is_in_zone && self.has_spare_writers(writer, draws)
            }
            Destination::SpareCellsElsewhere => !is_in_zone && self.has_spare_writers(writer, draws),
            Destination::OwnZone => is_in_zone,
            Destination::Anywhere => true,
        }
    }

    /// Whether the cell of a writer counts as having spare writers: at random, with a probability that grows
    /// with its surplus.
    fn has_spare_writers(&self, writer: &ServerEntry, draws: &Draws) -> bool {
        let draw = unit_interval(mix(draws.spare_seed ^ u64::from(writer.server.0)));
        draw < 1.0 - 1.0 / self.balance(writer, |cell| cell.writer_surplus)
    }

    /// Returns a figure of a server's cell, or that of a balanced cell if the cell is not known.
    fn balance(&self, entry: &ServerEntry, figure: impl Fn(&CellBalance) -> f64) -> f64 {
        match self.state.cells.get(&entry.cell) {
            Some(cell) => figure(cell),
            None => figure(&CellBalance::default()),
        }
    }
}

/// Whether a held state has waited for half of its hold time. From then on the estimate of what other
/// dispatchers hold excludes no writer: a finished read is not discarded because of an estimate, and time
/// must be left for another attempt in case a connect fails.
fn is_urgent(state: &RoutingState, request: &RequestState) -> bool {
    request.held_state.is_none_or(|held| state.now >= held.since + state.settings.max_hold_time / 2)
}

/// Cells to skip because states recently queued or timed out at their writers for longer than the limit: the
/// permitted wait at the write stage, and at least twice the median cell. A cell is skipped with a
/// probability that grows with the excess; `draw` is in (0, 1]. No cell is skipped while links between cells
/// are slow.
///
/// The limit is per cell because a dispatcher has recent samples for each cell, but seldom for each writer.
/// It also catches a cell whose writers are slow. Known drawback: one slow writer diverts states from the
/// other writers of its cell.
fn congested_cells(state: &RoutingState, draw: f64) -> Vec<CellId> {
    if remote_fetch::links_are_slow(state) {
        return Vec::new();
    }
    let queueing_us = |cell: &CellBalance| cell.queueing_us.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
    let median_us = lower_median(state.cells.values().map(queueing_us).collect()).unwrap_or(0.0);
    let permitted_us = WAIT_SHARE_OF_OBJECTIVE[Stage::Write as usize] * state.shortest_objective_us;
    let limit_us = (QUEUEING_SHARE * permitted_us).max(SLOW_MULTIPLE * median_us);
    let is_congested = |cell: &CellBalance| {
        let is_within_limit = draw < limit_us / queueing_us(cell);
        !is_within_limit
    };
    state.cells.iter().filter(|(_, cell)| is_congested(cell)).map(|(&id, _)| id).collect()
}

/// Of two servers drawn at random, the one with fewer tokens of this dispatcher in flight, relative to its
/// weight and pace.
fn less_loaded_of_two(
    state: &RoutingState,
    servers: &[ServerId],
    rng: &mut impl RngCore,
) -> Option<ServerId> {
    if servers.len() < 2 {
        return servers.first().copied();
    }
    let first = rng.next_u64() as usize % servers.len();
    let second = (first + 1 + rng.next_u64() as usize % (servers.len() - 1)) % servers.len();
    let load_of = |position: usize| {
        let server = &state.fleet[servers[position]];
        let weight = server.entry.weight.max(MIN_WEIGHT);
        server.memory_tokens_in_flight as f64 / weight / load::share_for_pace(state, server, Stage::Write)
    };
    Some(if load_of(second) < load_of(first) { servers[second] } else { servers[first] })
}
