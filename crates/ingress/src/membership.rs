//! Failure detection among the VMs, and the addresses that callers get.
//!
//! VMs exchange heartbeats in UDP datagrams. Each heartbeat goes to a few random members, most of
//! them in the sender's data centre because bytes between data centres are dear. It repeats the
//! newest heartbeats that its sender has received, so a change of one VM reaches all VMs in a few
//! rounds, and the load on a VM doesn't grow with the number of VMs. In large clusters some
//! receivers are told of other members than the rest, so that most members are carried on. A
//! member counts as alive while the sequence number of its heartbeats increases; clocks of different
//! VMs are never compared.

use crate::{
    brittle::BoundRecord,
    hash::{hash_pair, hash_text},
    outage::ServedAges,
    service_work::ServiceWork,
};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_rates::RateRecord;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of members that a heartbeat repeats; they take less than 1,500 bytes of its datagram.
const MAX_GOSSIP_MEMBERS: usize = 60;
/// Room that a member takes in a heartbeat, and one of which [`WideWork`] is told.
const MEMBER_COSTS: (usize, usize) = (5, 8);
/// Number of receivers that share a version of a heartbeat; the last version may have fewer. If all
/// had fewer, a change of one VM would take longer to reach all.
const VERSION_RECEIVERS: usize = 2;
/// Number of members up to which each heartbeat goes to all of them.
const SMALL_CLUSTER: usize = 12;
/// Number of members that receive a heartbeat in larger clusters.
const FANOUT: usize = 5;
/// Number of these receivers that are chosen among the VMs of the VM's own data centre that are heard.
const LOCAL_FANOUT: usize = 3;
/// Time without a heartbeat after which a member of a small cluster is considered dead and gets no
/// new callers.
const SMALL_SILENCE_LIMIT: Duration = Duration::from_millis(1_100);
/// Silence limit of larger clusters, where heartbeats are forwarded by other VMs.
const LARGE_SILENCE_LIMIT: Duration = Duration::from_millis(2_200);
/// Number of members up to which a heartbeat repeats most of them.
const LARGE_CLUSTER: usize = 100;
/// Silence limit of clusters above [`LARGE_CLUSTER`], where a change needs more rounds to reach all
/// VMs.
const HUGE_SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the same VMs are left out of the addresses for callers, if there are too many.
const OMISSION_TIME: Duration = Duration::from_secs(10);
/// Time without a heartbeat after which a member is removed.
const MEMBER_EXPIRY: Duration = Duration::from_mins(1);

/// Lifecycle phase that a VM announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The VM has no usable configuration.
    Starting,
    /// The VM accepts calls.
    Ready,
    /// The VM is shutting down.
    Leaving,
    /// The VM accepts calls and reaches no endpoint, so it forwards them to other VMs.
    Isolated,
}

impl Phase {
    /// Whether the VM accepts calls.
    pub const fn accepts_calls(self) -> bool {
        matches!(self, Self::Ready | Self::Isolated)
    }
}

/// State of a member as sent in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MemberRow", into = "MemberRow")]
pub struct MemberRecord(
    /// Address.
    pub Ipv4Addr,
    /// Data centre, as an index into the sorted names.
    pub u8,
    /// Sequence number of its newest heartbeat.
    pub u64,
    /// Phase that it announced.
    pub Phase,
    /// Work that it sends to engines.
    pub EngineWork,
);

/// Encoding of a [`MemberRecord`]; it consists of numbers only, because a datagram holds many
/// records. Work is limited to what VMs of earlier versions read; see [`WideWork`].
type MemberRow = (u32, u8, u64, u8, u16, u16);

