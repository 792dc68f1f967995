//! What the sum of many dispatchers does: each its own instance with its own seed, in virtual time.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::SECOND as S;
use dewladder_router::interface::*;
use dewladder_router::{tag, ListBackoff, Load, LoadUpdate, Router};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A list service of fixed capacity: calls wait in turn, are failed at once where too many wait, and after 2 s
/// of waiting. Its time for a call goes by all the same.
struct Service {
    call_takes: Micros,
    most_waiting: usize,
    free_at: Micros,
    waiting: VecDeque<Micros>, // when each is done
}

impl Service {
    /// A call's end: when, and whether it was answered.
    fn call(&mut self, now: Micros) -> (Micros, bool) {
        self.waiting.retain(|&done| done > now);
        if self.waiting.len() >= self.most_waiting {
            return (now + 4_000, false);
        }
        self.free_at = self.free_at.max(now) + self.call_takes;
        self.waiting.push_back(self.free_at);
        let fails = now + 2 * S;
        if self.free_at > fails {
            (fails, false)
        } else {
            (self.free_at, true)
        }
    }
}

/// Restarts so many dispatchers at once: when each has its list, and when calls were made.
fn restart(dispatchers: u32, again: impl Fn(&mut ListBackoff, u64) -> Micros) -> (Vec<Micros>, Vec<Micros>) {
    let mut service = Service { call_takes: 140_000, most_waiting: 60, free_at: 0, waiting: VecDeque::new() };
    let mut calls: BTreeSet<(Micros, u32)> =
        (0..dispatchers).map(|dispatcher| (u64::from(dispatcher), dispatcher)).collect();
    let mut state: Vec<_> = (0..dispatchers)
        .map(|dispatcher| (ListBackoff::default(), Pcg64Mcg::seed_from_u64(7_000 + u64::from(dispatcher))))
        .collect();
    let (mut told, mut made) = (Vec::new(), Vec::new());
    while let Some((now, dispatcher)) = calls.pop_first().filter(|&(now, _)| now < 300 * S) {
        made.push(now);
        let (done, answered) = service.call(now);
        let (asking, lots) = &mut state[dispatcher as usize];
        if answered {
            asking.answered();
            told.push(done);
        } else {
            calls.insert((done + again(asking, lots.next_u64()), dispatcher));
        }
    }
    told.sort_unstable();
    (told, made)
}

#[test]
fn a_list_service_that_bears_seven_calls_a_second_answers_any_fleet_that_restarts_at_once() {
    for (dispatchers, median_by, all_by) in [(1, 1, 1), (4, 1, 1), (30, 10, 30), (120, 40, 90)] {
        let (told, made) = restart(dispatchers, |asking, lot| asking.failed(dispatchers, 10 * S, lot));
        assert_eq!(told.len(), dispatchers as usize, "all have their list");
        let (median, last) = (told[told.len() / 2], told[told.len() - 1]);
        assert!(median <= median_by * S && last <= all_by * S, "{dispatchers}: {median} {last}");
        // After the first call of each, calls are few in any 100 ms.
        let later: Vec<Micros> = made.into_iter().filter(|&at| at > 10_000).collect();
        let most = later.iter().map(|&at| later.iter().filter(|&&b| b >= at && b < at + 100_000).count());
        assert!(most.max().unwrap_or(0) <= 9, "{dispatchers}: {later:?}");
    }
}

/// The model shows the failure that the spacing is for: with a fixed pause hardly anybody is answered.
#[test]
fn a_fixed_pause_would_keep_that_service_busy_with_calls_that_fail() {
    let (told, made) = restart(100, |_, lot| 100_000 + lot % 1_000);
    assert!(told.len() < 50 && made.len() > 100_000, "{} {}", told.len(), made.len());
}

#[test]
fn waits_grow_with_dispatchers_and_failures_up_to_what_the_rule_on_asking_allows() {
    let longest = |dispatchers, max_list_age, failures| {
        let mut asking = ListBackoff::default();
        (0..failures).map(|_| asking.failed(dispatchers, max_list_age, u64::MAX)).last().unwrap_or(0)
    };
    assert_eq!(longest(1, 10 * S, 1), 300_000);
    assert_eq!(longest(100, 10 * S, 1), 20_100_000);
    assert_eq!(longest(100, 10 * S, 9), 40 * S, "four times the time in which it must ask");
    assert_eq!(longest(100, 0, 9), 10_100_000);
    assert_eq!(longest(u32::MAX, Micros::MAX, 40), longest(u32::MAX, Micros::MAX, 41), "no overflow");
    let mut asking = ListBackoff::default();
    let first = asking.failed(100, 10 * S, u64::MAX);
    asking.failed(100, 10 * S, 0);
    asking.answered();
    assert_eq!(asking.failed(100, 10 * S, u64::MAX), first, "an answer starts anew");
}

// ---- What dispatchers tell one another ----

/// So many dispatchers that may tell one another of queues.
struct Many {
    dispatchers: Vec<Router>,
    now: Micros,
}

impl Many {
    fn new(dispatchers: u32, peers: bool) -> Self {
        let mut settings = common::settings();
        (settings.dispatcher_count, settings.peers, settings.gossip_price) = (dispatchers, peers, 0.0025);
        let mut many = Self { dispatchers: Vec::new(), now: 100 * S };
        for dispatcher in 0..dispatchers {
            let mut router = Router::new(settings.clone(), 500 + u64::from(dispatcher), many.now);
            let roster = Event::EndpointsUpdated { how: ListUpdateKind::Full, entries: common::fleet(false) };
            router.handle(many.now, roster, &mut Vec::new());
            many.dispatchers.push(router);
        }
        many
    }

