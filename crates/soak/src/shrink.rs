//! Shrinks a plan that breaks a rule: troubles are dropped one by one while the break stays.

use crate::oracle::{Break, Rule};
use crate::plan::Plan;

/// How often a smaller plan is played before it counts as one that keeps the rules: what depends on chance may not
/// show at once.
pub const TRIES: usize = 2;

/// The smallest plan found that still breaks the rule; `play` gives the broken rules of a plan.
pub async fn shrink<F>(plan: &Plan, rule: Rule, mut play: impl FnMut(Plan) -> F) -> Plan
where
    F: std::future::Future<Output = Vec<Break>>,
{
    let mut least = plan.clone();
    let mut at = 0;
    while at < least.troubles.len() {
        let mut smaller = least.clone();
        smaller.troubles.remove(at);
        let mut stays = false;
        for _ in 0..TRIES {
            stays |= play(smaller.clone()).await.iter().any(|broken| broken.rule == rule);
            if stays {
                break;
            }
        }
        if stays {
            least = smaller;
        } else {
            at += 1;
        }
    }
    least
}
