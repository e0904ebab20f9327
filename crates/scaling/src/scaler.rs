//! Decisions about the engines of one service.

use crate::{
    EngineKind, History, Limit, Load, Order, Outcome, Policy, Present, Reason, ScalingSpec, Target,
    line::{BOOT_SLACK, Line},
    pace::Pace,
    spread::{Share, spread},
    target::{Ready, target},
};
use core::time::Duration;
use poplarswitch_entity::{DataCentre, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a VM must have held the lease before it orders fewer engines.
const NEW_HOLDER_TIME: Duration = Duration::from_secs(3);
/// Interval between steps downwards.
const STEP_INTERVAL: Duration = Duration::from_secs(2);
/// Time without reclaimed engines before engines are taken away.
const CALM_TIME: Duration = Duration::from_secs(6);
/// Share by which the engines must be too many before engines are taken away.
const SURPLUS_SHARE: f64 = 0.12;
/// Share by which the engines must be too few before engines are added.
const SHORTAGE_SHARE: f64 = 0.04;
/// Time for which the engines must have been the same, and longest wait for it, until they count as
/// those that were there.
const SETTLE_TIME: (Duration, Duration) = (Duration::from_millis(2_500), Duration::from_secs(10));
/// Time for which a data centre may have fewer than its minimum, as operators may be taking engines away
/// or replacing them.
const LOW_TIME: Duration = Duration::from_secs(20);
/// Price of an engine without a declared price, in thousandths.
const DEFAULT_PRICE: u32 = 1_000;

/// Engines of one kind in one data centre.
pub type LineKey = (DataCentre, EngineKind);

/// What decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Time of the observation.
    pub now: Time,
    /// Load of all VMs' calls.
    pub load: Load,
    /// Engines that are there.
    pub present: &'a BTreeMap<LineKey, Present>,
    /// Limits and prices.
    pub spec: &'a ScalingSpec,
    /// Headroom and pace.
    pub policy: &'a Policy,
    /// Data centres of a service none of whose engines is known, if it has no prices either.
    pub data_centres: &'a BTreeSet<DataCentre>,
    /// Time for which this VM has held the lease.
    pub held: Duration,
    /// Whether the views of the endpoints and of the fleet are recent and complete.
    pub complete: bool,
}

/// Decides how many engines a service should have, by data centre and kind.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    history: History,
    lines: BTreeMap<LineKey, Line>,
    /// Engines that were there before the first decision of a term.
    installed: Option<Ready>,
    /// Engines seen last, since when, and since when any have been seen.
    seen: Option<(Ready, Time, Time)>,
    raised: Option<Time>,
    lowered: Option<Time>,
    reclaimed: Option<Time>,
    /// Since when no engine is there.
    empty: Option<Time>,
    /// Since when data centres have fewer engines than their minimum.
    low: BTreeMap<DataCentre, Time>,
    target: Target,
    pace: Pace,
}

/// One data centre in a decision.
#[derive(Clone, Debug)]
struct Centre {
    name: DataCentre,
    weight: f64,
    lasting: Numbers,
    spot: Numbers,
    /// Whether it has had fewer engines than the minimum for too long.
    is_low: bool,
}

impl Centre {
    /// Raises the ordered numbers to the minimum, preferably by engines that cost less.
    fn fill(&self, spec: &ScalingSpec, has_spot: bool, spot: &mut u32, lasting: &mut u32) {
        if !self.is_low {
            return;
        }
        let missing = spec.min.saturating_sub(*spot + *lasting);
        if has_spot && self.spot.has_more {
            *spot += missing;
        } else {
            *lasting += missing;
        }
    }
}

/// Numbers of one kind in a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Numbers {
    ready: u32,
    /// Last ordered.
    desired: u32,
    /// Ready now, or as soon as they have booted.
    expected: u32,
    has_more: bool,
}

impl Scaler {
    /// Records the load while another VM decides.
    pub fn watch(&mut self, now: Time, load: Load, ready: u32) {
        self.history.record(now, load, ready);
    }

    /// Begins a term: other holders may have changed what this VM ordered before.
    pub fn begin_term(&mut self) {
        *self = Self {
            history: core::mem::take(&mut self.history),
            ..Self::default()
        };
    }

