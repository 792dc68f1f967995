//! Ids that come again after their requests, by how the first request ended and by the class. Guards against review case 6 in
//! other shapes: a writer's answer that is lost, a class whose repeats servers drop, one that may repeat, refusals.

mod stand_in;

use std::time::Duration;

use stand_in::*;

/// Writers recognize a repeat for this long (s).
const DEDUP_WINDOW_S: f64 = 0.05;
/// Longer than that.
const LATER: Duration = Duration::from_millis(200);

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

/// A fleet with the classes `ask`, which may run any number of times, and `book` with this effect.
async fn start(effect: &str) -> FleetSite {
    FleetSite::with_settings(Shape::default(), "", "", |config| {
        let class = &mut config["settings"]["lanes"][1];
        class["effect"] = effect.into();
        class["dedup_window_s"] = DEDUP_WINDOW_S.into();
    })
    .await
}

fn runs(site: &FleetSite, id: &str) -> usize {
    site.fleet.started().iter().filter(|request| request.id == id).count()
}

#[tokio::test]
async fn an_id_that_may_have_run_is_a_duplicate_however_its_request_ended() {
    for effect in ["at_most_once", "deduplicated"] {
        let site = start(effect).await;
        let ends =
            [Fault::None, Fault::Fails, Fault::Vanishes, Fault::Cuts(0), Fault::Cuts(2), Fault::Stalls(2)];
        for (number, fault) in ends.into_iter().enumerate() {
            let id = format!("{:016x}", 0x51 + number);
            let text = platform(&id, "book", "0.900");
            site.fleet.script([fault; 5]);
            until_close(site.platform, &text).await;
            site.fleet.script([]);
            let before = runs(&site, &id);
            assert!(before >= 1, "{effect}, {fault:?}: it did not run");
            tokio::time::sleep(LATER).await;
            for class in ["book", "book", "ask"] {
                let text = text.replace("X-Lane: book", &format!("X-Lane: {class}"));
                let again = until_close(site.platform, &text).await;
                assert_eq!(status(&again), 409, "{effect}, {fault:?}, again as {class}: {again}");
            }
            assert_eq!(runs(&site, &id), before, "{effect}, {fault:?}");
        }
    }
}

#[tokio::test]
async fn an_id_that_never_ran_or_may_run_again_is_served() {
    for effect in ["at_most_once", "deduplicated"] {
        let site = start(effect).await;
        let text = platform("0000000000000061", "book", "0.300");
        site.fleet.script([Fault::TurnsAway; 50]);
        let refused = until_close(site.platform, &text).await;
        assert_eq!(status(&refused), 503, "{effect}: {refused}");
        site.fleet.script([]);
        let again = until_close(site.platform, &text).await;
        assert_eq!((status(&again), runs(&site, "0000000000000061")), (200, 1), "{effect}: {again}");
        for _ in 0..3 {
            let ask = platform("0000000000000062", "ask", "0.900");
            assert_eq!(status(&until_close(site.platform, &ask).await), 200, "{effect}");
        }
    }
}
