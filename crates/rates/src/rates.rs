//! Estimates of the speed of endpoints.

use crate::{evidence::Evidence, spread::Spread};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Weight below which evidence is forgotten, in calls.
const MIN_WEIGHT: f64 = 0.2;
/// Weight of the evidence on an endpoint from which evidence of other VMs isn't passed on, in calls.
const KNOWN_WEIGHT: f64 = 10.0;
/// Logarithm of the speed up to which an endpoint counts as as fast as the mean.
const TOLERANCE: f64 = 0.12;
/// Largest deviation of one call from the mean that is taken in, as a logarithm.
const MAX_DEVIATION: f64 = 1.1;
/// Unit of the logarithm of a speed in a record.
const RATE_UNIT: f64 = 0.01;
/// Unit of the weight in a record, in calls.
const WEIGHT_UNIT: f64 = 0.1;
/// Change of the mean logarithm of the pauses after which a VM tells of all its endpoints again.
const MAX_REFERENCE_SHIFT: f64 = 0.05;
/// Number of calls from which the mean pause is known; later changes are due to the load.
const SETTLED_WEIGHT: f64 = 20.0;
/// Number of endpoints of which a VM tells while all are alike, from which others learn of the noise.
const ALIKE_RECORDS: usize = 1;
/// Number of endpoints of which a VM tells again, for receivers that have missed it.
const REPEATED_RECORDS: usize = 2;
/// Time by which the start of a VM's process is later for each version that its records start at;
/// versions increase more slowly.
const VERSION_TIME: Duration = Duration::from_millis(100);
/// Interval at which the mean pauses and the spread are computed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of times that a VM gets a record until it needn't pass it on.
const MAX_COPIES: u8 = 2;

/// What the calls of a VM showed of an endpoint; it consists of numbers only, because a datagram
/// holds many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateRecord(
    /// Short hash of the endpoint's name.
    pub u32,
    /// Logarithm of the speed relative to the mean, in hundredths.
    pub i8,
    /// Weight in tenths of a call.
    pub u8,
    /// Version of the record; those of a VM increase and start again after the largest.
    pub u16,
    /// Address of the VM, if it isn't the sender.
    pub Option<u32>,
);

impl RateRecord {
    /// A record of the evidence on an endpoint; none if there is too little.
    fn new(endpoint: u32, evidence: Evidence, version: u16, vm: Option<u32>) -> Option<Self> {
        let log_rate = evidence.mean().clamp(-MAX_DEVIATION, MAX_DEVIATION) / RATE_UNIT;
        let weight = (evidence.weight / WEIGHT_UNIT) as u8;
        let is_told = evidence.weight >= MIN_WEIGHT;
        is_told.then_some(Self(endpoint, log_rate.round() as i8, weight, version, vm))
    }
}

/// The last that another VM told of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Told {
    evidence: Evidence,
    version: u16,
    /// Number of times that this version has arrived.
    copies: u8,
}

/// Estimates of the speed of the endpoints of all services.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    vm: u32,
    /// Version of the records of the last heartbeat.
    version: u16,
    /// Logarithms of the pauses of this VM's calls, by the short hash of the endpoint's name and the
    /// kind of call.
    own: BTreeMap<(u32, u64), Evidence>,
    /// Endpoints whose newest calls have not been told.
    untold: BTreeSet<u32>,
    /// Version of the newest record of this VM's calls, by endpoint.
    told: BTreeMap<u32, u16>,
    /// Logarithms of the speed, by endpoint and VM.
    others: BTreeMap<(u32, u32), Told>,
    /// Evidence of all other VMs by endpoint.
    totals: BTreeMap<u32, Evidence>,
    /// Keys of records to pass on.
    news: Vec<(u32, u32)>,
    /// Mean logarithm of the pause by kind of call, at an endpoint of mean speed.
    references: BTreeMap<u64, f64>,
    /// The same as of when this VM last told of all its endpoints.
    told_references: BTreeMap<u64, f64>,
    spread: Spread,
    /// When the mean pauses and the spread were computed.
    updated: Option<Time>,
    /// Short hash after which the next endpoints are told of again.
    cursor: u32,
}

impl Rates {
    /// Creates estimates without evidence for the VM with an address, whose process started at
    /// `start_ms` in Unix milliseconds.
    pub fn new(vm: Ipv4Addr, start_ms: u64) -> Self {
        Self {
            vm: vm.to_bits(),
            version: (u128::from(start_ms) / VERSION_TIME.as_millis()) as u16,
            ..Self::default()
        }
    }

