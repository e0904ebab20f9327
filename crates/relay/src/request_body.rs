//! Reading of request bodies, within the memory of this VM.
//!
//! A body is not read before there is room for it; meanwhile, its caller's connection is not read
//! either. A body that is refused is read to its end and dropped: if the connection were closed
//! with a part of it unread, the caller could lose the refusal.

use crate::{
    memory::{CallMemory, HeldMemory},
    shared::Shared,
};
use bytes::{Bytes, BytesMut};
use core::time::Duration;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use poplarswitch_ingress::{COVERED_BYTES, Limits};
use poplarswitch_wire::ErrorCode;
use std::sync::Arc;
use tokio::time::timeout;

/// Divisor of the caller's remaining time that gives the longest wait for room: the other half is
/// left for the body and the answer.
const WAIT_DIVISOR: u32 = 2;

/// Reads the body of a call whose caller waits for `time_left`; the error is the code of the
/// refusal, which is [`ErrorCode::Busy`] if there is no room.
pub(crate) async fn read(
    shared: &Shared,
    body: Incoming,
    limits: Limits,
    time_left: Duration,
) -> Result<Bytes, ErrorCode> {
    let reader = BodyReader {
        memory: &shared.memory,
        in_flight: || shared.in_flight(),
        limits,
        time_left,
    };
    reader.read(body).await
}

/// Reads one body.
#[derive(Debug)]
pub(crate) struct BodyReader<'a, F> {
    pub(crate) memory: &'a Arc<CallMemory>,
    /// Number of calls in flight, this one included.
    pub(crate) in_flight: F,
    pub(crate) limits: Limits,
    pub(crate) time_left: Duration,
}

impl<F: Fn() -> usize> BodyReader<'_, F> {
    pub(crate) async fn read<B>(&self, mut body: B) -> Result<Bytes, ErrorCode>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn core::error::Error + Send + Sync>>> + Unpin,
    {
        let stated = body.size_hint();
        if stated.lower() > self.limits.body_bytes as u64 {
            return Err(ErrorCode::BodyTooLarge);
        }
        if !self.memory.has_room((self.in_flight)()) {
            self.discard(body).await;
            return Err(ErrorCode::Busy);
        }
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let is_covered = stated.upper().is_some_and(|upper| upper <= COVERED_BYTES);
        if is_covered {
            let collected = Limited::new(body, self.limits.body_bytes).collect();
            return match timeout(self.limits.idle_timeout, collected).await {
                Ok(Ok(collected)) => Ok(collected.to_bytes()),
                Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorCode::BodyTooLarge),
                Ok(Err(_broken)) => Err(ErrorCode::Malformed),
                Err(_elapsed) => Err(ErrorCode::BodyTimeout),
            };
        }
        let held = match stated.exact() {
            None => Some(HeldMemory::empty(self.memory)),
            Some(length) => {
                let wait = self.time_left / WAIT_DIVISOR;
                self.memory.reserve(length, &self.in_flight, wait).await
            }
        };
        let Some(held) = held else {
            self.discard(body).await;
            return Err(ErrorCode::Busy);
        };
        let read = timeout(
            self.limits.idle_timeout,
            self.collect(&mut body, stated.exact(), held),
        );
        let result = read.await.unwrap_or(Err(ErrorCode::BodyTimeout));
        if result == Err(ErrorCode::Busy) {
            self.discard(body).await;
        }
        result
    }

    /// Collects a body into one buffer, whose memory is counted until the last copy of it is freed.
    async fn collect<B>(
        &self,
        body: &mut B,
        length: Option<u64>,
        mut held: HeldMemory,
    ) -> Result<Bytes, ErrorCode>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut buffer = BytesMut::with_capacity(length.unwrap_or(COVERED_BYTES) as usize);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(ErrorCode::Malformed);
            };
            // Trailers are not forwarded; they concern a single connection.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let needed = buffer.len() + data.len();
            if needed > self.limits.body_bytes {
                return Err(ErrorCode::BodyTooLarge);
            }
            if needed > buffer.capacity() {
                let grown = needed.next_power_of_two().min(self.limits.body_bytes);
                let more = grown - buffer.len();
                let counted = (grown - buffer.capacity()) as u64;
                if !held.grow(counted, (self.in_flight)()) {
                    return Err(ErrorCode::Busy);
                }
                buffer.reserve(more);
            }
            buffer.extend_from_slice(&data);
        }
        Ok(held.attach(buffer))
    }

    /// Reads a body to its end without keeping it.
    async fn discard<B: Body<Data = Bytes> + Unpin>(&self, mut body: B) {
        let drained = async {
            let mut received = 0;
            while let Some(Ok(frame)) = body.frame().await {
                received += frame.data_ref().map_or(0, Bytes::len);
                if received > self.limits.body_bytes {
                    return;
                }
            }
        };
        let time_limit = self.time_left.min(self.limits.idle_timeout);
        let _ended = timeout(time_limit, drained).await;
    }
}
