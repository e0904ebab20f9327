//! Requests of a VM that has just started for newer configurations of other VMs; see
//! [`poplarswitch_ingress::StartupCheck`].

use crate::{clock, feed, shared::Shared};
use core::{net::Ipv4Addr, time::Duration};
use std::sync::Arc;
use tokio::task::JoinSet;

/// Interval between checks whether more VMs are known.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Asks other VMs until the check has ended.
pub(crate) async fn check(shared: Arc<Shared>) {
    let mut answers = JoinSet::new();
    let mut asked = 0;
    loop {
        for ip in next_asked(&shared) {
            let shared = Arc::clone(&shared);
            answers.spawn(async move { (ip, feed::ask_config(&shared, ip).await) });
            asked += 1;
        }
        if shared.core().startup.is_done() {
            break;
        }
        tokio::select! {
            Some(answer) = answers.join_next() => {
                if let Ok((ip, state)) = answer {
                    shared.core().startup.record(ip, state);
                }
            }
            () = shared.wait_for_change(POLL_INTERVAL) => {}
        }
    }
    let ms = clock::now().since(shared.started).as_millis() as u64;
    let version = shared.table.load().version();
    tracing::info!(event = "checked", asked, version, ms, "set");
    shared.notify_change();
}

fn next_asked(shared: &Shared) -> Vec<Ipv4Addr> {
    let mut core = shared.core();
    let all_known = shared.knows_vms(&core, clock::now());
    let known: Vec<Ipv4Addr> = core.membership.known().collect();
    let local_ip = core.membership.local_ip();
    core.startup.next_asked(local_ip, &known, all_known)
}