impl From<MemberRecord> for MemberRow {
    fn from(
        MemberRecord(ip, dc_index, seq, phase, EngineWork(relaxed, strict)): MemberRecord,
    ) -> Self {
        let phase = match phase {
            Phase::Starting => 0,
            Phase::Ready => 1,
            Phase::Leaving => 2,
            Phase::Isolated => 3,
        };
        let saturate = |work: u32| work.min(u16::MAX.into()) as u16;
        let (relaxed, strict) = (saturate(relaxed), saturate(strict));
        (ip.to_bits(), dc_index, seq, phase, relaxed, strict)
    }
}

impl From<MemberRow> for MemberRecord {
    fn from((ip, dc_index, seq, phase, relaxed, strict): MemberRow) -> Self {
        // A phase that a later version has added counts as not accepting calls.
        let phase = match phase {
            1 => Phase::Ready,
            2 => Phase::Leaving,
            3 => Phase::Isolated,
            _ => Phase::Starting,
        };
        Self(
            Ipv4Addr::from_bits(ip),
            dc_index,
            seq,
            phase,
            EngineWork(relaxed.into(), strict.into()),
        )
    }
}

/// Recent work that a VM sends to engines, in milliseconds of engine time; it is the decayed sum of
/// [`crate::Demand`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork(
    /// Work of the relaxed group in milliseconds.
    pub u32,
    /// Work of the strict group in milliseconds.
    pub u32,
);

impl EngineWork {
    /// Whether a [`MemberRow`] can't hold it.
    const fn is_wide(self) -> bool {
        self.0 > u16::MAX as u32 || self.1 > u16::MAX as u32
    }
}

/// Work that a [`MemberRecord`] of a heartbeat can't hold, in milliseconds of engine time. VMs of earlier
/// versions ignore it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WideWork(
    /// Position of the record: 0 for the sender, 1 for the first of the other members.
    pub u8,
    /// Work of the relaxed group.
    pub u32,
    /// Work of the strict group.
    pub u32,
);

/// A datagram between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sender.
    pub own: MemberRecord,
    /// The sender's open calls by endpoint: upper 32 bits of the hash of the endpoint's name,
    /// number of calls.
    #[serde(rename = "open")]
    pub open_calls: Vec<(u32, u16)>,
    /// Short hashes of the services whose endpoints the sender doesn't reach; none from VMs of an
    /// earlier version, which take no forwarded calls.
    #[serde(rename = "lost", default)]
    pub lost_services: Option<Vec<u32>>,
    /// Bounds on rejections that endpoints have named lately; none from VMs of an earlier version.
    #[serde(rename = "bounds", default, skip_serializing_if = "Vec::is_empty")]
    pub bounds: Vec<BoundRecord>,
    /// What the calls of the sender and of others showed of the speed of endpoints.
    #[serde(rename = "speeds", default, skip_serializing_if = "Vec::is_empty")]
    pub rates: Vec<RateRecord>,
    /// Newest states of other members that the sender has received.
    #[serde(rename = "known")]
    pub members: Vec<MemberRecord>,
    /// The sender's work by service, where several services share the engines' load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub works: Vec<ServiceWork>,
    /// Work that the records can't hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wide: Vec<WideWork>,
    /// When the platform has served VMs; none from VMs of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub served: Option<ServedAges>,
}

impl Heartbeat {
    /// The state of the sender and those of the other members, with all of their work.
    fn records(&self) -> impl Iterator<Item = MemberRecord> {
        let records = core::iter::once(&self.own).chain(&self.members);
        records.enumerate().map(|(position, record)| {
            let mut wide = self.wide.iter();
            let wide = wide.find(|wide| usize::from(wide.0) == position);
            let MemberRecord(ip, dc_index, seq, phase, work) = *record;
            let work = wide.map_or(work, |wide| EngineWork(wide.1, wide.2));
            MemberRecord(ip, dc_index, seq, phase, work)
        })
    }
}

