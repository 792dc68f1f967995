//! Retries that are known by their body only, for each request that they may mean. Guards against review case 8: a client whose
//! booking had been refused was given the answer of another client's booking with the same words.

use dewladder_idempotency::{
    Admission, Delivery, EntryId, Fingerprint, IdempotencyStore, IncomingRequest, Micros, Outcome, Policy,
    RejectReason, RequestIdentity,
};

const MS: Micros = 1_000;
const LATER: Micros = 1_000 * MS;
const BODY: Fingerprint = Fingerprint([1, 2]);
const OWN_SENDER: u64 = 1;
const OTHER_SENDER: u64 = 2;

/// What became of an earlier request with the same body.
#[derive(Clone, Copy, Debug)]
enum Earlier {
    /// It runs, and its client reads the answer.
    Open,
    /// Its client lost its connection while it ran; the run goes on.
    Lingering,
    /// The same, and the client's retry reads the answer.
    Joined,
    /// It has ended, and its client may still be getting the answer.
    BeingDelivered,
    /// It has ended, and its client lost its connection before it had the answer.
    Lost,
    /// It has ended, and nothing shows that its client has not got the answer.
    Made,
    /// It failed, and may have run.
    Failed,
    /// It was refused.
    Refused,
    /// It was canceled before it ran.
    NeverRan,
    /// A request of another sender: it has ended, and its client lost its connection before it had the answer.
    LostByOther,
}
use Earlier::*;

fn request(sender: u64, is_retry: bool) -> IncomingRequest {
    let identity = RequestIdentity::Body { body: BODY, sender: Fingerprint([sender, 0]) };
    IncomingRequest { tenant: 1, at_most_once: true, identity: Some(identity), body: BODY, is_retry }
}

fn run(store: &mut IdempotencyStore, sender: u64) -> EntryId {
    match store.admit(MS, &request(sender, false), 0) {
        Admission::Run(id) => id,
        admission => panic!("a first try did not run: {admission:?}"),
    }
}

fn complete(store: &mut IdempotencyStore, id: EntryId) {
    store.stream_started(MS, id);
    store.record(MS, id, b"answer");
    store.finish(MS, id, Outcome::Completed);
}

fn leave(store: &mut IdempotencyStore, id: EntryId, delivery: Delivery) {
    store.delivery_ended(id, delivery);
    store.reader_left(MS, id);
}

fn add(store: &mut IdempotencyStore, earlier: Earlier) -> EntryId {
    let id = run(store, if matches!(earlier, LostByOther) { OTHER_SENDER } else { OWN_SENDER });
    match earlier {
        Open => store.stream_started(MS, id),
        Lingering => leave(store, id, Delivery::Lost),
        Joined => {
            leave(store, id, Delivery::Lost);
            assert_eq!(store.admit(MS, &request(OWN_SENDER, true), 0), Admission::Join(id));
        }
        BeingDelivered => {
            complete(store, id);
            store.reader_left(MS, id);
        }
        Lost | LostByOther => {
            complete(store, id);
            leave(store, id, Delivery::Lost);
        }
        Made => {
            complete(store, id);
            leave(store, id, Delivery::Made);
        }
        Failed => {
            store.finish(MS, id, Outcome::Failed { may_have_executed: true });
            leave(store, id, Delivery::Lost);
        }
        Refused => {
            store.finish(MS, id, Outcome::Refused { retry_after_us: 5 });
            leave(store, id, Delivery::Made);
        }
        NeverRan => {
            leave(store, id, Delivery::Lost);
            store.finish(MS, id, Outcome::Canceled { may_have_executed: false });
        }
    }
    id
}

fn store(policy: Policy) -> IdempotencyStore {
    IdempotencyStore::new(Policy { startup_guard_us: 0, linger_us: 60_000 * MS, ..policy }, 0)
}

/// What becomes of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Runs,
    /// It is given the answer of the latest of the earlier requests.
    IsGivenAnswer,
    Waits,
    Rejected(RejectReason),
}
use Decision::*;

