//! Tenants' retry budgets, for a bounded number of tenants.

use std::collections::HashMap;

use crate::retry_budget::{RetryBudget, RetryBudgetPolicy};
use crate::Micros;

/// Tenants with a budget of their own; any more share one.
const MAX_TENANTS: usize = 100_000;
/// The account that all tenants beyond the bound share.
const SHARED_ACCOUNT: u32 = u32::MAX;

#[derive(Debug, Default)]
pub(crate) struct Tenants {
    budgets: HashMap<u32, RetryBudget>,
}

impl Tenants {
    /// The account that a tenant's entries and retries are counted on.
    pub(crate) fn account(&self, tenant: u32) -> u32 {
        if self.budgets.len() < MAX_TENANTS || self.budgets.contains_key(&tenant) {
            tenant
        } else {
            SHARED_ACCOUNT
        }
    }

    /// The budget of an account, which starts full.
    pub(crate) fn budget(
        &mut self,
        account: u32,
        policy: &RetryBudgetPolicy,
        now: Micros,
    ) -> &mut RetryBudget {
        self.budgets.entry(account).or_insert_with(|| RetryBudget::new(policy, now))
    }
}
