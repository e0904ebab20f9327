//! Registration of entry VMs in the platform.
//!
//! A VM that starts reads the entries to learn the requests and sections of prompts that other VMs
//! hold, and the software versions that they have seen, also if all VMs were killed. It then writes
//! its own entry and reads the list again, because VMs that start together find each other's entries
//! only after they have written theirs; [`ListingSchedule`] tells when further reads follow, some of
//! them because VMs are parted and can learn of each other's holds here only. A VM removes its entry
//! when it shuts down; the first VMs of each data centre write theirs again when holds or versions
//! change. When the platform comes back from a copy, which may lack entries, every VM writes its own
//! again. In each data centre, one VM removes the entries of dead VMs. Each process writes its own
//! entry, and a removal contains the revision of the entry, so that a delayed removal can't delete the
//! entry of the next process of that VM. An entry that was read before the platform came back from a
//! copy is not removed, because its revision may have been given out again.

use crate::{
    PlatformAnswer, PlatformCall, PlatformReply, clock,
    platform_client::{PlatformClient, PlatformError},
    quarantine,
    shared::Shared,
};
use core::{net::Ipv4Addr, time::Duration};
use http::StatusCode;
use poplarswitch_entity::{Time, VmName};
use poplarswitch_ingress::{
    EntrySchedule, HeldSubject, HoldChange, KeptVersion, ListingSchedule, ListingView, Revision,
    StaleVmDetector, VmEntry, lacks_versions,
};
use poplarswitch_platform::Backoff;
use snafu::{ResultExt as _, Snafu};
use std::{collections::HashSet, sync::Arc};
use tokio::time::sleep;

/// Interval between checks whether this VM's entry has to be written because others that wrote theirs
/// have ended.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time for each VM over which all VMs spread their writes when the platform has come back from a copy.
const RESTORE_WRITE_SPREAD: Duration = Duration::from_millis(20);
/// Time after the start of the process in which it may not have heard of all VMs.
pub(crate) const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Maximum number of entries that a log line names.
const MAX_NAMED_ENTRIES: usize = 8;
/// Number of VMs of each data centre that write holds and versions; more than one, because one
/// may be cut off from the platform.
const ENTRY_WRITERS: usize = 2;

/// Why entries could not be read or written.
#[derive(Debug, Snafu)]
enum RegistryError {
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("{operation}: unexpected reply from the platform: {reply:?}"))]
    Refused {
        operation: &'static str,
        reply: Box<PlatformReply>,
    },
    #[snafu(display("{operation}: the platform has come back from a copy"))]
    Restored { operation: &'static str },
}

/// Registers this VM, learns of the other VMs, keeps this VM's entry up to date, and regularly
/// removes the entries of dead VMs.
pub(crate) async fn run(shared: Arc<Shared>, client: Arc<PlatformClient>) {
    let mut backoff = Backoff::new(shared.random_number());
    let listed = list_until_read(&shared, &client, &mut backoff).await;
    restore(&shared, &listed);
    add_members(&shared, &listed);
    let mut local_vm = local_entry(&shared);
    let era = loop {
        match register(&shared, &client, &local_vm).await {
            Ok(era) => break era,
            Err(error) => {
                tracing::warn!(event = "failed", call = "register", %error, "platform");
                sleep(backoff.next_wait()).await;
            }
        }
    };
    backoff.reset();
    let listed = list_until_read(&shared, &client, &mut backoff).await;
    add_members(&shared, &listed);
    shared.core().sources.mark_listed();
    shared.notify_change();
    // A slow read of the list must not hold back a write of the entry.
    tokio::join!(
        keep_entry(&shared, &client, &mut local_vm, era),
        follow_list(&shared, &client, &shared.settings.vm),
    );
}

/// Reads the list of VMs, as often as it takes.
async fn list_until_read(
    shared: &Shared,
    client: &PlatformClient,
    backoff: &mut Backoff,
) -> Vec<VmEntry> {
    loop {
        match list(shared, client).await {
            Ok(vms) => {
                backoff.reset();
                return vms;
            }
            Err(error) => {
                tracing::warn!(event = "failed", call = "list_vms", %error, "platform");
                sleep(backoff.next_wait()).await;
            }
        }
    }
}

