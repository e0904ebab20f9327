//! One fresh connection to an endpoint.
//!
//! A pooled connection may have been closed by the endpoint just as a call is written to it,
//! which leaves the call in doubt. With a connection per call, "refused" is certain: nothing
//! was written. The link notes the moment at which the first byte is handed to the socket.

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

/// Bytes that a connection holds in each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// An agent that is used for one call.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) agent: Agent,
    pub(crate) base: String,
    sent: Arc<AtomicBool>,
}

impl Link {
    /// Prepares a connection; nothing is opened yet.
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
        let connector = NotingConnector {
            sent: Arc::clone(&sent),
        };
        Self {
            agent: Agent::with_parts(config, connector, AddressResolver),
            base: format!("http://{address}"),
            sent,
        }
    }

    /// How a broken connection counts.
    pub(crate) fn fault(&self) -> Fault {
        if self.sent.load(Ordering::Acquire) {
            Fault::Lost
        } else {
            Fault::Unreached
        }
    }
}

/// Takes the address out of the URL; endpoints are declared by address.
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
        let mut found = self.empty();
        found.push(address);
        Ok(found)
    }
}

#[derive(Debug)]
struct NotingConnector {
    sent: Arc<AtomicBool>,
}

impl Connector<()> for NotingConnector {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let inner = TcpConnector::default().connect(details, chained)?;
        Ok(inner.map(|inner| {
            let noting: Box<dyn Transport> = Box::new(NotingTransport {
                inner,
                sent: Arc::clone(&self.sent),
            });
            noting
        }))
    }
}

#[derive(Debug)]
struct NotingTransport<T> {
    inner: T,
    sent: Arc<AtomicBool>,
}

impl<T: Transport> Transport for NotingTransport<T> {
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
