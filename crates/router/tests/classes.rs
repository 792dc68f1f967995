//! Classes that change while requests are open.

mod common;

use std::collections::BTreeMap;

use common::*;
use dewladder_router::interface::*;
use dewladder_router::Classes;
use proptest::prelude::*;

fn named(name: &str, effect: Effect) -> Class {
    Class { name: name.to_owned(), ..class(effect, DedupGroup::All) }
}

proptest! {
    /// Whatever is added, changed, dropped and brought back while requests come and go: a request's rules never
    /// change, new ones get what was told last, and nothing is kept that nobody has.
    #[test]
    fn an_open_request_keeps_its_rules_to_its_end(
        steps in proptest::collection::vec((0u8..4, proptest::collection::vec((0usize..4, 0u8..3), 1..4)), 1..60),
    ) {
        let rules = |variant: u8| [Effect::Idempotent, Effect::AtMostOnce, Effect::Deduplicated][variant as usize];
        let names = ["ask", "book", "ask_new", "plan"];
        let mut classes = Classes::new((0..).zip([named("ask", rules(0)), named("book", rules(1))]).collect());
        let mut told: BTreeMap<&str, Effect> = [("ask", rules(0)), ("book", rules(1))].into();
        let mut open: Vec<(u32, String, Effect)> = Vec::new();
        let mut given: BTreeMap<u32, (String, Effect)> = BTreeMap::new();
        for (what, picks) in steps {
            match what {
                0 => {
                    told = picks.iter().map(|&(name, variant)| (names[name], rules(variant))).collect();
                    let new: Vec<Class> = told.iter().map(|(name, effect)| named(name, *effect)).collect();
                    let class_renumbering = classes.update(new, |number| open.iter().any(|(its, ..)| *its == number));
                    for (new, old) in class_renumbering {
                        prop_assert!(old < new, "an heir is newer");
                    }
                }
                1 => {
                    open.pop();
                }
                _ => {
                    let name = names[picks[0].0];
                    let current = classes.known().iter().find(|(_, class)| !class.retired && class.name == name);
                    prop_assert_eq!(current.map(|(_, class)| class.effect), told.get(name).copied());
                    if let Some((&number, class)) = current {
                        open.push((number, name.to_owned(), class.effect));
                        let first = given.entry(number).or_insert((name.to_owned(), class.effect));
                        prop_assert_eq!(&*first, &(name.to_owned(), class.effect), "a number is used once");
                    }
                }
            }
            for (number, name, effect) in &open {
                let class = &classes.known()[number];
                prop_assert_eq!((&class.name, class.effect), (name, *effect));
            }
            // Retired classes are forgotten at a change, not when their last request ends: right after a change,
            // each retired one is had by an open request.
            if what == 0 {
                let had: std::collections::BTreeSet<u32> = open.iter().map(|(number, ..)| *number).collect();
                let mut retired = classes.known().iter().filter(|(_, class)| class.retired);
                prop_assert!(retired.all(|(number, _)| had.contains(number)), "what nobody has goes at the next change");
            }
        }
        classes.update([named("ask", rules(0))], |_| false);
        prop_assert_eq!(classes.known().len(), 1);
    }
}

/// A server that rests for a class goes on resting for it under its new number, and an open request of the old one is
/// not sent more often than it was allowed to be.
#[test]
fn what_is_known_of_a_class_stays_with_its_name_and_attempts_with_the_request() {
    let mut world = World::new(settings(), fleet(false));
    let id = world.send_default_request(1);
    let mut settings = world.settings.clone();
    let mut changed = settings.classes[&0].clone();
    settings.classes.get_mut(&0).unwrap().retired = true;
    changed.max_attempts = 1;
    settings.classes.insert(4, changed);
    world.settings = settings.clone();
    world.handle_event(Event::SettingsReloaded {
        settings: Box::new(settings),
        class_renumbering: [(4, 0)].into(),
    });
    world.end(id, Outcome::ConnectFailed);
    assert_eq!(world.requests[&id].attempts, 2, "the old number may be sent five times");
    let mut new = request_info(2, world.now);
    new.class = 4;
    world.send_request(new);
    world.end(RequestId(2), Outcome::ConnectFailed);
    assert_eq!(world.requests[&RequestId(2)].attempts, 1, "the new one once");
    assert!(world.requests[&RequestId(2)].ended);
}
