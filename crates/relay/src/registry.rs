//! Registration of entry VMs in the platform.
//!
//! A VM that starts reads the entries to find the other VMs. Each VM writes its entry once and
//! removes it when it shuts down; in each data centre, one VM removes the entries of dead VMs. Each
//! process writes its own entry, and a removal contains the revision of the entry, so that a
//! delayed removal can't delete the entry of the next process of that VM.

use crate::{
    PlatformCall, PlatformReply, clock,
    platform_client::{PlatformClient, PlatformError},
    shared::Shared,
};
use core::time::Duration;
use poplarswitch_ingress::{StaleVmDetector, VmEntry};
use poplarswitch_platform::Backoff;
use snafu::{ResultExt as _, Snafu};
use std::{collections::HashSet, sync::Arc};
use tokio::time::sleep;

/// Interval between scans for entries of dead VMs; much longer than a restart.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);

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

/// Registers this VM, reads the list of VMs, and regularly removes the entries of dead VMs.
pub(crate) async fn run(shared: Arc<Shared>, client: Arc<PlatformClient>) {
    let settings = &shared.settings;
    let local_vm = VmEntry {
        name: settings.vm.clone(),
        ip: shared.core().membership.local_ip(),
        data_centre: settings.data_centre.to_string(),
        start_ms: clock::unix_millis(),
        revision: 0,
    };
    let mut backoff = Backoff::new(shared.random_number());
    while let Err(error) = register(&shared, &client, &local_vm).await {
        tracing::warn!(event = "failed", call = "register", %error, "platform");
        sleep(backoff.next_wait()).await;
    }
    backoff.reset();
    loop {
        match list(&shared, &client).await {
            Ok(vms) => {
                add_members(&shared, &vms);
                break;
            }
            Err(error) => {
                tracing::warn!(event = "failed", call = "list_vms", %error, "platform");
                sleep(backoff.next_wait()).await;
            }
        }
    }
    let mut detector = StaleVmDetector::default();
    loop {
        sleep(SCAN_INTERVAL).await;
        if shared.core().should_read_platform(clock::now())
            && let Err(error) = remove_stale(&shared, &client, &mut detector).await
        {
            tracing::warn!(event = "failed", call = "sweep", %error, "platform");
        }
    }
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
