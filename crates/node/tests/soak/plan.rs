//! What goes wrong in a soak, and when.

use core::time::Duration;
use poplarswitch_deployment::{LinkMode, StoreFault};
use rand::{RngExt as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

/// A fault that ends later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Stop(usize),
    Kill(usize),
    Term(usize),
    Store(StoreFault),
    /// The connections of a VM to the store.
    StoreLink(usize, LinkMode),
    /// The connections of all VMs to an endpoint.
    Link(usize, LinkMode),
    /// An endpoint drains, and comes back as a new life.
    Drain(usize),
    Refuses(usize),
    Loses(usize),
    Breaks(usize),
    Revoke,
    Forget,
    /// A VM reads its settings again.
    Hangup(usize),
    /// Configurations follow one another.
    Storm,
    /// All VMs are killed at once.
    KillAll,
}

impl Fault {
    /// Whether it is one of the store.
    pub const fn is_of_store(self) -> bool {
        matches!(self, Self::Store(_) | Self::Forget)
    }

    /// Whether a VM may rightly learn late that an endpoint drains.
    pub const fn hides_news(self, vm: usize, endpoint: usize) -> bool {
        match self {
            Self::Stop(at) | Self::Kill(at) | Self::Term(at) | Self::StoreLink(at, _) => at == vm,
            Self::Link(at, _) => at == endpoint,
            Self::Store(_) | Self::Forget | Self::KillAll => true,
            Self::Drain(_)
            | Self::Refuses(_)
            | Self::Loses(_)
            | Self::Breaks(_)
            | Self::Revoke
            | Self::Hangup(_)
            | Self::Storm => false,
        }
    }

    /// Whether it is planned work at a VM, which cuts off no call.
    pub const fn is_planned(self, vm: usize) -> bool {
        match self {
            Self::Term(at) | Self::Hangup(at) => at == vm,
            Self::Storm | Self::Revoke => true,
            _ => false,
        }
    }

    /// Whether it is planned work anywhere.
    pub const fn is_work(self) -> bool {
        matches!(
            self,
            Self::Term(_) | Self::Hangup(_) | Self::Storm | Self::Revoke | Self::Drain(_)
        )
    }

    /// Whether a call that a VM has taken may be cut off by it.
    pub const fn may_cut(self, vm: usize) -> bool {
        match self {
            Self::Stop(at) | Self::Kill(at) | Self::StoreLink(at, _) => at == vm,
            other => !other.is_work(),
        }
    }
}

/// When something began, and ended.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: Instant,
    pub to: Option<Instant>,
}

impl Span {
    pub fn from_now() -> Self {
        Self {
            from: Instant::now(),
            to: None,
        }
    }

    pub fn end(&mut self) {
        self.to.get_or_insert_with(Instant::now);
    }

    /// Whether it goes on at a moment between two, or between them.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// Whether a seed leaves the store alone, so that bounds which hold only in touch with it are
/// tested too.
pub const fn spares_store(seed: u64) -> bool {
    seed % 10 == 5
}

/// Whether a seed has planned work only, so that what it may not cut off is tested often.
pub const fn only_works(seed: u64) -> bool {
    seed % 10 == 7
}

/// What connections do.
fn link(draws: &mut Pcg64Mcg, late: Duration) -> LinkMode {
    let links = [
        LinkMode::Delays(late),
        LinkMode::DropsResponses,
        LinkMode::Silent,
        LinkMode::Closes,
    ];
    *links.choose(draws).unwrap()
}

/// The next fault of a seed's first plan.
pub fn draw(draws: &mut Pcg64Mcg, vms: usize) -> Fault {
    let vm = draws.random_range(0..vms);
    let endpoint = draws.random_range(0..4);
    let late = Duration::from_millis(draws.random_range(50..400));
    match draws.random_range(0..14) {
        0 => Fault::Stop(vm),
        1 => Fault::Kill(vm),
        2 => Fault::Term(vm),
        3 => Fault::Store(StoreFault::Refuses(503)),
        4 => Fault::Store(StoreFault::Silent),
        5 => Fault::Store(StoreFault::Slow(late)),
        6 => Fault::Store(StoreFault::LosesAnswers),
        7 => Fault::Link(endpoint, link(draws, late)),
        8 => Fault::Refuses(endpoint),
        9 => Fault::Loses(endpoint),
        10 => Fault::Breaks(endpoint),
        11 => Fault::Revoke,
        _ => Fault::Forget,
    }
}

/// The next fault of a seed's second plan, which was added later: the first plan of a seed that
/// ever failed stays as it was.
pub fn draw_more(draws: &mut Pcg64Mcg, vms: usize) -> Fault {
    let late = Duration::from_millis(draws.random_range(50..400));
    if draws.random() {
        Fault::StoreLink(draws.random_range(0..vms), link(draws, late))
    } else {
        Fault::Drain(draws.random_range(0..4))
    }
}

/// The next fault of a seed's third plan: planned work, and a loss of all VMs.
pub fn draw_work(draws: &mut Pcg64Mcg, vms: usize) -> Fault {
    match draws.random_range(0..5) {
        0 | 1 => Fault::Hangup(draws.random_range(0..vms)),
        2 | 3 => Fault::Storm,
        _ => Fault::KillAll,
    }
}
