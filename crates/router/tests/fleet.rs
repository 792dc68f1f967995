//! Effects of many dispatchers together, in virtual time: their calls for the list of servers, and the load gossip
//! between them. Each dispatcher is a separate instance with its own seed.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::SECOND as S;
use dewladder_router::interface::*;
use dewladder_router::{tag, ListBackoff, Load, LoadUpdate, Router};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A service of fixed capacity that keeps the list of servers. Calls queue. A call fails at once if the queue is full,
/// and after 2 s of waiting; the service processes a call that has timed out all the same.
struct ListService {
    /// Time to process one call.
    call_time: Micros,
    /// Maximum length of the queue.
    max_waiting: usize,
    /// When the queue has been processed.
    free_at: Micros,
    /// When each queued call has been processed.
    waiting: VecDeque<Micros>,
}

impl ListService {
    /// Queues a call. Returns when it ends, and whether it is answered.
    fn call(&mut self, now: Micros) -> (Micros, bool) {
        self.waiting.retain(|&done| done > now);
        if self.waiting.len() >= self.max_waiting {
            return (now + 4_000, false);
        }
        self.free_at = self.free_at.max(now) + self.call_time;
        self.waiting.push_back(self.free_at);
        let times_out_at = now + 2 * S;
        if self.free_at > times_out_at {
            (times_out_at, false)
        } else {
            (self.free_at, true)
        }
    }
}

/// Restarts all dispatchers at once and simulates their calls for the list for up to 300 s. `wait_after_failure`
/// gives the wait after a failed call. Returns when the dispatchers received the list, and when calls were made.
fn restart(
    dispatchers: u32,
    wait_after_failure: impl Fn(&mut ListBackoff, u64) -> Micros,
) -> (Vec<Micros>, Vec<Micros>) {
    let mut service =
        ListService { call_time: 140_000, max_waiting: 60, free_at: 0, waiting: VecDeque::new() };
    let mut calls: BTreeSet<(Micros, u32)> =
        (0..dispatchers).map(|dispatcher| (u64::from(dispatcher), dispatcher)).collect();
    let mut callers: Vec<_> = (0..dispatchers)
        .map(|dispatcher| (ListBackoff::default(), Pcg64Mcg::seed_from_u64(7_000 + u64::from(dispatcher))))
        .collect();
    let (mut delivered, mut call_times) = (Vec::new(), Vec::new());
    while let Some((now, dispatcher)) = calls.pop_first().filter(|&(now, _)| now < 300 * S) {
        call_times.push(now);
        let (done, answered) = service.call(now);
        let (backoff, rng) = &mut callers[dispatcher as usize];
        if answered {
            backoff.answered();
            delivered.push(done);
        } else {
            calls.insert((done + wait_after_failure(backoff, rng.next_u64()), dispatcher));
        }
    }
    delivered.sort_unstable();
    (delivered, call_times)
}

/// If all dispatchers repeated failed calls after a short wait, the list service would be busy with calls that have
/// timed out, and no dispatcher would receive the list.
#[test]
fn a_list_service_with_seven_calls_per_second_answers_any_number_of_dispatchers_that_restart_at_once() {
    for (dispatchers, median_by, all_by) in [(1, 1, 1), (4, 1, 1), (30, 10, 30), (120, 40, 90)] {
        let (delivered, call_times) =
            restart(dispatchers, |backoff, draw| backoff.failed(dispatchers, 10 * S, draw));
        assert_eq!(delivered.len(), dispatchers as usize, "every dispatcher must receive the list");
        let (median, last) = (delivered[delivered.len() / 2], delivered[delivered.len() - 1]);
        assert!(median <= median_by * S && last <= all_by * S, "{dispatchers}: {median} {last}");
        // After the first call of each dispatcher, there are few calls in any 100 ms.
        let later: Vec<Micros> = call_times.into_iter().filter(|&at| at > 10_000).collect();
        let max_count =
            later.iter().map(|&at| later.iter().filter(|&&b| b >= at && b < at + 100_000).count());
        assert!(max_count.max().unwrap_or(0) <= 9, "{dispatchers}: {later:?}");
    }
}

/// Checks that the simulated service shows the failure that the backoff prevents: with a fixed wait after each
/// failure, hardly any call is answered.
#[test]
fn a_fixed_wait_would_keep_the_list_service_busy_with_calls_that_fail() {
    let (delivered, call_times) = restart(100, |_, draw| 100_000 + draw % 1_000);
    assert!(delivered.len() < 50 && call_times.len() > 100_000, "{} {}", delivered.len(), call_times.len());
}

