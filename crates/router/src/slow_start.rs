//! Slow start: the budget of a server that has just started.

use crate::health::RATE_TIME;
use crate::interface::{Micros, Role};
use crate::router::Router;
use crate::tables::ColdBudget;

/// Share of a cold budget that is used; the rest is for chance, crowded peers.
pub(crate) const COLD_MARGIN: f64 = 0.75;
pub(crate) const COLD_ROLE_SHARE: f64 = 0.5; // of an even share of the calls, where no peer is warm
/// By the end of the cold time, a server can surely do so many times more.
pub(crate) const COLD_GAIN: f64 = 1.5;

impl Router {
    pub(crate) fn cold_allows(&self, role: Role, started: Option<Micros>, budget: &ColdBudget) -> bool {
        let window = self.settings.fall_window;
        self.cold_permit(role, started).is_none_or(|permit| budget.allows(permit, self.now, window))
    }

    /// Sends that a window permits to a cold server: the part of its capacity that it surely has by now, by
    /// what a warm server of its role carries for this front; `None` if it is warm.
    pub(crate) fn cold_permit(&self, role: Role, started: Option<Micros>) -> Option<f64> {
        let (from, set) = (started?, &self.settings);
        let age = self.now.saturating_sub(from) as f64 / set.cold_for.max(1) as f64;
        let share = set.cold_from * (1.0 + COLD_GAIN * age);
        let (sum, warm) = self.fleet.carried_by_warm(role);
        let even = || self.call_rate.young(self.now, RATE_TIME) / self.fleet.known(role);
        let rate = if warm > 0 { sum / warm as f64 } else { COLD_ROLE_SHARE * even() };
        let permit =
            self.part * COLD_MARGIN * set.fall_multiple * share * rate * set.fall_window as f64 / 1e6;
        (self.now < from.saturating_add(set.cold_for)).then_some(permit)
    }
}
