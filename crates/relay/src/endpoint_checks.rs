//! Reports that show which incarnation of an endpoint serves; see [`poplarswitch_ingress::ReportChecks`].
//!
//! A call asks for a report on its own connection, unless a check that is under way will show the same. A
//! check goes on when its call has stopped waiting: the report then serves other calls, and the connection
//! is kept for them.

use crate::{
    call_forwarder::CallForwarder,
    clock,
    placement::fetch_report,
    pool::Connection,
    shared::Shared,
    tcp::{self, Sender},
};
use core::{net::SocketAddr, time::Duration};
use futures_util::future::select_all;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    CheckState, EndpointKey, EngineReport, Incarnation, Placement, ReportChecks,
    longest_report_wait,
};
use std::{collections::HashMap, sync::Arc};
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, timeout, timeout_at},
};

/// Time limit for a report; it ends a check whose endpoint hangs.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a new connection for a check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a connection is not used.
const OTHER: &str = "another incarnation serves under the endpoint's name";

/// Wakes the calls that wait for checks of each endpoint.
pub(crate) type CheckEnds = HashMap<EndpointKey, watch::Sender<()>>;

/// The connection of a call that waits for a report.
#[derive(Debug)]
enum Held {
    Own(Connection),
    /// The check of the call uses it.
    Lent(oneshot::Receiver<Result<Connection, String>>),
    /// The call needs no connection.
    Nothing,
}

/// A wait for a report.
#[derive(Debug)]
pub(crate) struct EndpointCheck {
    key: EndpointKey,
    /// The report must be asked for at this time or later.
    since: Time,
    held: Held,
}

/// End of a wait for a report.
#[derive(Debug)]
pub(crate) enum CheckEnd {
    /// The connection is one to the incarnation that this VM knows.
    Known(Option<Connection>),
    /// Another incarnation serves, or the endpoint was removed.
    Other,
    Failed(String),
    /// There is no report yet.
    Late,
}

/// An endpoint whose report came too late, or has not come yet.
#[derive(Debug)]
pub(crate) struct LateCheck {
    placement: Placement,
    check: EndpointCheck,
}

impl EndpointCheck {
    /// Check of the endpoint behind a connection.
    pub(crate) const fn of(key: EndpointKey, connection: Connection) -> Self {
        Self {
            key,
            since: connection.open,
            held: Held::Own(connection),
        }
    }

    /// Check of the endpoint as it has been since a time.
    pub(crate) const fn since(key: EndpointKey, since: Time) -> Self {
        Self {
            key,
            since,
            held: Held::Nothing,
        }
    }

    /// Waits for a report until `limit`. The wait may be continued later.
    pub(crate) async fn wait(&mut self, shared: &Arc<Shared>, limit: Instant) -> CheckEnd {
        let mut asked = matches!(self.held, Held::Lent(_));
        loop {
            let now = clock::now();
            let (state, ends) = {
                let mut core = shared.core();
                if core.endpoints.get(self.key).is_none() {
                    return CheckEnd::Other;
                }
                let state = core.checks.state(now, self.key, self.since);
                let waits = match state {
                    CheckState::Found(_) => false,
                    CheckState::Running => true,
                    CheckState::Due(at) => at > now,
                };
                let ends = waits.then(|| core.check_ends.entry(self.key).or_default().subscribe());
                (state, ends)
            };
            let again_at = match state {
                CheckState::Found(Incarnation::Known) => return self.take_back(limit).await,
                CheckState::Found(_) => return CheckEnd::Other,
                CheckState::Running => limit,
                CheckState::Due(at) => limit.min(Instant::now() + at.since(now)),
            };
            if let Some(mut ends) = ends {
                // The sender is dropped only while nobody waits.
                let ended = timeout_at(again_at, ends.changed()).await;
                if ended.is_err() && again_at == limit {
                    return CheckEnd::Late;
                }
            } else if asked {
                return match self.take_back(limit).await {
                    CheckEnd::Known(None) => CheckEnd::Failed("no report".to_owned()),
                    end => end,
                };
            } else {
                asked = true;
                self.begin(shared, now);
            }
        }
    }

