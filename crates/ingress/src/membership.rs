//! Which VMs live, and which addresses callers get.
//!
//! VMs tell each other of their heartbeats by datagrams: each beat goes to a few random members
//! and repeats the newest beats that the sender has heard of, so news of one VM reaches all in a
//! few rounds and the cost of a VM doesn't grow with their number. A member counts as alive
//! while its beat goes up; the times of other VMs' clocks are never compared.

use crate::hash::{hash_pair, hash_text};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Members that one beat repeats; keeps these under 1,500 bytes.
const REPEATED: usize = 60;
/// Fleets up to this size beat to everybody.
const SMALL_FLEET: usize = 12;
/// Members that a beat goes to in larger fleets.
const FANOUT: usize = 5;
/// Silence after which a member of a small fleet gets no new callers.
const SILENT_SMALL: Duration = Duration::from_millis(1_100);
/// The same where beats come through others.
const SILENT_LARGE: Duration = Duration::from_millis(2_200);
/// Fleets up to this size tell on nearly all members in each beat.
const LARGE_FLEET: usize = 100;
/// Silence in fleets beyond that, where news takes more rounds.
const SILENT_HUGE: Duration = Duration::from_secs(4);
/// Silence after which a member is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// What a VM says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It has no usable configuration.
    Starting,
    /// It takes calls.
    Ready,
    /// It leaves.
    Leaving,
}

/// A member's beat as others repeat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "MemberRow", into = "MemberRow")]
pub struct MemberRecord(
    /// Its address.
    pub Ipv4Addr,
    /// Its data centre, as an index into the sorted names.
    pub u8,
    /// Its newest beat.
    pub u64,
    /// What it said of itself.
    pub Phase,
    /// The work that it sends to engines.
    pub EngineWork,
);

/// A [`Known`] in a datagram: numbers only, since one datagram holds many.
type MemberRow = (u32, u8, u64, u8, u16, u16);

impl From<MemberRecord> for MemberRow {
    fn from(MemberRecord(ip, place, seq, phase, EngineWork(long, short)): MemberRecord) -> Self {
        let phase = match phase {
            Phase::Starting => 0,
            Phase::Ready => 1,
            Phase::Leaving => 2,
        };
        (ip.to_bits(), place, seq, phase, long, short)
    }
}

impl From<MemberRow> for MemberRecord {
    fn from((ip, place, seq, phase, long, short): MemberRow) -> Self {
        // A phase of a later version takes no calls here.
        let phase = match phase {
            1 => Phase::Ready,
            2 => Phase::Leaving,
            _ => Phase::Starting,
        };
        Self(
            Ipv4Addr::from_bits(ip),
            place,
            seq,
            phase,
            EngineWork(long, short),
        )
    }
}

/// Work that a VM sends to engines, in milliseconds of an engine, over the memory of
/// [`crate::Demand`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork(
    /// Of patient calls.
    pub u16,
    /// Of urgent ones.
    pub u16,
);

/// A datagram between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own beat.
    pub own: MemberRecord,
    /// Its open calls by endpoint: hash of the name, count.
    #[serde(rename = "open")]
    pub open_calls: Vec<(u32, u16)>,
    /// Newest beats that it has heard of.
    #[serde(rename = "known")]
    pub members: Vec<MemberRecord>,
}

/// Another VM as this one knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its data centre, as an index into the sorted names.
    pub dc_index: u8,
    /// Its newest beat.
    pub seq: u64,
    /// When the newest beat was heard of.
    pub last_seen: Time,
    /// What it said of itself.
    pub phase: Phase,
    /// The work that it sends to engines.
    pub work: EngineWork,
}

/// All other VMs.
#[derive(Clone, Debug)]
pub struct Membership {
    local_ip: Ipv4Addr,
    dc_index: u8,
    seq: u64,
    members: BTreeMap<Ipv4Addr, Member>,
}

impl Membership {
    /// Knows nobody yet. The beats go up from `start`, which must be higher than the last beat
    /// of the process before: Unix milliseconds will do.
    pub fn new(local_ip: Ipv4Addr, dc_index: u8, start: u64) -> Self {
        Self {
            local_ip,
            dc_index,
            seq: start,
            members: BTreeMap::new(),
        }
    }

    /// Hears of a VM from the platform or the settings, without knowing whether it lives.
    pub fn add_member(&mut self, ip: Ipv4Addr, place: Option<u8>) {
        if ip == self.local_ip {
            return;
        }
        let known = self.members.entry(ip).or_insert(Member {
            ip,
            dc_index: place.unwrap_or(u8::MAX),
            seq: 0,
            last_seen: Time::ZERO,
            phase: Phase::Starting,
            work: EngineWork::default(),
        });
        if known.seq == 0
            && let Some(place) = place
        {
            known.dc_index = place;
        }
    }

    /// Takes a beat.
    pub fn receive(&mut self, now: Time, beat: &Heartbeat) {
        self.update_member(now, beat.own, true);
        for known in &beat.members {
            self.update_member(now, *known, false);
        }
    }