    /// Records the median pause of a stream at an endpoint; `kind` is the same for calls whose pauses
    /// can be compared.
    pub fn record(&mut self, now: Time, endpoint: u32, kind: u64, gap: Duration) {
        if gap.is_zero() {
            return;
        }
        let log_gap = gap.as_secs_f64().ln();
        let reference = *self.references.entry(kind).or_insert(log_gap);
        let log_gap = log_gap.clamp(reference - MAX_DEVIATION, reference + MAX_DEVIATION);
        let own = self.own.entry((endpoint, kind)).or_default();
        *own = own.at(now).plus(Evidence::of(now, 1.0, log_gap));
        self.untold.insert(endpoint);
        self.update(now);
    }

    /// Takes in what the calls of other VMs showed, in place of what was told of the same calls
    /// before; impossible records count as none.
    pub fn receive(&mut self, now: Time, sender: Ipv4Addr, records: &[RateRecord]) {
        for RateRecord(endpoint, log_rate, weight, version, vm) in records {
            let vm = vm.unwrap_or(sender.to_bits());
            let log_rate = f64::from(*log_rate) * RATE_UNIT;
            let weight = f64::from(*weight) * WEIGHT_UNIT;
            if vm == self.vm || log_rate.abs() > MAX_DEVIATION || weight < MIN_WEIGHT {
                continue;
            }
            let key = (*endpoint, vm);
            let before = self.others.get_mut(&key);
            if let Some(before) = before {
                if before.version == *version {
                    before.copies = before.copies.saturating_add(1);
                }
                if !is_newer(*version, before.version) {
                    continue;
                }
            }
            let evidence = Evidence::of(now, weight, log_rate);
            let told = Told {
                evidence,
                version: *version,
                copies: 1,
            };
            let before = self.others.insert(key, told);
            let total = self.totals.entry(*endpoint).or_default().at(now);
            let total = before.map_or(total, |before| total.minus(before.evidence.at(now)));
            self.totals.insert(*endpoint, total.plus(evidence));
            self.news.push(key);
        }
        if !records.is_empty() {
            self.update(now);
        }
    }

    /// Speed of an endpoint relative to the mean of its service; 1 if it hardly differs.
    pub fn rate(&self, now: Time, endpoint: u32) -> f64 {
        let log_rate = self.log_rate(now, endpoint);
        if log_rate.abs() < TOLERANCE {
            1.0
        } else {
            log_rate.clamp(-MAX_DEVIATION, MAX_DEVIATION).exp()
        }
    }

    /// Number of calls that the speed of an endpoint is known from, of which old ones count less.
    pub fn call_count(&self, now: Time, endpoint: u32) -> f64 {
        self.total(now, endpoint).weight
    }

    /// What is told of endpoints in the next heartbeat, at most `max_count` records: what this VM's
    /// newest calls showed, then what it heard of those of others.
    pub fn next_records(&mut self, now: Time, max_count: usize) -> Vec<RateRecord> {
        self.version = self.version.wrapping_add(1);
        if self.spread == Spread::Alike {
            self.news.clear();
            return self.repeated_records(now, ALIKE_RECORDS.min(max_count));
        }
        let mut records = Vec::new();
        while records.len() < max_count
            && let Some(endpoint) = self.untold.first().copied()
        {
            records.extend(self.own_record(now, endpoint));
        }
        while records.len() < max_count
            && let Some(key) = self.news.pop()
        {
            records.extend(self.passed_record(now, key));
        }
        self.news.clear();
        let rest = max_count - records.len();
        records.extend(self.repeated_records(now, rest.min(REPEATED_RECORDS)));
        records
    }

    /// Forgets endpoints that are gone, and evidence that is old.
    pub fn retain(&mut self, now: Time, mut is_present: impl FnMut(u32) -> bool) {
        let is_fresh = |evidence: &Evidence| evidence.at(now).weight >= MIN_WEIGHT;
        self.own
            .retain(|(endpoint, _), own| is_present(*endpoint) && is_fresh(own));
        // The next record of a VM takes back the one before from the total, so both go together.
        self.others
            .retain(|(endpoint, _), told| is_present(*endpoint) && is_fresh(&told.evidence));
        self.totals
            .retain(|endpoint, total| is_present(*endpoint) && is_fresh(total));
        self.untold.retain(|endpoint| is_present(*endpoint));
        self.told.retain(|endpoint, _| is_present(*endpoint));
    }

