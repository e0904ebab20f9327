//! A small HTTP/1.1 server and client on blocking sockets, one thread for each connection.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Longest head that is read.
const MAX_HEAD: usize = 64 << 10;

/// A request, or a response whose `target` is its status.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.target.parse().unwrap_or(0)
    }
}

/// Answer to a request: status, headers and body.
pub struct Answer(pub u16, pub Vec<(String, String)>, pub Vec<u8>);

/// A running server.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    pub fn start(
        ip: Ipv4Addr,
        handle: impl Fn(&Message) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let handle = Arc::new(handle);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = Arc::clone(&handle);
                thread::spawn(move || serve(stream, &*handle).ok());
            }
        });
        Ok(Self { address })
    }
}

/// Starts a server that writes its answers itself; it closes each connection after one request.
pub fn serve_streams(
    ip: Ipv4Addr,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                stream.set_nodelay(true)?;
                while let Some(request) = read_message(&mut stream, &mut Vec::new(), true)? {
                    handle(&request, &mut stream)?;
                }
                io::Result::Ok(())
            });
        }
    });
    Ok(address)
}

/// Writes a request to a new connection.
pub fn send(address: SocketAddr, request: &Message, time_limit: Duration) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, time_limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_limit))?;
    let mut out = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let mut out = out.into_bytes();
    out.extend(&request.body);
    stream.write_all(&out)?;
    Ok(stream)
}

fn serve(mut stream: TcpStream, handle: &impl Fn(&Message) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest, true)? {
        let Answer(status, headers, body) = handle(&request);
        let mut out = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend(body);
        stream.write_all(&out)?;
    }
    Ok(())
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(
    address: SocketAddr,
    request: &Message,
    time_limit: Duration,
) -> io::Result<Message> {
    let mut stream = send(address, request, time_limit)?;
    let answer = read_message(&mut stream, &mut Vec::new(), false)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads a message; none if the connection ends before it. `rest` holds bytes after it.
fn read_message(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    is_request: bool,
) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        if rest.len() > MAX_HEAD {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if !read_more(stream, rest)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let (first, second) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let mut message = Message {
        method: if is_request { first } else { "" }.to_owned(),
        target: second.to_owned(),
        headers: headers.collect(),
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    if let Some(length) = length {
        while rest.len() < length {
            if !read_more(stream, rest)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = rest.drain(..length).collect();
    } else if message.header("transfer-encoding").is_some() {
        read_chunks(stream, rest, &mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, rest: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line_end = loop {
            if let Some(at) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
                break at;
            }
            if !read_more(stream, rest)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let end = line_end + 2 + size + 2;
        while rest.len() < end {
            if !read_more(stream, rest)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend(&rest[line_end + 2..end - 2]);
        rest.drain(..end);
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 8 << 10];
    let count = stream.read(&mut buffer)?;
    rest.extend(&buffer[..count]);
    Ok(count > 0)
}
