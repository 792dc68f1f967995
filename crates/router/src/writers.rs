//! Which writer fetches a state that has been read: one in the reader's cell, else in its zone, else
//! anywhere.
//!
//! Racks are uneven: a cell, or a zone, keeps only the part of its states that its writers can take, and the
//! rest goes where writers have room to spare. Harm: states that a quiet rack could have kept move.

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

/// A server's weight counts as this at the least.
const MIN_WEIGHT: f64 = 0.01;

/// Random draws of one choice.
struct Draws {
    /// Whether the state stays in its cell, in (0, 1].
    stay_in_cell: f64,
    /// Whether it stays in its zone once it leaves the cell, in (0, 1].
    stay_in_zone: f64,
    /// Whether a cell counts as having writers to spare, hashed with the server.
    spare: u64,
}

impl Draws {
    fn new(rng: &mut impl RngCore) -> Self {
        let stay_in_cell = unit_interval(rng.next_u64());
        let stay_in_zone = unit_interval(rng.next_u64());
        Self { stay_in_cell, stay_in_zone, spare: rng.next_u64() }
    }
}

/// Writers that can take a state now. Mixed servers help where no writer is ready.
struct Candidates<'a> {
    state: &'a RoutingState,
    pool: CandidatePool<'a>,
    /// Own tokens at a server of the role on average; 0 where the memory estimate is not to bar anyone.
    mean_memory_tokens: f64,
    /// Cells that are passed over, unless nobody else is left.
    congested: Vec<CellId>,
}

/// Where a state may go once it does not stay in its cell, in the order of preference.
const DESTINATIONS: [Destination; 4] =
    [Destination::SpareInZone, Destination::SpareElsewhere, Destination::OwnZone, Destination::Anywhere];

#[derive(Clone, Copy, Debug)]
enum Destination {
    /// Cells of the reader's zone with writers to spare, for the part of the states that the zone keeps.
    SpareInZone,
    /// Cells of other zones with writers to spare.
    SpareElsewhere,
    OwnZone,
    Anywhere,
}

/// The writer for the state that `reader` holds: of two candidates drawn at random, the one with fewer own
/// tokens in flight for its weight and pace. `None` where nobody can take it now.
pub(crate) fn select_writer(
    state: &RoutingState,
    request: &RequestState,
    reader: ServerId,
    rng: &mut impl RngCore,
) -> Option<ServerId> {
    let draws = Draws::new(rng);
    let candidates = Candidates::of(state, request, &draws)?;
    let writers = match state.fleet.get(reader) {
        Some(reader) => candidates.near(&reader.entry, &draws),
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
        let congested = congested_cells(state, unit_interval(mix(!draws.spare)));
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

    /// Those among which the draw is made for a state of that reader.
    fn near(&self, reader: &ServerEntry, draws: &Draws) -> Vec<ServerId> {
        let of_cell = self.balance(reader, |cell| cell.writer_surplus);
        if draws.stay_in_cell < of_cell {
            let local = self.state.fleet.ready_in_cell(reader.cell, self.pool.role);
            let local = local.filter(|server| self.contains(server));
            let local: Vec<ServerId> = local.map(|server| server.entry.server).collect();
            if !local.is_empty() {
                return local;
            }
        }
        for destination in DESTINATIONS {
            let is_there = |entry: &ServerEntry| self.lies_in(destination, entry, reader, draws);
            let passing = |server: &Server| is_there(&server.entry) && self.contains(server);
            let found = self.state.fleet.ready_passing(self.pool.role, passing);
            if !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }

    fn lies_in(
        &self,
        destination: Destination,
        writer: &ServerEntry,
        reader: &ServerEntry,
        draws: &Draws,
    ) -> bool {
        let is_in_zone = writer.zone == reader.zone;
        match destination {
            Destination::SpareInZone => {
                let stays = draws.stay_in_zone < self.balance(reader, |cell| cell.zone_retention);
                stays && is_in_zone && self.has_spare(writer, draws)
            }
            Destination::SpareElsewhere => !is_in_zone && self.has_spare(writer, draws),
            Destination::OwnZone => is_in_zone,
            Destination::Anywhere => true,
        }
    }

    /// Whether the cell of a writer has writers to spare, by chance in proportion to how many.
    fn has_spare(&self, writer: &ServerEntry, draws: &Draws) -> bool {
        let draw = unit_interval(mix(draws.spare ^ u64::from(writer.server.0)));
        draw < 1.0 - 1.0 / self.balance(writer, |cell| cell.writer_surplus)
    }

    /// A figure of a server's cell, or that of a balanced cell where it is not known.
    fn balance(&self, entry: &ServerEntry, figure: impl Fn(&CellBalance) -> f64) -> f64 {
        match self.state.cells.get(&entry.cell) {
            Some(cell) => figure(cell),
            None => figure(&CellBalance::default()),
        }
    }
}

/// Whether a held state has waited for half of its time: what has been read is not thrown away for an
/// estimate, and a connect may yet fail.
fn is_urgent(state: &RoutingState, request: &RequestState) -> bool {
    request.held_state.is_none_or(|held| state.now >= held.since + state.settings.max_hold_time / 2)
}

/// Cells to pass over: their writers lately queued or timed out over what is permitted and twice the median
/// cell, in proportion to `draw` in (0, 1], unless links are slow: a dispatcher meets the cell often, each
/// writer seldom. Also catches a cell of slow writers. Harm: one slow writer sends its neighbours' states
/// off.
fn congested_cells(state: &RoutingState, draw: f64) -> Vec<CellId> {
    if remote_fetch::links_are_slow(state) {
        return Vec::new();
    }
    let queueing_us = |cell: &CellBalance| cell.queueing_us.value_at(state.now, 0.0, AVERAGE_HALF_LIFE_US);
    let median_us = lower_median(state.cells.values().map(queueing_us).collect()).unwrap_or(0.0);
    let permitted_us = WAIT_SHARE_OF_OBJECTIVE[Stage::Write as usize] * state.shortest_objective_us;
    let limit_us = (QUEUEING_SHARE * permitted_us).max(SLOW_MULTIPLE * median_us);
    let is_congested = |cell: &CellBalance| {
        let is_prompt = draw < limit_us / queueing_us(cell);
        !is_prompt
    };
    state.cells.iter().filter(|(_, cell)| is_congested(cell)).map(|(&id, _)| id).collect()
}

/// Of two servers drawn at random, the one with fewer own tokens in flight for its weight and pace.
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
