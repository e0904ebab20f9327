//! A stand-in for a replica of a plain service, as PROTOCOL.md describes it.

use crate::http::{Answer, Message, Server};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Instant,
};

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The client's `X-Attempt-Id`.
    pub id: String,
    /// `X-Expect-Instance`, if the request has it.
    pub expected: Option<String>,
    /// Whether the replica ran the request.
    pub ran: bool,
}

pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    _server: Server,
}

impl Replica {
    pub fn start(ip: Ipv4Addr, service: &str, id: &str) -> io::Result<Self> {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (log, own) = (Arc::clone(&arrivals), id.to_owned());
        let body = format!("answer of {id} of service {service}");
        let server = Server::start(ip, move |request| answer(&own, &body, &log, request))?;
        let address = server.address;
        let (id, service) = (id.to_owned(), service.to_owned());
        Ok(Self {
            id,
            service,
            address,
            arrivals,
            _server: server,
        })
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// The replica's entry in the store.
    pub fn entry(&self, zone: &str, state: &str, sequence: u32, born: u64) -> String {
        entry(
            &self.service,
            self.address,
            zone,
            state,
            sequence,
            &format!(",\"born\":{born}"),
        )
    }
}

/// An entry of kind `servers`; `born` is the last field with its comma, or empty.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    sequence: u32,
    born: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":16,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":{sequence}{born}}}"
    )
}

fn answer(own: &str, body: &str, log: &Mutex<Vec<Arrival>>, request: &Message) -> Answer {
    let replica = ("X-Replica-Id".to_owned(), own.to_owned());
    if request.path() == "/health" {
        return Answer(200, vec![replica], Vec::new());
    }
    let Some(id) = request.header("x-attempt-id") else {
        let not_run = ("X-Not-Executed".to_owned(), "1".to_owned());
        return Answer(400, vec![replica, not_run], Vec::new());
    };
    let expected = request.header("x-expect-instance").map(str::to_owned);
    let ran = expected.as_deref().is_none_or(|expected| expected == own);
    let at = Instant::now();
    log.lock().unwrap().push(Arrival {
        at,
        id: id.to_owned(),
        expected,
        ran,
    });
    let echo = ("X-Attempt-Id".to_owned(), id.to_owned());
    if !ran {
        return Answer(421, vec![replica, echo], Vec::new());
    }
    let seal = ("X-Response-Seal".to_owned(), format!("seal-{own}-{id}"));
    Answer(200, vec![echo, seal], body.as_bytes().to_vec())
}

/// An entry of a replica of a software version.
pub fn entry_of(
    service: &str,
    address: SocketAddr,
    zone: &str,
    version: &str,
    sequence: u32,
    born: u64,
) -> String {
    let entry = entry(
        service,
        address,
        zone,
        "ready",
        sequence,
        &format!(",\"born\":{born}"),
    );
    entry.replace("\"v1\"", &format!("\"{version}\""))
}
