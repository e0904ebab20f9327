//! Stand-in for a replica of a plain service.

use crate::{http, record::Record, store::Store};
use std::{
    io::{self, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a replica does with requests.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests that it works on at the same time; others wait.
    pub slots: usize,
    /// Time for which it works on a request.
    pub work: Duration,
    /// Size of its answers.
    pub answer_bytes: usize,
    /// What an answer has more for each unit of the number at the end of its path.
    pub step_bytes: usize,
    /// Whether its answers have no length and end with their connections.
    pub is_unframed: bool,
    /// Version of its software.
    pub version: &'static str,
    /// Number of events of its streams; none for a plain service.
    pub events: Option<u32>,
    /// Headers that its answers carry beside the usual ones.
    pub headers: Vec<(String, String)>,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub is_done: bool,
}

pub struct Replica {
    pub id: String,
    address: SocketAddr,
    plan: Plan,
    pub runs: Mutex<Vec<Run>>,
    busy: Mutex<usize>,
    freed: Condvar,
    zone: String,
    born: u128,
    /// When it last wrote its entry; none once it leaves.
    heartbeat: Mutex<Option<Instant>>,
}

impl Replica {
    /// Starts a replica of a service and registers it.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        plan: Plan,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            plan,
            runs: Mutex::new(Vec::new()),
            busy: Mutex::new(0),
            freed: Condvar::new(),
            zone: zone.to_owned(),
            born: born.map_or(0, |since| since.as_millis()),
            heartbeat: Mutex::new(Some(Instant::now())),
        });
        let (service, registered, store) =
            (service.to_owned(), Arc::clone(&replica), Arc::clone(store));
        thread::spawn(move || {
            for sequence in 1.. {
                let mut heartbeat = registered.heartbeat.lock().unwrap();
                if heartbeat.is_none() {
                    return;
                }
                store.put(
                    "servers",
                    &registered.id,
                    &registered.entry(&service, sequence),
                );
                *heartbeat = Some(Instant::now());
                drop(heartbeat);
                thread::sleep(HEARTBEAT);
            }
        });
        let (serving, record) = (Arc::clone(&replica), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, record) = (Arc::clone(&serving), Arc::clone(&record));
                thread::spawn(move || replica.serve(stream, &record));
            }
        });
        Ok(replica)
    }

    /// Its entry, with a service.
    pub fn entry(&self, service: &str, sequence: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\"sequence\":{sequence}}}",
            self.address, self.zone, self.plan.version, self.plan.slots, self.born
        )
    }

    /// Waits until it has just written its entry.
    pub fn await_heartbeat(&self) {
        let is_recent = || {
            let heartbeat = *self.heartbeat.lock().unwrap();
            heartbeat.is_none_or(|at| at.elapsed() < Duration::from_millis(50))
        };
        while !is_recent() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Leaves without a word: its entry is removed, and it goes on serving.
    pub fn leave(&self, store: &Store) {
        *self.heartbeat.lock().unwrap() = None;
        store.remove("servers", &self.id);
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&head, &mut reader)?;
            if head.target().1 == "/poplarswitch/report" {
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":1,\"kv_used\":0,\
                     \"kv_total\":695905,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                let json = [("Content-Type", "application/json")];
                http::respond(&mut writer, "200 OK", &json, report.as_bytes())?;
                continue;
            }
            let Some(id) = head.get("x-attempt-id") else {
                http::respond(&mut writer, "200 OK", &[("X-Replica-Id", &self.id)], b"")?;
                continue;
            };
            if head
                .get("x-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                http::respond(
                    &mut writer,
                    "421 Misdirected Request",
                    &[("X-Attempt-Id", id)],
                    b"",
                )?;
                continue;
            }
            self.take_slot();
            let tenant = head.get("x-tenant").unwrap_or("-").to_owned();
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    id: id.to_owned(),
                    is_done: false,
                });
                runs.len() - 1
            };
            record.line(
                &self.id,
                &format!(
                    "runs {id}: {}, {} bytes, tenant {tenant}",
                    head.first,
                    body.len()
                ),
            );
            if let Some(events) = self.plan.events {
                let after = head.get("last-event-id").and_then(|text| text.parse().ok());
                let after: u32 = after.unwrap_or(0);
                let streamed = self.stream(&mut writer, id, after, events);
                self.free_slot();
                record.line(
                    &self.id,
                    &format!(
                        "streamed {id} at {} after event {after}: {streamed:?}",
                        self.plan.version
                    ),
                );
                streamed?;
                continue;
            }
            thread::sleep(self.plan.work);
            self.free_slot();
            self.runs.lock().unwrap()[index].is_done = true;
            let seal = format!("seal.{id}");
            let mut headers = vec![("X-Attempt-Id", id), ("X-Response-Seal", &seal)];
            headers.extend(
                self.plan
                    .headers
                    .iter()
                    .map(|(name, value)| (&**name, &**value)),
            );
            let number = head.target().1.rsplit('/').next();
            let number: usize = number.and_then(|text| text.parse().ok()).unwrap_or(0);
            let answer = vec![b'a'; self.plan.answer_bytes + number * self.plan.step_bytes];
            let written = if self.plan.is_unframed {
                http::respond_unframed(&mut writer, "200 OK", &headers, &answer)
            } else {
                http::respond(&mut writer, "200 OK", &headers, &answer)
            };
            record.line(&self.id, &format!("answered {id}: {written:?}"));
            written?;
            if self.plan.is_unframed {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Sends the events of a stream after one of them, in chunks.
    fn stream(&self, writer: &mut TcpStream, id: &str, after: u32, events: u32) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {id}\r\nX-Response-Seal: seal.{id}\r\nX-Weight-Versions: 1\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in after + 1..=events {
            thread::sleep(self.plan.work);
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.plan.version);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn take_slot(&self) {
        let mut busy = self.busy.lock().unwrap();
        while *busy >= self.plan.slots {
            busy = self.freed.wait(busy).unwrap();
        }
        *busy += 1;
    }

    fn free_slot(&self) {
        *self.busy.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}
