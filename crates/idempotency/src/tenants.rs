//! The retry budgets of tenants, for a limited number of tenants.

use std::collections::HashMap;

use crate::retry_budget::{RetryBudget, RetryBudgetPolicy};
use crate::Micros;

/// The maximum number of accounts; tenants above it share [`SHARED_ACCOUNT`].
const MAX_TENANTS: usize = 100_000;
/// The account of all tenants that came after [`MAX_TENANTS`] others.
const SHARED_ACCOUNT: u32 = u32::MAX;

/// The retry budget of each account.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    budgets: HashMap<u32, RetryBudget>,
}

impl Tenants {
    /// The account that a tenant's entries and retries count against: its own, or the shared one.
    pub(crate) fn account(&self, tenant: u32) -> u32 {
        if self.budgets.len() < MAX_TENANTS || self.budgets.contains_key(&tenant) {
            tenant
        } else {
            SHARED_ACCOUNT
        }
    }

    /// The retry budget of an account; a new account starts with a full one.
    pub(crate) fn budget(
        &mut self,
        account: u32,
        policy: &RetryBudgetPolicy,
        now: Micros,
    ) -> &mut RetryBudget {
        self.budgets.entry(account).or_insert_with(|| RetryBudget::new(policy, now))
    }
}
