//! Classes that change while requests are open. A class is known by its name. Its number is used once: a
//! class whose rules change goes on under a new number, and requests that are open keep the old one to their
//! end.

use std::collections::BTreeMap;

use crate::interface::Class;

/// The classes of a front.
#[derive(Clone, Debug, PartialEq)]
pub struct Classes {
    next: u32,
    /// By number: those that new requests may have, and those that open requests still have.
    known: BTreeMap<u32, Class>,
}

impl Classes {
    /// The classes at the start, by number.
    #[must_use]
    pub fn new(known: BTreeMap<u32, Class>) -> Self {
        let next = known.last_key_value().map_or(0, |(number, _)| number + 1);
        Self { next, known }
    }

    /// All that are known, retired ones included.
    #[must_use]
    pub fn known(&self) -> &BTreeMap<u32, Class> {
        &self.known
    }

    /// Whether a request may come with this number: its class, or what became of it, is known.
    #[must_use]
    pub fn knows(&self, number: u32) -> bool {
        self.known.contains_key(&number)
    }

    /// Takes the classes that there are from now on. One that is as it was keeps its number; others get new
    /// ones, and those that no request has (`in_use`) are forgotten. Returns for each new number the one
    /// before it under the same name: what is known of a class stays with its name.
    pub fn retune(
        &mut self,
        classes: impl IntoIterator<Item = Class>,
        in_use: impl Fn(u32) -> bool,
    ) -> BTreeMap<u32, u32> {
        let before = std::mem::take(&mut self.known);
        let mut class_renumbering = BTreeMap::new();
        for class in classes {
            let mut of_name = before.iter().filter(|(_, old)| old.name == class.name);
            let same = of_name.clone().find(|(_, old)| !old.retired && **old == class);
            let number = same.map_or(self.next, |(&number, _)| number);
            if same.is_none() {
                // The newest under this name: numbers only grow.
                if let Some((&old, _)) = of_name.next_back() {
                    class_renumbering.insert(number, old);
                }
                self.next += 1;
            }
            self.known.insert(number, class);
        }
        for (number, mut old) in before {
            if !self.known.contains_key(&number) && in_use(number) {
                old.retired = true;
                self.known.insert(number, old);
            }
        }
        class_renumbering
    }
}
