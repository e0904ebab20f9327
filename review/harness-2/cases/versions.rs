//! VM 2 is cut off from all other machines of the system and the store. A replica of a newer software
//! version joins, and VM 1 begins streams there and at others. VM 1 is killed, and the clients take their
//! streams up at VM 2. ORDER is broken if more than two streams hold events of two versions.

use super::BORN;
use crate::{
    fleet::{Fleet, HOST, INTERNAL_PORT, KEY, ZONES},
    http::{self, Message},
    link::{self, Link},
    record::Record,
    replica::entry_of,
};
use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

const EVENTS: u32 = 60;
/// Pause between the events of a stream.
const PAUSE: Duration = Duration::from_millis(50);
const STREAMS: usize = 12;
/// Time for which streams run at VM 1.
const BEGUN: Duration = Duration::from_millis(300);
/// Most streams that may hold events of two versions.
const ALLOWED: usize = 2;
/// Time before the cut; the interval between two heartbeats of a replica.
const CALM: Duration = Duration::from_millis(4_800);
const LIMIT: Duration = Duration::from_secs(4);

type Log = Arc<Mutex<Vec<(Instant, String)>>>;

/// Starts a replica that sends streams whose events name its version; returns its address.
fn start_engine(
    ip: Ipv4Addr,
    id: &'static str,
    version: &'static str,
    born: u64,
    log: Log,
) -> io::Result<SocketAddr> {
    http::serve_streams(ip, move |request, stream| {
        if request.path() == "/poplarswitch/report" {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"waiting\":0,\
                 \"running\":1,\"kv_used\":1000,\"kv_total\":500000,\"handles\":0,\"born\":{born}}}"
            );
            let length = body.len();
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
            );
        }
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return write!(stream, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
        }
        let last = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        let first = last.unwrap_or(0) + 1;
        let text =
            format!("replica {id} of version {version}: runs id {attempt} from event {first}");
        log.lock().unwrap().push((Instant::now(), text));
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Response-Seal: seal-{id}\r\n\r\n"
        )?;
        for event in first..=EVENTS {
            let text = format!("id: {event}\ndata: {version} {event}\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            thread::sleep(PAUSE);
        }
        write!(stream, "0\r\n\r\n")
    })
}

/// Events that a client has received, each with its version.
type Events = Vec<(u32, String)>;