/// A heartbeat that tells of the members only.
pub(crate) fn heartbeat(own: MemberRecord, members: Vec<MemberRecord>) -> Heartbeat {
    let works = core::iter::once(&own)
        .chain(&members)
        .map(|record| record.4);
    let wide = (0..).zip(works).filter(|(_, work)| work.is_wide());
    Heartbeat {
        wide: wide.map(|(n, work)| WideWork(n, work.0, work.1)).collect(),
        own,
        open_calls: Vec::new(),
        lost_services: None,
        bounds: Vec::new(),
        rates: Vec::new(),
        works: Vec::new(),
        members,
        served: None,
    }
}

/// Another VM as known to this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Address.
    pub ip: Ipv4Addr,
    /// Data centre, as an index into the sorted names.
    pub dc_index: u8,
    /// Sequence number of its newest heartbeat; 0 before the first one.
    pub seq: u64,
    /// Time at which the newest heartbeat was received, directly or through another VM.
    pub last_seen: Time,
    /// Phase that it announced.
    pub phase: Phase,
    /// Work that it sends to engines.
    pub work: EngineWork,
}

/// The other VMs, as known from heartbeats, the platform and the settings.
#[derive(Clone, Debug)]
pub struct Membership {
    local_ip: Ipv4Addr,
    dc_index: u8,
    seq: u64,
    members: BTreeMap<Ipv4Addr, Member>,
}

impl Membership {
    /// Creates an empty membership. The sequence numbers of this VM increase from `start_seq`,
    /// which must be higher than the last one of the VM's previous process, for example its start
    /// in Unix milliseconds.
    pub fn new(local_ip: Ipv4Addr, dc_index: u8, start_seq: u64) -> Self {
        Self {
            local_ip,
            dc_index,
            seq: start_seq,
            members: BTreeMap::new(),
        }
    }

    /// Adds a VM that is listed in the platform or the settings; whether it is alive is unknown.
    pub fn add_member(&mut self, ip: Ipv4Addr, dc_index: Option<u8>) {
        if ip == self.local_ip {
            return;
        }
        let member = self.members.entry(ip).or_insert(Member {
            ip,
            dc_index: dc_index.unwrap_or(u8::MAX),
            seq: 0,
            last_seen: Time::ZERO,
            phase: Phase::Starting,
            work: EngineWork::default(),
        });
        if member.seq == 0
            && let Some(dc_index) = dc_index
        {
            member.dc_index = dc_index;
        }
    }

    /// Processes a heartbeat.
    pub fn receive(&mut self, now: Time, heartbeat: &Heartbeat) {
        for (position, record) in heartbeat.records().enumerate() {
            self.update_member(now, record, position == 0);
        }
    }

    /// Creates the next heartbeat in one version or more, which receivers take in turns. Each version
    /// repeats other members.
    pub fn next_heartbeats(
        &mut self,
        now: Time,
        phase: Phase,
        work: EngineWork,
        receiver_count: usize,
    ) -> Vec<Heartbeat> {
        self.seq += 1;
        let mut newest: Vec<&Member> = self
            .members
            .values()
            .filter(|m| m.seq > 0 && now.since(m.last_seen) < self.silence_limit())
            .collect();
        // Members that were last seen at the same time are repeated in a different order by each
        // heartbeat; otherwise some would never be repeated.
        let rotation = |member: &Member| hash_pair(self.seq, u64::from(member.ip.to_bits()));
        newest.sort_unstable_by_key(|member| {
            (core::cmp::Reverse(member.last_seen), rotation(member))
        });
        let own = MemberRecord(self.local_ip, self.dc_index, self.seq, phase, work);
        let max_versions = receiver_count.div_ceil(VERSION_RECEIVERS).max(1);
        let mut versions: Vec<Vec<MemberRecord>> = vec![Vec::new()];
        let mut room = MAX_GOSSIP_MEMBERS * MEMBER_COSTS.0;
        for member in newest {
            let (plain, wide) = MEMBER_COSTS;
            let cost = if member.work.is_wide() { wide } else { plain };
            if cost > room {
                if versions.len() == max_versions {
                    break;
                }
                versions.push(Vec::new());
                room = MAX_GOSSIP_MEMBERS * MEMBER_COSTS.0;
            }
            room -= cost;
            let Member {
                ip,
                dc_index,
                seq,
                phase,
                work,
                ..
            } = *member;
            if let Some(version) = versions.last_mut() {
                version.push(MemberRecord(ip, dc_index, seq, phase, work));
            }
        }
        let versions = versions.into_iter();
        versions.map(|members| heartbeat(own, members)).collect()
    }

