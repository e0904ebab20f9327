//! Executes runs on the blocking threads of the tokio runtime.
//!
//! The runtime starts threads as needed, up to a limit derived from the settings, and ends idle
//! ones. A run that panics still reports its end, so that its slot at the endpoint is released.

use super::{chat::RunError, connection::Connection, stop::StopHandle};
use crate::{
    call::{Call, Operation, ResponsePart},
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
    /// Runs on a blocking thread; the end arrives as an event.
    pub(crate) fn start(self, shared: &Arc<Shared>) {
        let task_shared = Arc::clone(shared);
        shared.runtime.spawn_blocking(move || {
            let mut guard = EndGuard {
                shared: &task_shared,
                job: &self,
                end: End::Failed {
                    fault: Fault::Lost,
                    emitted: self.call.emitted(),
                },
            };
            let runner = Runner {
                shared: &task_shared,
                job: &self,
            };
            guard.end = runner.run();
        });
    }

    /// Whether the caller still receives parts.
    fn is_caller_connected(&self) -> bool {
        !self.call.parts.is_closed()
    }
}

/// Reports the end of a run when dropped, also after a panic.
struct EndGuard<'a> {
    shared: &'a Shared,
    job: &'a Job,
    end: End,
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        let ended = Ended {
            call: self.job.call.id(),
            attempt: self.job.attempt,
            end: self.end,
        };
        self.shared.send_event(Event::Finished(Finished {
            ended,
            endpoint: self.job.endpoint.clone(),
        }));
    }
}

/// Execution of one run.
pub(super) struct Runner<'a> {
    shared: &'a Shared,
    pub(super) job: &'a Job,
}

impl Runner<'_> {
    fn run(&self) -> End {
        let connection = Connection::new(self.job.address, self.limits());
        self.job.stop.attach(&connection.agent);
        if self.job.stop.is_stopped() {
            return End::Stopped {
                emitted: self.job.call.emitted(),
            };
        }
        match &self.job.call.operation {
            Operation::Chat(chat) => self.run_chat(&connection, chat),
            Operation::Service(service_call) => self.run_service_call(&connection, service_call),
        }
    }

    pub(super) fn shared(&self) -> &Shared {
        self.shared
    }

    pub(super) fn limits(&self) -> &Limits {
        &self.shared.settings.limits
    }

    /// Passes a part on to the caller; blocks while the caller's queue is full.
    pub(super) fn send_part(&self, part: ResponsePart) -> Result<(), RunError> {
        if self.job.call.continues_without_caller() && !self.job.is_caller_connected() {
            return Ok(());
        }
        let parts = &self.job.call.parts;
        let Err(error) = parts.try_send(part) else {
            return Ok(());
        };
        let part = match error {
            TrySendError::Full(part) => part,
            TrySendError::Closed(_) => return self.caller_gone(),
        };
        let send = parts.send_timeout(part, self.limits().unread_timeout());
        match self.shared.runtime.block_on(send) {
            Ok(()) => Ok(()),
            Err(SendTimeoutError::Timeout(_)) => {
                self.shared.counters.callers_stalled.inc();
                self.caller_gone()
            }
            Err(SendTimeoutError::Closed(_)) => self.caller_gone(),
        }
    }

    fn caller_gone(&self) -> Result<(), RunError> {
        if self.job.call.continues_without_caller() {
            Ok(())
        } else {
            Err(RunError::CallerLeft)
        }
    }

    /// Reports the number of tokens produced so far to the scheduler.
    pub(super) fn report_progress(&self, tokens: u32) {
        self.shared.send_event(Event::Progress(Progress {
            call: self.job.call.id(),
            attempt: self.job.attempt,
            tokens,
        }));
    }
}
