//! A stand-in for the platform's metadata store, as PROTOCOL.md describes it. Each VM has a listener of
//! its own, which may be cut.

use crate::http::{Answer, Message, Server};
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const OBJECTS: &str = "/poplarswitch/objects/";
/// Longer than any case.
const FOREVER: Duration = Duration::from_secs(1_000);
/// Objects in one page of a listing.
const PAGE: usize = 50;

/// An object; its name and spec are bytes, because other writers may write what is no text.
#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
}

struct Change {
    revision: u64,
    kind: String,
    object: Vec<u8>,
    removed: bool,
}

#[derive(Default)]
struct Content {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<Vec<u8>, Object>>,
    history: Vec<Change>,
}

#[derive(Default)]
struct Inner {
    content: Mutex<Content>,
    changed: Condvar,
}

/// Addresses of replicas, and those that a VM reads instead of them.
type Replaced = Arc<Mutex<Vec<(String, String)>>>;

/// A listener of the store.
pub struct View {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    replaced: Replaced,
    config_reads: Arc<AtomicU32>,
    _server: Server,
}

impl View {
    /// While the view is cut, calls get no answer, not even those that wait already.
    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::Relaxed);
    }

    /// Number of calls that have read the configuration, or waited for a change of it.
    pub fn config_reads(&self) -> u32 {
        self.config_reads.load(Ordering::Relaxed)
    }

    /// Shows the VM another address for a replica, that of its link.
    pub fn replace(&self, replica: SocketAddr, link: SocketAddr) {
        let quoted = |address: SocketAddr| format!("\"{address}\"");
        self.replaced
            .lock()
            .unwrap()
            .push((quoted(replica), quoted(link)));
    }
}

/// Replaces all occurrences of a text in some bytes.
fn replace_all(bytes: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at..].starts_with(from) {
            out.extend(to);
            at += from.len();
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    out
}

#[derive(Clone, Default)]
pub struct Store(Arc<Inner>);

impl Store {
    pub fn view(&self, ip: Ipv4Addr) -> io::Result<View> {
        let cut = Arc::new(AtomicBool::new(false));
        let replaced = Replaced::default();
        let (inner, is_cut, links) = (Arc::clone(&self.0), Arc::clone(&cut), Arc::clone(&replaced));
        let config_reads = Arc::new(AtomicU32::new(0));
        let reads = Arc::clone(&config_reads);
        let server = Server::start(ip, move |request| {
            if request.path().strip_prefix(OBJECTS) == Some("config") {
                reads.fetch_add(1, Ordering::Relaxed);
            }
            let lose_if_cut = || {
                if is_cut.load(Ordering::Relaxed) {
                    // The call gets no answer, and nothing further comes on its connection.
                    thread::sleep(FOREVER);
                }
            };
            lose_if_cut();
            let answer = inner.answer(request);
            lose_if_cut();
            let Answer(status, headers, mut body) = answer;
            for (replica, link) in links.lock().unwrap().iter() {
                body = replace_all(&body, replica.as_bytes(), link.as_bytes());
            }
            Answer(status, headers, body)
        })?;
        Ok(View {
            address: server.address,
            cut,
            replaced,
            config_reads,
            _server: server,
        })
    }

    /// Writes an object, as a process other than the VMs does.
    pub fn put(&self, kind: &str, name: &[u8], spec: &[u8]) {
        self.0.put(kind, name, spec);
    }
}

fn json(name: &[u8], object: &Object) -> Vec<u8> {
    let mut text = b"{\"metadata\":{\"name\":\"".to_vec();
    text.extend(name);
    text.extend(
        format!(
            "\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":",
            object.revision, object.created
        )
        .bytes(),
    );
    text.extend(&object.spec);
    text.extend(b",\"status\":null}");
    text
}

fn reply(status: u16, body: Vec<u8>) -> Answer {
    let json = ("Content-Type".to_owned(), "application/json".to_owned());
    Answer(status, vec![json], body)
}

fn join(items: &[Vec<u8>]) -> Vec<u8> {
    items.join(&b","[..])
}

impl Inner {
    fn answer(&self, request: &Message) -> Answer {
        let Some(path) = request.path().strip_prefix(OBJECTS) else {
            return reply(404, Vec::new());
        };
        let (kind, name) = path
            .split_once('/')
            .map_or((path, None), |(k, n)| (k, Some(n)));
        match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|at| at.parse().ok()) {
                Some(after) => self.watch(kind, after, request),
                None => self.list(kind, request.query("after")),
            },
            ("GET", Some(name)) => {
                let content = self.content.lock().unwrap();
                let found = content.kinds.get(kind).and_then(|k| k.get(name.as_bytes()));
                found.map_or(reply(404, b"null".to_vec()), |o| {
                    reply(200, json(name.as_bytes(), o))
                })
            }
            _ => self.write(request, kind, name),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Answer {
        let content = self.content.lock().unwrap();
        let objects = content.kinds.get(kind).into_iter().flatten();
        let rest = objects.filter(|(name, _)| after.is_none_or(|a| name.as_slice() > a.as_bytes()));
        let rest: Vec<Vec<u8>> = rest.map(|(name, object)| json(name, object)).collect();
        let mut body = b"{\"items\":[".to_vec();
        body.extend(join(&rest[..rest.len().min(PAGE)]));
        let more = rest.len() > PAGE;
        let end = format!(
            "],\"has_more\":{more},\"current_rev\":{}}}",
            content.revision
        );
        body.extend(end.bytes());
        reply(200, body)
    }

