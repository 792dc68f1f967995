//! Two processes of one dispatcher, as a new version takes over from the old: which part of the limits each holds
//! at most, when the new one may serve, and what the old one does on its way out.
//!
//! Each process says of itself who it is ([`Said`]); the other reads that some time later, or finds that it has
//! ended. The one that was there first only ever gives parts up while the other lives; the later one only ever
//! takes what the first has said to have given up. So whatever is late, and whoever dies, the parts never add up to
//! more than the whole. Time comes in as an argument, and nothing here does I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Microseconds, on a clock that both processes read alike.
pub type Micros = u64;
/// A part of the limits, in units of which [`WHOLE`] are all.
pub type Part = u16;

/// All of the limits.
pub const WHOLE: Part = 1_024;
/// What a process that starts may take without asking: for its own descriptors, not for clients. One that is alone
/// leaves it free.
pub const RESERVE: Part = 64;
/// What the first keeps for itself while both serve.
pub const HALF: Part = WHOLE / 2;
/// With this part the later one can serve.
const ENOUGH: Part = WHOLE / 4;
/// But however full the first one is, the later one does not wait for longer: it is due to say yes.
const PATIENCE: Micros = 3_000_000;

/// How far a process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has started and does not serve yet.
    Joining,
    /// It serves.
    Serving,
    /// It has been told to end.
    Leaving,
}

/// What a process says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    /// When it started: tells who was first.
    pub born: Micros,
    /// How far it has come.
    pub stage: Stage,
    /// The part of the limits that it holds at most.
    pub part: Part,
    /// When the other one started that it knows of; 0 for none. Only who is known may count on what was given up.
    pub knows: Micros,
}

impl Said {
    /// As one line.
    #[must_use]
    pub fn to_line(self) -> String {
        let stage = match self.stage {
            Stage::Joining => "joining",
            Stage::Serving => "serving",
            Stage::Leaving => "leaving",
        };
        format!("{} {stage} {} {}\n", self.born, self.part, self.knows)
    }

    /// Reads a line; `None` for one that is not whole or is none.
    #[must_use]
    pub fn from_line(line: &str) -> Option<Self> {
        let mut words = line.strip_suffix('\n')?.split(' ');
        let born = words.next()?.parse().ok()?;
        let stage = match words.next()? {
            "joining" => Stage::Joining,
            "serving" => Stage::Serving,
            "leaving" => Stage::Leaving,
            _ => return None,
        };
        let part = words.next()?.parse().ok().filter(|part| *part <= WHOLE)?;
        let knows = words.next()?.parse().ok()?;
        words.next().is_none().then_some(Self { born, stage, part, knows })
    }
}

/// What is seen of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Other {
    /// There is none.
    None,
    /// It lives, but what it says can't be read just now.
    Unclear,
    /// It lives and says this.
    Says(Said),
}

/// One of the two processes. See the [crate](self).
#[derive(Clone, Debug)]
pub struct Kin {
    me: Said,
    other: Option<Said>,
}

impl Kin {
    /// One that starts; it serves nobody yet. No two start at the same time.
    #[must_use]
    pub fn start(now: Micros) -> Self {
        Self { me: Said { born: now, stage: Stage::Joining, part: RESERVE, knows: 0 }, other: None }
    }

    /// What it says of itself: to be said before it is gone by.
    #[must_use]
    pub fn says(&self) -> Said {
        self.me
    }

    /// The other process, as last seen.
    #[must_use]
    pub fn other(&self) -> Option<Said> {
        self.other
    }

    /// Whether this one was there before the other.
    fn first(&self, other: &Said) -> bool {
        self.me.born < other.born
    }

    /// Takes what is seen of the other; `in_use` is the part of the limits that is in use here now. Whether what it
    /// says of itself has changed.
    pub fn sees(&mut self, now: Micros, other: Other, in_use: Part) -> bool {
        let before = self.me;
        self.other = match other {
            Other::None => None,
            Other::Says(said) => Some(said),
            // One that can't be read is taken to hold all that it could: nothing is raised for it.
            Other::Unclear => {
                let (born, stage, part) = (self.me.born + 1, Stage::Joining, WHOLE - RESERVE);
                let worst = Said { born, stage, part, knows: 0 };
                Some(self.other.unwrap_or(worst))
            }
        };
        let leaving = self.me.stage == Stage::Leaving;
        match self.other {
            None => self.me.part = WHOLE - RESERVE,
            // Also on its way out: what it still has open needs its room, and clients that stay ask on.
            Some(other) if leaving || self.first(&other) => {
                self.me.part = self.me.part.min(HALF.max(in_use)).max(RESERVE);
            }
            // It may act on having seen nobody before this one came: until it says that it knows, nothing is sure.
            Some(other) if other.knows == self.me.born => {
                self.me.part = self.me.part.max((WHOLE - other.part).min(WHOLE - RESERVE));
            }
            Some(_) => {}
        }
        self.me.knows = self.other.map_or(0, |other| other.born);
        if self.me.stage == Stage::Joining && (self.me.part >= ENOUGH || now >= self.me.born + PATIENCE) {
            self.me.stage = Stage::Serving;
        }
        self.me != before
    }

    /// It has been told to end.
    pub fn told_to_end(&mut self) {
        self.me.stage = Stage::Leaving;
    }
}

/// Whether the other process serves in the place of this one, so that new clients need not be taken here.
#[must_use]
pub fn replaced(me: Said, other: Option<Said>) -> bool {
    me.stage == Stage::Leaving && other.is_some_and(|other| other.stage == Stage::Serving)
}

/// What a part of a limit comes to; a few of anything at the least, as a limit of none would stop all.
#[must_use]
pub fn of(limit: usize, part: Part) -> usize {
    (limit * usize::from(part) / usize::from(WHOLE)).max(4)
}

/// The part that so much of a limit is, rounded up.
#[must_use]
pub fn part_of(used: usize, limit: usize) -> Part {
    let part = (used * usize::from(WHOLE)).div_ceil(limit.max(1));
    Part::try_from(part).unwrap_or(WHOLE).min(WHOLE)
}
