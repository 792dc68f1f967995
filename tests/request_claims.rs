//! The ids of requests that processes of one dispatcher claim, in files that they share. No test here starts a process: one
//! that is being started would hold the locks of this one for a moment.

use std::path::PathBuf;

use dewladder::edge::hot_restart::executed_ids::RETENTION;
use dewladder::edge::hot_restart::request_claims::{Claim, RequestClaims};
use dewladder::interface::RequestId;

const SECOND: u64 = 1_000_000;

fn claims_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("claims-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The time of the calls below (us).
const NOW: u64 = 7 * SECOND;

/// Claims the id of a request that may run twice, which is free once the request has ended.
fn claim(claims: &mut RequestClaims, id: u64) -> Claim {
    claims.claim(RequestId(id), true, NOW)
}

/// Claims the id of a request that must not run twice.
fn claim_once(claims: &mut RequestClaims, id: u64) -> Claim {
    claims.claim(RequestId(id), false, NOW)
}

/// Review case 6: an id that came again after the end of its booking ran a second time. It stays taken in every process, also
/// in one that starts later or after a kill; that of a request that never ran is free.
#[test]
fn an_id_whose_request_may_have_run_stays_taken() {
    let (folder, listen) = (claims_folder("executed"), "127.0.0.1:80".parse().unwrap());
    let shared = || RequestClaims::shared(&folder, listen);
    let (mut one, mut other, mut alone) = (shared(), shared(), RequestClaims::default());
    let (executed, refused, open, repeatable) = (0x9b1f_03aa_5c7e_2d41, 0, u64::MAX, 5);
    for claims in [&mut one, &mut alone] {
        for (id, may_have_run) in [(executed, true), (refused, false)] {
            assert_eq!(claim_once(claims, id), Claim::Exclusive);
            claims.release(RequestId(id), may_have_run, NOW);
        }
        assert_eq!((claim_once(claims, executed), claim(claims, executed)), (Claim::Taken, Claim::Taken));
        assert_eq!(claim_once(claims, refused), Claim::Exclusive);
        claims.release(RequestId(refused), false, NOW);
        for _ in 0..2 {
            assert_eq!(claim(claims, repeatable), Claim::Exclusive);
            claims.release(RequestId(repeatable), true, NOW);
        }
    }
    assert_eq!(claim_once(&mut one, open), Claim::Exclusive);
    let stays_taken = |claims: &mut RequestClaims, when: &str| {
        for id in [executed, open] {
            assert_eq!(
                (claim_once(claims, id), claim(claims, id)),
                (Claim::Taken, Claim::Taken),
                "{when}: {id}"
            );
        }
        for id in [refused, repeatable] {
            assert_eq!(claim_once(claims, id), Claim::Exclusive, "{when}: {id}");
            claims.release(RequestId(id), false, NOW);
        }
    };
    stays_taken(&mut other, "in the process beside it");
    assert_eq!(claim_once(&mut other, 77), Claim::Exclusive);
    other.release(RequestId(77), true, NOW);
    assert_eq!(claim_once(&mut one, 77), Claim::Taken, "in the older process");
    drop(one); // killed, with a request open
    stays_taken(&mut other, "in the process that stays");
    let mut third = shared();
    stays_taken(&mut third, "in the process after the next");
    assert_eq!(claim_once(&mut third, 77), Claim::Taken);
    assert_eq!(claim_once(&mut other, 78), Claim::Exclusive);
    other.release(RequestId(78), true, NOW);
    drop((other, third));
    let mut fourth = shared();
    stays_taken(&mut fourth, "after all have ended");
    assert_eq!((claim_once(&mut fourth, 77), claim_once(&mut fourth, 78)), (Claim::Taken, Claim::Taken));
}

/// A crowd of new ids pushes none out that is still to be remembered: there is no room for further ones then. Ids of requests
/// that never ran take no room.
#[test]
fn no_id_is_forgotten_early_for_others() {
    let mut claims = RequestClaims::default();
    let first = 1_000_000;
    assert_eq!(claim_once(&mut claims, first), Claim::Exclusive);
    claims.release(RequestId(first), true, NOW);
    for id in 0..200_000 {
        assert_eq!(claim_once(&mut claims, id), Claim::Exclusive, "{id}");
        claims.release(RequestId(id), false, NOW);
    }
    let mut kept = Vec::new();
    for id in 0..70_000 {
        match claim_once(&mut claims, id) {
            Claim::Exclusive => kept.push(id),
            claim => assert_eq!(claim, Claim::NoRoom, "{id}"),
        }
        claims.release(RequestId(id), true, NOW);
    }
    assert!((60_000..70_000).contains(&kept.len()), "{} ids", kept.len());
    for &id in kept.iter().chain([&first]) {
        assert_eq!(claim_once(&mut claims, id), Claim::Taken, "{id}");
    }
    let expired = NOW + RETENTION;
    assert_eq!(claims.claim(RequestId(first), false, expired - 1), Claim::Taken);
    for id in 100_000..140_000 {
        assert_eq!(claims.claim(RequestId(id), false, expired), Claim::Exclusive, "{id}");
        claims.release(RequestId(id), true, expired);
    }
}

/// Ids that could not be written are known to other processes once the folder can be used.
#[test]
fn ids_that_could_not_be_recorded_are_recorded_once_the_folder_can_be_used() {
    let (folder, listen) = (claims_folder("unrecorded"), "127.0.0.1:80".parse().unwrap());
    std::fs::remove_dir_all(&folder).unwrap();
    let (mut one, mut other) =
        (RequestClaims::shared(&folder, listen), RequestClaims::shared(&folder, listen));
    for (id, may_have_run) in [(1, true), (2, false)] {
        assert_eq!(claim_once(&mut one, id), Claim::Unknown);
        one.release(RequestId(id), may_have_run, NOW);
    }
    assert_eq!((claim_once(&mut one, 1), claim_once(&mut one, 2)), (Claim::Taken, Claim::Unknown));
    one.release(RequestId(2), false, NOW);
    assert_eq!(
        claim_once(&mut other, 1),
        Claim::Unknown,
        "the reducer refuses it while there is another process"
    );
    other.release(RequestId(1), false, NOW);
    std::fs::create_dir_all(&folder).unwrap();
    assert_eq!(claim_once(&mut one, 3), Claim::Exclusive);
    assert_eq!((claim_once(&mut other, 1), claim_once(&mut other, 2)), (Claim::Taken, Claim::Exclusive));
}

#[test]
fn an_id_is_claimed_by_one_process_until_it_releases_it_or_ends() {
    let (folder, listen) = (claims_folder("both"), "127.0.0.1:80".parse().unwrap());
    let (mut one, mut other) =
        (RequestClaims::shared(&folder, listen), RequestClaims::shared(&folder, listen));
    let mut elsewhere = RequestClaims::shared(&folder, "127.0.0.1:81".parse().unwrap());
    for id in [0, 1, 2, u64::MAX, u64::MAX / 2] {
        let expected = if id == u64::MAX / 2 { Claim::Taken } else { Claim::Exclusive };
        assert_eq!(claim(&mut one, id), expected, "{id}");
        assert_eq!((claim(&mut one, id), claim(&mut other, id)), (Claim::Taken, Claim::Taken), "{id}");
        assert_eq!(claim(&mut elsewhere, id), expected, "{id}");
    }
    other.release(RequestId(1), false, NOW); // not its own
    assert_eq!(claim(&mut other, 1), Claim::Taken);
    one.release(RequestId(1), false, NOW);
    assert_eq!((claim(&mut other, 1), claim(&mut one, 1)), (Claim::Exclusive, Claim::Taken));
    assert_eq!(claim(&mut other, 0), Claim::Taken, "its neighbours stay claimed");
    drop(one);
    assert_eq!(claim(&mut other, 2), Claim::Exclusive);
}

#[test]
fn claims_that_could_not_be_made_are_made_once_the_folder_can_be_used() {
    let (folder, listen) = (claims_folder("late"), "127.0.0.1:80".parse().unwrap());
    std::fs::remove_dir_all(&folder).unwrap();
    let mut one = RequestClaims::shared(&folder, listen);
    assert_eq!((claim(&mut one, 1), claim(&mut one, 1)), (Claim::Unknown, Claim::Taken));
    std::fs::create_dir_all(&folder).unwrap();
    assert_eq!(claim(&mut one, 2), Claim::Exclusive);
    let mut other = RequestClaims::shared(&folder, listen);
    assert_eq!((claim(&mut other, 1), claim(&mut other, 2)), (Claim::Taken, Claim::Taken));
}
