//! A set of small integers ordered by level, with updates in constant time.
//!
//! The members of one level are kept in an unordered list, and a bit per level says whether its
//! list is non-empty. A member of the lowest level is found without a search over the members.

/// Number of distinct levels; higher levels are stored as the last one.
pub(crate) const LEVELS: usize = 256;
/// Levels per word of the bit set.
const WORD_BITS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Location {
    level: u16,
    index: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Buckets {
    members: Vec<Vec<u32>>,
    filled: [u64; LEVELS / WORD_BITS],
    locations: Vec<Option<Location>>,
}

impl Buckets {
    /// Creates an empty set for members below `members`.
    pub(crate) fn new(members: usize) -> Self {
        Self {
            members: Vec::new(),
            filled: [0; LEVELS / WORD_BITS],
            locations: vec![None; members],
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        let [a, b, c, d] = self.filled;
        a | b | c | d == 0
    }

    /// The level of a member, if it is in the set.
    pub(crate) fn level(&self, member: u32) -> Option<u32> {
        let location = self.locations.get(member as usize).copied().flatten()?;
        Some(u32::from(location.level))
    }

    /// Inserts a member, moves it to another level, or removes it.
    pub(crate) fn set(&mut self, member: u32, level: Option<u32>) {
        let level = level.map(|level| level.min(LEVELS as u32 - 1));
        if self.level(member) == level {
            return;
        }
        self.remove(member);
        if let Some(level) = level {
            self.insert(member, level as u16);
        }
    }

    /// A member of the lowest level, other than `avoid`; `draw` selects among equal members.
    pub(crate) fn least(&self, draw: u32, avoid: Option<u32>) -> Option<u32> {
        let mut from = 0;
        while let Some(level) = self.next_filled(from) {
            let members = &self.members[level];
            let start = draw as usize % members.len();
            let rotated = members[start..].iter().chain(&members[..start]);
            let found = rotated.copied().find(|member| Some(*member) != avoid);
            if found.is_some() {
                return found;
            }
            from = level + 1;
        }
        None
    }

    fn next_filled(&self, from: usize) -> Option<usize> {
        let mut mask = u64::MAX << (from % WORD_BITS);
        for word in from / WORD_BITS..self.filled.len() {
            let bits = self.filled[word] & mask;
            if bits != 0 {
                return Some(word * WORD_BITS + bits.trailing_zeros() as usize);
            }
            mask = u64::MAX;
        }
        None
    }

    fn insert(&mut self, member: u32, level: u16) {
        let index = usize::from(level);
        if self.members.len() <= index {
            self.members.resize_with(index + 1, Vec::new);
        }
        let members = &mut self.members[index];
        self.locations[member as usize] = Some(Location {
            level,
            index: members.len() as u32,
        });
        members.push(member);
        self.filled[index / WORD_BITS] |= 1 << (index % WORD_BITS);
    }

    fn remove(&mut self, member: u32) {
        let Some(location) = self.locations[member as usize].take() else {
            return;
        };
        let index = usize::from(location.level);
        let members = &mut self.members[index];
        members.swap_remove(location.index as usize);
        if let Some(moved) = members.get(location.index as usize) {
            self.locations[*moved as usize] = Some(location);
        }
        if members.is_empty() {
            self.filled[index / WORD_BITS] &= !(1 << (index % WORD_BITS));
        }
    }
}
