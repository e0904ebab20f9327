//! Faults and planned operations of the soak test, and their random choice.
//!
//! The plans of a seed depend on the order of the draws, so that order must not change.

use super::routes::{RouteShape, Targets};
use core::time::Duration;
use poplarswitch_deployment::{
    AnswerCut, AnswerEnd, AnswerFraming, AnswerShape, EndlessAnswer, EndpointKind, LinkMode,
    StoreFault,
};
use rand::{RngExt as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

/// Section of the prompts that may crash engines.
pub const CRASHING_SECTION: u64 = 0xbad;

/// A fault or a planned operation, with the VM or endpoint that it affects.
///
/// `Forget`, `Hangup`, `Storm`, `Upgrades` and `Reroutes` take effect at once; the others last until a planned time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of a VM is suspended by SIGSTOP.
    Stop(usize),
    /// The process of a VM is killed, and later started again.
    Kill(usize),
    /// The process of a VM gets SIGTERM, and is later started again.
    Term(usize),
    /// The store has a fault.
    Store(StoreFault),
    /// The connections of a VM to the store are disturbed.
    StoreLink(usize, LinkMode),
    /// The connections of all VMs to an endpoint are disturbed.
    Link(usize, LinkMode),
    /// An endpoint drains, and is later registered as a new incarnation.
    Drain(usize),
    /// An endpoint declines all calls.
    Refuses(usize),
    /// An endpoint runs calls and loses their answers.
    Loses(usize),
    /// An endpoint cuts its streams.
    Breaks(usize),
    /// An endpoint frames and ends its answers in a shape.
    Shapes(usize, AnswerShape),
    /// Engines crash when they begin an answer on [`CRASHING_SECTION`].
    Crashes,
    /// An endpoint names a limit, in tenths of requests per second.
    Limits(usize, u16),
    /// An engine becomes a new incarnation under its name, of the other software version.
    Upgrades(usize),
    /// An endpoint sends bytes without end.
    Endless(usize, EndlessAnswer),
    /// The second API key is revoked, and later restored.
    Revoke,
    /// The store clears its history of changes.
    Forget,
    /// A VM reloads its settings after SIGHUP.
    Hangup(usize),
    /// Several configurations are written in quick succession.
    Storm,
    /// All VMs are killed one right after another, and later started again.
    KillAll,
    /// Endpoints send nothing for a time, and then go on; each has a bit in `endpoints`.
    Silences { endpoints: u8, millis: u16 },
    /// A configuration changes the targets of routes and the idle time-out.
    Reroutes(RouteShape),
    /// One request crashes each endpoint of a kind that begins to run it.
    Culprit(EndpointKind),
    /// An endpoint declines all calls and asks for pauses of a number of seconds.
    Pauses(usize, &'static str),
    /// An endpoint says in its answers that it leaves, and is later registered as a new incarnation; its
    /// entry doesn't tell of it.
    Leaves(usize),
}

impl Fault {
    /// Whether this is a fault of the store.
    pub const fn affects_store(self) -> bool {
        matches!(self, Self::Store(_) | Self::Forget)
    }

    /// Whether the fault may keep VMs from sharing a limit.
    pub const fn disturbs_vms(self) -> bool {
        matches!(
            self,
            Self::Stop(_) | Self::Kill(_) | Self::Term(_) | Self::KillAll
        )
    }

    /// Whether the fault or operation may make a VM learn too late that an endpoint drains.
    pub const fn may_delay_updates(self, vm: usize, endpoint: usize) -> bool {
        match self {
            Self::Stop(at) | Self::Kill(at) | Self::Term(at) | Self::StoreLink(at, _) => at == vm,
            Self::Link(at, _) => at == endpoint,
            Self::Store(_) | Self::Forget | Self::KillAll => true,
            Self::Drain(_)
            | Self::Refuses(_)
            | Self::Loses(_)
            | Self::Breaks(_)
            | Self::Shapes(..)
            | Self::Crashes
            | Self::Limits(..)
            | Self::Upgrades(_)
            | Self::Endless(..)
            | Self::Revoke
            | Self::Hangup(_)
            | Self::Storm
            | Self::Silences { .. }
            | Self::Reroutes(_)
            | Self::Culprit(_)
            | Self::Pauses(..)
            | Self::Leaves(_) => false,
        }
    }

    /// Whether a VM that has the fault, or has had it a moment ago, is not in touch with the others.
    pub const fn breaks_contact(self, vm: usize) -> bool {
        match self {
            Self::Stop(at) | Self::Kill(at) | Self::Term(at) | Self::StoreLink(at, _) => at == vm,
            Self::Store(_) | Self::KillAll => true,
            _ => false,
        }
    }

    /// Whether this is a planned operation at a VM, which must not cut off calls.
    pub const fn is_planned_at(self, vm: usize) -> bool {
        match self {
            Self::Term(at) | Self::Hangup(at) => at == vm,
            Self::Storm | Self::Revoke | Self::Reroutes(_) => true,
            _ => false,
        }
    }

    /// Whether this is a planned operation at any VM or endpoint.
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Term(_)
                | Self::Hangup(_)
                | Self::Storm
                | Self::Revoke
                | Self::Drain(_)
                | Self::Reroutes(_)
        )
    }

    /// Whether the fault may cut off a call that a VM has accepted; a silence may not.
    pub const fn may_cut_off(self, vm: usize) -> bool {
        match self {
            Self::Silences { .. } => false,
            Self::Stop(at) | Self::Kill(at) | Self::StoreLink(at, _) => at == vm,
            other => !other.is_planned(),
        }
    }
}