#[test]
fn waits_grow_with_dispatchers_and_failures_up_to_a_multiple_of_the_maximum_list_age() {
    let longest = |dispatchers, max_list_age, failures| {
        let mut backoff = ListBackoff::default();
        (0..failures).map(|_| backoff.failed(dispatchers, max_list_age, u64::MAX)).last().unwrap_or(0)
    };
    assert_eq!(longest(1, 10 * S, 1), 300_000);
    assert_eq!(longest(100, 10 * S, 1), 20_100_000);
    assert_eq!(longest(100, 10 * S, 9), 40 * S, "four times the maximum list age");
    assert_eq!(longest(100, 0, 9), 10_100_000);
    assert_eq!(longest(u32::MAX, Micros::MAX, 40), longest(u32::MAX, Micros::MAX, 41), "no overflow");
    let mut backoff = ListBackoff::default();
    let first = backoff.failed(100, 10 * S, u64::MAX);
    backoff.failed(100, 10 * S, 0);
    backoff.answered();
    assert_eq!(backoff.failed(100, 10 * S, u64::MAX), first, "an answered call resets the backoff");
}

// ---- Load gossip between dispatchers ----

/// Dispatchers that share one fleet and, if `gossip_allowed`, exchange load gossip.
struct DispatcherGroup {
    dispatchers: Vec<Router>,
    now: Micros,
}

impl DispatcherGroup {
    fn new(dispatchers: u32, gossip_allowed: bool) -> Self {
        let mut settings = common::settings();
        (settings.dispatcher_count, settings.gossip_allowed, settings.gossip_price) =
            (dispatchers, gossip_allowed, 0.0025);
        let mut group = Self { dispatchers: Vec::new(), now: 100 * S };
        for dispatcher in 0..dispatchers {
            let mut router = Router::new(settings.clone(), 500 + u64::from(dispatcher), group.now);
            let full_list =
                Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries: common::fleet(false) };
            router.handle(group.now, full_list, &mut Vec::new());
            group.dispatchers.push(router);
        }
        group
    }

    /// Passes an event to a dispatcher and returns its actions. Its gossip has been delivered to all other dispatchers
    /// before this returns.
    fn handle_event(&mut self, dispatcher: usize, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatchers[dispatcher].handle(self.now, event, &mut out);
        for action in &out {
            let Action::PublishGossip(bytes) = action else { continue };
            for (_, other) in self.dispatchers.iter_mut().enumerate().filter(|(at, _)| *at != dispatcher) {
                other.handle(self.now, Event::GossipReceived(bytes.clone()), &mut Vec::new());
            }
        }
        out
    }

    /// A request arrives at a dispatcher. All requests are of the same session, and none is answered. Returns the
    /// server that it is sent to.
    fn send_request(&mut self, dispatcher: usize, id: u64) -> Option<ServerId> {
        let info = RequestInfo { session: Some(Key(7)), ..common::request_info(id, self.now) };
        let out = self.handle_event(dispatcher, Event::RequestArrived(info));
        out.iter().find_map(|action| match action {
            Action::Assign { server, .. } => Some(*server),
            _ => None,
        })
    }
}

/// Without gossip, each dispatcher sends a request to an unresponsive reader before it avoids that reader. With
/// gossip, none does once the first dispatcher has reported the reader's queue, until the reports have expired.
#[test]
fn an_unresponsive_reader_is_avoided_by_all_once_one_dispatcher_reports_it_until_the_report_expires() {
    let requests_to_unresponsive = |gossip_allowed: bool| {
        let mut group = DispatcherGroup::new(40, gossip_allowed);
        let unresponsive = group.send_request(0, 1).expect("sent");
        group.now += 1_500_000;
        group.handle_event(0, Event::TimerFired(TimerToken(1))); // the sweep detects the unanswered request
        let at = group.now;
        let targets: Vec<_> = (1..39).filter_map(|dispatcher| group.send_request(dispatcher, 1)).collect();
        assert_eq!(targets.len(), 38, "no request is rejected");
        group.now = at + 30 * S;
        let later = group.send_request(39, 2);
        (targets.iter().filter(|&&to| to == unresponsive).count(), later == Some(unresponsive))
    };
    assert_eq!(
        requests_to_unresponsive(false),
        (38, true),
        "the session has the same home at all dispatchers"
    );
    assert_eq!(requests_to_unresponsive(true), (0, true));
}

