//! The membership state machine: inputs, timers and the merging of digests.

use crate::{
    FailureMark, Identity, Input, JOINING_LOAD, Member, MembersMessage, Mutation, Output,
    SeenHeartbeat, Settings, State,
    links::Links,
    suspicion::GOSSIP_ROUNDS,
    table::{Record, SilenceReport, Table},
};
use poplarswitch_entity::{Incarnation, Time};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// State machine, without I/O, of the membership as one VM sees it.
#[derive(Debug)]
pub struct Core {
    pub(crate) me: Identity,
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    seq: u64,
    load: u16,
    leaving: bool,
    fresh: bool,
    pub(crate) table: Table,
    pub(crate) links: Links,
    pub(crate) updates: BTreeMap<Incarnation, u8>,
    reported: BTreeMap<Incarnation, State>,
    last_tick: Option<Time>,
    next_heartbeat: Time,
    next_summary: Time,
    next_sync: Time,
    next_list: Time,
    pub(crate) mutation: Option<Mutation>,
}

impl Core {
    /// Starts without any known member.
    pub fn new(me: Identity, settings: Settings, seed: u64) -> Self {
        Self {
            me,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seq: 0,
            load: 0,
            leaving: false,
            fresh: true,
            table: Table::default(),
            links: Links::default(),
            updates: BTreeMap::new(),
            reported: BTreeMap::new(),
            last_tick: None,
            next_heartbeat: Time::ZERO,
            next_summary: Time::ZERO,
            next_sync: Time::ZERO,
            next_list: Time::ZERO,
            mutation: None,
        }
    }

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Identity of this VM.
    pub const fn me(&self) -> &Identity {
        &self.me
    }

    /// Whether this VM is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a message has arrived since the last pause of this VM, or no link was open then.
    pub const fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// All members including this VM, ordered by incarnation.
    pub fn members(&self) -> Vec<Member> {
        let others = self.table.iter().map(|(incarnation, record)| {
            let linked = self.links.open().contains(incarnation);
            record.member(linked)
        });
        let mut members: Vec<Member> = others.chain([self.own_member()]).collect();
        members.sort_by_key(|member| member.identity.incarnation);
        members
    }

    /// The member with an incarnation, which may be this VM.
    pub fn member(&self, incarnation: Incarnation) -> Option<Member> {
        if incarnation == self.me.incarnation {
            return Some(self.own_member());
        }
        let linked = self.links.open().contains(&incarnation);
        let record = self.table.get(incarnation);
        record.map(|record| record.member(linked))
    }

    /// Members of this VM's cell that accept new calls, including this VM if it does, sorted;
    /// the homes of routes are chosen from them.
    pub fn cell(&self) -> Vec<Incarnation> {
        let mut cell: Vec<Incarnation> = self
            .table
            .iter()
            .filter(|(_, record)| self.is_same_cell(record) && record.state() == State::Alive)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        if self.own_member().state == State::Alive {
            cell.push(self.me.incarnation);
        }
        cell.sort();
        cell
    }

    /// Members to which this VM has an open link.
    pub const fn links(&self) -> &BTreeSet<Incarnation> {
        self.links.open()
    }

    /// Time at which `tick` has to be called next.
    pub const fn next_wake(&self) -> Option<Time> {
        Some(self.next_heartbeat)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.settings.heartbeat_interval;
        self.send_heartbeats(out);
        self.detect_failures(now, out);
        self.close_silent(now, out);
        self.gossip_updates(now, out);
        if now >= self.next_summary {
            self.next_summary = now + self.settings.summary_interval;
            self.send_summary(now, out);
        }
        if now >= self.next_sync {
            self.next_sync = now + self.settings.sync_interval;
            self.send_full_digest(now, out);
        }
        if now >= self.next_list {
            self.next_list = now + self.settings.list_interval;
            out.push(Output::List);
        }
        self.table.remove_expired(now, self.settings.forget_after);
        let dials = self.links.dial(now, &self.me, &self.settings, &self.table);
        out.extend(dials.into_iter().map(Output::Dial));
        self.report_changes(out);
    }