    /// Makes the next beat.
    pub fn next_heartbeat(&mut self, now: Time, phase: Phase, work: EngineWork) -> Heartbeat {
        self.seq += 1;
        let mut newest: Vec<&Member> = self
            .members
            .values()
            .filter(|m| m.seq > 0 && now.since(m.last_seen) < self.silence_limit())
            .collect();
        // Among those heard at once each beat repeats others, or some would never be told on.
        let turn = |member: &Member| hash_pair(self.seq, u64::from(member.ip.to_bits()));
        newest.sort_unstable_by_key(|member| (core::cmp::Reverse(member.last_seen), turn(member)));
        newest.truncate(REPEATED);
        let members = newest
            .iter()
            .map(|m| MemberRecord(m.ip, m.dc_index, m.seq, m.phase, m.work))
            .collect();
        Heartbeat {
            own: MemberRecord(self.local_ip, self.dc_index, self.seq, phase, work),
            open_calls: Vec::new(),
            members,
        }
    }

    /// To whom the next beat goes; `draw` gives random numbers.
    pub fn receivers(&self, now: Time, mut draw: impl FnMut() -> u64) -> Vec<Ipv4Addr> {
        if self.members.len() <= SMALL_FLEET {
            return self.members.keys().copied().collect();
        }
        let mut others: Vec<(u64, Ipv4Addr)> = self
            .members
            .values()
            .map(|member| (draw() + u64::from(self.is_silent(now, member)), member.ip))
            .collect();
        others.sort_unstable();
        others.truncate(FANOUT);
        others.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Forgets members that have long been silent.
    pub fn prune(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let gone = |m: &Member| m.seq > 0 && now.since(m.last_seen) > FORGOTTEN;
        let forgotten: Vec<Ipv4Addr> = self
            .members
            .values()
            .filter(|m| gone(m))
            .map(|m| m.ip)
            .collect();
        self.members.retain(|_, member| !gone(member));
        forgotten
    }

    /// Members that are alive, this VM not among them.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| !self.is_silent(now, m))
    }

    /// VMs that are alive, this one among them.
    pub fn alive_count(&self, now: Time) -> usize {
        self.alive(now).count() + 1
    }

    /// Addresses for a caller: those of its data centre, or all if too few of them are ready.
    pub fn caller_addresses(
        &self,
        now: Time,
        place: Option<u8>,
        ready: bool,
        most: usize,
    ) -> Vec<Ipv4Addr> {
        let mut all: Vec<(Ipv4Addr, u8)> = self
            .alive(now)
            .filter(|member| member.phase == Phase::Ready)
            .map(|member| (member.ip, member.dc_index))
            .collect();
        if ready {
            all.push((self.local_ip, self.dc_index));
        }
        let near: Vec<(Ipv4Addr, u8)> = all
            .iter()
            .copied()
            .filter(|(_, at)| Some(*at) == place)
            .collect();
        // A single address leaves callers without a second one when it fails.
        let chosen = if near.len() >= 2 { near } else { all };
        let mut addresses: Vec<Ipv4Addr> = chosen.into_iter().map(|(ip, _)| ip).collect();
        addresses.sort_unstable();
        addresses.truncate(most);
        addresses
    }

    /// The VMs of this data centre that live, in an order that all of them share; this VM is
    /// among them.
    pub fn local_vms(&self, now: Time) -> Vec<Ipv4Addr> {
        self.local_order(self.alive(now))
    }

    /// The same with those that were never heard; a VM that starts has heard nobody.
    pub fn listed_local_vms(&self, now: Time) -> Vec<Ipv4Addr> {
        let unheard = self.members.values().filter(|member| member.seq == 0);
        self.local_order(self.alive(now).chain(unheard))
    }

    fn local_order<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Vec<Ipv4Addr> {
        let near = members.filter(|m| m.dc_index == self.dc_index && m.phase != Phase::Leaving);
        let mut order: Vec<Ipv4Addr> = near.map(|m| m.ip).chain([self.local_ip]).collect();
        order.sort_unstable_by_key(|ip| hash_pair(hash_text("feed"), u64::from(ip.to_bits())));
        order
    }

    /// This VM.
    pub const fn local_ip(&self) -> Ipv4Addr {
        self.local_ip
    }

    fn silence_limit(&self) -> Duration {
        let members = self.members.len();
        if members <= SMALL_FLEET {
            SILENT_SMALL
        } else if members <= LARGE_FLEET {
            SILENT_LARGE
        } else {
            SILENT_HUGE
        }
    }

    fn is_silent(&self, now: Time, member: &Member) -> bool {
        member.seq == 0 || now.since(member.last_seen) > self.silence_limit()
    }

    fn update_member(&mut self, now: Time, known: MemberRecord, direct: bool) {
        let MemberRecord(ip, place, seq, phase, work) = known;
        if ip == self.local_ip {
            return;
        }
        self.add_member(ip, Some(place));
        let silent = self.silence_limit();
        let Some(member) = self.members.get_mut(&ip) else {
            return;
        };
        // A process that starts again after its clock went back has lower beats; its own word
        // counts once the old ones have stopped.
        let restarted = direct && seq < member.seq && now.since(member.last_seen) > silent;
        if seq > member.seq || restarted {
            member.seq = seq;
            member.last_seen = now;
            member.phase = phase;
            member.dc_index = place;
            member.work = work;
        }
    }
}