    fn watch(&self, kind: &str, after: u64, request: &Message) -> Answer {
        let wait = request
            .query("wait_ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut content = self.content.lock().unwrap();
        loop {
            let events = content
                .history
                .iter()
                .filter(|c| c.revision > after && c.kind == kind);
            let events: Vec<Vec<u8>> = events
                .map(|change| {
                    let mut text = b"{\"object\":".to_vec();
                    text.extend(&change.object);
                    text.extend(format!(",\"removed\":{}}}", change.removed).bytes());
                    text
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut body = b"{\"events\":[".to_vec();
                body.extend(join(&events));
                body.extend(format!("],\"current_rev\":{}}}", content.revision).bytes());
                return reply(200, body);
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn write(&self, request: &Message, kind: &str, name: Option<&str>) -> Answer {
        let metadata = field(&request.body, "metadata").unwrap_or_default();
        let named = field(metadata, "name").unwrap_or_default();
        let named = named
            .strip_prefix(b"\"")
            .and_then(|n| n.strip_suffix(b"\""));
        let name = name
            .map_or(named.unwrap_or_default(), str::as_bytes)
            .to_vec();
        let expected = field(metadata, "revision").map(|r| String::from_utf8_lossy(r).into_owned());
        let expected = expected.or_else(|| request.query("revision").map(str::to_owned));
        let expected: Option<u64> = expected.and_then(|revision| revision.parse().ok());
        let current = {
            let content = self.content.lock().unwrap();
            content
                .kinds
                .get(kind)
                .and_then(|objects| objects.get(&name))
                .cloned()
        };
        let spec = field(&request.body, "spec").unwrap_or(b"null");
        match (request.method.as_str(), current) {
            ("POST", Some(current)) => reply(409, json(&name, &current)),
            ("PUT" | "DELETE", Some(current))
                if expected.is_some_and(|r| r != current.revision) =>
            {
                reply(409, json(&name, &current))
            }
            ("PUT" | "DELETE", None) => reply(404, b"null".to_vec()),
            ("POST" | "PUT", _) => {
                let object = self.put(kind, &name, spec);
                reply(200, json(&name, &object))
            }
            ("DELETE", Some(current)) => {
                self.remove(kind, &name);
                reply(200, json(&name, &current))
            }
            _ => reply(405, b"null".to_vec()),
        }
    }

    fn remove(&self, kind: &str, name: &[u8]) {
        let mut content = self.content.lock().unwrap();
        let objects = content.kinds.get_mut(kind);
        let Some(object) = objects.and_then(|objects| objects.remove(name)) else {
            return;
        };
        content.revision += 1;
        let change = Change {
            revision: content.revision,
            kind: kind.to_owned(),
            object: json(name, &object),
            removed: true,
        };
        content.history.push(change);
        drop(content);
        self.changed.notify_all();
    }

    fn put(&self, kind: &str, name: &[u8], spec: &[u8]) -> Object {
        let mut content = self.content.lock().unwrap();
        let revision = content.revision + 1;
        let objects = content.kinds.entry(kind.to_owned()).or_default();
        let created = match objects.get(name) {
            Some(known) if known.spec == spec => return known.clone(),
            Some(known) => known.created,
            None => revision,
        };
        let object = Object {
            revision,
            created,
            spec: spec.to_vec(),
        };
        objects.insert(name.to_vec(), object.clone());
        content.revision = revision;
        let (kind, text) = (kind.to_owned(), json(name, &object));
        content.history.push(Change {
            revision,
            kind,
            object: text,
            removed: false,
        });
        drop(content);
        self.changed.notify_all();
        object
    }
}

/// The raw value of a field of a JSON object, whose keys have no escapes.
pub fn field<'a>(object: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let mut at = object.iter().position(|byte| *byte == b'{')? + 1;
    loop {
        at += object[at..].iter().position(|byte| *byte == b'"')? + 1;
        let key_end = at + object[at..].iter().position(|byte| *byte == b'"')?;
        let key = &object[at..key_end];
        at = key_end
            + 1
            + object[key_end + 1..]
                .iter()
                .position(|byte| *byte == b':')?
            + 1;
        let start = at
            + object[at..]
                .iter()
                .position(|byte| !byte.is_ascii_whitespace())?;
        let (mut depth, mut in_text, mut escaped, mut end) = (0, false, false, start);
        while let Some(byte) = object.get(end) {
            match byte {
                _ if escaped => escaped = false,
                b'\\' if in_text => escaped = true,
                b'"' => in_text = !in_text,
                _ if in_text => {}
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth > 0 => depth -= 1,
                b',' | b'}' | b']' if depth == 0 => break,
                _ => {}
            }
            end += 1;
        }
        if key == name.as_bytes() {
            return Some(object[start..end].trim_ascii());
        }
        if object.get(end) != Some(&b',') {
            return None;
        }
        at = end + 1;
    }
}