#[test]
fn gossip_is_limited_by_its_price_and_absent_where_the_settings_disable_it() {
    for (dispatchers, gossip_allowed, max_count) in
        [(4, true, 100), (120, true, 60), (120, false, 0), (1, true, 0)]
    {
        let mut group = DispatcherGroup::new(dispatchers, gossip_allowed);
        let mut delivered = 0;
        for id in 0..100 {
            let Some(at) = group.send_request(0, 1_000 + id) else { continue };
            group.now += 700_000;
            let ended = AttemptFinished {
                id: RequestId(1_000 + id),
                attempt: 0,
                server: at,
                elapsed: if id % 2 == 0 { 700_000 } else { 60_000_000 },
                outcome: Outcome::Read,
                held_state: HeldStateAfter::HoldTimeRestarts,
                cached_tokens: 0,
                completes_request: true,
                report: None,
            };
            let out = group.handle_event(0, Event::AttemptFinished(ended));
            delivered += out.iter().filter(|action| matches!(action, Action::PublishGossip(_))).count();
        }
        assert_eq!(delivered as u64, group.dispatchers[0].gossip_counts().sent);
        assert!(
            delivered <= max_count && (delivered > 0) == (max_count > 0),
            "{dispatchers} {gossip_allowed}: {delivered}"
        );
    }
}

proptest::proptest! {
    /// A message is dropped unless it is a valid, recent update for a listed server, and is counted either way.
    #[test]
    fn messages_of_any_bytes_are_dropped_and_counted(bytes in proptest::collection::vec(0u8.., 0..300)) {
        let mut group = DispatcherGroup::new(2, true);
        let read = LoadUpdate::read(&bytes, group.now);
        group.handle_event(0, Event::GossipReceived(bytes));
        let counts = group.dispatchers[0].gossip_counts();
        proptest::prop_assert_eq!(counts.received + counts.dropped, 1);
        proptest::prop_assert!(counts.dropped == 1 || read.is_some());
    }

    /// Amounts are encoded in steps of 9%, times in steps of 16 ms. Bytes with one changed bit, or of another length,
    /// are not an update.
    #[test]
    fn an_update_is_read_as_it_was_sent_until_it_expires_and_other_bytes_are_not_read(
        server in 0u32.., amount in 1_000u64..60_000_000, queued in proptest::bool::ANY, at in 10_000_000u64..1 << 50,
        age in 0u64..2_400_000, bit in 0usize..40,
    ) {
        let load = if queued { Load::Queued(amount) } else { Load::Sent(amount) };
        let update = LoadUpdate { server: tag(ServerId(server)), load, at };
        let mut bytes = update.to_bytes();
        let read = LoadUpdate::read(&bytes, at + age);
        if age <= 1_450_000 {
            let read = read.expect("fresh");
            proptest::prop_assert_eq!(read.server, update.server);
            proptest::prop_assert!(read.at <= at && at - read.at < 17_000);
            let delivered = match (read.load, queued) {
                (Load::Queued(delivered), true) | (Load::Sent(delivered), false) => delivered as f64,
                (other, _) => return Err(proptest::test_runner::TestCaseError::fail(format!("{other:?}"))),
            };
            proptest::prop_assert!((delivered / amount as f64 - 1.0).abs() < 0.05, "{} for {}", delivered, amount);
        } else if age >= 1_750_000 {
            proptest::prop_assert_eq!(read, None);
        }
        bytes[bit / 8] ^= 1 << (bit % 8);
        proptest::prop_assert_eq!(LoadUpdate::read(&bytes, at), None);
        proptest::prop_assert_eq!(LoadUpdate::read(&bytes[..4], at), None);
    }
}

#[test]
fn invalid_fleet_settings_are_reported_with_their_path() {
    let read =
        |path, value| dewladder_router::settings::from_key_values([(path, value)].into_iter().collect());
    for value in ["0", "-3", "4000000000", "99999999999", "many", "2.5"] {
        let error = read("balancers", value).expect_err(value);
        assert_eq!(error.path, "balancers");
    }
    for value in ["-0.1", "NaN", "inf", "free"] {
        let error = read("prices.peer", value).expect_err(value);
        assert_eq!(error.path, "prices.peer");
    }
    let absent = read("x", "y").expect("defaults");
    assert_eq!((absent.dispatcher_count, absent.gossip_allowed, absent.gossip_price), (1, false, 0.0));
    assert_eq!(read("balancers", "100000").map(|settings| settings.dispatcher_count), Ok(100_000));
}
