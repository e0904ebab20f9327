//! News between VMs: a question and its answer over HTTP, coded by `ciborium`.

use crate::{
    clock,
    reader::apply,
    shared::Shared,
    snapshot::{self, SnapshotError},
    tcp::{self, ExchangeError, OpenError, Sender},
};
use bytes::Bytes;
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use http::{Request, Response};
use http_body_util::Full;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{Cursor, EntryChanges, FeedReply, FeedRequest};
use snafu::{ResultExt as _, Snafu};
use std::sync::Arc;
use tokio::time::{sleep, timeout};

/// Time for which a question may wait for news.
const WAIT: Duration = Duration::from_millis(800);
/// Time for the answer beyond that.
const ANSWER_WITHIN: Duration = Duration::from_millis(300);
/// Time for a new connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
/// Time between questions when nobody is to be asked.
const IDLE_LOOK: Duration = Duration::from_millis(150);
/// Pause after each answer, which joins changes that come together.
const PAUSE: Duration = Duration::from_millis(100);
/// Largest question or answer: a configuration and all endpoints.
const MESSAGE_BYTES: usize = 4 << 20;

/// Why a VM gave no news.
#[derive(Debug, Snafu)]
enum AskError {
    #[snafu(display("{source}"))]
    Unreached { source: OpenError },
    #[snafu(display("ask {peer}: no answer in time"))]
    Silent { peer: SocketAddr },
    #[snafu(display("ask {peer}: {source}"))]
    Broken {
        peer: SocketAddr,
        source: ExchangeError,
    },
    #[snafu(display("ask {peer}: {reason}"))]
    Unreadable { peer: SocketAddr, reason: String },
}

/// Answers a question of another VM.
pub(crate) async fn answer(shared: &Shared, arrived: Time, body: &[u8]) -> Response<Full<Bytes>> {
    let ask: FeedRequest = match ciborium::from_reader(body) {
        Ok(ask) => ask,
        Err(error) => {
            tracing::warn!(event = "unreadable", %error, "feed");
            let mut response = Response::default();
            *response.status_mut() = http::StatusCode::BAD_REQUEST;
            return response;
        }
    };
    let mut news = shared.changes();
    let wait = sleep(Duration::from_millis(u64::from(ask.wait_ms)).min(WAIT));
    tokio::pin!(wait);
    let before = proofs(shared);
    while shared.cursor() == ask.cursor && proofs(shared) == before && !shared.core().troubled {
        tokio::select! {
            () = &mut wait => break,
            changed = news.changed() => if changed.is_err() { break },
        }
    }
    let reply = reply(shared, arrived, ask.cursor);
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(&reply, &mut bytes) {
        tracing::warn!(event = "unwritable", %error, "feed");
    }
    Response::new(Full::new(bytes.into()))
}

fn proofs(shared: &Shared) -> (Option<Time>, Option<Time>) {
    let core = shared.core();
    (core.freshness.confirmed_at(), core.endpoints_proved)
}

fn reply(shared: &Shared, arrived: Time, known: Cursor) -> FeedReply {
    let table = shared.table.load_full();
    let newer = table.version() > known.version;
    let core = shared.core();
    let offset = |at: Time| at.0.cast_signed() - arrived.0.cast_signed();
    let config_confirmed = core.freshness.confirmed_at().map(offset);
    let endpoints_confirmed = core.endpoints_proved.map(offset);
    let revision = core.fleet.revision();
    let (snapshot, entries, removed) = if revision <= known.revision {
        (None, Vec::new(), Vec::new())
    } else if let Some((entries, removed)) = core.fleet.changes_since(arrived, known.revision) {
        (None, entries, removed)
    } else {
        let snapshot = shared
            .snapshot
            .at(core.fleet.change_count(), || core.fleet.entries());
        (Some(snapshot), Vec::new(), core.fleet.lapsed(arrived))
    };
    FeedReply {
        cursor: Cursor {
            version: table.version(),
            revision,
        },
        config_confirmed,
        endpoints_confirmed,
        platform_failed: core.troubled,
        config: newer.then(|| table.config().clone()),
        snapshot,
        entries,
        removed,
    }
}

