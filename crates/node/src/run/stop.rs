//! Stops a run from another thread.

use core::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use ureq::Agent;

/// Stop flag of a run, shared by the event loop and the run's thread.
#[derive(Debug, Default)]
pub(crate) struct StopHandle {
    stopped: AtomicBool,
    agent: Mutex<Option<Agent>>,
}

impl StopHandle {
    /// Stops the run: shuts its connection down, now or as soon as its agent is attached.
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

    /// Whether the run has been stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Sets the agent whose connection [`stop`](Self::stop) shuts down.
    pub(crate) fn attach(&self, agent: &Agent) {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = Some(agent.clone());
        if self.is_stopped() {
            self.stop();
        }
    }
}