    /// Handles one input and appends the resulting actions to `out`.
    ///
    /// State changes are reported on the next tick, or at once when a link opens.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.detect_pause(now, out);
        match input {
            Input::Message { from, message } => self.handle_message(now, from, message, out),
            Input::Linked(peer) => {
                self.handle_linked(now, &peer, out);
                self.report_changes(out);
            }
            Input::Unlinked(peer) => {
                self.links.closed(peer);
            }
            Input::DialFailed(_) => {}
            Input::Listed(records) => {
                self.links
                    .set_listed(records.iter().map(|record| record.address));
            }
            Input::Load(load) => self.set_load(load, out),
            Input::Leave => {
                self.leaving = true;
                self.send_heartbeats(out);
            }
        }
    }

    /// Sets this VM's load, and sends a heartbeat if that changes whether it accepts calls.
    fn set_load(&mut self, load: u16, out: &mut Vec<Output>) {
        let before = self.own_member().state;
        self.load = load;
        if self.own_member().state != before {
            self.send_heartbeats(out);
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: Incarnation,
        message: MembersMessage,
        out: &mut Vec<Output>,
    ) {
        self.fresh = true;
        self.record_activity(now, from);
        match message {
            MembersMessage::Heartbeat(seen) => self.handle_digest(now, from, &[seen], out),
            MembersMessage::Digest(seen) => self.handle_digest(now, from, &seen, out),
            MembersMessage::DigestRequest(about) => {
                let known = about
                    .into_iter()
                    .filter_map(|peer| self.digest_entry(now, peer));
                let message = MembersMessage::Digest(known.collect());
                out.push(Output::Send { to: from, message });
            }
            MembersMessage::IdentityRequest(wanted) => {
                let known = wanted.into_iter().filter_map(|peer| self.member(peer));
                let identities = known.map(|member| member.identity).collect();
                let message = MembersMessage::Identities(identities);
                out.push(Output::Send { to: from, message });
            }
            MembersMessage::Identities(identities) => {
                // An identity does not show that its member is alive, so the member counts as
                // silent until a digest brings its heartbeat.
                let heard = now - self.settings.unconfirmed_after;
                let new = identities
                    .into_iter()
                    .filter(|peer| self.add_member(now, peer, heard));
                let new: Vec<Incarnation> = new.map(|peer| peer.incarnation).collect();
                // Earlier digest entries of these members were skipped, so request them again.
                if !new.is_empty() {
                    let message = MembersMessage::DigestRequest(new);
                    out.push(Output::Send { to: from, message });
                }
            }
        }
    }

    fn handle_linked(&mut self, now: Time, peer: &Identity, out: &mut Vec<Output>) {
        if peer.incarnation == self.me.incarnation {
            return;
        }
        let to = peer.incarnation;
        self.links.opened(peer);
        self.add_member(now, peer, now);
        self.record_activity(now, to);
        let message = MembersMessage::Heartbeat(self.own_heartbeat());
        out.push(Output::Send { to, message });
        let message = MembersMessage::Digest(self.full_digest(now));
        out.push(Output::Send { to, message });
    }

    /// Adds a member; returns whether it is new.
    fn add_member(&mut self, now: Time, identity: &Identity, heard: Time) -> bool {
        let incarnation = identity.incarnation;
        let new = incarnation != self.me.incarnation && self.table.add(now, identity, heard);
        if new {
            self.updates.insert(incarnation, GOSSIP_ROUNDS);
            self.reassess(now, incarnation);
        }
        new
    }

    fn handle_digest(
        &mut self,
        now: Time,
        from: Incarnation,
        seen: &[SeenHeartbeat],
        out: &mut Vec<Output>,
    ) {
        let mut wanted = Vec::new();
        for entry in seen {
            if entry.incarnation == self.me.incarnation {
                self.refute(entry);
                continue;
            }
            if self.table.get(entry.incarnation).is_none() {
                if entry.mark != FailureMark::Gone {
                    wanted.push(entry.incarnation);
                }
                continue;
            }
            self.record_report(now, from, entry);
            if self.table.merge(now, entry) {
                self.updates.insert(entry.incarnation, GOSSIP_ROUNDS);
            }
            self.reassess(now, entry.incarnation);
        }
        if !wanted.is_empty() {
            let message = MembersMessage::IdentityRequest(wanted);
            out.push(Output::Send { to: from, message });
        }
    }

    /// Overrides a mark that others have set on this VM, with a higher heartbeat number.
    fn refute(&mut self, entry: &SeenHeartbeat) {
        if entry.mark != FailureMark::Fine && entry.seq >= self.seq {
            self.seq = entry.seq + 1;
            self.updates.insert(self.me.incarnation, GOSSIP_ROUNDS);
        }
    }

    /// Records that another VM knows of no newer heartbeat of a member.
    fn record_report(&mut self, now: Time, from: Incarnation, entry: &SeenHeartbeat) {
        if let Some(record) = self.table.get_mut(entry.incarnation)
            && from != entry.incarnation
            && entry.seq <= record.seq
        {
            let age_ms = entry.age_ms;
            record
                .reports
                .insert(from, SilenceReport { at: now, age_ms });
        }
    }

    fn detect_pause(&mut self, now: Time, out: &mut Vec<Output>) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap = now.since(last);
        if gap >= self.settings.pause_threshold {
            self.table.exclude_pause(now, gap);
            self.fresh = self.links.open().is_empty();
            self.next_list = now;
            out.push(Output::Paused(gap));
        }
    }

    fn send_heartbeats(&mut self, out: &mut Vec<Output>) {
        self.seq += 1;
        let seen = self.own_heartbeat();
        for to in self.links.open() {
            let message = MembersMessage::Heartbeat(seen);
            out.push(Output::Send { to: *to, message });
        }
    }

    pub(crate) fn full_digest(&self, now: Time) -> Vec<SeenHeartbeat> {
        let known = self.table.iter().map(|(incarnation, _)| *incarnation);
        let all = known.chain([self.me.incarnation]);
        all.filter_map(|peer| self.digest_entry(now, peer))
            .collect()
    }

    pub(crate) fn digest_entry(
        &self,
        now: Time,
        incarnation: Incarnation,
    ) -> Option<SeenHeartbeat> {
        if incarnation == self.me.incarnation {
            return Some(self.own_heartbeat());
        }
        let record = self.table.get(incarnation)?;
        let mark = if record.replaced {
            FailureMark::Gone
        } else {
            record.mark
        };
        Some(SeenHeartbeat {
            incarnation,
            seq: record.seq,
            age_ms: (now.since(record.heard) + record.paused_for).as_millis() as u32,
            mark,
            leaving: record.leaving,
            load: record.load,
        })
    }

    fn own_heartbeat(&self) -> SeenHeartbeat {
        SeenHeartbeat {
            incarnation: self.me.incarnation,
            seq: self.seq,
            age_ms: 0,
            mark: FailureMark::Fine,
            leaving: self.leaving && !self.is_mutated(Mutation::LeaveSilently),
            load: self.load,
        }
    }

    pub(crate) fn is_mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn own_member(&self) -> Member {
        let state = if self.leaving {
            State::Leaving
        } else if self.load == JOINING_LOAD {
            State::Joining
        } else {
            State::Alive
        };
        Member {
            identity: self.me.clone(),
            state,
            load: self.load,
            linked: true,
        }
    }

    pub(crate) fn is_same_cell(&self, record: &Record) -> bool {
        record.identity.cell == self.me.cell
    }

    /// Reports the members whose state differs from the one reported last.
    fn report_changes(&mut self, out: &mut Vec<Output>) {
        for (incarnation, record) in self.table.iter() {
            let state = record.state();
            if self.reported.insert(*incarnation, state) == Some(state) {
                continue;
            }
            let incarnation = *incarnation;
            out.push(Output::Changed { incarnation, state });
            let failed = matches!(state, State::Suspect | State::Gone);
            if failed && self.links.closed(incarnation) {
                out.push(Output::Close(incarnation));
            }
        }
        let table = &self.table;
        self.reported.retain(|peer, _| table.get(*peer).is_some());
    }
}