/// Period of a fault or operation; `to` is `None` while it lasts.
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

    /// Ends the period now, unless it has ended.
    pub fn end(&mut self) {
        self.to.get_or_insert_with(Instant::now);
    }

    /// Whether a time is in the period.
    pub fn contains(&self, at: Instant) -> bool {
        self.overlaps(at, at)
    }

    /// Whether the span overlaps the period between two times.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// First seed of those that were added with the sixth plan.
const SIXTH_SEEDS: u64 = 300;

/// Whether a seed has silences and planned operations only, so that it is tested often that
/// silences cut off no calls.
pub const fn is_silence_only(seed: u64) -> bool {
    seed >= SIXTH_SEEDS && seed % 10 == 8
}

/// Whether a seed has requests that crash endpoints and planned operations only, so that most VMs are
/// in touch.
const fn is_culprit_only(seed: u64) -> bool {
    seed >= SIXTH_SEEDS && seed % 10 == 9
}

/// First seed of those that were added with the seventh plan.
pub const SEVENTH_SEEDS: u64 = 400;

/// Whether a seed has endpoints that ask for pauses or leave, faults of the store and planned operations
/// only, so that most VMs run without a break.
const fn is_notice_only(seed: u64) -> bool {
    seed >= SEVENTH_SEEDS && seed % 10 == 6
}

/// Whether a seed leaves a fault out.
pub const fn excludes(seed: u64, fault: Fault) -> bool {
    let other = if is_silence_only(seed) {
        !matches!(fault, Fault::Silences { .. })
    } else if is_culprit_only(seed) {
        !matches!(fault, Fault::Culprit(_))
    } else if is_notice_only(seed) {
        !matches!(
            fault,
            Fault::Pauses(..) | Fault::Leaves(_) | Fault::Store(_)
        )
    } else {
        is_planned_only(seed)
    };
    excludes_store(seed) && fault.affects_store() || other && !fault.is_planned()
}

/// Whether a seed injects no faults of the store, so that bounds that hold only while the store can
/// be reached are tested too.
const fn excludes_store(seed: u64) -> bool {
    seed % 10 == 5
}

/// Whether a seed has planned operations only, so that it is tested often that those cut off no
/// calls.
pub const fn is_planned_only(seed: u64) -> bool {
    seed % 10 == 7
}

/// A random mode of disturbed connections.
fn draw_link_mode(rng: &mut Pcg64Mcg, delay: Duration) -> LinkMode {
    let modes = [
        LinkMode::Delays(delay),
        LinkMode::DropsResponses,
        LinkMode::Silent,
        LinkMode::Closes,
    ];
    *modes.choose(rng).unwrap()
}

/// The next fault of a seed's first plan.
pub fn draw_first(rng: &mut Pcg64Mcg, vms: usize) -> Fault {
    let vm = rng.random_range(0..vms);
    let endpoint = rng.random_range(0..4);
    let delay = Duration::from_millis(rng.random_range(50..400));
    match rng.random_range(0..14) {
        0 => Fault::Stop(vm),
        1 => Fault::Kill(vm),
        2 => Fault::Term(vm),
        3 => Fault::Store(StoreFault::Refuses(503)),
        4 => Fault::Store(StoreFault::Silent),
        5 => Fault::Store(StoreFault::Slow(delay)),
        6 => Fault::Store(StoreFault::LosesAnswers),
        7 => Fault::Link(endpoint, draw_link_mode(rng, delay)),
        8 => Fault::Refuses(endpoint),
        9 => Fault::Loses(endpoint),
        10 => Fault::Breaks(endpoint),
        11 => Fault::Revoke,
        _ => Fault::Forget,
    }
}