    /// Computes the orders that are due, those for more engines first.
    pub fn decide(&mut self, input: &Input<'_>) -> Vec<Order> {
        let (now, spec, policy) = (input.now, input.spec, input.policy);
        let mut centres = self.observe(input);
        let ready = ready(&centres);
        self.history.record(now, input.load, ready.total());
        let is_empty = ready.total() == 0;
        if is_empty && !self.is_refilled(input, &centres) {
            return Vec::new();
        }
        if !is_empty {
            self.empty = None;
            self.settle(input, ready);
        }
        self.note_low(input, &mut centres);
        let installed = self.installed.unwrap_or_default();
        let has_spot = spec.spot_permille.is_some_and(|price| price < 1_000);
        let count = centres.len();
        let mut target = target(
            now,
            policy,
            &self.history,
            ready,
            installed,
            count,
            has_spot,
        );
        if is_empty && input.load.is_used() {
            target.lasting = target.lasting.max(1);
        }
        self.target = target;
        let blocked = self.blocked(input, &centres);
        let (lasting, lasting_limit) = self.lasting_numbers(input, target, &centres, blocked);
        for (centre, number) in centres.iter_mut().zip(&lasting) {
            centre.lasting.desired = centre.lasting.desired.max(*number);
        }
        let (spot, spot_limit) = self.spot_numbers(input, target, &centres, blocked);
        let mut orders = Vec::new();
        let numbers = centres.iter().zip(spot.into_iter().zip(lasting));
        for (centre, (mut spot, mut lasting)) in numbers {
            centre.fill(spec, has_spot, &mut spot, &mut lasting);
            for (kind, desired, limit) in [
                (EngineKind::Spot, spot, spot_limit),
                (EngineKind::Lasting, lasting, lasting_limit),
            ] {
                let key = (centre.name.clone(), kind);
                let is_needed =
                    centre.is_low || ready.remaining(count) < f64::from(target.remaining);
                let Some(mut reason) = self.reason(now, &key, desired, spec.boot, is_needed) else {
                    continue;
                };
                if centre.is_low && reason == Reason::Demand {
                    reason = Reason::Minimum;
                }
                let before = self.lines.get(&key).map_or(0, Line::desired);
                let (data_centre, kind) = key;
                orders.push(Order {
                    data_centre,
                    kind,
                    desired,
                    before,
                    reason,
                    limit,
                    target,
                });
            }
        }
        orders.sort_by_key(|order| order.desired < order.before);
        if blocked.is_some() {
            orders.retain(|order| order.reason != Reason::Excess);
            orders
                .retain(|order| order.desired >= order.before || order.reason == Reason::Reclaimed);
        }
        self.pace.limit(now, policy, &mut orders);
        orders
    }

    /// Records what became of an order.
    pub fn record(&mut self, now: Time, order: &Order, outcome: Outcome) {
        let key = (order.data_centre.clone(), order.kind);
        let line = self.lines.entry(key).or_default();
        line.record(now, order.desired, outcome);
        if matches!(outcome, Outcome::Accepted | Outcome::Unanswered) {
            if order.desired > order.before {
                self.raised = Some(now);
            } else if order.desired < order.before {
                self.lowered = Some(now);
            }
        }
    }

    /// The latest target.
    pub const fn target(&self) -> Target {
        self.target
    }

    /// The number last ordered, unless this VM has ordered none.
    pub fn ordered(&self, key: &LineKey) -> Option<u32> {
        let line = self.lines.get(key).filter(|line| line.is_ordered())?;
        Some(line.desired())
    }

    /// The numbers last ordered, by data centre and kind.
    pub fn orders(&self) -> impl Iterator<Item = (LineKey, u32)> {
        let lines = self.lines.iter().filter(|(_, line)| line.is_ordered());
        lines.map(|(key, line)| (key.clone(), line.desired()))
    }

    /// Finds out how many engines were there before the first decision; they may still be starting.
    fn settle(&mut self, input: &Input<'_>, ready: Ready) {
        if self.installed.is_some() || !input.complete {
            return;
        }
        let now = input.now;
        let (seen, since, begun) = self.seen.get_or_insert((ready, now, now));
        if *seen != ready {
            (*seen, *since) = (ready, now);
        }
        let (same, longest) = SETTLE_TIME;
        if now.since(*since) >= same || now.since(*begun) >= longest {
            self.installed = Some(ready);
        }
    }

    /// Whether engines may be ordered for a service that has none. Numbers are absolute, so a view that
    /// misses engines must not order a few.
    fn is_refilled(&mut self, input: &Input<'_>, centres: &[Centre]) -> bool {
        let now = input.now;
        let draining = self.lines.values().any(|line| line.present().draining > 0);
        if !input.complete || draining || centres.is_empty() {
            self.empty = None;
            return false;
        }
        let since = *self.empty.get_or_insert(now);
        input.held >= NEW_HOLDER_TIME && now.since(since) >= input.spec.boot + BOOT_SLACK
    }

    /// Finds the data centres that have had fewer engines than their minimum for too long.
    fn note_low(&mut self, input: &Input<'_>, centres: &mut [Centre]) {
        let now = input.now;
        let is_sure = input.complete && input.held >= NEW_HOLDER_TIME;
        for centre in centres {
            let ready = centre.lasting.ready + centre.spot.ready;
            if ready >= input.spec.min || !is_sure {
                self.low.remove(&centre.name);
                continue;
            }
            let since = *self.low.entry(centre.name.clone()).or_insert(now);
            centre.is_low = self.empty.is_some() || now.since(since) >= LOW_TIME;
        }
    }