/// Keeps this VM's entry, which was written in `era`, up to date until the VM shuts down.
async fn keep_entry(
    shared: &Shared,
    client: &PlatformClient,
    local_vm: &mut VmEntry,
    mut era: u64,
) {
    let mut schedule = EntrySchedule::default();
    while !shared.core().shutdown.has_started() {
        tokio::select! {
            () = sleep(ENTRY_CHECK_INTERVAL) => {}
            () = wait_for_due(shared, &schedule) => {}
            () = shared.holds_changed.notified() => {
                schedule.note_change(clock::now());
                continue;
            }
            () = shared.entry_missing.notified() => {
                schedule.plan_rewrite(clock::now(), Duration::ZERO);
                continue;
            }
            () = shared.wait_for_era_after(Some(era)) => {
                era = shared.era().unwrap_or(era);
                schedule.plan_rewrite(clock::now(), restore_write_delay(shared));
                continue;
            }
        }
        let is_due = schedule.begin(clock::now());
        let written = update_entry(shared, client, local_vm, is_due).await;
        schedule.end(clock::now(), written.is_ok());
        if let Err(error) = written {
            tracing::warn!(event = "failed", call = "put_vm", %error, "platform");
        }
    }
}

/// Keeps the list of members up to date until the process exits.
async fn follow_list(shared: &Shared, client: &PlatformClient, local_name: &VmName) {
    let mut detector = StaleVmDetector::default();
    let mut schedule = ListingSchedule::new(clock::now());
    let mut was_isolated = false;
    loop {
        let mut keeper_died = false;
        tokio::select! {
            () = sleep(schedule.due().since(clock::now())) => {}
            () = shared.keeper_died.notified() => keeper_died = true,
            () = shared.versions_missed.notified() => schedule.hurry(clock::now()),
        }
        let now = clock::now();
        let view = listing_view(shared, now);
        if (schedule.decide(now, view) || keeper_died)
            && let Err(error) = relist(shared, client, &mut detector, local_name, view).await
        {
            tracing::warn!(event = "failed", call = "sweep", %error, "platform");
            schedule.hurry(clock::now());
        }
        let is_isolated = view.alive == 0 && view.silent > 0;
        if is_isolated && !was_isolated {
            schedule.hurry(now);
        }
        was_isolated = is_isolated;
    }
}

/// Random delay of the write of this VM's entry after the platform has come back from a copy.
fn restore_write_delay(shared: &Shared) -> Duration {
    let vms = shared.core().membership.alive_count(clock::now());
    let longest = RESTORE_WRITE_SPREAD * vms as u32;
    Duration::from_micros(shared.random_number() % longest.as_micros().max(1) as u64)
}

fn local_entry(shared: &Shared) -> VmEntry {
    let settings = &shared.settings;
    let ip = shared.core().membership.local_ip();
    VmEntry {
        name: settings.vm.clone(),
        ip,
        data_centre: settings.data_centre.to_string(),
        start_ms: clock::unix_millis(),
        revision: Revision::default(),
        held: held_subjects(shared),
        versions: kept_versions(shared),
        streams: shared.core().origins.write_streams(clock::now()),
    }
}

fn listing_view(shared: &Shared, now: Time) -> ListingView {
    let core = shared.core();
    ListingView {
        is_reader: core.should_read_platform(now),
        alive: core.membership.alive(now).count(),
        silent: core.membership.silent_count(now),
    }
}

/// Reads the list, adds VMs that this VM doesn't know, and has this VM's entry written again if it is
/// missing. The VM that reads the platform also removes the entries of dead VMs.
async fn relist(
    shared: &Shared,
    client: &PlatformClient,
    detector: &mut StaleVmDetector,
    local_name: &VmName,
    view: ListingView,
) -> Result<(), RegistryError> {
    let sent = clock::now();
    let listed = list(shared, client).await?;
    restore_holds(shared, &listed);
    let (now, unix_ms) = (clock::now(), clock::unix_millis());
    shared
        .core()
        .origins
        .read_entries(now, sent, unix_ms, &listed);
    add_members(shared, &listed);
    // A VM that shuts down has removed its entry itself.
    let is_leaving = shared.core().shutdown.has_started();
    if !is_leaving && !listed.iter().any(|vm| vm.name == *local_name) {
        shared.entry_missing.notify_one();
    }
    if view.is_reader {
        remove_stale(shared, client, detector, &listed).await?;
    }
    Ok(())
}

