//! The work of the requests of each class, relative to the mean over all classes. A server in slow start is
//! overloaded by work, not by a number of requests.

use std::collections::BTreeMap;

use crate::interface::Class;

/// Number of attempts over which means are taken.
const MAX_SAMPLES: f64 = 256.0;
/// Number of attempts of mean work that each class is assumed to have had.
const PRIOR_SAMPLES: f64 = 4.0;

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    tokens: f64,
    samples: f64,
}

impl Mean {
    fn add(&mut self, tokens: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.tokens += (tokens - self.tokens) / self.samples;
    }
}

/// Mean work of the attempts of one stage, in tokens, by class. See the [module](self).
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassWork {
    all: Mean,
    classes: BTreeMap<u32, Mean>,
}

impl ClassWork {
    /// Adds the work of an attempt, in tokens.
    pub(crate) fn record(&mut self, class: u32, tokens: f64) {
        self.all.add(tokens);
        self.classes.entry(class).or_default().add(tokens);
    }

    /// Mean work of a class as a multiple of the mean work of all attempts; close to 1 while little is known.
    pub(crate) fn relative(&self, class: u32) -> f64 {
        let Some(of_class) = self.classes.get(&class).filter(|_| self.all.tokens > 0.0) else { return 1.0 };
        let relative = of_class.tokens / self.all.tokens;
        (PRIOR_SAMPLES + of_class.samples * relative) / (PRIOR_SAMPLES + of_class.samples)
    }

    /// Applies a class renumbering: `class_renumbering` maps each new number to the old one. Means of numbers
    /// that are not in `classes` are dropped.
    pub(crate) fn renumber_classes(
        &mut self,
        class_renumbering: &BTreeMap<u32, u32>,
        classes: &BTreeMap<u32, Class>,
    ) {
        for (&new, old) in class_renumbering {
            let known = self.classes.get(old).copied();
            self.classes.extend(known.map(|known| (new, known)));
        }
        self.classes.retain(|class, _| classes.contains_key(class));
    }
}