    /// Takes in what is there.
    fn observe(&mut self, input: &Input<'_>) -> Vec<Centre> {
        if self.lines.is_empty() && input.present.is_empty() && input.complete {
            let names: Vec<&DataCentre> = if input.spec.prices.is_empty() {
                input.data_centres.iter().collect()
            } else {
                input.spec.prices.keys().collect()
            };
            for name in names {
                for kind in [EngineKind::Lasting, EngineKind::Spot] {
                    self.lines.entry((name.clone(), kind)).or_default();
                }
            }
        }
        for key in input.present.keys() {
            for kind in [EngineKind::Lasting, EngineKind::Spot] {
                self.lines.entry((key.0.clone(), kind)).or_default();
            }
        }
        let (now, spec) = (input.now, input.spec);
        let mut centres: Vec<Centre> = Vec::new();
        for ((name, kind), line) in &mut self.lines {
            let present = input.present.get(&(name.clone(), *kind));
            line.observe(
                now,
                present.copied().unwrap_or_default(),
                *kind == EngineKind::Spot,
            );
            if line.is_reclaimed() && line.present().draining > 0 {
                self.reclaimed = Some(now);
            }
            let numbers = Numbers {
                ready: line.present().ready,
                desired: line.desired(),
                expected: line.expected(now, spec.boot),
                has_more: line.has_more(now),
            };
            if centres.last().is_none_or(|centre| centre.name != *name) {
                let price = spec.prices.get(name).copied().unwrap_or(DEFAULT_PRICE);
                centres.push(Centre {
                    name: name.clone(),
                    weight: 1_000.0 / f64::from(price.max(1)),
                    lasting: Numbers::default(),
                    spot: Numbers::default(),
                    is_low: false,
                });
            }
            if let Some(centre) = centres.last_mut() {
                match kind {
                    EngineKind::Lasting => centre.lasting = numbers,
                    EngineKind::Spot => centre.spot = numbers,
                }
            }
        }
        centres
    }

    /// Why no engines may be taken away now, if so.
    fn blocked(&self, input: &Input<'_>, centres: &[Centre]) -> Option<Limit> {
        let now = input.now;
        if !input.complete || input.held < NEW_HOLDER_TIME || self.installed.is_none() {
            return Some(Limit::View);
        }
        if centres.iter().any(|centre| !centre.spot.has_more) {
            return Some(Limit::NoneLeft);
        }
        let is_recent = |at: Option<Time>, time| at.is_some_and(|at| now.since(at) < time);
        let is_settled = self.lines.values().all(|line| line.is_settled(now));
        let paced = is_recent(self.lowered, STEP_INTERVAL) || is_recent(self.reclaimed, CALM_TIME);
        (paced || !is_settled).then_some(Limit::Pace)
    }

    /// Numbers of spot engines by data centre.
    fn spot_numbers(
        &self,
        input: &Input<'_>,
        target: Target,
        centres: &[Centre],
        blocked: Option<Limit>,
    ) -> (Vec<u32>, Limit) {
        let (now, spec) = (input.now, input.spec);
        // Lasting engines may have taken the place of spot engines that were reclaimed.
        let current = |centre: &Centre| {
            let spot = centre.spot;
            let room = spec.max.saturating_sub(centre.lasting.desired);
            if spot.has_more {
                spot.desired.min(room.max(spot.expected))
            } else {
                spot.expected
            }
        };
        let numbers: Vec<u32> = centres.iter().map(current).collect();
        let sum: u32 = numbers.iter().sum();
        // While some are reclaimed, only what must remain is replaced elsewhere: they come back.
        let lasting: u32 = centres.iter().map(|centre| centre.lasting.ready).sum();
        let is_lacking = centres.iter().any(|centre| !centre.spot.has_more);
        let goal = match target.remaining.saturating_sub(lasting) {
            remaining if is_lacking => remaining.min(target.spot),
            _ => target.spot,
        };
        let shortage = f64::from(goal) - f64::from(sum) * (1.0 + SHORTAGE_SHARE);
        if shortage > 0.0 {
            let shares: Vec<Share> = centres
                .iter()
                .zip(&numbers)
                .map(|(centre, number)| {
                    let room = spec.max.saturating_sub(centre.lasting.desired);
                    Share {
                        weight: centre.weight,
                        min: *number,
                        max: if centre.spot.has_more {
                            room.max(*number)
                        } else {
                            *number
                        },
                    }
                })
                .collect();
            let raised = spread(goal, &shares);
            let limit = match raised.iter().sum::<u32>() {
                given if given >= goal => Limit::None,
                _ if is_lacking => Limit::NoneLeft,
                _ => Limit::Maximum,
            };
            return (raised, limit);
        }
        let surplus = f64::from(sum) * (1.0 - SURPLUS_SHARE) - f64::from(target.spot);
        let held = self
            .raised
            .is_some_and(|at| now.since(at) < input.policy.hold());
        if surplus <= 0.0 || !target.load_known {
            return (numbers, Limit::None);
        }
        if held || blocked.is_some() {
            return (numbers, blocked.unwrap_or(Limit::Pace));
        }
        let goal = self.stepped(input.policy, sum, target.spot);
        let shares: Vec<Share> = centres
            .iter()
            .zip(&numbers)
            .map(|(centre, number)| Share {
                weight: centre.weight,
                min: spec.min.saturating_sub(centre.lasting.desired).min(*number),
                max: *number,
            })
            .collect();
        (spread(goal, &shares), Limit::None)
    }