/// Writes this VM's entry again if its held sections or versions have changed and it is among the
/// first VMs of its data centre, if it lacks streams, or if `is_due` in any case.
async fn update_entry(
    shared: &Shared,
    client: &PlatformClient,
    local_vm: &mut VmEntry,
    is_due: bool,
) -> Result<(), RegistryError> {
    // A VM that shuts down removes its entry.
    if shared.core().shutdown.has_started() {
        return Ok(());
    }
    let (held, versions) = (held_subjects(shared), kept_versions(shared));
    let key = |held: &HeldSubject| (held.subject, held.trials);
    let is_held_known = held.iter().map(key).eq(local_vm.held.iter().map(key));
    let now = clock::now();
    let (writes_held, writes_versions) = {
        let core = shared.core();
        let is_writer = |order: Vec<Ipv4Addr>| {
            let mut writers = order.iter().take(ENTRY_WRITERS);
            writers.any(|ip| *ip == core.membership.local_ip())
        };
        // All VMs have versions to write when they start together, and have heard of no others yet.
        let order = if now.since(shared.started) < STARTUP_TIME {
            core.membership.listed_local_vms(now)
        } else {
            core.membership.local_vms(now)
        };
        // A version that is named as served would hold streams back for ever.
        let names_served = local_vm.versions.iter().any(|v| v.last_ms.is_none());
        (
            is_writer(core.membership.local_vms(now)),
            is_writer(order) || names_served,
        )
    };
    let is_changed = writes_held && !is_held_known
        || writes_versions && lacks_versions(&local_vm.versions, &versions)
        || streams_due(shared).is_some_and(|at| at <= now);
    if !is_changed && !is_due {
        return Ok(());
    }
    local_vm.held = held;
    local_vm.versions = versions;
    local_vm.streams = shared.core().origins.write_streams(now);
    let write = PlatformCall::PutVm(local_vm.clone());
    let streams = stream_count(local_vm);
    let reply = call(shared, client, &write).await?.reply;
    if streams > 0 {
        let took_ms = clock::now().since(now).as_millis() as u64;
        let is_kept = reply == PlatformReply::Done;
        tracing::info!(event = "kept", streams, is_kept, took_ms, "stream");
    }
    match reply {
        // Others have taken this VM for dead, or the platform has lost the entry.
        PlatformReply::Refused(StatusCode::NOT_FOUND) => {
            tracing::info!(event = "entry_missing", "member");
            register(shared, client, local_vm).await.map(drop)
        }
        reply => expect_done(&write, reply),
    }
}

/// Waits until this VM's entry has to be written.
async fn wait_for_due(shared: &Shared, schedule: &EntrySchedule) {
    loop {
        let due = schedule.due(streams_due(shared)).unwrap_or(Time::MAX);
        let wait = due.since(clock::now());
        if wait.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(wait) => {}
            () = shared.streams_kept.notified() => {}
        }
    }
}

fn streams_due(shared: &Shared) -> Option<Time> {
    shared.core().origins.streams_due()
}

fn kept_versions(shared: &Shared) -> Vec<KeptVersion> {
    let (now, unix_ms) = (clock::now(), clock::unix_millis());
    shared.core().origins.kept_versions(now, unix_ms)
}

fn held_subjects(shared: &Shared) -> Vec<HeldSubject> {
    let (now, unix_ms) = (clock::now(), clock::unix_millis());
    shared.core().quarantine.held_subjects(now, unix_ms)
}

/// Takes in the subjects that other VMs, and the previous process of this one, held, and the versions
/// that they saw.
fn restore(shared: &Shared, vms: &[VmEntry]) {
    restore_holds(shared, vms);
    let (now, unix_ms) = (clock::now(), clock::unix_millis());
    let local_vm = &shared.settings.vm;
    let mut core = shared.core();
    core.origins.restore(now, unix_ms, local_vm, vms);
    let streams = core.origins.len();
    drop(core);
    let keepers = vms.iter().filter(|vm| !vm.streams.is_empty());
    let entries: Vec<String> = keepers
        .take(MAX_NAMED_ENTRIES)
        .map(|vm| format!("{}:{}", vm.name, stream_count(vm)))
        .collect();
    let entries = entries.join(",");
    tracing::info!(
        event = "restored",
        streams,
        vms = vms.len(),
        entries,
        "stream"
    );
}

/// Number of streams in an entry.
fn stream_count(vm: &VmEntry) -> usize {
    vm.streams.iter().map(|kept| kept.streams.len()).sum()
}

/// Takes in the subjects that VMs hold.
fn restore_holds(shared: &Shared, vms: &[VmEntry]) {
    let (now, unix_ms) = (clock::now(), clock::unix_millis());
    let mut core = shared.core();
    let changes: Vec<HoldChange> = vms
        .iter()
        .flat_map(|vm| core.quarantine.restore(now, unix_ms, &vm.held))
        .collect();
    drop(core);
    quarantine::log_changes(shared, &changes);
}

/// Removes this VM's entry.
pub(crate) async fn deregister(shared: Arc<Shared>, client: Arc<PlatformClient>) {
    // If this fails, another VM removes the entry after this VM's heartbeats have stopped.
    if let Err(error) = try_deregister(&shared, &client).await {
        tracing::warn!(event = "failed", call = "unregister", %error, "platform");
    }
}

