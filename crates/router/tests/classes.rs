//! Reloading of classes while requests are open.

mod common;

use std::collections::BTreeMap;

use common::*;
use dewladder_router::interface::*;
use dewladder_router::Classes;
use proptest::prelude::*;

/// A class with a name and an effect.
fn class_named(name: &str, effect: Effect) -> Class {
    Class { name: name.to_owned(), ..class(effect, DedupGroup::All) }
}

proptest! {
    /// Classes are added, changed, removed and added again while requests arrive and end. The class of an open
    /// request must never change, new requests must get the classes of the last reload, and a reload must remove the
    /// retired classes that no open request uses.
    #[test]
    fn open_requests_keep_the_rules_of_their_class(
        steps in proptest::collection::vec((0u8..4, proptest::collection::vec((0usize..4, 0u8..3), 1..4)), 1..60),
    ) {
        let effect_of =
            |variant: u8| [Effect::Idempotent, Effect::AtMostOnce, Effect::Deduplicated][variant as usize];
        let names = ["ask", "book", "ask_new", "plan"];
        let mut classes = Classes::new(
            (0..).zip([class_named("ask", effect_of(0)), class_named("book", effect_of(1))]).collect(),
        );
        let mut configured: BTreeMap<&str, Effect> = [("ask", effect_of(0)), ("book", effect_of(1))].into();
        let mut open_requests: Vec<(u32, String, Effect)> = Vec::new();
        let mut first_use: BTreeMap<u32, (String, Effect)> = BTreeMap::new();
        for (step, choices) in steps {
            match step {
                0 => {
                    configured = choices.iter().map(|&(name, variant)| (names[name], effect_of(variant))).collect();
                    let new: Vec<Class> =
                        configured.iter().map(|(name, effect)| class_named(name, *effect)).collect();
                    let class_renumbering =
                        classes.update(new, |number| open_requests.iter().any(|(used, ..)| *used == number));
                    for (new, old) in class_renumbering {
                        prop_assert!(old < new, "a class must be renumbered to a higher number");
                    }
                }
                1 => {
                    open_requests.pop();
                }
                _ => {
                    let name = names[choices[0].0];
                    let current = classes.known().iter().find(|(_, class)| !class.retired && class.name == name);
                    prop_assert_eq!(current.map(|(_, class)| class.effect), configured.get(name).copied());
                    if let Some((&number, class)) = current {
                        open_requests.push((number, name.to_owned(), class.effect));
                        let first = first_use.entry(number).or_insert((name.to_owned(), class.effect));
                        prop_assert_eq!(
                            &*first,
                            &(name.to_owned(), class.effect),
                            "the number was used for another class"
                        );
                    }
                }
            }
            for (number, name, effect) in &open_requests {
                let class = &classes.known()[number];
                prop_assert_eq!((&class.name, class.effect), (name, *effect));
            }
            // Retired classes are removed by the next reload, not when their last request ends. So right after a
            // reload, each retired class is used by an open request.
            if step == 0 {
                let in_use: std::collections::BTreeSet<u32> =
                    open_requests.iter().map(|(number, ..)| *number).collect();
                let mut retired = classes.known().iter().filter(|(_, class)| class.retired);
                prop_assert!(
                    retired.all(|(number, _)| in_use.contains(number)),
                    "an unused class must be removed by a reload"
                );
            }
        }
        classes.update([class_named("ask", effect_of(0))], |_| false);
        prop_assert_eq!(classes.known().len(), 1);
    }
}

/// A reload gives a changed class a new number, and maps it to the previous one, under which servers may be ejected.
/// An open request keeps the attempt limit of the old number, and a new request gets that of the new number.
#[test]
fn open_requests_keep_the_attempt_limit_of_their_class_after_a_reload() {
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
    assert_eq!(
        world.requests[&id].attempts, 2,
        "the old number allows five attempts, so the request is sent again"
    );
    let mut new = request_info(2, world.now);
    new.class = 4;
    world.send_request(new);
    world.end(RequestId(2), Outcome::ConnectFailed);
    assert_eq!(world.requests[&RequestId(2)].attempts, 1, "the new number allows one attempt");
    assert!(world.requests[&RequestId(2)].ended);
}
