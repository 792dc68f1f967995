//! How long a suspected member has to refute: long while one instance alone suspects it, shorter with each
//! that found the same by itself (Lifeguard's dynamic suspicion timeout).

use crate::member::MemberId;
use crate::settings::Settings;
use crate::Micros;

#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Micros,
    /// Those that found it by themselves, the first included.
    by: Vec<MemberId>,
    /// Another holds it for dead: it has the least time, whoever confirms.
    pub(crate) told_dead: bool,
}

impl Suspicion {
    pub(crate) fn new(by: MemberId, now: Micros) -> Self {
        Self { since: now, by: vec![by], told_dead: false }
    }

    /// One more has found it; false where that is known, or so many have that more make no difference.
    pub(crate) fn confirm(&mut self, by: MemberId, settings: &Settings) -> bool {
        let new = self.by.len() <= settings.confirmations && !self.by.contains(&by);
        if new {
            self.by.push(by);
        }
        new
    }

    /// When it counts as dead, in a cluster of so many members that are up.
    pub(crate) fn ends_at(&self, up: usize, settings: &Settings) -> Micros {
        let (least, most) = settings.suspicion_bounds(up);
        // As many as can be had: with three members, one other at most can confirm.
        let wanted = settings.confirmations.min(up.saturating_sub(2));
        let found = self.by.len().saturating_sub(1);
        if self.told_dead || wanted == 0 || found >= wanted {
            return self.since + least;
        }
        let part = ((found + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        self.since + most - ((most - least) as f64 * part) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_grows_shorter_with_each_that_found_it_by_itself_down_to_the_least() {
        let settings = Settings::default();
        let (least, most) = settings.suspicion_bounds(9);
        let mut suspicion = Suspicion::new(MemberId(1), 0);
        let mut ends = vec![suspicion.ends_at(9, &settings)];
        for by in [1, 2, 2, 3, 4, 5] {
            suspicion.confirm(MemberId(by), &settings);
            ends.push(suspicion.ends_at(9, &settings));
        }
        assert_eq!(ends[0], most);
        assert_eq!(ends[1], most, "its own finder confirms nothing");
        assert!(ends[2] < most && ends[3] == ends[2], "one that says it twice counts once");
        assert_eq!(&ends[5..], [least, least]);
    }

    #[test]
    fn where_nobody_can_confirm_the_least_holds() {
        let settings = Settings::default();
        assert_eq!(Suspicion::new(MemberId(1), 7).ends_at(2, &settings), 7 + settings.suspicion_bounds(2).0);
    }
}
