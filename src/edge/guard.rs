//! The guard checks every send and every final answer against the dispatcher's rules. For each rule it counts
//! refused sends, which had no effect, separately from violations found after the fact, each of which is a
//! defect. The guard does no I/O but for log lines; the reducer calls it, and the metrics show its counts.

use log::{debug, error};

use crate::interface::{Micros, RequestId};

/// A rule that the guard enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Nothing is sent once the client has its final answer, has left, or is being streamed to.
    SendAfterAnswer,
    /// Nothing is sent after the deadline of the request.
    SendAfterDeadline,
    /// A request that may have run is only sent again as far as the effect of its class allows.
    SecondRun,
    /// No new work goes to a server that the list shows as draining.
    SendToDraining,
    /// Held state is taken or released within the time limit of the settings.
    HeldTooLong,
    /// The final answer is given before the client's deadline.
    LateAnswer,
}

impl Rule {
    /// All rules, in the order of the counts.
    pub const ALL: [Self; 6] = [
        Self::SendAfterAnswer,
        Self::SendAfterDeadline,
        Self::SecondRun,
        Self::SendToDraining,
        Self::HeldTooLong,
        Self::LateAnswer,
    ];

    /// Name of the rule in metrics and log lines.
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

/// A count for each rule, in the order of [`Rule::ALL`].
pub type RuleCounts = [u64; Rule::ALL.len()];

/// Counts of refused sends and of violations, by rule. See the [module documentation](self).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guard {
    refused: RuleCounts,
    violations: RuleCounts,
}

/// The facts that decide whether a send is allowed.
#[derive(Clone, Copy, Debug)]
pub struct SendCheck {
    /// Time of the send (us).
    pub now: Micros,
    /// Whether the client is still waiting for its answer.
    pub client_waiting: bool,
    /// Whether the server takes new work: it is listed as ready, or is not in the list.
    pub server_accepts_work: bool,
    /// Time at which the attempt would time out (us).
    pub attempt_deadline: Micros,
    /// Time by which held state must be taken (us); `None` if no such deadline is running or the attempt only reads.
    pub hold_deadline: Option<Micros>,
    /// Time until which a second execution is allowed (us); `None` if the request has certainly not been
    /// executed yet, or the attempt only reads.
    pub rerun_deadline: Option<Micros>,
}

impl SendCheck {
    /// The first rule that the send would break; `None` if it is allowed.
    fn first_violation(&self) -> Option<Rule> {
        let is_past = |deadline: Option<Micros>| deadline.is_some_and(|deadline| deadline <= self.now);
        let checks = [
            (!self.client_waiting, Rule::SendAfterAnswer),
            (!self.server_accepts_work, Rule::SendToDraining),
            (is_past(self.rerun_deadline), Rule::SecondRun),
            (is_past(self.hold_deadline), Rule::HeldTooLong),
            (is_past(Some(self.attempt_deadline)), Rule::SendAfterDeadline),
        ];
        checks.into_iter().find(|(broken, _)| *broken).map(|(_, rule)| rule)
    }
}

impl Guard {
    /// Checks whether a send is allowed, and counts it if it is refused.
    ///
    /// # Errors
    /// The first rule that the send would break.
    pub fn check_send(&mut self, id: RequestId, check: &SendCheck) -> Result<(), Rule> {
        let Some(rule) = check.first_violation() else { return Ok(()) };
        self.refused[rule as usize] += 1;
        debug!(request_id:% = id, rule = rule.name(), check:? = check; "guard: send refused");
        Err(rule)
    }

    /// Counts and logs a rule that has already been broken; `history` is the history of the request.
    pub fn record_violation(&mut self, rule: Rule, id: RequestId, history: &dyn std::fmt::Display) {
        self.violations[rule as usize] += 1;
        error!(request_id:% = id, rule = rule.name(), history:% = history; "guard: rule broken");
    }

    /// Refused sends since the start, by rule.
    #[must_use]
    pub fn refused(&self) -> RuleCounts {
        self.refused
    }

    /// Violations found since the start, by rule.
    #[must_use]
    pub fn violations(&self) -> RuleCounts {
        self.violations
    }
}
