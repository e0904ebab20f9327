//! A new connection to an endpoint for each call.
//!
//! An endpoint may close a pooled connection just as a call is written to it, which leaves the
//! call in doubt. With one connection per call, a refused connection proves that nothing was
//! sent. The transport records that bytes are sent before it writes the first ones to the
//! socket.

use core::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};
use poplarswitch_scheduler::Fault;
use poplarswitch_settings::Limits;
use std::sync::Arc;
use ureq::{
    Agent, Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::{Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport},
    },
};

/// Size of a connection's buffer in each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// An HTTP agent for one call.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) agent: Agent,
    pub(crate) base_url: String,
    sent: Arc<AtomicBool>,
}

impl Connection {
    /// Prepares a connection, which is opened by the first request.
    pub(crate) fn new(address: SocketAddr, limits: &Limits) -> Self {
        let sent = Arc::new(AtomicBool::new(false));
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .allow_non_standard_methods(true)
            .max_idle_connections(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .timeout_connect(Some(limits.connect_timeout()))
            .timeout_per_read(Some(limits.idle_timeout()))
            .timeout_per_write(Some(limits.idle_timeout()))
            .build();
        let connector = RecordingConnector {
            sent: Arc::clone(&sent),
        };
        Self {
            agent: Agent::with_parts(config, connector, AddressResolver),
            base_url: format!("http://{address}"),
            sent,
        }
    }

    /// Fault of a connection error: lost if a byte was sent, otherwise unreached.
    pub(crate) fn fault(&self) -> Fault {
        if self.sent.load(Ordering::Acquire) {
            Fault::Lost
        } else {
            Fault::Unreached
        }
    }
}

/// Resolver that parses the address in the URL, since endpoints are declared by address.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri
            .authority()
            .and_then(|authority| authority.as_str().parse().ok())
            .ok_or(Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}

#[derive(Debug)]
struct RecordingConnector {
    sent: Arc<AtomicBool>,
}

impl Connector<()> for RecordingConnector {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let inner = TcpConnector::default().connect(details, chained)?;
        Ok(inner.map(|inner| {
            let transport: Box<dyn Transport> = Box::new(RecordingTransport {
                inner,
                sent: Arc::clone(&self.sent),
            });
            transport
        }))
    }
}

#[derive(Debug)]
struct RecordingTransport<T> {
    inner: T,
    sent: Arc<AtomicBool>,
}

impl<T: Transport> Transport for RecordingTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        if amount > 0 {
            self.sent.store(true, Ordering::Release);
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
