//! Answers that arrive when nobody waits for them any more.
//!
//! An endpoint that turns a call away when its deadline passes answers at the moment at which the call is
//! given up. What such an answer says of the endpoint binds this VM as any other answer does, so the
//! connection is kept a little longer. It is closed at once if a call ends well before its deadline,
//! because the endpoint would go on with the call meanwhile.

use crate::{
    ResponseKind,
    attempt::{Answer, ExchangeFuture},
    clock,
    shared::Shared,
};
use core::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::EndpointKey;
use std::sync::Arc;
use tokio::{runtime::Handle, time::timeout};

/// Time for which a late answer is awaited; longer than a round trip between data centres.
const LATE_TIME: Duration = Duration::from_millis(150);
/// Time before the deadline of a call from which its endpoint may be about to turn it away.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// A request whose response is awaited.
pub(crate) struct Exchange {
    /// None once the response has arrived.
    future: Option<ExchangeFuture>,
    shared: Arc<Shared>,
    key: EndpointKey,
    call_id: Box<str>,
    deadline: Time,
}

impl Exchange {
    pub(crate) fn new(
        future: ExchangeFuture,
        shared: &Arc<Shared>,
        key: EndpointKey,
        call_id: &str,
        deadline: Time,
    ) -> Self {
        Self {
            future: Some(future),
            shared: Arc::clone(shared),
            key,
            call_id: call_id.into(),
            deadline,
        }
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("call_id", &self.call_id)
            .finish_non_exhaustive()
    }
}

impl Future for Exchange {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let Some(future) = &mut self.future else {
            return Poll::Pending;
        };
        let answer = future.as_mut().poll(cx);
        if answer.is_ready() {
            self.future = None;
        }
        answer
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(future) = self.future.take() else {
            return;
        };
        if self.deadline.since(clock::now()) > DEADLINE_MARGIN {
            return;
        }
        let (shared, key) = (Arc::clone(&self.shared), self.key);
        let call_id = core::mem::take(&mut self.call_id);
        // Without a runtime, the process is about to exit.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                if let Ok(Ok((response, _sender))) = timeout(LATE_TIME, future).await {
                    shared.record_late_answer(key, &call_id, &response);
                }
            });
        }
    }
}

impl Shared {
    /// Takes in what a late answer says of its endpoint.
    fn record_late_answer<B>(&self, key: EndpointKey, call_id: &str, response: &http::Response<B>) {
        let status = response.status();
        let info = self
            .protocol
            .classify_response(status, response.headers(), call_id);
        match info.kind {
            ResponseKind::OtherCall | ResponseKind::Displaced => return,
            ResponseKind::NotRun => self.record_rejection(key),
            ResponseKind::Answer => {}
        }
        let sent = clock::now();
        self.record_notice(key, sent, info.notice, Some(call_id));
    }
}