/// Asks other VMs for news, for as long as the process runs.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut link: Option<(Ipv4Addr, Sender)> = None;
    loop {
        let Some(peer) = next_peer(&shared) else {
            shared.idle(IDLE_LOOK).await;
            continue;
        };
        let kept = link
            .take()
            .filter(|(ip, sender)| *ip == peer && sender.is_ready());
        match ask(&shared, peer, kept.map(|(_, sender)| sender)).await {
            Ok((sender, useful)) => {
                link = Some((peer, sender));
                if !useful {
                    shared.core().sources.mark_failed(clock::now(), peer);
                }
                sleep(PAUSE).await;
            }
            Err(error) => {
                tracing::warn!(event = "failed", %peer, %error, "feed");
                shared.core().sources.mark_failed(clock::now(), peer);
            }
        }
    }
}

fn next_peer(shared: &Shared) -> Option<Ipv4Addr> {
    let now = clock::now();
    let core = shared.core();
    let me = core.roster.local_ip();
    let order = core.news_order(now);
    let mut others: Vec<Ipv4Addr> = core.roster.alive(now).map(|member| member.ip).collect();
    others.sort_unstable_by_key(|ip| ip.to_bits() ^ me.to_bits().rotate_left(7));
    core.sources
        .upstream_peer(now, me, &order, &others, core.view_age(now))
}

/// Asks one VM; returns its connection, and whether its view is newer than this VM's.
async fn ask(
    shared: &Shared,
    ip: Ipv4Addr,
    kept: Option<Sender>,
) -> Result<(Sender, bool), AskError> {
    let peer = SocketAddr::new(ip.into(), shared.settings.listen.peers.port());
    let mut sender = match kept {
        Some(sender) => sender,
        None => tcp::open(peer, CONNECT_WITHIN)
            .await
            .context(UnreachedSnafu)?,
    };
    let question = FeedRequest {
        cursor: shared.cursor(),
        wait_ms: WAIT.as_millis() as u32,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&question, &mut bytes).map_err(|error| AskError::Unreadable {
        peer,
        reason: error.to_string(),
    })?;
    let asked = clock::now();
    let exchange = async {
        let request = Request::post("/feed")
            .header(http::header::HOST, peer.to_string())
            .body(Full::new(Bytes::from(bytes)))
            .unwrap_or_default();
        tcp::exchange(&mut sender, request, MESSAGE_BYTES)
            .await
            .context(BrokenSnafu { peer })
    };
    let (_status, body) = timeout(WAIT + ANSWER_WITHIN, exchange)
        .await
        .unwrap_or(Err(AskError::Silent { peer }))?;
    let unreadable = |reason| AskError::Unreadable { peer, reason };
    let reply: FeedReply =
        ciborium::from_reader(body.as_ref()).map_err(|error| unreadable(error.to_string()))?;
    let useful = take(shared, asked, reply).map_err(|error| unreadable(error.to_string()))?;
    Ok((sender, useful))
}

fn take(shared: &Shared, asked: Time, reply: FeedReply) -> Result<bool, SnapshotError> {
    let troubled = reply.platform_failed;
    let whole = reply
        .snapshot
        .as_deref()
        .map(snapshot::entries)
        .transpose()?;
    let mut core = shared.core();
    let revision = reply.cursor.revision;
    let overtaken = revision < core.fleet.revision();
    let mut changes = match whole {
        Some(entries) => core.fleet.apply_listing(entries, revision, None),
        None => Vec::new(),
    };
    changes.extend(
        core.fleet.apply(EntryChanges {
            entries: reply.entries,
            removed: reply
                .removed
                .into_iter()
                .map(|r| r.into_local(asked))
                .collect(),
            revision,
        }),
    );
    if !overtaken {
        let proved = reply
            .endpoints_confirmed
            .map(|offset| Time(asked.0.saturating_add_signed(offset)));
        core.endpoints_proved = core.endpoints_proved.max(proved);
    }
    drop(core);
    shared.note_fleet(&changes, "peer");
    if let Some(offset) = reply.config_confirmed
        && reply.cursor.version >= shared.table.load().version()
    {
        let proved = Time(asked.0.saturating_add_signed(offset));
        apply(shared, reply.config, proved, "peer");
    }
    let core = shared.core();
    let now = clock::now();
    Ok(!troubled && !core.sources.is_stale(now, core.view_age(now)))
}
