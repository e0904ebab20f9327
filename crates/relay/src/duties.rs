//! Duties of one VM at a time: messages of the holder to the other VMs.

use crate::{clock, shared::Shared};
use core::net::{Ipv4Addr, SocketAddr};
use poplarswitch_duties::TotalsMessage;
use poplarswitch_entity::Time;
use poplarswitch_lease::LeaseNews;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of messages of holders that are kept until they are processed.
const MAX_HEARD: usize = 16;

/// A message between VMs on the duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum DutyMessage {
    /// The holder has renewed or released the lease.
    #[serde(rename = "duty_holder")]
    Holder(HolderNews),
    /// A VM's counts of calls that began to run.
    #[serde(rename = "usage")]
    Totals(TotalsMessage),
}

/// What the holder tells the other VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HolderNews {
    /// The lease.
    pub(crate) lease: LeaseNews,
    /// VMs that take the lease over, in their order.
    pub(crate) successors: Vec<Ipv4Addr>,
    /// Time of day in Unix milliseconds.
    pub(crate) unix_ms: u64,
    /// First window of usage whose record in the platform can be trusted.
    pub(crate) first_sure: u64,
}

/// What this VM knows of the duties.
#[derive(Debug, Default)]
pub(crate) struct DutyState {
    heard: Mutex<Vec<(Time, HolderNews)>>,
    /// Notified when the holder has told something.
    pub(crate) news: Notify,
    /// Notified when this VM should let another one hold the lease.
    pub(crate) let_go: Notify,
}

impl DutyState {
    /// Takes what holders have told, with the times of arrival.
    pub(crate) fn take_heard(&self) -> Vec<(Time, HolderNews)> {
        core::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Time, HolderNews)>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Receives a message of another VM.
pub(crate) fn receive(shared: &Shared, from: Ipv4Addr, message: DutyMessage) {
    if shared.settings.duty.is_none() {
        return;
    }
    let now = clock::now();
    match message {
        DutyMessage::Totals(message) => shared.usage.merge(now, from, &message),
        DutyMessage::Holder(news) => {
            shared.duty_view.note_holder(from, &news.lease);
            shared.usage.hear_holder(now, from, &news);
            let mut heard = shared.duties.lock();
            if heard.len() < MAX_HEARD {
                heard.push((now, news));
            }
            drop(heard);
            shared.duties.news.notify_one();
        }
    }
}

/// Sends a message to other VMs.
pub(crate) async fn send(shared: &Shared, receivers: &[Ipv4Addr], message: &DutyMessage) {
    let Some(socket) = shared.peer_socket.get() else {
        return;
    };
    let mut bytes = Vec::with_capacity(128);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        return tracing::warn!(event = "unwritable", %error, "duties");
    }
    let port = shared.settings.listen.peers.port();
    for ip in receivers {
        let peer = SocketAddr::new((*ip).into(), port);
        // A failed send has the same effect as a lost datagram.
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%ip, %error, "send a message on duties");
        }
    }
}
