//! How long a suspected member has to refute: long while one instance alone suspects it, shorter with each independent
//! confirmation (Lifeguard's dynamic suspicion timeout).

use crate::identity::MemberId;
use crate::settings::Settings;
use crate::Micros;

/// The running time of a suspected member to refute.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it began.
    pub(crate) since: Micros,
    /// Who suspects it independently, the first one included.
    reporters: Vec<MemberId>,
    /// Another instance declared it dead: it has the minimum time, whoever confirms.
    pub(crate) declared_dead: bool,
}

impl Suspicion {
    /// A suspicion that a member has just reported.
    #[must_use]
    pub fn new(reported_by: MemberId, now: Micros) -> Self {
        Self { since: now, reporters: vec![reported_by], declared_dead: false }
    }

    /// Counts one more reporter; false where it is counted already, or further ones make no difference.
    pub fn confirm(&mut self, reported_by: MemberId, settings: &Settings) -> bool {
        let is_new = self.reporters.len() <= settings.confirmations && !self.reporters.contains(&reported_by);
        if is_new {
            self.reporters.push(reported_by);
        }
        is_new
    }

    /// When the member is declared dead, in a cluster of so many members that are up.
    #[must_use]
    pub fn ends_at(&self, up: usize, settings: &Settings) -> Micros {
        let (min, max) = settings.suspicion_bounds(up);
        // As many as there can be: with three members, one other at most can confirm.
        let wanted = settings.confirmations.min(up.saturating_sub(2));
        let confirmed = self.reporters.len().saturating_sub(1);
        if self.declared_dead || wanted == 0 || confirmed >= wanted {
            return self.since + min;
        }
        let progress = ((confirmed + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        self.since + max - ((max - min) as f64 * progress) as Micros
    }
}