fn decide(earlier: &[Earlier]) -> Decision {
    let mut store = store(Policy::default());
    let ids: Vec<EntryId> = earlier.iter().map(|&earlier| add(&mut store, earlier)).collect();
    match store.admit(LATER, &request(OWN_SENDER, true), 0) {
        Admission::Run(_) => Runs,
        Admission::Join(id) => {
            assert_eq!(ids.last(), Some(&id), "{earlier:?}");
            IsGivenAnswer
        }
        Admission::AwaitDelivery => Waits,
        Admission::Reject(reason) => Rejected(reason),
        admission => panic!("{earlier:?}: {admission:?}"),
    }
}

#[test]
fn a_retry_by_its_body_is_given_its_own_answer_or_a_harmless_one() {
    let unclear = Rejected(RejectReason::UnclearOwner);
    let cases: [(&[Earlier], Decision); 24] = [
        (&[], Runs),
        (&[Open], Waits),
        (&[Lingering], IsGivenAnswer),
        (&[Joined], Waits),
        (&[BeingDelivered], Waits),
        (&[Lost], IsGivenAnswer),
        (&[Made], unclear),
        (&[Failed], Rejected(RejectReason::MayHaveExecuted)),
        (&[Refused], Runs),
        (&[NeverRan], Runs),
        (&[LostByOther], unclear),
        (&[Refused, Refused], Runs),
        (&[Refused, NeverRan], Runs),
        // Review case 8: the first one's client has it all, and the second one was refused.
        (&[Made, Refused], unclear),
        (&[Refused, Made], unclear),
        (&[Lost, Refused], unclear),
        (&[Refused, Lost], unclear),
        (&[Lost, Lost], unclear),
        (&[Lost, Made], unclear),
        (&[Made, Lost], unclear),
        (&[Failed, Refused], unclear),
        (&[Lingering, Lingering], unclear),
        (&[Lost, Open], Waits),
        (&[Open, Refused], Waits),
    ];
    for (earlier, expected) in cases {
        assert_eq!(decide(earlier), expected, "{earlier:?}");
    }
}

/// A refused request was evicted; the other one with its body would then be taken for the only one.
#[test]
fn a_body_that_was_shared_stays_unclear_when_the_other_request_is_evicted() {
    let mut store = store(Policy { max_entries: 3, tenant_permille: 1_000, ..Policy::default() });
    add(&mut store, Lost);
    add(&mut store, Refused);
    for number in 0..2 {
        let body = Fingerprint([7, number]);
        let identity = Some(RequestIdentity::Key(body));
        let admission =
            store.admit(MS, &IncomingRequest { tenant: 2, identity, body, ..request(1, false) }, 0);
        assert!(matches!(admission, Admission::Run(_)));
    }
    assert_eq!(store.stats().evicted, 1);
    let retry = store.admit(LATER, &request(OWN_SENDER, true), 0);
    assert_eq!(retry, Admission::Reject(RejectReason::UnclearOwner));
}

/// Where the client of a run has got its answer in the end, its retry finds out.
#[test]
fn a_retry_that_waits_is_decided_once_the_delivery_is() {
    for (delivery, expected) in [(Delivery::Lost, None), (Delivery::Made, Some(RejectReason::UnclearOwner))] {
        let mut store = store(Policy::default());
        let id = add(&mut store, BeingDelivered);
        let retry = request(OWN_SENDER, true);
        assert_eq!(store.admit(LATER, &retry, 0), Admission::AwaitDelivery);
        store.delivery_ended(id, delivery);
        let expected = expected.map_or(Admission::Join(id), Admission::Reject);
        assert_eq!(store.admit(LATER, &retry, 0), expected);
    }
}

/// Two at-most-once requests have the same body; the first may have run and the second never ran. Guards against a
/// retry of the first being matched to the second and admitted: the request could run twice.
#[test]
fn a_retry_with_the_body_of_two_requests_is_not_matched_to_the_one_that_never_ran() {
    let mut store = store(Policy::default());
    add(&mut store, Failed);
    add(&mut store, Refused);
    for at in [MS, LATER] {
        let retry = store.admit(at, &request(OWN_SENDER, true), 0);
        assert_eq!(retry, Admission::Reject(RejectReason::UnclearOwner));
    }
}
