//! The state machine.

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

/// Membership as one VM sees it.
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
    /// Starts knowing nobody.
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

    /// Puts a deliberate fault in.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// This VM.
    pub const fn me(&self) -> &Identity {
        &self.me
    }

    /// Whether this VM has announced that it leaves.
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether a peer has been heard since the last pause of this VM.
    pub const fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// All members with this VM among them, in the order of their incarnations.
    pub fn members(&self) -> Vec<Member> {
        let others = self.table.iter().map(|(incarnation, record)| {
            let linked = self.links.open().contains(incarnation);
            record.member(linked)
        });
        let mut members: Vec<Member> = others.chain([self.own_member()]).collect();
        members.sort_by_key(|member| member.identity.incarnation);
        members
    }

    /// One member.
    pub fn member(&self, incarnation: Incarnation) -> Option<Member> {
        if incarnation == self.me.incarnation {
            return Some(self.own_member());
        }
        let linked = self.links.open().contains(&incarnation);
        let record = self.table.get(incarnation);
        record.map(|record| record.member(linked))
    }

    /// Members of this VM's cell that take new work, this VM among them; for choosing homes.
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

    /// Peers with an open link.
    pub const fn links(&self) -> &BTreeSet<Incarnation> {
        self.links.open()
    }

    /// When `tick` is next worth calling.
    pub const fn next_wake(&self) -> Option<Time> {
        Some(self.next_heartbeat)
    }

    /// Lets time pass.
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

    /// Reacts to one input; changes of state are reported on the next tick.
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

    /// Tells the others at once when this VM begins or ends to take calls.
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
        self.note_activity(now, from);
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
                // Whether they live is for the next digest to say.
                let heard = now - self.settings.unconfirmed_after;
                let new = identities
                    .into_iter()
                    .filter(|peer| self.add_member(now, peer, heard));
                let new: Vec<Incarnation> = new.map(|peer| peer.incarnation).collect();
                // What was said of them before they were known is lost; ask again.
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
        self.note_activity(now, to);
        let message = MembersMessage::Heartbeat(self.own_heartbeat());
        out.push(Output::Send { to, message });
        let message = MembersMessage::Digest(self.full_digest(now));
        out.push(Output::Send { to, message });
    }

    /// Adds a member; says whether it is new.
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

    /// Outruns a mark that others have put on this VM.
    fn refute(&mut self, entry: &SeenHeartbeat) {
        if entry.mark != FailureMark::Fine && entry.seq >= self.seq {
            self.seq = entry.seq + 1;
            self.updates.insert(self.me.incarnation, GOSSIP_ROUNDS);
        }
    }

    /// Remembers that another VM has not heard a member either.
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

    /// Reports states that differ from those reported last.
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
