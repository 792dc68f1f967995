//! The guard: sends and answers pass it, and it counts by rule what it refused (nothing happened) apart from what it
//! found broken already (a defect). Pure: the reducer asks it, the figures show its counts.

use log::{debug, error};

use crate::interface::{Micros, RequestId};

/// A rule that the guard holds to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Nothing is sent once the client has its final answer, has left, or is being streamed to.
    SendAfterAnswer,
    /// Nothing is sent once the request's time is over.
    SendAfterDeadline,
    /// Nothing is sent again that may have run, but as its class allows.
    SecondRun,
    /// No new work goes to a server that the list has as draining.
    SendToDraining,
    /// What is held is taken or let go of within the settings' time.
    HeldTooLong,
    /// The final answer comes within the client's time.
    LateAnswer,
}

impl Rule {
    /// All of them, in the order of the counts.
    pub const ALL: [Self; 6] = [
        Self::SendAfterAnswer,
        Self::SendAfterDeadline,
        Self::SecondRun,
        Self::SendToDraining,
        Self::HeldTooLong,
        Self::LateAnswer,
    ];

    /// Its name in the figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::SendAfterAnswer => "send_after_answer",
            Self::SendAfterDeadline => "send_after_deadline",
            Self::SecondRun => "second_run",
            Self::SendToDraining => "send_to_draining",
            Self::HeldTooLong => "held_too_long",
            Self::LateAnswer => "late_answer",
        }
    }
}

/// Counts by rule, in the order of [`Rule::ALL`].
pub type Counts = [u64; Rule::ALL.len()];

/// See the [module](self).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guard {
    refused: Counts,
    broken: Counts,
}

/// What a send is held against.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    /// Now (us).
    pub now: Micros,
    /// The client still waits for its answer.
    pub waits: bool,
    /// The list has the server as one that takes work, or has not got it.
    pub takes_work: bool,
    /// The attempt's own end (us).
    pub until: Micros,
    /// What is held has to be taken by then (us).
    pub taken_by: Option<Micros>,
    /// A second run is allowed up to then (us); `None` where none ran.
    pub runs_again_by: Option<Micros>,
}

impl SendCheck {
    /// The first rule that the send would break.
    fn breaks(&self) -> Option<Rule> {
        let over = |by: Option<Micros>| by.is_some_and(|by| by <= self.now);
        let checks = [
            (!self.waits, Rule::SendAfterAnswer),
            (!self.takes_work, Rule::SendToDraining),
            (over(self.runs_again_by), Rule::SecondRun),
            (over(self.taken_by), Rule::HeldTooLong),
            (over(Some(self.until)), Rule::SendAfterDeadline),
        ];
        checks.into_iter().find(|(broken, _)| *broken).map(|(_, rule)| rule)
    }
}

impl Guard {
    /// Checks whether a send may begin; one that may not is counted as refused.
    ///
    /// # Errors
    /// The first rule that it would break.
    pub fn check_send(&mut self, id: RequestId, check: &SendCheck) -> Result<(), Rule> {
        let Some(rule) = check.breaks() else { return Ok(()) };
        self.refused[rule as usize] += 1;
        debug!(request_id:% = id, rule = rule.name(), check:? = check; "guard: send refused");
        Err(rule)
    }

    /// Counts a rule that is broken already; `history` says what became of the request.
    pub fn finds_broken(&mut self, rule: Rule, id: RequestId, history: &dyn std::fmt::Display) {
        self.broken[rule as usize] += 1;
        error!(request_id:% = id, rule = rule.name(), history:% = history; "guard: rule broken");
    }

    /// Refused by now, by rule.
    #[must_use]
    pub fn refused(&self) -> Counts {
        self.refused
    }

    /// Found broken by now, by rule.
    #[must_use]
    pub fn broken(&self) -> Counts {
        self.broken
    }
}
