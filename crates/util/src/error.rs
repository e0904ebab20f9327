//! What can go wrong outside the tool.

use crate::exit::Exit;
use core::net::SocketAddr;
use poplarswitch_bench::PlotError;
use poplarswitch_node::StartError;
use poplarswitch_publish::ReadError;
use poplarswitch_settings::SecretError;
use poplarswitch_standins::ServerError;
use snafu::Snafu;
use std::io;

/// Unauthorized or forbidden.
const REFUSED: [u16; 2] = [401, 403];

/// An error with the step and the peer at which it arose.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ToolError {
    /// No answer came.
    #[snafu(display("{step} at {peer}: {source}"))]
    Exchange {
        step: &'static str,
        peer: SocketAddr,
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// An answer came that says no.
    #[snafu(display("{step} at {peer}: status {status}: {text}"))]
    Status {
        step: &'static str,
        peer: SocketAddr,
        status: u16,
        text: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{step} {path}: {source}"))]
    File {
        step: &'static str,
        path: String,
        source: io::Error,
    },
    /// No operators' secret is at hand.
    #[snafu(display("read the operators' secret: {source}"))]
    Secret { source: SecretError },
    /// None of the addresses belongs to the VM.
    #[snafu(display("find VM {vm}: the addresses given belong to {found}"))]
    NoVm { vm: String, found: String },
    /// The platform gave no answer for too long.
    #[snafu(display("{step} at platform {peer}: no answer"))]
    Away { step: &'static str, peer: String },
    /// The current set can't be read.
    #[snafu(display("read the current set at platform {peer}: {source}"))]
    Head { peer: String, source: ReadError },
    /// A stand-in of the demo did not start.
    #[snafu(display("start the demo: {source}"))]
    DemoStart { source: ServerError },
    /// A VM of the demo did not start.
    #[snafu(display("start a VM of the demo: {source}"))]
    DemoVm { source: StartError },
    /// The set of the demo did not come into force.
    #[snafu(display("put the set of the demo into force: {text}"))]
    DemoSet { text: String },
    /// A plot could not be drawn.
    #[snafu(display("plot: {source}"))]
    Plot { source: PlotError },
    /// The output could not be written.
    #[snafu(display("write the output: {source}"))]
    Print { source: io::Error },
    /// A value has no JSON form.
    #[snafu(display("write the output: {source}"))]
    Json { source: serde_json::Error },
}

impl ToolError {
    /// The exit code that goes with it.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Exchange { .. } | Self::Away { .. } => Exit::Unreachable,
            Self::Status { status, .. } if REFUSED.contains(status) => Exit::Refused,
            _ if self.is_closed_pipe() => Exit::Success,
            _ => Exit::Failure,
        }
    }

    /// Whether the machine answered that no process listens.
    pub(crate) fn is_closed_port(&self) -> bool {
        match self {
            Self::Exchange { source, .. } => match &**source {
                ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
                _ => false,
            },
            _ => false,
        }
    }

    /// Tells the operator, unless the reader of the output just went away.
    pub(crate) fn report(&self) {
        if !self.is_closed_pipe() {
            eprintln!("poplarctl: {self}");
        }
    }

    fn is_closed_pipe(&self) -> bool {
        let closed = |error: &io::Error| error.kind() == io::ErrorKind::BrokenPipe;
        match self {
            Self::Print { source } => closed(source),
            Self::Json { source } => source.io_error_kind() == Some(io::ErrorKind::BrokenPipe),
            _ => false,
        }
    }
}