    /// What a dispatcher does on an event; what it tells has come to all others before this returns.
    fn tell(&mut self, dispatcher: usize, event: Event) -> Vec<Action> {
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

    /// Where a dispatcher sends a request of the one session that all ask for; it is not answered.
    fn ask(&mut self, dispatcher: usize, id: u64) -> Option<ServerId> {
        let info = RequestInfo { session: Some(Key(7)), ..common::request_info(id, self.now) };
        let out = self.tell(dispatcher, Event::RequestArrived(info));
        out.iter().find_map(|action| match action {
            Action::Assign { server, .. } => Some(*server),
            _ => None,
        })
    }
}

/// Each dispatcher comes to the buried reader once: without word from others, each at the price of a request.
#[test]
fn a_buried_reader_loses_its_traffic_once_one_dispatcher_has_seen_it_and_has_it_back_when_updates_have_faded()
{
    let to_it = |peers: bool| {
        let mut many = Many::new(40, peers);
        let buried = many.ask(0, 1).expect("sent");
        many.now += 1_500_000;
        many.tell(0, Event::TimerFired(TimerToken(1))); // the sweep sees that it is silent
        let at = many.now;
        let asked: Vec<_> = (1..39).filter_map(|dispatcher| many.ask(dispatcher, 1)).collect();
        assert_eq!(asked.len(), 38, "none is turned away");
        many.now = at + 30 * S;
        let later = many.ask(39, 2);
        (asked.iter().filter(|&&to| to == buried).count(), later == Some(buried))
    };
    assert_eq!(to_it(false), (38, true), "all share its home");
    assert_eq!(to_it(true), (0, true));
}

#[test]
fn what_is_told_is_bounded_by_its_price_and_nothing_is_told_where_the_settings_bar_it() {
    for (dispatchers, peers, most) in [(4, true, 100), (120, true, 60), (120, false, 0), (1, true, 0)] {
        let mut many = Many::new(dispatchers, peers);
        let mut told = 0;
        for id in 0..100 {
            let Some(at) = many.ask(0, 1_000 + id) else { continue };
            many.now += 700_000;
            let ended = AttemptFinished {
                id: RequestId(1_000 + id),
                attempt: 0,
                server: at,
                taken: if id % 2 == 0 { 700_000 } else { 60_000_000 },
                outcome: Outcome::Read,
                held_state: HeldStateAfter::TimeBeginsAnew,
                cached_tokens: 0,
                last: true,
                report: None,
            };
            let out = many.tell(0, Event::AttemptFinished(ended));
            told += out.iter().filter(|action| matches!(action, Action::PublishGossip(_))).count();
        }
        assert_eq!(told as u64, many.dispatchers[0].gossip_counts().sent);
        assert!(told <= most && (told > 0) == (most > 0), "{dispatchers} {peers}: {told}");
    }
}

proptest::proptest! {
    /// Whatever comes in changes nothing unless it is a fresh claim of a listed server, and is counted.
    #[test]
    fn messages_of_any_bytes_are_dropped_and_counted(bytes in proptest::collection::vec(0u8.., 0..300)) {
        let mut many = Many::new(2, true);
        let read = LoadUpdate::read(&bytes, many.now);
        many.tell(0, Event::GossipReceived(bytes));
        let counts = many.dispatchers[0].gossip_counts();
        proptest::prop_assert_eq!(counts.received + counts.dropped, 1);
        proptest::prop_assert!(counts.dropped == 1 || read.is_some());
    }

    /// Amounts are told in steps of 9%, times in steps of 16 ms; one changed bit, or another length, is no update.
    #[test]
    fn an_update_is_read_as_it_was_sent_while_it_is_fresh_and_no_other_bytes_are(
        server in 0u32.., amount in 1_000u64..60_000_000, waits in proptest::bool::ANY, at in 10_000_000u64..1 << 50,
        age in 0u64..2_400_000, bit in 0usize..40,
    ) {
        let load = if waits { Load::Waits(amount) } else { Load::Sent(amount) };
        let update = LoadUpdate { server: tag(ServerId(server)), load, at };
        let mut bytes = update.to_bytes();
        let read = LoadUpdate::read(&bytes, at + age);
        if age <= 1_450_000 {
            let read = read.expect("fresh");
            proptest::prop_assert_eq!(read.server, update.server);
            proptest::prop_assert!(read.at <= at && at - read.at < 17_000);
            let told = match (read.load, waits) {
                (Load::Waits(told), true) | (Load::Sent(told), false) => told as f64,
                (other, _) => return Err(proptest::test_runner::TestCaseError::fail(format!("{other:?}"))),
            };
            proptest::prop_assert!((told / amount as f64 - 1.0).abs() < 0.05, "{} for {}", told, amount);
        } else if age >= 1_750_000 {
            proptest::prop_assert_eq!(read, None);
        }
        bytes[bit / 8] ^= 1 << (bit % 8);
        proptest::prop_assert_eq!(LoadUpdate::read(&bytes, at), None);
        proptest::prop_assert_eq!(LoadUpdate::read(&bytes[..4], at), None);
    }
}

#[test]
fn settings_of_a_fleet_that_can_not_be_are_told_by_name() {
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
    assert_eq!((absent.dispatcher_count, absent.peers, absent.gossip_price), (1, false, 0.0));
    assert_eq!(read("balancers", "100000").map(|settings| settings.dispatcher_count), Ok(100_000));
}
