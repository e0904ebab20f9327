//! The list of entry VMs in the platform.
//!
//! A VM that starts learns from it where the others are. Each VM writes its entry once and takes
//! it away when it leaves; those of VMs that died are removed by one VM of each data centre.
//! Each process writes an entry of its own, and removals name the entry's revision, so one that the
//! platform carries out late can't take the entry of the next process of that VM.

use crate::{
    PlatformCall, PlatformReply, clock,
    shared::Shared,
    store::{StoreClient, StoreError},
};
use core::time::Duration;
use poplarswitch_ingress::{StaleVmDetector, VmEntry};
use poplarswitch_platform::Backoff;
use snafu::{ResultExt as _, Snafu};
use std::{collections::HashSet, sync::Arc};
use tokio::time::sleep;

/// Time between looks for entries of VMs that died; far beyond a restart.
const LOOK_EVERY: Duration = Duration::from_secs(30);

/// Why the list can't be read or written.
#[derive(Debug, Snafu)]
enum RegistryError {
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    #[snafu(display("{step}: the platform says {reply:?}"))]
    Refused {
        step: &'static str,
        reply: PlatformReply,
    },
}

/// Registers this VM, learns of the others, and looks for entries of dead ones.
pub(crate) async fn run(shared: Arc<Shared>, store: Arc<StoreClient>) {
    let settings = &shared.settings;
    let me = VmEntry {
        name: settings.vm.clone(),
        ip: shared.core().roster.local_ip(),
        data_centre: settings.data_centre.to_string(),
        start_ms: clock::unix_millis(),
        revision: 0,
    };
    let mut backoff = Backoff::new(shared.draw());
    while let Err(error) = register(&shared, &store, &me).await {
        tracing::warn!(event = "failed", call = "register", %error, "platform");
        sleep(backoff.next_wait()).await;
    }
    backoff.reset();
    loop {
        match list(&shared, &store).await {
            Ok(vms) => {
                introduce(&shared, &vms);
                break;
            }
            Err(error) => {
                tracing::warn!(event = "failed", call = "list_vms", %error, "platform");
                sleep(backoff.next_wait()).await;
            }
        }
    }
    let mut leftovers = StaleVmDetector::default();
    loop {
        sleep(LOOK_EVERY).await;
        if shared.core().reads(clock::now())
            && let Err(error) = sweep(&shared, &store, &mut leftovers).await
        {
            tracing::warn!(event = "failed", call = "sweep", %error, "platform");
        }
    }
}

/// Takes this VM's entry away.
pub(crate) async fn leave(shared: Arc<Shared>, store: Arc<StoreClient>) {
    // Others notice a VM that can't take its entry away by its silence.
    if let Err(error) = unregister(&shared, &store).await {
        tracing::warn!(event = "failed", call = "unregister", %error, "platform");
    }
}

async fn call(
    shared: &Shared,
    store: &StoreClient,
    call: &PlatformCall,
) -> Result<PlatformReply, RegistryError> {
    shared.metrics.platform_calls.inc();
    store.call(call).await.context(StoreSnafu)
}

async fn register(shared: &Shared, store: &StoreClient, me: &VmEntry) -> Result<(), RegistryError> {
    let mut write = PlatformCall::AddVm(me.clone());
    let mut reply = call(shared, store, &write).await?;
    if reply == PlatformReply::Conflict {
        write = PlatformCall::PutVm(me.clone());
        reply = call(shared, store, &write).await?;
    }
    done(&write, reply)
}

fn done(write: &PlatformCall, reply: PlatformReply) -> Result<(), RegistryError> {
    let step = write.name();
    match reply {
        PlatformReply::Done => Ok(()),
        reply => RefusedSnafu { step, reply }.fail(),
    }
}

async fn list(shared: &Shared, store: &StoreClient) -> Result<Vec<VmEntry>, RegistryError> {
    let mut all = Vec::new();
    let mut after = None;
    loop {
        let ask = PlatformCall::ListVms { after };
        match call(shared, store, &ask).await? {
            PlatformReply::Vms { vms, more } => {
                all.extend(vms);
                if more.is_none() {
                    return Ok(all);
                }
                after = more;
            }
            reply => {
                let step = ask.name();
                return RefusedSnafu { step, reply }.fail();
            }
        }
    }
}

fn introduce(shared: &Shared, vms: &[VmEntry]) {
    let mut core = shared.core();
    for vm in vms {
        let place = shared.settings.data_centre_index(&vm.data_centre);
        core.roster.add_member(vm.ip, place);
    }
    core.sources.mark_listed();
    drop(core);
    shared.announce();
}

async fn sweep(
    shared: &Shared,
    store: &StoreClient,
    leftovers: &mut StaleVmDetector,
) -> Result<(), RegistryError> {
    let listed = list(shared, store).await?;
    let alive: HashSet<_> = {
        let core = shared.core();
        let others = core.roster.alive(clock::now()).map(|member| member.ip);
        others.chain([core.roster.local_ip()]).collect()
    };
    for vm in leftovers.scan(&listed, |ip| alive.contains(&ip)) {
        remove(shared, store, &vm).await?;
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

async fn unregister(shared: &Shared, store: &StoreClient) -> Result<(), RegistryError> {
    let me = &shared.settings.vm;
    let listed = list(shared, store).await?;
    match listed.iter().find(|vm| vm.name == *me) {
        Some(entry) => remove(shared, store, entry).await,
        None => Ok(()),
    }
}

/// Removes an entry, unless it was written since.
async fn remove(shared: &Shared, store: &StoreClient, vm: &VmEntry) -> Result<(), RegistryError> {
    let removal = PlatformCall::RemoveVm {
        name: vm.name.clone(),
        revision: vm.revision,
    };
    match call(shared, store, &removal).await? {
        PlatformReply::Conflict => Ok(()),
        reply => done(&removal, reply),
    }
}
