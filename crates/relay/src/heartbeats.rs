//! Heartbeats between VMs, and the periodic work that is done at the same interval.

use crate::{
    clock,
    duties::{self, DutyMessage},
    forwarding::short_service_hash,
    limits, origins, quarantine, rates,
    registry::STARTUP_TIME,
    scaling,
    shared::{Core, Shared},
    slots,
    tasks::keep_running,
    trials,
};
use core::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use futures_util::future::{BoxFuture, FutureExt as _};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    Heartbeat, LimitMessage, MemberRecord, PeerReport, Phase, QuarantineDigest, SlotMessage,
    StreamMessage, TrialMessage, short_hash,
};
use rand::Rng as _;
use std::{collections::HashMap, sync::Arc};
use tokio::{net::UdpSocket, time::sleep};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of addresses in a log line.
const MAX_LOGGED_ADDRESSES: usize = 16;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Maximum number of endpoints whose open calls a heartbeat contains, so that it fits into one
/// datagram.
const MAX_REPORTED_ENDPOINTS: usize = 40;

/// Starts the tasks that exchange heartbeats and other datagrams until the process exits.
pub(crate) fn start(shared: &Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    // The socket is set only here.
    let _unset = shared.peer_socket.set(Arc::clone(&socket));
    let start = |name, task: fn(Arc<Shared>, Arc<UdpSocket>) -> BoxFuture<'static, ()>| {
        let (shared, socket) = (Arc::clone(shared), Arc::clone(&socket));
        keep_running(name, move || task(Arc::clone(&shared), Arc::clone(&socket)));
    };
    start("listen", |shared, socket| listen(shared, socket).boxed());
    start("quarantine", |shared, socket| {
        quarantine::tell(shared, socket).boxed()
    });
    start("origins", |shared, socket| {
        origins::tell(shared, socket).boxed()
    });
    start("slots", |shared, _| slots::maintain(shared).boxed());
    start("limits", |shared, socket| {
        limits::tell(shared, socket).boxed()
    });
    start("heartbeats", |shared, socket| beat(shared, socket).boxed());
}

async fn beat(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut last_phase = None;
    let mut last_named = Vec::new();
    loop {
        let now = clock::now();
        let phase = tick(&shared, now);
        log_named(&shared, now, phase, &mut last_named);
        if last_phase != Some(phase) {
            let age = shared
                .core()
                .freshness
                .age(now)
                .map(|age| age.as_millis() as u64);
            let version = shared.table.load().version();
            tracing::info!(event = "phase", ?phase, version, proof_ms = age, "vm");
        }
        // The first heartbeat after the start of a shutdown is sent to all members that are alive,
        // so that they learn of it at once.
        let to_all = phase == Phase::Leaving && last_phase != Some(phase);
        last_phase = Some(phase);
        send(&shared, &socket, now, phase, to_all).await;
        wait_for_heartbeat(&shared, phase).await;
    }
}

/// Logs the addresses that callers of this VM's data centre get, if they have changed.
fn log_named(shared: &Shared, now: Time, phase: Phase, last: &mut Vec<Ipv4Addr>) {
    let dc_index = shared
        .settings
        .data_centre_index(shared.settings.data_centre.as_str());
    let membership = &shared.core().membership;
    let named = membership.caller_addresses(now, dc_index, phase, MAX_LOGGED_ADDRESSES);
    if named != *last {
        tracing::info!(event = "named", addresses = ?named, "directory");
        *last = named;
    }
}

/// Waits for the next heartbeat; a change of the phase ends the wait.
async fn wait_for_heartbeat(shared: &Shared, phase: Phase) {
    let mut receiver = shared.subscribe();
    let timer = sleep(HEARTBEAT_INTERVAL);
    tokio::pin!(timer);
    while shared.phase(clock::now()) == phase {
        tokio::select! {
            () = &mut timer => return,
            changed = receiver.changed() => if changed.is_err() { return },
        }
    }
}

