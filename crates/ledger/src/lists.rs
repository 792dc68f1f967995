//! Lists in order of joining over small numbers, from which any member can leave at once.

const NONE: u32 = u32::MAX;
const APART: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    before: u32,
    after: u32,
    list: u8,
}

/// `N` lists; a number is a member of one of them at most.
#[derive(Debug)]
pub(crate) struct Lists<const N: usize> {
    ends: [(u32, u32); N],
    links: Vec<Link>,
}

impl<const N: usize> Lists<N> {
    pub(crate) fn new() -> Self {
        Self { ends: [(NONE, NONE); N], links: Vec::new() }
    }

    pub(crate) fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>()
    }

    /// Puts a number at the end of a list, and takes it from the one where it was.
    pub(crate) fn join(&mut self, list: usize, member: u32) {
        self.leave(member);
        if self.links.len() <= member as usize {
            let apart = Link { before: NONE, after: NONE, list: APART };
            self.links.resize(member as usize + 1, apart);
        }
        let last = self.ends[list].1;
        self.links[member as usize] = Link { before: last, after: NONE, list: list as u8 };
        match last {
            NONE => self.ends[list].0 = member,
            last => self.links[last as usize].after = member,
        }
        self.ends[list].1 = member;
    }

    pub(crate) fn leave(&mut self, member: u32) {
        let Some(&Link { before, after, list }) =
            self.links.get(member as usize).filter(|link| link.list != APART)
        else {
            return;
        };
        let ends = &mut self.ends[list as usize];
        match before {
            NONE => ends.0 = after,
            before => self.links[before as usize].after = after,
        }
        match after {
            NONE => ends.1 = before,
            after => self.links[after as usize].before = before,
        }
        self.links[member as usize].list = APART;
    }

    /// The number that has been in a list for longest.
    pub(crate) fn oldest(&self, list: usize) -> Option<u32> {
        Some(self.ends[list].0).filter(|&member| member != NONE)
    }
}
