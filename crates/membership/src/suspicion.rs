//! Lifeguard's dynamic suspicion timeout: a suspected member gets the maximum time to refute while a single instance
//! suspects it, and less with each independent confirmation.

use crate::identity::MemberId;
use crate::settings::Settings;
use crate::Micros;

/// The suspicion timeout of one suspected member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When the timeout started. Moved forward by the length of each pause of this process.
    pub(crate) since: Micros,
    /// The distinct instances that suspect the member, starting with the first.
    reporters: Vec<MemberId>,
    /// Another instance declared the member dead: the minimum time applies, without further confirmations.
    pub(crate) declared_dead: bool,
}

impl Suspicion {
    /// Starts the timeout of a suspicion that `reported_by` has raised.
    #[must_use]
    pub fn new(reported_by: MemberId, now: Micros) -> Self {
        Self { since: now, reporters: vec![reported_by], declared_dead: false }
    }

    /// Adds an independent confirmation. Returns false if that instance is already counted, or if there are already
    /// as many confirmations as [`Settings::confirmations`], so that another one changes nothing.
    pub fn confirm(&mut self, reported_by: MemberId, settings: &Settings) -> bool {
        let is_new = self.reporters.len() <= settings.confirmations && !self.reporters.contains(&reported_by);
        if is_new {
            self.reporters.push(reported_by);
        }
        is_new
    }

    /// When the member is declared dead unless it refutes, in a cluster of `members_up` members.
    #[must_use]
    pub fn ends_at(&self, members_up: usize, settings: &Settings) -> Micros {
        let (min, max) = settings.suspicion_bounds(members_up);
        // Neither the suspected member nor the first reporter confirms: with three members, only one is left that
        // can.
        let confirmations_needed = settings.confirmations.min(members_up.saturating_sub(2));
        let confirmation_count = self.reporters.len().saturating_sub(1);
        if self.declared_dead || confirmations_needed == 0 || confirmation_count >= confirmations_needed {
            return self.since + min;
        }
        let progress = ((confirmation_count + 1) as f64).ln() / ((confirmations_needed + 1) as f64).ln();
        self.since + max - ((max - min) as f64 * progress) as Micros
    }
}