    /// Numbers of lasting engines by data centre. They are lowered only as far as what serves now
    /// suffices without them.
    fn lasting_numbers(
        &self,
        input: &Input<'_>,
        target: Target,
        centres: &[Centre],
        blocked: Option<Limit>,
    ) -> (Vec<u32>, Limit) {
        let spec = input.spec;
        let numbers: Vec<u32> = centres.iter().map(|c| c.lasting.desired).collect();
        let sum: u32 = numbers.iter().sum();
        let spot_expected: u32 = centres.iter().map(|centre| centre.spot.expected).sum();
        let needed = target
            .lasting
            .max(target.current.saturating_sub(spot_expected));
        let shortage = f64::from(needed) - f64::from(sum) * (1.0 + SHORTAGE_SHARE);
        if shortage > 0.0 {
            let shares: Vec<Share> = centres
                .iter()
                .zip(&numbers)
                .map(|(centre, number)| Share {
                    weight: centre.weight,
                    min: *number,
                    max: spec.max.saturating_sub(centre.spot.expected).max(*number),
                })
                .collect();
            let raised = spread(needed, &shares);
            let is_given = raised.iter().sum::<u32>() >= needed;
            let limit = if is_given {
                Limit::None
            } else {
                Limit::Maximum
            };
            return (raised, limit);
        }
        let spot = Ready {
            lasting: 0,
            spot: centres.iter().map(|centre| centre.spot.ready).sum(),
        };
        let kept = f64::from(target.remaining) - spot.remaining(centres.len());
        let goal = needed.max(kept.ceil().max(0.0) as u32);
        if f64::from(goal) > f64::from(sum) * (1.0 - SURPLUS_SHARE) {
            return (numbers, Limit::None);
        }
        if blocked.is_some() {
            return (numbers, blocked.unwrap_or_default());
        }
        let shares: Vec<Share> = centres
            .iter()
            .zip(&numbers)
            .map(|(centre, number)| Share {
                weight: centre.weight,
                min: spec
                    .min
                    .saturating_sub(centre.spot.ready)
                    .max(1)
                    .min(*number),
                max: *number,
            })
            .collect();
        (
            spread(self.stepped(input.policy, sum, goal), &shares),
            Limit::None,
        )
    }

    /// A number on the way down to a goal, in one step. Engines that have served nobody yet may go at
    /// once.
    fn stepped(&self, policy: &Policy, from: u32, goal: u32) -> u32 {
        if !self.history.has_begun() {
            return goal;
        }
        let step = (f64::from(from) * policy.step).ceil() as u32;
        goal.max(from.saturating_sub(step))
    }

    /// Why an order is due, if one is.
    fn reason(
        &self,
        now: Time,
        key: &LineKey,
        desired: u32,
        boot: Duration,
        is_needed: bool,
    ) -> Option<Reason> {
        let line = self.lines.get(key)?;
        if !line.may_order(now) {
            return None;
        }
        let has_more = line.has_more(now);
        let is_spot = key.1 == EngineKind::Spot;
        if desired > line.desired() {
            return has_more.then_some(Reason::Demand);
        }
        if !has_more {
            return None;
        }
        if line.is_reclaimed() {
            return Some(Reason::Reclaimed);
        }
        if desired < line.desired() {
            return Some(if is_spot {
                Reason::Surplus
            } else {
                Reason::Replaced
            });
        }
        if line.is_unanswered() {
            Some(Reason::Unanswered)
        } else if is_needed && line.is_short(now, boot) {
            Some(Reason::Missing)
        } else {
            line.has_excess(now).then_some(Reason::Excess)
        }
    }
}

fn ready(centres: &[Centre]) -> Ready {
    Ready {
        lasting: centres.iter().map(|centre| centre.lasting.ready).sum(),
        spot: centres.iter().map(|centre| centre.spot.ready).sum(),
    }
}