    /// Addresses to which the next heartbeat is sent; `draw` returns random numbers.
    pub fn receivers(&self, now: Time, mut draw: impl FnMut() -> u64) -> Vec<Ipv4Addr> {
        if self.tells_all() {
            return self.members.keys().copied().collect();
        }
        let draws = self.members.values().map(|member| {
            let is_silent = self.is_silent(now, member);
            let is_near = member.dc_index == self.dc_index && !is_silent;
            (draw().saturating_add(is_silent.into()), member.ip, is_near)
        });
        let mut candidates: Vec<(u64, Ipv4Addr, bool)> = draws.collect();
        candidates.sort_unstable();
        let (mut receivers, mut rest) = (Vec::new(), Vec::new());
        for (_, ip, is_near) in candidates {
            if is_near && receivers.len() < LOCAL_FANOUT {
                receivers.push(ip);
            } else {
                rest.push(ip);
            }
        }
        receivers.extend(rest);
        receivers.truncate(FANOUT);
        receivers
    }

    /// Whether what this VM tells goes to all members, so that they needn't pass it on.
    pub fn tells_all(&self) -> bool {
        self.members.len() <= SMALL_CLUSTER
    }

    /// Removes members that have been silent for a long time and returns their addresses.
    pub fn prune(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let expired = |m: &Member| m.seq > 0 && now.since(m.last_seen) > MEMBER_EXPIRY;
        let removed: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|m| expired(m))
            .map(|m| m.ip)
            .collect();
        self.members.retain(|_, member| !expired(member));
        removed
    }

    /// Members that are alive, without this VM.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| !self.is_silent(now, m))
    }

    /// Other VMs that are known, alive or not.
    pub fn known(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.members.keys().copied()
    }

    /// Number of other VMs that are known, alive or not.
    pub fn known_count(&self) -> usize {
        self.members.len()
    }

    /// Number of other VMs that are known and silent: listed ones that haven't been heard of, and
    /// ones that have fallen silent a short time ago.
    pub fn silent_count(&self, now: Time) -> usize {
        let members = self.members.values();
        members.filter(|m| self.is_silent(now, m)).count()
    }

    /// Other VMs that are known and silent; see [`Self::silent_count`].
    pub fn silent(&self, now: Time) -> impl Iterator<Item = Ipv4Addr> {
        let members = self.members.values();
        members
            .filter(move |m| self.is_silent(now, m))
            .map(|m| m.ip)
    }

    /// Number of VMs that are alive, including this one.
    pub fn alive_count(&self, now: Time) -> usize {
        self.alive(now).count() + 1
    }

    /// Addresses for a caller, at most `max_count`, of which more VMs take turns: the ready VMs of the data centre `dc_index`, or
    /// all ready VMs if fewer than 2 of them are in it, or the isolated ones if no VM is ready. `phase`
    /// is that of this VM.
    pub fn caller_addresses(
        &self,
        now: Time,
        dc_index: Option<u8>,
        phase: Phase,
        max_count: usize,
    ) -> Vec<Ipv4Addr> {
        let local = (self.local_ip, self.dc_index, phase);
        let in_phase = |wanted: Phase| -> Vec<(Ipv4Addr, u8)> {
            let members = self.alive(now);
            let members = members.map(|member| (member.ip, member.dc_index, member.phase));
            let all = members.chain([local]);
            let wanted = all.filter(|(_, _, phase)| *phase == wanted);
            wanted.map(|(ip, dc_index, _)| (ip, dc_index)).collect()
        };
        let mut all = in_phase(Phase::Ready);
        if all.is_empty() {
            all = in_phase(Phase::Isolated);
        }
        let local: Vec<(Ipv4Addr, u8)> = all
            .iter()
            .copied()
            .filter(|(_, index)| Some(*index) == dc_index)
            .collect();
        // With a single address, callers have no alternative when it fails.
        let chosen = if local.len() >= 2 { local } else { all };
        let mut addresses: Vec<Ipv4Addr> = chosen.into_iter().map(|(ip, _)| ip).collect();
        addresses.sort_unstable();
        omit_in_turns(now, &mut addresses, max_count);
        addresses
    }

    /// The alive VMs of this data centre including this one, in an order that is the same on all of
    /// them.
    pub fn local_vms(&self, now: Time) -> Vec<Ipv4Addr> {
        self.local_order(self.alive(now))
    }

    /// The VMs of [`Self::local_vms`] plus those that are listed but from which no heartbeat has
    /// been received; a VM that has just started has received none.
    pub fn listed_local_vms(&self, now: Time) -> Vec<Ipv4Addr> {
        let unseen = self.members.values().filter(|member| member.seq == 0);
        self.local_order(self.alive(now).chain(unseen))
    }

    fn local_order<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Vec<Ipv4Addr> {
        let local = members.filter(|m| m.dc_index == self.dc_index && m.phase != Phase::Leaving);
        let mut order: Vec<Ipv4Addr> = local.map(|m| m.ip).chain([self.local_ip]).collect();
        order.sort_unstable_by_key(|ip| hash_pair(hash_text("feed"), u64::from(ip.to_bits())));
        order
    }

    /// Address of this VM.
    pub const fn local_ip(&self) -> Ipv4Addr {
        self.local_ip
    }

    /// Data centre of this VM.
    pub const fn dc_index(&self) -> u8 {
        self.dc_index
    }

    fn silence_limit(&self) -> Duration {
        let members = self.members.len();
        if members <= SMALL_CLUSTER {
            SMALL_SILENCE_LIMIT
        } else if members <= LARGE_CLUSTER {
            LARGE_SILENCE_LIMIT
        } else {
            HUGE_SILENCE_LIMIT
        }
    }

    fn is_silent(&self, now: Time, member: &Member) -> bool {
        member.seq == 0 || now.since(member.last_seen) > self.silence_limit()
    }

    fn update_member(&mut self, now: Time, record: MemberRecord, direct: bool) {
        let MemberRecord(ip, dc_index, seq, phase, work) = record;
        if ip == self.local_ip {
            return;
        }
        self.add_member(ip, Some(dc_index));
        let silence_limit = self.silence_limit();
        let Some(member) = self.members.get_mut(&ip) else {
            return;
        };
        // A process that restarts after its clock went back has lower sequence numbers. Its own
        // heartbeats are accepted once those of the previous process have stopped.
        let restarted = direct && seq < member.seq && now.since(member.last_seen) > silence_limit;
        if seq > member.seq || restarted {
            member.seq = seq;
            member.last_seen = now;
            member.phase = phase;
            member.dc_index = dc_index;
            member.work = work;
        }
    }
}

/// Leaves out as many addresses as there are above `max_count`, others in each [`OMISSION_TIME`].
pub(crate) fn omit_in_turns(now: Time, addresses: &mut Vec<Ipv4Addr>, max_count: usize) {
    let excess = addresses.len().saturating_sub(max_count);
    if excess == 0 {
        return;
    }
    let turn = now.since(Time::ZERO).as_secs() / OMISSION_TIME.as_secs();
    let start = turn as usize % addresses.len() * excess % addresses.len();
    addresses.rotate_left(start);
    addresses.drain(..excess);
    addresses.sort_unstable();
}
