//! Registration of entry VMs in the platform.
//!
//! A VM that starts reads the entries to find the other VMs, and the sections of prompts that they
//! hold, also if all VMs were killed. Each VM writes its entry when it starts and removes it when it
//! shuts down; the first VMs of each data centre write theirs again when held sections change. In
//! each data centre, one VM removes the entries of dead VMs. Each process writes its own entry, and a
//! removal contains the revision of the entry, so that a delayed removal can't delete the entry of
//! the next process of that VM.

use crate::{
    PlatformCall, PlatformReply, clock,
    platform_client::{PlatformClient, PlatformError},
    quarantine,
    shared::Shared,
};
use core::time::Duration;
use poplarswitch_ingress::{HeldSection, HoldChange, StaleVmDetector, VmEntry};
use poplarswitch_platform::Backoff;
use snafu::{ResultExt as _, Snafu};
use std::{collections::HashSet, sync::Arc};
use tokio::time::{Instant, sleep, sleep_until};

/// Interval between scans for entries of dead VMs; much longer than a restart.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);

/// Delay before held sections are written, so that one write has several that change together.
const HELD_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Delay after a failed write of held sections.
const HELD_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Number of VMs of each data centre that write held sections; more than one, because one may be
/// cut off from the platform.
const HELD_WRITERS: usize = 2;

/// Why entries could not be read or written.
#[derive(Debug, Snafu)]
enum RegistryError {
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("{operation}: unexpected reply from the platform: {reply:?}"))]
    Refused {
        operation: &'static str,
        reply: PlatformReply,
    },
}

/// Reads the list of VMs, registers this VM, keeps its entry up to date, and regularly removes the
/// entries of dead VMs.
pub(crate) async fn run(shared: Arc<Shared>, client: Arc<PlatformClient>) {
    let mut backoff = Backoff::new(shared.random_number());
    loop {
        match list(&shared, &client).await {
            Ok(vms) => {
                restore_held(&shared, &vms);
                add_members(&shared, &vms);
                break;
            }
            Err(error) => {
                tracing::warn!(event = "failed", call = "list_vms", %error, "platform");
                sleep(backoff.next_wait()).await;
            }
        }
    }
    backoff.reset();
    let settings = &shared.settings;
    let ip = shared.core().membership.local_ip();
    let mut local_vm = VmEntry {
        name: settings.vm.clone(),
        ip,
        data_centre: settings.data_centre.to_string(),
        start_ms: clock::unix_millis(),
        revision: 0,
        held: held_sections(&shared),
    };
    while let Err(error) = register(&shared, &client, &local_vm).await {
        tracing::warn!(event = "failed", call = "register", %error, "platform");
        sleep(backoff.next_wait()).await;
    }
    let mut detector = StaleVmDetector::default();
    let mut scan_at = Instant::now() + SCAN_INTERVAL;
    loop {
        tokio::select! {
            () = sleep_until(scan_at) => {
                scan_at = Instant::now() + SCAN_INTERVAL;
                if shared.core().should_read_platform(clock::now())
                    && let Err(error) = remove_stale(&shared, &client, &mut detector).await
                {
                    tracing::warn!(event = "failed", call = "sweep", %error, "platform");
                }
            }
            () = shared.holds_changed.notified() => sleep(HELD_WRITE_DELAY).await,
        }
        if let Err(error) = update_held(&shared, &client, &mut local_vm).await {
            tracing::warn!(event = "failed", call = "put_vm", %error, "platform");
            // Tries again, also if nothing changes.
            scan_at = scan_at.min(Instant::now() + HELD_RETRY_DELAY);
        }
    }
}

