//! Doubly linked lists over small numbers, in order of insertion, with removal of any member in constant time.

/// Stands for the absence of a neighbour, or of a first or last member.
const NONE: u32 = u32::MAX;
/// The value of [`Link::list`] for a number that is in no list.
const UNLISTED: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    previous: u32,
    next: u32,
    list: u8,
}

#[derive(Clone, Copy, Debug)]
struct Ends {
    first: u32,
    last: u32,
}

/// `N` lists; a number is a member of at most one of them. Memory grows with the greatest number.
#[derive(Debug)]
pub(crate) struct LinkedLists<const N: usize> {
    ends: [Ends; N],
    links: Vec<Link>,
}

impl<const N: usize> LinkedLists<N> {
    pub(crate) fn new() -> Self {
        Self { ends: [Ends { first: NONE, last: NONE }; N], links: Vec::new() }
    }

    /// Memory that the links have reserved (bytes).
    pub(crate) fn bytes(&self) -> usize {
        self.links.capacity() * size_of::<Link>()
    }

    /// Appends a number to a list, after removing it from the list that it was in.
    pub(crate) fn push_back(&mut self, list: usize, member: u32) {
        self.unlink(member);
        if self.links.len() <= member as usize {
            let unlisted = Link { previous: NONE, next: NONE, list: UNLISTED };
            self.links.resize(member as usize + 1, unlisted);
        }
        let last = self.ends[list].last;
        self.links[member as usize] = Link { previous: last, next: NONE, list: list as u8 };
        match last {
            NONE => self.ends[list].first = member,
            last => self.links[last as usize].next = member,
        }
        self.ends[list].last = member;
    }

    /// Removes a number from the list that it is in, if any.
    pub(crate) fn unlink(&mut self, member: u32) {
        let link = self.links.get(member as usize).filter(|link| link.list != UNLISTED);
        let Some(&Link { previous, next, list }) = link else { return };
        let ends = &mut self.ends[list as usize];
        match previous {
            NONE => ends.first = next,
            previous => self.links[previous as usize].next = next,
        }
        match next {
            NONE => ends.last = previous,
            next => self.links[next as usize].previous = previous,
        }
        self.links[member as usize].list = UNLISTED;
    }

    /// The number that was appended to the list first; `None` if the list is empty.
    pub(crate) fn oldest(&self, list: usize) -> Option<u32> {
        Some(self.ends[list].first).filter(|&member| member != NONE)
    }
}