async fn call(
    shared: &Shared,
    client: &PlatformClient,
    call: &PlatformCall,
) -> Result<PlatformAnswer, RegistryError> {
    shared.metrics.platform_calls.inc();
    let answer = client.call(call).await.context(PlatformSnafu)?;
    shared.record_era(answer.era, "platform");
    Ok(answer)
}

/// Writes this VM's entry; returns the era of the platform in which it was written.
async fn register(
    shared: &Shared,
    client: &PlatformClient,
    local_vm: &VmEntry,
) -> Result<u64, RegistryError> {
    let mut write = PlatformCall::AddVm(local_vm.clone());
    let mut answer = call(shared, client, &write).await?;
    if answer.reply == PlatformReply::Conflict {
        write = PlatformCall::PutVm(local_vm.clone());
        answer = call(shared, client, &write).await?;
    }
    expect_done(&write, answer.reply)?;
    Ok(answer.era)
}

fn expect_done(write: &PlatformCall, reply: PlatformReply) -> Result<(), RegistryError> {
    let operation = write.name();
    match reply {
        PlatformReply::Done => Ok(()),
        reply => {
            let reply = Box::new(reply);
            RefusedSnafu { operation, reply }.fail()
        }
    }
}

async fn list(shared: &Shared, client: &PlatformClient) -> Result<Vec<VmEntry>, RegistryError> {
    let mut all = Vec::new();
    let mut after = None;
    let mut first_era = None;
    loop {
        let list_call = PlatformCall::ListVms { after };
        let operation = list_call.name();
        let PlatformAnswer { era, reply } = call(shared, client, &list_call).await?;
        if *first_era.get_or_insert(era) != era {
            return RestoredSnafu { operation }.fail();
        }
        match reply {
            PlatformReply::Vms { vms, more } => {
                all.extend(vms);
                if more.is_none() {
                    return Ok(all);
                }
                after = more;
            }
            reply => {
                let reply = Box::new(reply);
                return RefusedSnafu { operation, reply }.fail();
            }
        }
    }
}

/// Adds listed VMs to the members, and logs how many of them haven't been heard of.
fn add_members(shared: &Shared, vms: &[VmEntry]) {
    let now = clock::now();
    let mut core = shared.core();
    let known = core.membership.known_count();
    for vm in vms {
        let dc_index = shared.settings.data_centre_index(&vm.data_centre);
        core.membership.add_member(vm.ip, dc_index);
    }
    let added = core.membership.known_count() - known;
    let silent = core.membership.silent_count(now);
    drop(core);
    if added > 0 || silent > 0 {
        tracing::info!(
            event = "listed",
            listed = vms.len(),
            added,
            unheard = silent,
            "member"
        );
    }
    shared.notify_change();
}

async fn remove_stale(
    shared: &Shared,
    client: &PlatformClient,
    detector: &mut StaleVmDetector,
    listed: &[VmEntry],
) -> Result<(), RegistryError> {
    let alive: HashSet<_> = {
        let core = shared.core();
        let others = core.membership.alive(clock::now()).map(|member| member.ip);
        others.chain([core.membership.local_ip()]).collect()
    };
    for vm in detector.scan(clock::now(), listed, |ip| alive.contains(&ip)) {
        remove(shared, client, &vm).await?;
        tracing::info!(
            event = "removed",
            vm = vm.name.as_str(),
            ip = %vm.ip,
            revision = vm.revision.number,
            era = vm.revision.era,
            "member"
        );
    }
    Ok(())
}

async fn try_deregister(shared: &Shared, client: &PlatformClient) -> Result<(), RegistryError> {
    let local_name = &shared.settings.vm;
    let listed = list(shared, client).await?;
    match listed.iter().find(|vm| vm.name == *local_name) {
        Some(entry) => remove(shared, client, entry).await,
        None => Ok(()),
    }
}

/// Removes an entry, unless it has been written again or the platform has come back from a copy.
async fn remove(
    shared: &Shared,
    client: &PlatformClient,
    vm: &VmEntry,
) -> Result<(), RegistryError> {
    let removal = PlatformCall::RemoveVm {
        name: vm.name.clone(),
        revision: vm.revision,
    };
    if shared.era().is_some_and(|era| era > vm.revision.era) {
        return RestoredSnafu {
            operation: removal.name(),
        }
        .fail();
    }
    match call(shared, client, &removal).await?.reply {
        PlatformReply::Conflict => Ok(()),
        reply => expect_done(&removal, reply),
    }
}
