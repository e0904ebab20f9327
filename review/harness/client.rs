//! Stand-in for a client: connections to a VM, requests and their answers.

use crate::{http, record::Record};
use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "ficu95.example";

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// How a request has ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended or failed without any byte of an answer.
    Unanswered(String),
    /// The answer broke off: received and announced bytes of its body.
    BrokenOff(usize, usize),
    /// An answer with this status and neither a length nor chunks, whose connection was closed in order after
    /// so many bytes of its body.
    Closed(u16, usize),
    /// No connection could be opened.
    Unconnected,
}

pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Self::new(stream)
    }

    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self {
            writer: stream.try_clone()?,
            reader: BufReader::with_capacity(4_096, stream),
        })
    }

    /// Opens a connection as over a network with packets of 1,500 bytes and a small window.
    pub fn open_narrow(address: SocketAddr, window: i32) -> io::Result<Self> {
        Self::new(narrow::connect(address, window)?)
    }

    /// Sends a request; its body at a pace of `bytes_per_s` if one is given.
    pub fn send(&mut self, call: &Call, bytes_per_s: Option<usize>) -> io::Result<()> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            call.method,
            call.path,
            call.id,
            call.deadline.as_millis(),
            call.key,
            call.body.len()
        );
        self.writer.write_all(head.as_bytes())?;
        let Some(rate) = bytes_per_s else {
            return self.writer.write_all(&call.body);
        };
        let interval = Duration::from_millis(20);
        let start = Instant::now();
        let step = (rate as f64 * interval.as_secs_f64()) as usize;
        for (index, part) in call.body.chunks(step.max(1)).enumerate() {
            let due = start + interval * index as u32;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.writer.write_all(part)?;
        }
        Ok(())
    }

    /// Sends a request for a stream; `takes_up` names the first attempt and the last event of a stream that it
    /// goes on with.
    pub fn send_stream(&mut self, call: &Call, takes_up: Option<(&str, u32)>) -> io::Result<()> {
        let takes_up = takes_up.map_or_else(String::new, |(first, last)| {
            format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
        });
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Model: m\r\n\
             X-Token-Count: 300,300\r\nX-Prompt-Prefix: 5c1e07a2:100,{:x}:200\r\n{takes_up}\
             Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            call.method,
            call.path,
            call.id,
            call.deadline.as_millis(),
            call.path.len() * 1_000 + call.path.bytes().map(usize::from).sum::<usize>(),
            call.key,
            call.body.len()
        );
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(&call.body)
    }

    /// Reads a stream until its end, or until `until`; returns its status, its data lines and whether it is
    /// complete.
    pub fn receive_stream(&mut self, until: Instant) -> (u16, Vec<String>, bool) {
        let Ok(Some(head)) = http::read_head(&mut self.reader) else {
            return (0, Vec::new(), false);
        };
        let mut lines = Vec::new();
        if head.get("transfer-encoding").is_none() {
            return (head.status(), lines, false);
        }
        while Instant::now() < until {
            let mut size = String::new();
            let length = match self.reader.read_line(&mut size) {
                Ok(1..) => usize::from_str_radix(size.trim(), 16).unwrap_or(0),
                _ => return (head.status(), lines, false),
            };
            let mut part = vec![0; length + 2];
            if self.reader.read_exact(&mut part).is_err() {
                return (head.status(), lines, false);
            }
            if length == 0 {
                return (head.status(), lines, true);
            }
            let text = String::from_utf8_lossy(&part);
            lines.extend(
                text.lines()
                    .filter_map(|line| line.strip_prefix("data: "))
                    .map(str::to_owned),
            );
        }
        (head.status(), lines, false)
    }

    /// Reads nothing for a time.
    pub fn pause(&self, time: Duration) {
        thread::sleep(time);
    }

    /// Reads an answer; its body at a pace of `bytes_per_s` if one is given. Returns the end of the request
    /// and whether the VM closes the connection.
    pub fn receive(&mut self, bytes_per_s: Option<usize>) -> (End, bool) {
        let head = match http::read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => return (End::Unanswered("closed".to_owned()), true),
            Err(error) => return (End::Unanswered(error.to_string()), true),
        };
        let closes = head
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let Some(rate) = bytes_per_s else {
            return match http::read_body(&head, &mut self.reader) {
                Ok(_) => (End::Answered(head.status()), closes),
                Err(_) => (End::BrokenOff(0, length(&head)), true),
            };
        };
        let is_unframed =
            head.get("content-length").is_none() && head.get("transfer-encoding").is_none();
        let announced = if is_unframed {
            usize::MAX
        } else {
            length(&head)
        };
        let mut received = 0;
        let start = Instant::now();
        let mut part = [0; 1_024];
        while received < announced {
            let due = start + Duration::from_secs_f64(received as f64 / rate as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match self.reader.read(&mut part) {
                Ok(0) if is_unframed => return (End::Closed(head.status(), received), true),
                Ok(0) | Err(_) => return (End::BrokenOff(received, announced), true),
                Ok(bytes) => received += bytes,
            }
        }
        (End::Answered(head.status()), closes)
    }
}

