//! Tasks that run until the process exits.
//!
//! The state of the decision logic is valid between decisions, so a task that has panicked is started
//! again: without it, this VM would still take calls, but with a view that gets old.

use core::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

/// Time after which a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task, and starts it again whenever it panics.
pub(crate) fn keep_running<F>(
    name: &'static str,
    start: impl Fn() -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            if error.is_cancelled() {
                return;
            }
            tracing::error!(event = "panicked", task = name, "process");
            sleep(RESTART_DELAY).await;
        }
    })
}
