//! Two processes of one dispatcher, as a new version takes over from the old: which part of the limits each holds
//! at most, when the new one may serve, and what the old one does on its way out.
//!
//! Each process says of itself who it is ([`Said`]); the other reads that some time later, or finds that it has
//! ended. The one that was there first only ever gives parts up while the other lives; the later one only ever
//! takes what the first has said to have given up. So whatever is late, and whoever dies, the parts never add up to
//! more than the whole. Time comes in as an argument, and nothing here does I/O.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Microseconds, on a clock of the process's own that only goes forward.
pub type Micros = u64;
/// The order of starts, as a number that grows. No clock tells it: the machine's may be stepped between two starts.
pub type Generation = u64;
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
    /// Tells who was first: each takes a number above all that it finds.
    pub born: Generation,
    /// How far it has come.
    pub stage: Stage,
    /// The part of the limits that it holds at most.
    pub part: Part,
    /// The number of the other one that it knows of; 0 for none. Only who is known may count on what was given up.
    pub knows: Generation,
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
    /// When it started, on its own clock.
    started: Micros,
    other: Option<Said>,
}

impl Kin {
    /// One that starts; it serves nobody yet. No two have the same number.
    #[must_use]
    pub fn start(born: Generation, now: Micros) -> Self {
        let me = Said { born, stage: Stage::Joining, part: RESERVE, knows: 0 };
        Self { me, started: now, other: None }
    }

    /// The same process under a number: it had none while it could take no seat.
    pub fn takes_seat(&mut self, born: Generation) {
        self.me.born = born;
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
        if self.me.stage == Stage::Joining && (self.me.part >= ENOUGH || now >= self.started + PATIENCE) {
            self.me.stage = Stage::Serving;
        }
        self.me != before
    }

    /// It has been told to end.
    pub fn told_to_end(&mut self) {
        self.me.stage = Stage::Leaving;
    }
}

/// Steps between two numbers: the last bit tells the seats of two apart that start at the same moment.
const SEATS: Generation = 2;
/// Above all numbers that a seat which can't be read may hold: earlier versions took microseconds of Unix time.
const SURELY_LATER: Generation = 1 << 56;

/// The number of a process that takes this seat (0 or 1): above those last said in its own and in the other one.
/// `unclear`: somebody has the other seat and can't be read; it was there first.
#[must_use]
pub fn next_generation(seat: u64, said: [Option<Said>; 2], unclear: bool) -> Generation {
    let last = said.iter().flatten().map(|said| said.born.max(said.knows)).max().unwrap_or(0);
    let last = if unclear { last.max(SURELY_LATER) } else { last };
    (last / SEATS + 1) * SEATS + seat % SEATS
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
