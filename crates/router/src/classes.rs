//! Classes that change while requests are open. A class is known by its name. Its number is used once: a
//! class whose rules change goes on under a new number, and requests that are open keep the old one to their
//! end.

use std::collections::BTreeMap;

use crate::interface::Class;

/// The classes of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Classes {
    /// The number that the next new class gets.
    next_number: u32,
    /// By number: those that new requests may have, and retired ones that open requests still have.
    by_number: BTreeMap<u32, Class>,
}

impl Classes {
    /// The classes at the start, by number.
    #[must_use]
    pub fn new(by_number: BTreeMap<u32, Class>) -> Self {
        let next_number = by_number.last_key_value().map_or(0, |(number, _)| number + 1);
        Self { next_number, by_number }
    }

    /// All that are known, by number, retired ones included.
    #[must_use]
    pub fn known(&self) -> &BTreeMap<u32, Class> {
        &self.by_number
    }

    /// Whether a request may come with this number: its class, or what became of it, is known.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        self.by_number.contains_key(&number)
    }

    /// Takes the classes that there are from now on. One that is as it was keeps its number; others get new
    /// ones, and those that no request has (`is_in_use`) are forgotten. Returns for each new number the one
    /// before it under the same name: what is known of a class stays with its name.
    pub fn update(
        &mut self,
        classes: impl IntoIterator<Item = Class>,
        is_in_use: impl Fn(u32) -> bool,
    ) -> BTreeMap<u32, u32> {
        let before = std::mem::take(&mut self.by_number);
        let mut renumbering = BTreeMap::new();
        for class in classes {
            let unchanged = before.iter().find(|(_, old)| !old.retired && **old == class);
            if let Some((&number, _)) = unchanged {
                self.by_number.insert(number, class);
                continue;
            }
            // The newest under this name: numbers only grow.
            if let Some((&old, _)) = before.iter().rev().find(|(_, old)| old.name == class.name) {
                renumbering.insert(self.next_number, old);
            }
            self.by_number.insert(self.next_number, class);
            self.next_number += 1;
        }
        self.retire(before, is_in_use);
        renumbering
    }

    /// Keeps those classes of before that are gone and still in use.
    fn retire(&mut self, before: BTreeMap<u32, Class>, is_in_use: impl Fn(u32) -> bool) {
        for (number, mut class) in before {
            if !self.by_number.contains_key(&number) && is_in_use(number) {
                class.retired = true;
                self.by_number.insert(number, class);
            }
        }
    }
}
