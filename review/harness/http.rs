//! Messages of HTTP/1.1 with a length or in chunks.

use std::io::{self, BufRead, Write};

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header; `name` is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Method, path and query of a request.
    pub fn target(&self) -> (&str, &str, &str) {
        let mut words = self.first.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path, query)
    }

    /// Status of a response; 0 if it can't be read.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the whole body that a head announces.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    if let Some(length) = head.get("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_none() {
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Writes a response with a length.
pub fn respond(
    writer: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    writer.flush()
}

/// Writes a response without a length, which ends with its connection.
pub fn respond_unframed(
    writer: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    writer.flush()
}

/// Value of a parameter of a query.
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(other, _)| *other == name)
        .map(|(_, value)| value)
}

/// Decodes a value of a query.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
