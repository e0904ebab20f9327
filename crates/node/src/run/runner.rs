//! One run on its thread.
//!
//! The threads are those that tokio keeps for blocking work: started as jobs need them, up to
//! the settings' bound, and ended when idle. A run that panics still reports its end, so that
//! its slot is never lost.

use super::{chat::Cut, link::Link, stop::StopHandle};
use crate::{
    call::{Call, Piece, Work},
    event::{Event, Finished},
    shared::Shared,
};
use core::net::SocketAddr;
use poplarswitch_entity::{Attempt, EndpointName};
use poplarswitch_scheduler::{End, Ended, Fault, Mode, Progress};
use poplarswitch_settings::Limits;
use std::sync::Arc;
use tokio::sync::mpsc::error::{SendTimeoutError, TrySendError};

/// One dispatch of a call.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: Arc<Call>,
    pub(crate) endpoint: EndpointName,
    pub(crate) address: SocketAddr,
    pub(crate) attempt: Attempt,
    pub(crate) mode: Mode,
    pub(crate) stop: Arc<StopHandle>,
}

impl Job {
    /// Runs on a thread of its own; the end comes as an event.
    pub(crate) fn start(self, shared: &Arc<Shared>) {
        let held = Arc::clone(shared);
        shared.runtime.spawn_blocking(move || {
            let mut report = Report {
                shared: &held,
                job: &self,
                end: End::Failed {
                    fault: Fault::Lost,
                    emitted: self.call.emitted(),
                },
            };
            let runner = Runner {
                shared: &held,
                job: &self,
            };
            report.end = runner.run();
        });
    }

    /// Whether the caller's connection still wants pieces.
    fn is_wanted(&self) -> bool {
        !self.call.pieces.is_closed()
    }
}

/// Reports the end of a run when it goes out of scope.
struct Report<'a> {
    shared: &'a Shared,
    job: &'a Job,
    end: End,
}

impl Drop for Report<'_> {
    fn drop(&mut self) {
        let ended = Ended {
            call: self.job.call.id(),
            attempt: self.job.attempt,
            end: self.end,
        };
        self.shared.tell(Event::Finished(Finished {
            ended,
            endpoint: self.job.endpoint.clone(),
        }));
    }
}

/// One run on its thread.
pub(super) struct Runner<'a> {
    shared: &'a Shared,
    pub(super) job: &'a Job,
}

impl Runner<'_> {
    fn run(&self) -> End {
        let link = Link::new(self.job.address, self.limits());
        self.job.stop.attach(&link.agent);
        if self.job.stop.is_stopped() {
            return End::Stopped {
                emitted: self.job.call.emitted(),
            };
        }
        match &self.job.call.work {
            Work::Chat(chat) => self.chat(&link, chat),
            Work::Forward(forward) => self.forward(&link, forward),
        }
    }

    pub(super) fn shared(&self) -> &Shared {
        self.shared
    }

    pub(super) fn limits(&self) -> &Limits {
        &self.shared.settings.limits
    }

    /// Passes a piece on to the caller; waits while the caller is slow.
    pub(super) fn give(&self, piece: Piece) -> Result<(), Cut> {
        if self.job.call.outlives_caller() && !self.job.is_wanted() {
            return Ok(());
        }
        let pieces = &self.job.call.pieces;
        let Err(full) = pieces.try_send(piece) else {
            return Ok(());
        };
        let piece = match full {
            TrySendError::Full(piece) => piece,
            TrySendError::Closed(_) => return self.unwanted(),
        };
        let wait = pieces.send_timeout(piece, self.limits().unread_timeout());
        match self.shared.runtime.block_on(wait) {
            Ok(()) => Ok(()),
            Err(SendTimeoutError::Timeout(_)) => {
                self.shared.counters.callers_stalled.inc();
                self.unwanted()
            }
            Err(SendTimeoutError::Closed(_)) => self.unwanted(),
        }
    }

    fn unwanted(&self) -> Result<(), Cut> {
        if self.job.call.outlives_caller() {
            Ok(())
        } else {
            Err(Cut::CallerLeft)
        }
    }

    /// Reports output to the scheduler.
    pub(super) fn started(&self, tokens: u32) {
        self.shared.tell(Event::Progress(Progress {
            call: self.job.call.id(),
            attempt: self.job.attempt,
            tokens,
        }));
    }
}
