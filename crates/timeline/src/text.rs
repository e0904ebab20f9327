//! Text form of events and timelines.

use crate::{Event, EventKind, Outcome, RefusalCause, Timeline};
use core::fmt;

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::InDoubt => "in doubt",
        })
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RateLimit => "rate limit",
            Self::QueueFull => "queue full",
            Self::Overload => "overload",
            Self::WaitExpired => "wait expired",
            Self::NoEndpoint => "no usable endpoint",
            Self::Unknown => "unknown class or route",
            Self::Unauthorized => "unauthorized",
            Self::Malformed => "malformed",
            Self::Draining => "draining",
            Self::NoSet => "no set in force",
            Self::KeyHeld => "key held",
        })
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arrived { class, workspace } => {
                write!(f, "arrived, class {class}, workspace {workspace}")
            }
            Self::Queued { depth } => write!(f, "queued, depth {depth}"),
            Self::Dispatched { endpoint, attempt } => {
                write!(f, "dispatched to {endpoint}, attempt {}", attempt.0)
            }
            Self::Preempted { endpoint } => write!(f, "preempted at {endpoint}"),
            Self::FirstToken => f.write_str("first token"),
            Self::Ended { outcome, tokens } => write!(f, "ended, {outcome}, {tokens} tokens"),
            Self::Refused { cause } => write!(f, "refused, {cause}"),
            Self::Cancelled => f.write_str("cancelled by its caller"),
            Self::Forwarded { to } => write!(f, "forwarded to {to}"),
            Self::GenerationInForce { generation } => write!(f, "generation {generation} in force"),
            Self::GenerationRefused { generation } => write!(f, "generation {generation} refused"),
            Self::MemberUp {
                member,
                incarnation,
            } => write!(f, "member {member} {incarnation} up"),
            Self::MemberSuspect {
                member,
                incarnation,
            } => write!(f, "member {member} {incarnation} suspect"),
            Self::MemberGone {
                member,
                incarnation,
            } => write!(f, "member {member} {incarnation} gone"),
            Self::MemberLeaving {
                member,
                incarnation,
            } => write!(f, "member {member} {incarnation} leaving"),
            Self::DrainBegan { in_flight } => write!(f, "drain began, {in_flight} in flight"),
            Self::DrainEnded { cut } => write!(f, "drain ended, {cut} cut off"),
            Self::LeaseTaken { lease, number } => write!(f, "lease {lease} taken, number {number}"),
            Self::LeaseLost { lease, number } => write!(f, "lease {lease} lost, number {number}"),
            Self::OrderSent { endpoint, number } => {
                write!(f, "order sent to {endpoint}, number {number}")
            }
            Self::OrderApplied { endpoint, number } => {
                write!(f, "order applied by {endpoint}, number {number}")
            }
            Self::OrderRefused { endpoint, number } => {
                write!(f, "order refused by {endpoint}, number {number}")
            }
            Self::PlatformDown => f.write_str("platform down"),
            Self::PlatformUp => f.write_str("platform up"),
            Self::EndpointEjected { endpoint } => write!(f, "endpoint {endpoint} ejected"),
            Self::EndpointProbed { endpoint } => write!(f, "endpoint {endpoint} probed"),
            Self::EndpointBack { endpoint } => write!(f, "endpoint {endpoint} back"),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.vm, self.incarnation)?;
        if let Some(call) = self.call {
            write!(f, " call {call}")?;
        }
        write!(f, " {}", self.kind)
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for gap in &self.gaps {
            let (vm, incarnation) = (&gap.vm, gap.incarnation);
            writeln!(
                f,
                "# {vm} {incarnation} dropped {} earlier events",
                gap.lost
            )?;
        }
        self.events
            .iter()
            .try_for_each(|event| writeln!(f, "{event}"))
    }
}