    /// Begins a check, on the connection of the call if it has one.
    fn begin(&mut self, shared: &Arc<Shared>, now: Time) {
        shared.core().checks.begin(now, self.key);
        let (sender, receiver) = oneshot::channel();
        let connection = match core::mem::replace(&mut self.held, Held::Nothing) {
            Held::Own(connection) => {
                self.held = Held::Lent(receiver);
                Some(connection)
            }
            Held::Lent(_) | Held::Nothing => None,
        };
        let running = RunningCheck {
            shared: Arc::clone(shared),
            key: self.key,
            asked: now,
            found: Incarnation::Undecided,
        };
        tokio::spawn(running.run(connection, sender));
    }

    /// The connection, once the check of the call no longer uses it.
    async fn take_back(&mut self, limit: Instant) -> CheckEnd {
        let returned = match &mut self.held {
            Held::Lent(lent) => match timeout_at(limit, lent).await {
                Ok(Ok(returned)) => Some(returned),
                Ok(Err(_dropped)) => Some(Err("the check was stopped".to_owned())),
                Err(_elapsed) => return CheckEnd::Late,
            },
            Held::Own(_) | Held::Nothing => None,
        };
        let held = core::mem::replace(&mut self.held, Held::Nothing);
        match (returned, held) {
            (Some(Ok(connection)), _) | (None, Held::Own(connection)) => {
                CheckEnd::Known(Some(connection))
            }
            (Some(Err(cause)), _) => CheckEnd::Failed(cause),
            (None, Held::Lent(_) | Held::Nothing) => CheckEnd::Known(None),
        }
    }
}

/// A check that is under way; it ends when this is dropped.
struct RunningCheck {
    shared: Arc<Shared>,
    key: EndpointKey,
    asked: Time,
    found: Incarnation,
}

impl RunningCheck {
    async fn run(
        mut self,
        connection: Option<Connection>,
        back: oneshot::Sender<Result<Connection, String>>,
    ) {
        let report = timeout(REPORT_TIMEOUT, self.fetch(connection)).await;
        let (shared, key) = (Arc::clone(&self.shared), self.key);
        let returned = match report {
            Ok(Ok((found, connection))) => {
                self.found = found;
                let is_known = found == Incarnation::Known;
                is_known
                    .then_some(connection)
                    .ok_or_else(|| OTHER.to_owned())
            }
            Ok(Err(cause)) => Err(cause),
            Err(_elapsed) => Err("no report in time".to_owned()),
        };
        drop(self);
        if let Err(Ok(connection)) = back.send(returned) {
            shared.return_connection(key, connection.sender, None);
        }
    }

    async fn fetch(
        &self,
        connection: Option<Connection>,
    ) -> Result<(Incarnation, Connection), String> {
        let endpoint = self.shared.core().endpoints.get(self.key).cloned();
        let entry = endpoint.ok_or("the endpoint was removed")?.entry;
        self.shared.metrics.probes.inc();
        let connection = match connection {
            Some(connection) => connection,
            None => self.connect(entry.address).await?,
        };
        let Connection { reused, open, .. } = connection;
        let report = fetch_report(&self.shared, connection, entry.address).await;
        let (report, sender): (EngineReport, Sender) = report?;
        let found = Incarnation::of(Some(&report), entry.start_ms);
        Ok((
            found,
            Connection {
                sender,
                reused,
                open,
            },
        ))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        self.shared.metrics.connections.inc();
        let sender = tcp::open(address, CONNECT_TIMEOUT).await;
        Ok(Connection {
            sender: sender.map_err(|error| error.to_string())?,
            reused: false,
            open: clock::now(),
        })
    }
}

