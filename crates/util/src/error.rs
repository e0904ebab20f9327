//! Errors of requests, files and output.

use crate::exit::Exit;
use core::net::SocketAddr;
use poplarswitch_bench::PlotError;
use poplarswitch_node::StartError;
use poplarswitch_publish::ReadError;
use poplarswitch_settings::SecretError;
use poplarswitch_standins::ServerError;
use snafu::Snafu;
use std::io;

/// HTTP statuses of refused requests: unauthorized and forbidden.
const REFUSED_STATUSES: [u16; 2] = [401, 403];

/// An error, with the failed step and the peer or file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ToolError {
    /// A request to a VM failed without a complete, readable response.
    #[snafu(display("{step} at {peer}: {source}"))]
    Transport {
        step: &'static str,
        peer: SocketAddr,
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// A VM responded with an error status.
    #[snafu(display("{step} at {peer}: status {status}: {text}"))]
    Status {
        step: &'static str,
        peer: SocketAddr,
        status: u16,
        text: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{step} {path}: {source}"))]
    File {
        step: &'static str,
        path: String,
        source: io::Error,
    },
    /// The operators' secret can't be read.
    #[snafu(display("read the operators' secret: {source}"))]
    Secret { source: SecretError },
    /// None of the given addresses belongs to the VM.
    #[snafu(display("find VM {vm}: the given addresses belong to {found}"))]
    VmNotFound { vm: String, found: String },
    /// The platform gave no usable response in time.
    #[snafu(display("{step} at platform {peer}: no response in time"))]
    PlatformTimeout { step: &'static str, peer: String },
    /// The current set can't be read.
    #[snafu(display("read the current set at platform {peer}: {source}"))]
    CurrentSet { peer: String, source: ReadError },
    /// A stand-in of the demo failed to start.
    #[snafu(display("start a stand-in of the demo: {source}"))]
    DemoStandin { source: ServerError },
    /// A VM of the demo failed to start.
    #[snafu(display("start a VM of the demo: {source}"))]
    DemoVm { source: StartError },
    /// The set of the demo wasn't put into force.
    #[snafu(display("put the set of the demo into force: {text}"))]
    DemoSet { text: String },
    /// A plot can't be drawn or written.
    #[snafu(display("write the plots: {source}"))]
    Plot { source: PlotError },
    /// The output can't be written.
    #[snafu(display("write the output: {source}"))]
    Print { source: io::Error },
    /// A value can't be written as JSON.
    #[snafu(display("write JSON: {source}"))]
    Json { source: serde_json::Error },
}

impl ToolError {
    /// Returns the exit code of the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Transport { .. } | Self::PlatformTimeout { .. } => Exit::Unreachable,
            Self::Status { status, .. } if REFUSED_STATUSES.contains(status) => Exit::Refused,
            _ if self.is_closed_pipe() => Exit::Success,
            _ => Exit::Failure,
        }
    }

    /// Whether the connection was refused, because no process listens on the port.
    pub(crate) fn is_closed_port(&self) -> bool {
        match self {
            Self::Transport { source, .. } => match &**source {
                ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
                _ => false,
            },
            _ => false,
        }
    }

    /// Prints the error to the standard error, unless the reader of the output closed the pipe.
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