/// The next fault of a seed's second plan, which was added to the first one. Each plan has its own
/// generator, so that the first plan of seeds that failed earlier stays the same.
pub fn draw_second(rng: &mut Pcg64Mcg, vms: usize) -> Fault {
    let delay = Duration::from_millis(rng.random_range(50..400));
    if rng.random() {
        Fault::StoreLink(rng.random_range(0..vms), draw_link_mode(rng, delay))
    } else {
        Fault::Drain(rng.random_range(0..4))
    }
}

/// The next fault of a seed's third plan: reloads, series of configurations and kills of all VMs.
pub fn draw_third(rng: &mut Pcg64Mcg, vms: usize) -> Fault {
    match rng.random_range(0..5) {
        0 | 1 => Fault::Hangup(rng.random_range(0..vms)),
        2 | 3 => Fault::Storm,
        _ => Fault::KillAll,
    }
}

/// The next fault of a seed's fourth plan: engines that crash on a section of prompts, or an endpoint
/// that frames its answers in another way or breaks them off. An answer whose framing is complete is whole, unless it ends inside an event.
pub fn draw_fourth(rng: &mut Pcg64Mcg) -> Fault {
    if rng.random_ratio(1, 4) {
        return Fault::Crashes;
    }
    let framings = [
        AnswerFraming::Length,
        AnswerFraming::Chunked,
        AnswerFraming::Close,
    ];
    let cuts = [
        AnswerCut::AfterHead,
        AnswerCut::AfterPart(1),
        AnswerCut::InsidePart(0),
        AnswerCut::InsidePart(1),
    ];
    let endpoint = rng.random_range(0..4);
    let framing = *framings.choose(rng).unwrap();
    let (cut, end) = match rng.random_range(0..4) {
        0 => (AnswerCut::Whole, AnswerEnd::Framed),
        1 if endpoint < 2 => (AnswerCut::InsidePart(2), AnswerEnd::Framed),
        2 => (*cuts.choose(rng).unwrap(), AnswerEnd::Reset),
        _ => (*cuts.choose(rng).unwrap(), AnswerEnd::Closed),
    };
    Fault::Shapes(endpoint, AnswerShape { framing, cut, end })
}

/// The next fault of a seed's fifth plan: an endpoint that names a limit, an engine that is replaced by
/// one of another version under its name, or an endpoint that sends bytes without end.
pub fn draw_fifth(rng: &mut Pcg64Mcg) -> (Fault, Duration) {
    let endpoint = rng.random_range(0..4);
    let millis = rng.random_range(200..1_500);
    match rng.random_range(0..4) {
        0 | 1 => {
            let tenths = *[4, 10, 14, 65].choose(rng).unwrap();
            let millis = rng.random_range(5_000..12_000);
            (
                Fault::Limits(endpoint, tenths),
                Duration::from_millis(millis),
            )
        }
        2 => (Fault::Upgrades(endpoint % 2), Duration::from_millis(millis)),
        _ => {
            let endless = *EndlessAnswer::ALL.choose(rng).unwrap();
            (
                Fault::Endless(endpoint, endless),
                Duration::from_millis(millis),
            )
        }
    }
}

/// The next fault of a seed's sixth plan: endpoints that fall silent, a configuration that changes the
/// targets of routes or the idle time-out, or a request that crashes endpoints.
pub fn draw_sixth(rng: &mut Pcg64Mcg) -> (Fault, Duration) {
    let millis = rng.random_range(300..2_000);
    let silences = Fault::Silences {
        endpoints: rng.random_range(1..64),
        millis,
    };
    let shape = RouteShape {
        targets: *[
            Targets::Own,
            Targets::Split(7),
            Targets::Split(3),
            Targets::Spare,
        ]
        .choose(rng)
        .unwrap(),
        idle_ms: *[15_000, 4_000, 2_000].choose(rng).unwrap(),
    };
    let kind = *[EndpointKind::Service, EndpointKind::Engine]
        .choose(rng)
        .unwrap();
    let crashing = Duration::from_millis(rng.random_range(6_000..12_000));
    match rng.random_range(0..4) {
        0 | 1 => (silences, Duration::from_millis(u64::from(millis))),
        2 => (
            Fault::Reroutes(shape),
            Duration::from_millis(u64::from(millis)),
        ),
        _ => (Fault::Culprit(kind), crashing),
    }
}

/// The next fault of a seed's seventh plan: an endpoint that asks for pauses, or one that leaves.
pub fn draw_seventh(rng: &mut Pcg64Mcg) -> (Fault, Duration) {
    let endpoint = rng.random_range(0..4);
    if rng.random() {
        let seconds = *["0.8", "2", "3.5"].choose(rng).unwrap();
        let millis = rng.random_range(200..1_500);
        (
            Fault::Pauses(endpoint, seconds),
            Duration::from_millis(millis),
        )
    } else {
        let millis = rng.random_range(3_000..7_000);
        (Fault::Leaves(endpoint), Duration::from_millis(millis))
    }
}
