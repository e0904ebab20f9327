//! Stops a run from another thread.

use core::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use ureq::Agent;

/// Shared by the decision thread and the run.
#[derive(Debug, Default)]
pub(crate) struct StopHandle {
    stopped: AtomicBool,
    agent: Mutex<Option<Agent>>,
}

impl StopHandle {
    /// Shuts the connection down, now or as soon as there is one.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let agent = self
            .agent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(agent) = agent {
            agent.shutdown();
        }
    }

    /// Whether the run was told to stop.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Says which connection to shut down.
    pub(crate) fn attach(&self, agent: &Agent) {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = Some(agent.clone());
        if self.is_stopped() {
            self.stop();
        }
    }
}
