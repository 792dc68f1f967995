//! Reloading of classes while requests are open. A class is identified by its name. Numbers are never reused:
//! a class whose rules change gets a new number, and open requests keep the old number, with the old rules,
//! until they end.

use std::collections::BTreeMap;

use crate::interface::Class;

/// The classes of a dispatcher, with their numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct Classes {
    /// The next unused number.
    next_number: u32,
    /// All classes by number: the current ones, and retired ones that open requests still use.
    by_number: BTreeMap<u32, Class>,
}

impl Classes {
    /// Creates the initial set from the configured classes, by number.
    #[must_use]
    pub fn new(by_number: BTreeMap<u32, Class>) -> Self {
        let next_number = by_number.last_key_value().map_or(0, |(number, _)| number + 1);
        Self { next_number, by_number }
    }

    /// All classes by number, retired ones included.
    #[must_use]
    pub fn known(&self) -> &BTreeMap<u32, Class> {
        &self.by_number
    }

    /// Whether this is the number of a class, current or retired.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        self.by_number.contains_key(&number)
    }

    /// Replaces the current classes. An unchanged class keeps its number; changed and added ones get new
    /// numbers. Previous classes that are no longer current are retired if `is_in_use` says that an open
    /// request uses them, and removed otherwise. Returns the class renumbering: a map from each new number to
    /// the previous number of the class with that name, so that data learnt about a class is kept under its
    /// new number.
    pub fn update(
        &mut self,
        classes: impl IntoIterator<Item = Class>,
        is_in_use: impl Fn(u32) -> bool,
    ) -> BTreeMap<u32, u32> {
        let previous = std::mem::take(&mut self.by_number);
        let mut renumbering = BTreeMap::new();
        for class in classes {
            let unchanged = previous.iter().find(|(_, old)| !old.retired && **old == class);
            if let Some((&number, _)) = unchanged {
                self.by_number.insert(number, class);
                continue;
            }
            // The highest number is the latest version of the class.
            if let Some((&old, _)) = previous.iter().rev().find(|(_, old)| old.name == class.name) {
                renumbering.insert(self.next_number, old);
            }
            self.by_number.insert(self.next_number, class);
            self.next_number += 1;
        }
        self.retire(previous, is_in_use);
        renumbering
    }

    /// Retires the previous classes that are no longer current and still in use, and drops the rest.
    fn retire(&mut self, previous: BTreeMap<u32, Class>, is_in_use: impl Fn(u32) -> bool) {
        for (number, mut class) in previous {
            if !self.by_number.contains_key(&number) && is_in_use(number) {
                class.retired = true;
                self.by_number.insert(number, class);
            }
        }
    }
}