/// Sends the request for a stream, and reads its events until it ends or for a time; returns the status
/// and the events.
fn read_stream(
    address: SocketAddr,
    id: &str,
    resumed: Option<(&str, u32)>,
    time: Duration,
) -> (String, Events) {
    let mut headers = vec![
        ("Host".to_owned(), HOST.to_owned()),
        ("X-Attempt-Id".to_owned(), id.to_owned()),
        ("X-Deadline-Ms".to_owned(), "15000".to_owned()),
        ("Authorization".to_owned(), format!("Bearer {KEY}")),
    ];
    if let Some((first_attempt, last)) = resumed {
        headers.push(("Resumes".to_owned(), first_attempt.to_owned()));
        headers.push(("Last-Event-Id".to_owned(), last.to_string()));
    }
    let request = Message {
        method: "POST".into(),
        target: "/chat/1".into(),
        headers,
        body: b"prompt".to_vec(),
    };
    let mut text = Vec::new();
    let end = Instant::now() + time;
    if let Ok(mut stream) = http::send(address, &request, LIMIT) {
        let mut buffer = [0; 4 << 10];
        let _set = stream.set_read_timeout(Some(Duration::from_millis(20)));
        while Instant::now() < end {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => text.extend(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_reset) => break,
            }
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text.split(' ').nth(1).unwrap_or("none").to_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|event| {
        let (version, number) = event.split_once(' ')?;
        Some((number.parse().ok()?, version.to_owned()))
    });
    (status, events.collect())
}

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"chat\",\"host\":\"{HOST}\",\"path_prefix\":\"/chat/\",\
         \"route_type\":\"stream\",\"service\":\"llm\",\"timeout_ms\":15000,\"target_latency_ms\":500,\
         \"priority\":0,\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resume_streams\":true,\
         \"gap_aim_ms\":1000}}],\"services\":[{{\"name\":\"llm\",\"engine\":{{\"slots\":32,\
         \"kv_tokens\":500000}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn run(record: &mut Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new()?;
    fleet
        .store
        .put("config", b"main", configuration().as_bytes());
    let log = Log::default();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let newer_born = now.map_or(0, |now| now.as_millis() as u64);
    let ip = fleet.ip;
    let engine = |id, version, born| start_engine(ip, id, version, born, Arc::clone(&log));
    let older = [
        ("i-7f3a91c2", engine("i-7f3a91c2", "v1", BORN)?),
        ("i-02d9e6b4", engine("i-02d9e6b4", "v1", BORN)?),
    ];
    let newer = ("i-5b10c7aa", engine("i-5b10c7aa", "v2", newer_born)?);
    let beat = |fleet: &Fleet, (id, address): (&str, SocketAddr), version, born, sequence| {
        let entry = entry_of("llm", address, ZONES[0], version, sequence, born);
        fleet.store.put("servers", id.as_bytes(), entry.as_bytes());
    };
    for replica in older {
        beat(&fleet, replica, "v1", BORN, 1);
    }
    // VMs reach each other through links, since each has a port of its own.
    let ports = [INTERNAL_PORT, INTERNAL_PORT + 40];
    fleet.add_vm_at(ZONES[0], ports[0])?;
    fleet.add_vm_at(ZONES[1], ports[1])?;
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut links = Vec::new();
    for (from, to) in [(0, 1), (1, 0)] {
        let ips = [fleet.vms[from].ip, fleet.vms[to].ip];
        let entry = SocketAddr::new(ips[1].into(), ports[from]);
        let target = SocketAddr::new(ips[1].into(), ports[to]);
        link::forward_datagrams(ips[0], entry, target, Arc::clone(&is_cut))?;
        links.push(Link::start_at(entry, target)?);
    }
    fleet.await_ready()?;
    record.line("the VMs are ready");
    let start = Instant::now();
    let mut sequence = 2;
    while start.elapsed() < CALM {
        for replica in older {
            beat(&fleet, replica, "v1", BORN, sequence);
            thread::sleep(Duration::from_millis(100));
        }
        sequence += 1;
        thread::sleep(Duration::from_millis(1_000));
    }
    for replica in older {
        beat(&fleet, replica, "v1", BORN, sequence);
        thread::sleep(Duration::from_millis(100));
    }
    if trouble {
        fleet.vms[1].store.set_cut(true);
        is_cut.store(true, Ordering::Relaxed);
        links.iter().for_each(Link::cut);
        record.line("VM 2 is cut off from VM 1 and the store");
    }
    beat(&fleet, newer, "v2", newer_born, 1);
    record.line("store: replica i-5b10c7aa of version v2 has joined");
    thread::sleep(Duration::from_millis(if trouble { 30 } else { 500 }));
    let address = fleet.frontend(0);
    let time = if trouble { LIMIT } else { BEGUN };
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| thread::spawn(move || read_stream(address, &format!("a{n:04}"), None, time)))
        .collect();
    thread::sleep(BEGUN);
    if trouble {
        fleet.kill(0);
        record.line("VM 1 is killed");
    }
    let began: Vec<(String, Events)> = clients.into_iter().flat_map(|c| c.join()).collect();
    let address = fleet.frontend(1);
    let clients: Vec<_> = began
        .iter()
        .enumerate()
        .map(|(n, (_, events))| {
            let last = events.last().map_or(0, |(number, _)| *number);
            thread::spawn(move || {
                let first = format!("a{n:04}");
                read_stream(address, &format!("b{n:04}"), Some((&first, last)), LIMIT)
            })
        })
        .collect();
    let went_on: Vec<(String, Events)> = clients.into_iter().flat_map(|c| c.join()).collect();
    for (at, text) in log.lock().unwrap().iter() {
        record.line_at(*at, text);
    }
    let mut mixed = 0;
    for (n, (first, second)) in began.iter().zip(&went_on).enumerate() {
        let versions = |events: &Events| events.first().map(|(_, version)| version.clone());
        let (before, after) = (versions(&first.1), versions(&second.1));
        let is_mixed = before.is_some() && after.is_some() && before != after;
        mixed += usize::from(is_mixed);
        record.line(&format!(
            "client: stream a{n:04} at VM 1: {}, {} events of {before:?}; taken up as b{n:04} at VM 2: \
             {}, {} events of {after:?}",
            first.0,
            first.1.len(),
            second.0,
            second.1.len()
        ));
    }
    record.line(&format!("{mixed} streams hold events of two versions"));
    Ok(mixed > ALLOWED)
}
