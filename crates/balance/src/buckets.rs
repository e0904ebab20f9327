//! A set of small numbers by level, with constant cost of each change.
//!
//! Members of one level stand in a list in no particular order; a bit per level tells which
//! lists are filled. The least loaded member is found without a search over the members.

/// Levels told apart; higher ones count as the last.
pub(crate) const LEVELS: usize = 256;
/// Levels of one word of bits.
const WORD: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Spot {
    level: u16,
    index: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Buckets {
    members: Vec<Vec<u32>>,
    filled: [u64; LEVELS / WORD],
    spots: Vec<Option<Spot>>,
}

impl Buckets {
    /// Starts empty, for members below a number.
    pub(crate) fn new(members: usize) -> Self {
        Self {
            members: Vec::new(),
            filled: [0; LEVELS / WORD],
            spots: vec![None; members],
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        let [a, b, c, d] = self.filled;
        a | b | c | d == 0
    }

    /// The level of a member, if it is in.
    pub(crate) fn level(&self, member: u32) -> Option<u32> {
        let spot = self.spots.get(member as usize).copied().flatten()?;
        Some(u32::from(spot.level))
    }

    /// Puts a member at a level, or takes it out.
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

    /// A member of the lowest level but one that is to be avoided; `draw` chooses among equals.
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
        let mut mask = u64::MAX << (from % WORD);
        for word in from / WORD..self.filled.len() {
            let bits = self.filled[word] & mask;
            if bits != 0 {
                return Some(word * WORD + bits.trailing_zeros() as usize);
            }
            mask = u64::MAX;
        }
        None
    }

    fn insert(&mut self, member: u32, level: u16) {
        let place = usize::from(level);
        if self.members.len() <= place {
            self.members.resize_with(place + 1, Vec::new);
        }
        let members = &mut self.members[place];
        self.spots[member as usize] = Some(Spot {
            level,
            index: members.len() as u32,
        });
        members.push(member);
        self.filled[place / WORD] |= 1 << (place % WORD);
    }

    fn remove(&mut self, member: u32) {
        let Some(spot) = self.spots[member as usize].take() else {
            return;
        };
        let place = usize::from(spot.level);
        let members = &mut self.members[place];
        members.swap_remove(spot.index as usize);
        if let Some(moved) = members.get(spot.index as usize) {
            self.spots[*moved as usize] = Some(spot);
        }
        if members.is_empty() {
            self.filled[place / WORD] &= !(1 << (place % WORD));
        }
    }
}