impl Drop for RunningCheck {
    fn drop(&mut self) {
        let now = clock::now();
        let taken = now.since(self.asked);
        let mut core = self.shared.core();
        core.checks.end(now, self.key, self.asked, self.found);
        let name = core.endpoints.get(self.key).map(|e| e.entry.name.clone());
        drop(core);
        if ReportChecks::is_late(taken) {
            self.shared.metrics.late_reports.inc();
            tracing::info!(
                event = "slow_report",
                endpoint = name.as_ref().map(poplarswitch_entity::EndpointName::as_str),
                taken_ms = taken.as_millis() as u64,
                found = ?self.found,
                "endpoint"
            );
        }
        self.shared.settle_streams(self.key, self.asked, self.found);
        let mut core = self.shared.core();
        if let Some(ends) = core.check_ends.get(&self.key) {
            ends.send_replace(());
        }
        core.check_ends.retain(|_, ends| ends.receiver_count() > 0);
    }
}

impl CallForwarder {
    /// Waits until an endpoint shows by a report on a connection, or one on another connection after it,
    /// that it is the incarnation that this VM knows; returns the connection if so. A call that awaits
    /// several reports may stop waiting for this one for the time being.
    pub(crate) async fn check_incarnation(
        &mut self,
        placement: Placement,
        mut check: EndpointCheck,
    ) -> Result<Connection, String> {
        let key = placement.endpoint;
        let asked = clock::now();
        let time_left = self.request.deadline.since(asked);
        let awaited = self.late_checks.len();
        let patience = self.shared.core().checks.patience(key, time_left, awaited);
        match check.wait(&self.shared, Instant::now() + patience).await {
            CheckEnd::Known(Some(connection)) => Ok(connection),
            CheckEnd::Known(None) => Err("the connection was closed".to_owned()),
            CheckEnd::Other => Err(OTHER.to_owned()),
            CheckEnd::Failed(cause) => Err(cause),
            CheckEnd::Late => {
                // A link that was lost shows on a new connection only.
                self.shared.spawn_link_check(key, asked);
                if ReportChecks::may_ask_another(awaited) && !self.is_unsent_trial() {
                    self.late_checks.push(LateCheck { placement, check });
                }
                Err(format!("no report within {} ms", patience.as_millis()))
            }
        }
    }

    /// The wait for a report of an endpoint that this call has stopped.
    pub(crate) fn take_late_check(&mut self, key: EndpointKey) -> Option<EndpointCheck> {
        let is_same = |late: &LateCheck| late.placement.endpoint == key;
        let index = self.late_checks.iter().position(is_same)?;
        Some(self.late_checks.swap_remove(index).check)
    }

    /// Whether this call still waits for a report of an endpoint.
    pub(crate) fn awaits_report(&self, key: EndpointKey) -> bool {
        let mut late = self.late_checks.iter();
        late.any(|late| late.placement.endpoint == key)
    }

    /// Waits for the first of the late reports until the deadline of the call, or until another VM can take
    /// the call because this one has lost its service; returns the placement at its endpoint.
    pub(crate) async fn await_late_report(&mut self) -> Option<Placement> {
        let time_left = self.request.deadline.since(clock::now());
        let limit = Instant::now() + longest_report_wait(time_left);
        let mut losses = self.shared.losses.subscribe();
        while !self.late_checks.is_empty() && !self.can_forward() {
            let waits = self
                .late_checks
                .iter_mut()
                .map(|late| Box::pin(late.check.wait(&self.shared, limit)));
            let (end, index) = tokio::select! {
                biased;
                (end, index, _others) = select_all(waits) => (end, index),
                // The sender is not dropped during the wait.
                _changed = losses.changed() => continue,
            };
            let LateCheck { placement, check } = self.late_checks.swap_remove(index);
            match end {
                CheckEnd::Known(Some(connection)) => {
                    let check = EndpointCheck::of(check.key, connection);
                    self.late_checks.push(LateCheck { placement, check });
                    return Some(placement);
                }
                CheckEnd::Late => return None,
                CheckEnd::Known(None) | CheckEnd::Other | CheckEnd::Failed(_) => {}
            }
        }
        None
    }
}
