//! Status of the node, for operators.

use super::{EventLoop, table::CallEntry};
use poplarswitch_entity::ClassName;
use poplarswitch_members::State;
use poplarswitch_wire::{CallCounts, ClassStatus, MemberStatus, PlatformStatus, Status};
use std::collections::BTreeMap;

impl EventLoop {
    /// Current status of the node.
    pub(super) fn status(&self) -> Status {
        let shared = &self.shared;
        let settings = &shared.settings;
        Status {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            cell: settings.cell.clone(),
            incarnation: shared.incarnation,
            program: env!("CARGO_PKG_VERSION").to_owned(),
            phase: shared.phase(),
            generation: shared
                .catalog
                .load()
                .as_ref()
                .map(|catalog| catalog.generation)
                .unwrap_or_default(),
            uptime_us: shared.now().0,
            platform: self.platform_status(),
            lease: self.cluster.orders.fencing(shared.now()),
            calls: self.counts(),
            classes: self.classes(),
            endpoints: self.endpoints.status(),
            members: self.member_statuses(),
        }
    }

    fn platform_status(&self) -> PlatformStatus {
        match (
            self.cluster.platform.is_configured(),
            self.cluster.follower.status().platform_up,
        ) {
            (false, _) => PlatformStatus::Unset,
            (true, true) => PlatformStatus::Up,
            (true, false) => PlatformStatus::Down,
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let local = self.shared.incarnation;
        let members = self.cluster.members.members();
        members
            .into_iter()
            .filter(|member| member.identity.incarnation != local)
            .map(|member| MemberStatus {
                vm: member.identity.vm,
                incarnation: member.identity.incarnation,
                state: state_name(member.state).to_owned(),
                callers: Some(member.identity.caller_address),
            })
            .collect()
    }

    fn counts(&self) -> CallCounts {
        CallCounts {
            open: (self.calls.len() + self.keyed_submissions.len()) as u64,
            running: self.calls.values().filter(|e| e.run.is_some()).count() as u64,
            cancelled: self.shared.counters.cancelled.get(),
            ..self.totals
        }
    }

    fn classes(&self) -> Vec<ClassStatus> {
        let mut classes: BTreeMap<ClassName, ClassStatus> = BTreeMap::new();
        for CallEntry { call, run, .. } in self.calls.values() {
            let class = &call.request.class;
            let status = classes.entry(class.clone()).or_insert_with(|| ClassStatus {
                class: class.clone(),
                waiting: 0,
                running: 0,
            });
            match run {
                Some(_) => status.running += 1,
                None => status.waiting += 1,
            }
        }
        classes.into_values().collect()
    }
}

const fn state_name(state: State) -> &'static str {
    match state {
        State::Joining => "joining",
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
        State::Gone => "gone",
    }
}
