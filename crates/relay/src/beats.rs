//! Heartbeats between VMs, and the work that is due at each of them.

use crate::{clock, shared::Shared};
use core::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{Heartbeat, MemberRecord, Phase};
use rand::Rng as _;
use std::{collections::HashMap, sync::Arc};
use tokio::{net::UdpSocket, time::sleep};

/// Time between beats.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// Time for which another VM's open calls count.
const TOLD_FOR: Duration = Duration::from_millis(1_200);
/// Largest datagram.
const DATAGRAM_BYTES: usize = 8 << 10;
/// Endpoints whose open calls a beat tells; keeps it in one datagram.
const OPEN_MOST: usize = 40;

/// Sends and takes beats for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    let listener = tokio::spawn(listen(Arc::clone(&shared), Arc::clone(&socket)));
    let mut last = None;
    loop {
        let now = clock::now();
        let phase = tick(&shared, now);
        if last != Some(phase) {
            let age = shared
                .core()
                .freshness
                .age(now)
                .map(|age| age.as_millis() as u64);
            let version = shared.table.load().version();
            tracing::info!(event = "phase", ?phase, version, proof_ms = age, "vm");
        }
        // News that this VM is leaving goes to everybody at once.
        let urgent = phase == Phase::Leaving && last != Some(phase);
        last = Some(phase);
        send(&shared, &socket, now, phase, urgent).await;
        await_beat(&shared, phase).await;
        if listener.is_finished() {
            tracing::error!(event = "listener_ended", "beats");
            return;
        }
    }
}

/// Waits for the next beat, which comes at once when this VM begins or ceases to take calls.
async fn await_beat(shared: &Shared, phase: Phase) {
    let mut news = shared.changes();
    let due = sleep(BEAT_EVERY);
    tokio::pin!(due);
    while shared.phase(clock::now()) == phase {
        tokio::select! {
            () = &mut due => return,
            changed = news.changed() => if changed.is_err() { return },
        }
    }
}

/// The work that is due at each beat.
fn tick(shared: &Shared, now: Time) -> Phase {
    let phase = shared.phase(now);
    let mut core = shared.core();
    let expired = core.fleet.expire_grace(now);
    core.roster.prune(now);
    core.told.retain(|_, (at, _)| now.since(*at) < TOLD_FOR);
    let mut elsewhere: HashMap<u32, u32> = HashMap::new();
    for (hash, count) in core.told.values().flat_map(|(_, open)| open) {
        *elsewhere.entry(*hash).or_default() += u32::from(*count);
    }
    for (_, endpoint) in core.fleet.iter_mut() {
        endpoint.remote_calls = elsewhere
            .get(&short(endpoint.name_hash))
            .copied()
            .unwrap_or(0);
    }
    drop(core);
    shared.note_fleet(&expired, "lapse");
    shared.pool.trim();
    balance_sides(shared, now);
    phase
}

/// Moves the boundary between long and short prompts to where the demand of all VMs puts it.
fn balance_sides(shared: &Shared, now: Time) {
    let table = shared.table.load();
    let engines = table
        .config()
        .services
        .iter()
        .filter(|s| s.engine.is_some());
    let mut core = shared.core();
    let total = engines
        .map(|s| core.fleet.available(&s.name).len())
        .max()
        .unwrap_or(0);
    let own = core.demand.decayed_to(now);
    let sum = core
        .roster
        .alive(now)
        .fold(own, |sum, member| sum.plus(member.work));
    let before = core.sides.relaxed_count();
    if core.sides.update(total, sum) {
        let long = core.sides.relaxed_count();
        drop(core);
        tracing::info!(
            event = "moved",
            long,
            before,
            total,
            long_ms = sum.relaxed,
            short_ms = sum.strict,
            "sides"
        );
    }
}

async fn send(shared: &Shared, socket: &UdpSocket, now: Time, phase: Phase, urgent: bool) {
    let (beat, receivers) = {
        let mut core = shared.core();
        let demand = core.demand.decayed_to(now);
        let mut beat = core.roster.next_heartbeat(now, phase, demand.engine_work());
        let open = core
            .fleet
            .iter()
            .filter(|(_, endpoint)| endpoint.open_calls > 0);
        let mut open: Vec<(u32, u16)> = open
            .map(|(_, endpoint)| {
                (
                    short(endpoint.name_hash),
                    endpoint.open_calls.min(u32::from(u16::MAX)) as u16,
                )
            })
            .collect();
        open.sort_unstable_by_key(|(_, count)| core::cmp::Reverse(*count));
        open.truncate(OPEN_MOST);
        beat.open_calls = open;
        let mut draws = core.draws.clone();
        let receivers: Vec<Ipv4Addr> = if urgent {
            core.roster.alive(now).map(|member| member.ip).collect()
        } else {
            core.roster.receivers(now, || draws.next_u64())
        };
        core.draws = draws;
        (beat, receivers)
    };
    let mut bytes = Vec::with_capacity(256);
    if let Err(error) = ciborium::into_writer(&beat, &mut bytes) {
        tracing::warn!(event = "unwritable", %error, "beats");
        return;
    }
    let port = shared.settings.listen.peers.port();
    for ip in receivers {
        // A beat that can't be sent is like one that is lost; the next one follows soon.
        if let Err(error) = socket
            .send_to(&bytes, SocketAddr::new(ip.into(), port))
            .await
        {
            tracing::debug!(%ip, %error, "send a beat");
        }
    }
}

async fn listen(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(event = "receive", %error, "beats");
                sleep(BEAT_EVERY).await;
                continue;
            }
        };
        let beat: Heartbeat = match ciborium::from_reader(&buffer[..length]) {
            Ok(beat) => beat,
            Err(error) => {
                shared.metrics.bad_datagrams.inc();
                tracing::debug!(%from, %error, "read a beat");
                continue;
            }
        };
        let MemberRecord(ip, _, _, phase, _) = beat.own;
        if from.ip() != IpAddr::V4(ip) {
            shared.metrics.bad_datagrams.inc();
            continue;
        }
        let now = clock::now();
        let mut core = shared.core();
        let before = core.roster.alive(now).find(|m| m.ip == ip).map(|m| m.phase);
        core.roster.receive(now, &beat);
        core.told.insert(ip, (now, beat.open_calls));
        drop(core);
        if before != Some(phase) {
            tracing::info!(event = "heard", %ip, ?phase, ?before, "member");
        }
    }
}

/// The part of a rank by which VMs name an endpoint to each other.
const fn short(rank: u64) -> u32 {
    (rank >> 32) as u32
}