/// Writes this VM's entry again if its held sections have changed and it is among the first VMs of
/// its data centre.
async fn update_held(
    shared: &Shared,
    client: &PlatformClient,
    local_vm: &mut VmEntry,
) -> Result<(), RegistryError> {
    let held = held_sections(shared);
    let key = |held: &HeldSection| (held.section, held.trials);
    let is_known = held.iter().map(key).eq(local_vm.held.iter().map(key));
    let rank = {
        let core = shared.core();
        let order = core.membership.local_vms(clock::now());
        order
            .iter()
            .position(|ip| *ip == core.membership.local_ip())
    };
    if is_known || rank.is_none_or(|rank| rank >= HELD_WRITERS) {
        return Ok(());
    }
    local_vm.held = held;
    let write = PlatformCall::PutVm(local_vm.clone());
    let written = match call(shared, client, &write).await {
        Ok(reply) => expect_done(&write, reply),
        Err(error) => Err(error),
    };
    if written.is_err() {
        local_vm.held.clear();
    }
    written
}

fn held_sections(shared: &Shared) -> Vec<HeldSection> {
    let (now, unix_ms) = (clock::now(), clock::unix_millis());
    shared.core().quarantine.held_sections(now, unix_ms)
}

/// Takes in the sections that other VMs, and the previous process of this one, held.
fn restore_held(shared: &Shared, vms: &[VmEntry]) {
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
) -> Result<PlatformReply, RegistryError> {
    shared.metrics.platform_calls.inc();
    client.call(call).await.context(PlatformSnafu)
}

async fn register(
    shared: &Shared,
    client: &PlatformClient,
    local_vm: &VmEntry,
) -> Result<(), RegistryError> {
    let mut write = PlatformCall::AddVm(local_vm.clone());
    let mut reply = call(shared, client, &write).await?;
    if reply == PlatformReply::Conflict {
        write = PlatformCall::PutVm(local_vm.clone());
        reply = call(shared, client, &write).await?;
    }
    expect_done(&write, reply)
}

fn expect_done(write: &PlatformCall, reply: PlatformReply) -> Result<(), RegistryError> {
    let operation = write.name();
    match reply {
        PlatformReply::Done => Ok(()),
        reply => RefusedSnafu { operation, reply }.fail(),
    }
}

async fn list(shared: &Shared, client: &PlatformClient) -> Result<Vec<VmEntry>, RegistryError> {
    let mut all = Vec::new();
    let mut after = None;
    loop {
        let list_call = PlatformCall::ListVms { after };
        match call(shared, client, &list_call).await? {
            PlatformReply::Vms { vms, more } => {
                all.extend(vms);
                if more.is_none() {
                    return Ok(all);
                }
                after = more;
            }
            reply => {
                let operation = list_call.name();
                return RefusedSnafu { operation, reply }.fail();
            }
        }
    }
}

fn add_members(shared: &Shared, vms: &[VmEntry]) {
    let mut core = shared.core();
    for vm in vms {
        let dc_index = shared.settings.data_centre_index(&vm.data_centre);
        core.membership.add_member(vm.ip, dc_index);
    }
    core.sources.mark_listed();
    drop(core);
    shared.notify_change();
}

async fn remove_stale(
    shared: &Shared,
    client: &PlatformClient,
    detector: &mut StaleVmDetector,
) -> Result<(), RegistryError> {
    let listed = list(shared, client).await?;
    let alive: HashSet<_> = {
        let core = shared.core();
        let others = core.membership.alive(clock::now()).map(|member| member.ip);
        others.chain([core.membership.local_ip()]).collect()
    };
    for vm in detector.scan(&listed, |ip| alive.contains(&ip)) {
        remove(shared, client, &vm).await?;
        tracing::info!(
            event = "removed",
            vm = vm.name.as_str(),
            ip = %vm.ip,
            revision = vm.revision,
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

/// Removes an entry, unless it has been written again.
async fn remove(
    shared: &Shared,
    client: &PlatformClient,
    vm: &VmEntry,
) -> Result<(), RegistryError> {
    let removal = PlatformCall::RemoveVm {
        name: vm.name.clone(),
        revision: vm.revision,
    };
    match call(shared, client, &removal).await? {
        PlatformReply::Conflict => Ok(()),
        reply => expect_done(&removal, reply),
    }
}