    /// Logarithms of the speed of an endpoint as this VM's calls showed them.
    fn own_evidence(&self, now: Time, endpoint: u32) -> Evidence {
        let kinds = self.own.range((endpoint, 0)..=(endpoint, u64::MAX));
        kinds.fold(Evidence::default().at(now), |sum, ((_, kind), own)| {
            let reference = self.references.get(kind).copied().unwrap_or_default();
            sum.plus(own.at(now).below(reference))
        })
    }

    fn total(&self, now: Time, endpoint: u32) -> Evidence {
        let others = self.totals.get(&endpoint).copied().unwrap_or_default();
        others.at(now).plus(self.own_evidence(now, endpoint))
    }

    fn log_rate(&self, now: Time, endpoint: u32) -> f64 {
        match self.spread {
            Spread::Unknown | Spread::Alike => 0.0,
            Spread::Different { shrinkage } => {
                let total = self.total(now, endpoint);
                total.sum / (total.weight + shrinkage)
            }
        }
    }

    fn update(&mut self, now: Time) {
        let is_due = |updated| now.since(updated) >= UPDATE_INTERVAL;
        if self.updated.is_none_or(is_due) {
            self.updated = Some(now);
            self.update_references(now);
            self.update_spread(now);
        }
    }

    /// Computes what the pauses would be at endpoints of mean speed. They are computed anew from all
    /// calls, because the speeds were unknown when the first ones ended.
    fn update_references(&mut self, now: Time) {
        let mut sums: BTreeMap<u64, Evidence> = BTreeMap::new();
        for ((endpoint, kind), own) in &self.own {
            let own = own.at(now);
            let own = Evidence {
                sum: own.sum + own.weight * self.log_rate(now, *endpoint),
                ..own
            };
            let sum = sums.entry(*kind).or_default();
            *sum = sum.plus(own);
        }
        for (kind, sum) in sums {
            let reference = sum.mean();
            self.references.insert(kind, reference);
            let told = self.told_references.entry(kind).or_insert(reference);
            let is_settled = sum.weight > SETTLED_WEIGHT;
            if !is_settled && (reference - *told).abs() > MAX_REFERENCE_SHIFT {
                *told = reference;
                let endpoints = self.own.keys().filter(|(_, own)| *own == kind);
                self.untold.extend(endpoints.map(|(endpoint, _)| *endpoint));
            }
        }
    }

    fn update_spread(&mut self, now: Time) {
        let own = self.own.keys().map(|(endpoint, _)| *endpoint);
        let endpoints: BTreeSet<u32> = own.chain(self.totals.keys().copied()).collect();
        let totals = endpoints.iter().map(|endpoint| self.total(now, *endpoint));
        self.spread = self.spread.update(totals);
    }

    /// What this VM's calls showed of some endpoints, in turns.
    fn repeated_records(&mut self, now: Time, max_count: usize) -> Vec<RateRecord> {
        let after = self.own.range((self.cursor.saturating_add(1), 0)..);
        let own = after.chain(self.own.range(..=(self.cursor, u64::MAX)));
        let mut endpoints: Vec<u32> = own.map(|((endpoint, _), _)| *endpoint).collect();
        endpoints.dedup();
        endpoints.truncate(max_count);
        if let Some(last) = endpoints.last() {
            self.cursor = *last;
        }
        let records = endpoints.iter();
        records
            .filter_map(|endpoint| self.own_record(now, *endpoint))
            .collect()
    }

    /// What this VM's calls showed of an endpoint, as a new version if it has changed.
    fn own_record(&mut self, now: Time, endpoint: u32) -> Option<RateRecord> {
        let is_new = self.untold.remove(&endpoint) || !self.told.contains_key(&endpoint);
        if is_new {
            self.told.insert(endpoint, self.version);
        }
        let version = self.told.get(&endpoint).copied().unwrap_or(self.version);
        RateRecord::new(endpoint, self.own_evidence(now, endpoint), version, None)
    }

    /// A record of another VM, unless most VMs have it already or don't need it.
    fn passed_record(&self, now: Time, key: (u32, u32)) -> Option<RateRecord> {
        let (endpoint, vm) = key;
        let told = self.others.get(&key)?;
        if told.copies >= MAX_COPIES || self.total(now, endpoint).weight >= KNOWN_WEIGHT {
            return None;
        }
        RateRecord::new(endpoint, told.evidence.at(now), told.version, Some(vm))
    }
}

/// Whether a version follows another one of the same VM.
const fn is_newer(version: u16, before: u16) -> bool {
    let distance = version.wrapping_sub(before);
    distance != 0 && distance < u16::MAX / 2
}