/// Does the periodic work and returns the current phase.
fn tick(shared: &Shared, now: Time) -> Phase {
    let phase = shared.phase(now);
    let mut core = shared.core();
    let expired = core.endpoints.expire_grace(now);
    let Core {
        endpoints, outage, ..
    } = &mut *core;
    let unfounded = endpoints.end_unfounded_grace(outage);
    core.membership.prune(now);
    let alive = core.membership.alive(now).count();
    let unheard = core.membership.silent_count(now);
    shared.metrics.vms_alive.set(alive.cast_signed() as i64);
    shared.metrics.vms_unheard.set(unheard.cast_signed() as i64);
    core.helpers.expire(now);
    let mut remote_calls: HashMap<u32, u32> = HashMap::new();
    for (hash, count) in core.helpers.reports().flat_map(|report| &report.open_calls) {
        *remote_calls.entry(*hash).or_default() += u32::from(*count);
    }
    for (_, endpoint) in core.endpoints.iter_mut() {
        endpoint.remote_calls = remote_calls
            .get(&short_hash(endpoint.name_hash))
            .copied()
            .unwrap_or(0);
    }
    core.refresh_limits(now, shared.started);
    let outbox = core.refresh_slots(now, shared.started);
    let Core {
        origins, endpoints, ..
    } = &mut *core;
    let versions_changed = origins.note_versions(now, endpoints);
    let keeps_streams = core.keeps_streams(now);
    let is_new_keeper = keeps_streams && !core.kept_streams;
    core.kept_streams = keeps_streams;
    drop(core);
    // A VM that starts reads the entries anyway.
    if is_new_keeper && unheard > 0 && now.since(shared.started) >= STARTUP_TIME {
        shared.keeper_died.notify_one();
    }
    shared.send_slot_requests(outbox.requests);
    shared.send_slot_grants(outbox.grants);
    if versions_changed {
        shared.holds_changed.notify_one();
        shared.origin_news.notify_one();
        shared.streams_kept.notify_one();
    }
    shared.handle_endpoint_changes(&expired, "lapse");
    shared.handle_endpoint_changes(&unfounded, "no_outage");
    for key in shared.pool.evict_idle() {
        shared.mark_in_doubt(key);
    }
    update_groups(shared, now);
    rates::update(shared, now);
    phase
}

/// Adapts the sizes of the endpoint groups to the demand of all VMs.
fn update_groups(shared: &Shared, now: Time) {
    let table = shared.table.load();
    let engines = table
        .config()
        .services
        .iter()
        .filter(|s| s.engine.is_some());
    let mut core = shared.core();
    let available = engines.map(|s| core.endpoints.available(&s.name));
    let available = available.max_by_key(|available| available.len());
    let available = available.unwrap_or_default().iter();
    let hashes: Vec<u64> = available
        .filter_map(|key| Some(core.endpoints.get(*key)?.name_hash))
        .collect();
    let total = hashes.len();
    let own_demand = core.demand.decayed_to(now);
    let demand = core
        .membership
        .alive(now)
        .fold(own_demand, |demand, member| demand.plus(member.work));
    let before = core.groups.relaxed_count();
    if core.groups.update_ordered(&hashes, demand) {
        let long = core.groups.relaxed_count();
        drop(core);
        tracing::info!(
            event = "moved",
            long,
            before,
            total,
            long_ms = demand.relaxed,
            short_ms = demand.strict,
            "sides"
        );
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, now: Time, phase: Phase, to_all: bool) {
    let tells_works = scaling::divides_load(shared);
    let (heartbeats, receivers) = {
        let mut core = shared.core();
        let demand = core.demand.decayed_to(now);
        let open_calls = core
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.open_calls > 0);
        let mut open_calls: Vec<(u32, u16)> = open_calls
            .map(|(_, endpoint)| {
                (
                    short_hash(endpoint.name_hash),
                    endpoint.open_calls.min(u32::from(u16::MAX)) as u16,
                )
            })
            .collect();
        open_calls.sort_unstable_by_key(|(_, count)| core::cmp::Reverse(*count));
        open_calls.truncate(MAX_REPORTED_ENDPOINTS);
        let mut rng = core.rng.clone();
        let receivers: Vec<Ipv4Addr> = if to_all {
            core.membership.alive(now).map(|member| member.ip).collect()
        } else {
            core.membership.receivers(now, || rng.next_u64())
        };
        core.rng = rng;
        let lost_services = core.lost_services(now);
        let lost_services: Vec<u32> = lost_services.iter().map(short_service_hash).collect();
        let work = demand.engine_work();
        let mut heartbeats = core
            .membership
            .next_heartbeats(now, phase, work, receivers.len());
        let bounds = core.endpoints.bound_news(now);
        let rates = core.told_rates(now);
        let served = core.outage.ages(now);
        let works = if tells_works {
            core.service_demand.works(now)
        } else {
            Vec::new()
        };
        for heartbeat in &mut heartbeats {
            heartbeat.bounds.clone_from(&bounds);
            heartbeat.rates.clone_from(&rates);
            heartbeat.works.clone_from(&works);
            heartbeat.open_calls.clone_from(&open_calls);
            heartbeat.served = served;
            heartbeat.lost_services = Some(lost_services.clone());
        }
        (heartbeats, receivers)
    };
    let encoded: Result<Vec<Vec<u8>>, _> = heartbeats.iter().map(encode).collect();
    let encoded = match encoded {
        Ok(encoded) => encoded,
        Err(error) => return tracing::warn!(event = "unwritable", %error, "beats"),
    };
    let port = shared.settings.listen.peers.port();
    for (ip, bytes) in receivers.into_iter().zip(encoded.iter().cycle()) {
        // A failed send has the same effect as a lost datagram; the next heartbeat follows soon.
        if let Err(error) = socket
            .send_to(bytes, SocketAddr::new(ip.into(), port))
            .await
        {
            tracing::debug!(%ip, %error, "send a beat");
        }
    }
}