fn length(head: &http::Head) -> usize {
    let length = head.get("content-length");
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Sends a request on a new connection and reads its answer.
pub fn call_once(address: SocketAddr, call: &Call, record: &Record) -> End {
    record.line("client", &format!("{} is sent to {address}", call.id));
    let end = match Connection::open(address) {
        Err(_) => End::Unconnected,
        Ok(mut connection) => match connection.send(call, None) {
            Ok(()) => connection.receive(None).0,
            Err(error) => End::Unanswered(error.to_string()),
        },
    };
    record.line("client", &format!("{} at {address}: {end:?}", call.id));
    end
}

/// Whether a VM says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let mut writer = stream.try_clone()?;
        writer.write_all(b"GET /poplarswitch/ready HTTP/1.1\r\nHost: vm\r\n\r\n")?;
        let head = http::read_head(&mut BufReader::new(stream))?;
        Ok(head.map_or(0, |head| head.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// Sockets whose options are set before they connect.
mod narrow {

    use std::{
        io,
        net::{IpAddr, SocketAddr, TcpStream},
        os::fd::{AsRawFd as _, FromRawFd as _},
    };

    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    /// Payload of a packet on a usual network.
    const SEGMENT_BYTES: i32 = 1_448;

    #[repr(C)]
    struct Address {
        family: u16,
        port: u16,
        ip: [u8; 4],
        zero: [u8; 8],
    }

    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        #[link_name = "connect"]
        fn raw_connect(fd: i32, address: *const Address, length: u32) -> i32;
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }

    pub fn connect_to(stream: &TcpStream, address: SocketAddr) -> io::Result<()> {
        let IpAddr::V4(ip) = address.ip() else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let address = Address {
            family: AF_INET as u16,
            port: address.port().to_be(),
            ip: ip.octets(),
            zero: [0; 8],
        };
        // SAFETY: the descriptor is open, and the address has the layout and length of `sockaddr_in`.
        let result = unsafe { raw_connect(stream.as_raw_fd(), &address, 16) };
        if result == 0 {
            Ok(())
        } else {
            Err(io::Error::last_os_error())
        }
    }

    pub fn connect(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
        // SAFETY: the call takes no pointers.
        let fd = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        // SAFETY: the descriptor is new and owned by nothing else.
        let stream = unsafe { TcpStream::from_raw_fd(fd) };
        for (level, name, value) in [
            (SOL_SOCKET, SO_RCVBUF, window),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
        ] {
            // SAFETY: the value is an integer of the given length.
            let result = unsafe { setsockopt(fd, level, name, &value, 4) };
            if result != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        connect_to(&stream, address)?;
        Ok(stream)
    }
}
