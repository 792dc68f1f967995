//! Doubly linked lists over small numbers, in order of joining, which any member can leave at once.

const NONE: u32 = u32::MAX;
/// The list of a number that is in none.
const UNLISTED: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    before: u32,
    after: u32,
    list: u8,
}

#[derive(Clone, Copy, Debug)]
struct Ends {
    first: u32,
    last: u32,
}

/// `N` lists; a number is a member of one of them at most. Memory grows with the greatest number.
#[derive(Debug)]
pub(crate) struct LinkedLists<const N: usize> {
    ends: [Ends; N],
    links: Vec<Link>,
}

impl<const N: usize> LinkedLists<N> {
    pub(crate) fn new() -> Self {
        Self { ends: [Ends { first: NONE, last: NONE }; N], links: Vec::new() }
    }

    /// Memory that the lists hold (bytes).
    pub(crate) fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>()
    }

    /// Puts a number at the end of a list, and takes it from the one where it was.
    pub(crate) fn join(&mut self, list: usize, member: u32) {
        self.leave(member);
        if self.links.len() <= member as usize {
            let unlisted = Link { before: NONE, after: NONE, list: UNLISTED };
            self.links.resize(member as usize + 1, unlisted);
        }
        let last = self.ends[list].last;
        self.links[member as usize] = Link { before: last, after: NONE, list: list as u8 };
        match last {
            NONE => self.ends[list].first = member,
            last => self.links[last as usize].after = member,
        }
        self.ends[list].last = member;
    }

    /// Takes a number from the list where it is, if it is in one.
    pub(crate) fn leave(&mut self, member: u32) {
        let link = self.links.get(member as usize).filter(|link| link.list != UNLISTED);
        let Some(&Link { before, after, list }) = link else { return };
        let ends = &mut self.ends[list as usize];
        match before {
            NONE => ends.first = after,
            before => self.links[before as usize].after = after,
        }
        match after {
            NONE => ends.last = before,
            after => self.links[after as usize].before = before,
        }
        self.links[member as usize].list = UNLISTED;
    }

    /// The number that has been in a list for longest.
    pub(crate) fn oldest(&self, list: usize) -> Option<u32> {
        Some(self.ends[list].first).filter(|&member| member != NONE)
    }
}
