//! Classification of the result of an attempt, and what it says of its endpoint.

use crate::{
    ResponseInfo, ResponseKind,
    attempt::{
        Answer, EndpointResponse, FailedAttempt, FailedExchange, MAX_INTERIM, PendingAttempt,
        UnreadResponse,
    },
    call_forwarder::CallForwarder,
    clock,
    framing::framing_of,
    reply::millis_since,
};
use http::{StatusCode, response};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{EndpointKey, Health, Outcome};

/// Whether a status is one of a final answer (RFC 9110, section 15). A switch of protocols (101) is
/// none, because no call asks for one.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl CallForwarder {
    /// Records the result of an attempt with a response.
    pub(crate) fn finish(
        &mut self,
        key: EndpointKey,
        response: EndpointResponse,
    ) -> Result<EndpointResponse, FailedAttempt> {
        let status = match &response {
            EndpointResponse::Buffered(head, _) => head.status,
            EndpointResponse::Streaming(unread) => unread.head.status,
            EndpointResponse::Forwarded(forwarded) => forwarded.head.status,
        };
        if !status.is_server_error() {
            self.record_health(key, |health, _| health.record_success());
            return Ok(response);
        }
        self.record_failure(key);
        Err(FailedAttempt {
            outcome: Outcome::Failed,
            response: Some(Box::new(response)),
            cause: "the endpoint reported a failure".to_owned(),
        })
    }

    /// Classifies the result of a request; returns the response if its body may be used. If the
    /// endpoint has not run the call, it doesn't count among those that may have.
    pub(crate) fn accept(
        &mut self,
        pending: PendingAttempt,
        result: Answer,
    ) -> Result<UnreadResponse, FailedAttempt> {
        let accepted = self.classify(pending, result);
        // A stream counts with its first event.
        if accepted.is_ok() && !self.request.route.kind.is_stream() {
            self.count_begun();
        }
        if let Err(failed) = &accepted
            && !failed.outcome.may_have_run()
        {
            self.attempts.maybe_run -= 1;
            self.end_unrun_trial(failed.outcome, &failed.cause);
        }
        accepted
    }

    fn classify(
        &mut self,
        mut pending: PendingAttempt,
        result: Answer,
    ) -> Result<UnreadResponse, FailedAttempt> {
        let key = pending.key();
        let (response, sender) = result
            .map_err(|error| self.classify_failure(key, pending.sent, pending.reused, error))?;
        let (head, body) = response.into_parts();
        let info = self.shared.protocol.classify_response(
            head.status,
            &head.headers,
            &self.request.call.id,
        );
        self.observe_limit(key, &pending.info.endpoint, pending.sent, &info);
        if info.kind == ResponseKind::NotRun {
            self.log_rejection(key, &info);
        }
        self.observe_notice(key, pending.sent, &info);
        if let Err(failed) = self.check_head(key, &head, &info) {
            if failed.outcome == Outcome::Refused {
                pending.open_call.record_refusal();
            }
            return Err(failed);
        }
        self.record_alive(key);
        Ok(UnreadResponse {
            info: pending.info,
            framing: framing_of(&head.headers, &body),
            head,
            body,
            open_call: pending.open_call,
            sender,
            idle_timeout: info.idle_timeout,
            sent: pending.sent,
            began: clock::now(),
        })
    }

    fn classify_failure(
        &mut self,
        key: EndpointKey,
        sent: Time,
        reused: bool,
        error: FailedExchange,
    ) -> FailedAttempt {
        let after = millis_since(sent);
        match error {
            FailedExchange::TooManyInterim => {
                self.record_failure(key);
                let cause = format!("more than {MAX_INTERIM} interim responses");
                FailedAttempt::new(Outcome::Doubtful, cause)
            }
            FailedExchange::Unsent(error) => {
                if reused {
                    self.shared.mark_in_doubt(key);
                } else {
                    self.record_failure(key);
                }
                FailedAttempt::new(Outcome::NotSent, format!("after {after} ms: {error}"))
            }
            FailedExchange::Broken(error) => {
                self.record_failure(key);
                self.record_cut(key, None);
                FailedAttempt::new(Outcome::Doubtful, format!("after {after} ms: {error}"))
            }
        }
    }

    /// Checks whether a response may be forwarded to the caller.
    fn check_head(
        &self,
        key: EndpointKey,
        head: &response::Parts,
        info: &ResponseInfo,
    ) -> Result<(), FailedAttempt> {
        let status = head.status;
        match info.kind {
            ResponseKind::Answer => {}
            ResponseKind::OtherCall => {
                return Err(FailedAttempt::new(
                    Outcome::Doubtful,
                    "the response has the identifier of another call",
                ));
            }
            ResponseKind::Displaced => {
                self.record_health(key, Health::record_unreachable);
                return Err(FailedAttempt::new(
                    Outcome::Displaced,
                    format!("status {status}"),
                ));
            }
            ResponseKind::NotRun => {
                self.record_health(key, Health::record_full);
                self.shared.record_rejection(key);
                return Err(FailedAttempt::new(
                    Outcome::Refused,
                    format!("status {status}"),
                ));
            }
        }
        if !is_final(status) {
            self.record_failure(key);
            let cause = format!("status {status} is no status of a final answer");
            return Err(FailedAttempt::new(Outcome::Doubtful, cause));
        }
        if !info.signed {
            self.record_failure(key);
            let cause = format!("status {status} without the endpoint's signature");
            return Err(FailedAttempt::new(Outcome::Doubtful, cause));
        }
        let says_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
        if says_not_run {
            // To the caller, these status codes mean that the call has not run.
            let cause = format!("status {status} from an endpoint that may have run the call");
            return Err(FailedAttempt::new(Outcome::Doubtful, cause));
        }
        Ok(())
    }

    /// Records that an endpoint failed a call.
    pub(crate) fn record_failure(&self, key: EndpointKey) {
        self.shared.mark_in_doubt(key);
        self.record_health(key, |health, now| {
            health.record_failure(now);
        });
    }

    /// Updates an endpoint's health with the result of a call, and logs an ejection.
    pub(crate) fn record_health(&self, key: EndpointKey, update: impl FnOnce(&mut Health, Time)) {
        let now = clock::now();
        let mut core = self.shared.core();
        let Some(endpoint) = core.endpoints.get_mut(key) else {
            return;
        };
        let before = endpoint.health.is_ejected(now);
        update(&mut endpoint.health, now);
        let ejected = !before && endpoint.health.is_ejected(now);
        let failing = endpoint.health.failure_rate();
        let name = endpoint.entry.name.clone();
        drop(core);
        if ejected {
            tracing::info!(
                event = "rests",
                endpoint = name.as_str(),
                failing,
                id = &*self.request.call.id,
                "endpoint"
            );
        }
    }
}