fn encode(heartbeat: &Heartbeat) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(heartbeat, &mut bytes)?;
    Ok(bytes)
}

async fn listen(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(event = "receive", %error, "beats");
                sleep(HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        let datagram = &buffer[..length];
        let heartbeat: Heartbeat = match ciborium::from_reader(datagram) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                // Other messages are rarer, so heartbeats are tried first.
                if let Ok(message) = ciborium::from_reader::<SlotMessage, _>(datagram) {
                    if let IpAddr::V4(ip) = from.ip() {
                        slots::receive(&shared, ip, &message);
                    }
                } else if let Ok(message) = ciborium::from_reader::<LimitMessage, _>(datagram) {
                    limits::receive(&shared, &socket, from, message).await;
                } else if let Ok(message) = ciborium::from_reader::<StreamMessage, _>(datagram) {
                    if let IpAddr::V4(ip) = from.ip() {
                        origins::receive(&shared, &socket, ip, message).await;
                    }
                } else if let Ok(message) = ciborium::from_reader::<TrialMessage, _>(datagram) {
                    if let IpAddr::V4(ip) = from.ip() {
                        trials::receive(&shared, ip, &message);
                    }
                } else if let Ok(digest) = ciborium::from_reader::<QuarantineDigest, _>(datagram) {
                    quarantine::receive(&shared, &digest);
                } else if let Ok(message) = ciborium::from_reader::<DutyMessage, _>(datagram) {
                    if let IpAddr::V4(ip) = from.ip() {
                        duties::receive(&shared, ip, message);
                    }
                } else {
                    shared.metrics.bad_datagrams.inc();
                    tracing::debug!(%from, %error, "read a beat");
                }
                continue;
            }
        };
        let MemberRecord(ip, _, _, phase, _) = heartbeat.own;
        if from.ip() != IpAddr::V4(ip) {
            shared.metrics.bad_datagrams.inc();
            continue;
        }
        let before = receive(&shared, ip, heartbeat);
        if before != Some(phase) {
            tracing::info!(event = "heard", %ip, ?phase, ?before, "member");
            if phase != Phase::Leaving {
                limits::tell_one(&shared, &socket, from).await;
            }
        }
        // A VM that has just started knows nothing; one that was cut off may have missed news.
        if before.is_none() || phase == Phase::Starting {
            quarantine::tell_one(&shared, &socket, from).await;
        }
    }
}

/// Takes in the heartbeat of a VM; returns the phase that it announced before, if it was alive.
fn receive(shared: &Shared, ip: Ipv4Addr, heartbeat: Heartbeat) -> Option<Phase> {
    let now = clock::now();
    let mut core = shared.core();
    let mut alive = core.membership.alive(now);
    let before = alive
        .find(|member| member.ip == ip)
        .map(|member| member.phase);
    drop(alive);
    core.membership.receive(now, &heartbeat);
    core.endpoints.merge_bounds(now, &heartbeat.bounds);
    core.rates.receive(now, ip, &heartbeat.rates);
    if let Some(ages) = heartbeat.served {
        core.outage.receive(now, ages);
    }
    let report = PeerReport {
        at: now,
        open_calls: heartbeat.open_calls,
        lost_services: heartbeat.lost_services,
        works: heartbeat.works,
    };
    core.helpers.record(ip, report);
    before
}
