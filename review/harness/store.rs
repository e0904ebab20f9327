//! Stand-in for the platform's store: objects by kind and name, listings, watches, conditional writes, and
//! the drill in which it comes back from a copy.

use crate::{http, record::Record};
use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const OBJECTS_PATH: &str = "/poplarswitch/objects/";
/// Largest page of a listing: about 500 objects, or 1 MB.
const PAGE_LEN: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    json: String,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
pub struct Content {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<Change>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    pub fn start(address: SocketAddr, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let content = Content {
            revision: 10,
            ..Content::default()
        };
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(State {
                content,
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
        });
        let (serving, record) = (Arc::clone(&store), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, record) = (Arc::clone(&serving), Arc::clone(&record));
                thread::spawn(move || store.serve(stream, &record));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&head, &mut reader)?;
            // The platform's usual time for an answer.
            thread::sleep(Duration::from_millis(4));
            let (method, path, query) = head.target();
            let (status, body) = self.answer(method, path, query, &body);
            if !query.contains("watch") {
                record.line("store", &format!("{} -> {status}", head.first));
            }
            let era = self.state.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            http::respond(&mut writer, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, method: &str, path: &str, query: &str, body: &[u8]) -> (&'static str, String) {
        if self.state.lock().unwrap().is_away {
            return ("503 Service Unavailable", String::new());
        }
        let Some(path) = path.strip_prefix(OBJECTS_PATH) else {
            return ("404 Not Found", String::new());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(body);
        match (method, name) {
            ("GET", "") => match http::parameter(query, "watch") {
                Some(after) => {
                    let wait = http::parameter(query, "wait_ms").unwrap_or("0");
                    let wait = Duration::from_millis(wait.parse().unwrap_or(0));
                    self.watch(kind, after.parse().unwrap_or(0), wait)
                }
                None => self.list(kind, http::parameter(query, "after")),
            },
            ("POST", "") => {
                let Some((name, spec)) = parse_object(&body) else {
                    return ("400 Bad Request", String::new());
                };
                if self.get(kind, &name).is_some() {
                    return ("409 Conflict", "{}".to_owned());
                }
                self.put(kind, &name, &spec);
                ("200 OK", "{}".to_owned())
            }
            ("PUT", name) => {
                let Some((_, spec)) = parse_object(&body) else {
                    return ("400 Bad Request", String::new());
                };
                if self.get(kind, name).is_none() {
                    return ("404 Not Found", "{}".to_owned());
                }
                self.put(kind, name, &spec);
                ("200 OK", "{}".to_owned())
            }
            ("DELETE", name) => {
                let wanted = http::parameter(query, "revision").and_then(|text| text.parse().ok());
                match self.get(kind, name) {
                    None => ("404 Not Found", "{}".to_owned()),
                    Some(object) if wanted.is_some_and(|at: u64| at != object.revision) => {
                        ("409 Conflict", "{}".to_owned())
                    }
                    Some(_) => {
                        self.remove(kind, name);
                        ("200 OK", "{}".to_owned())
                    }
                }
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    /// A page of the objects of a kind, after a name if one is given.
    fn list(&self, kind: &str, after: Option<&str>) -> (&'static str, String) {
        let after = after.map(http::decode);
        let state = self.state.lock().unwrap();
        let objects = state.content.kinds.get(kind);
        let objects = objects.into_iter().flatten();
        let mut objects =
            objects.filter(|(name, _)| after.as_ref().is_none_or(|after| *name > after));
        let mut items: Vec<String> = Vec::new();
        let mut bytes = 0;
        let has_more = loop {
            let Some((name, object)) = objects.next() else {
                break false;
            };
            let item = object_json(name, object);
            if items.len() >= PAGE_LEN || bytes + item.len() > PAGE_BYTES && !items.is_empty() {
                break true;
            }
            bytes += item.len();
            items.push(item);
        };
        let items = items.join(",");
        let revision = state.content.revision;
        let body =
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}");
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away {
                return ("503 Service Unavailable", String::new());
            }
            if state.era != era || after > state.content.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let history = state.content.history.iter();
            let events: Vec<&str> = history
                .filter(|change| change.kind == kind && change.revision > after)
                .map(|change| change.json.as_str())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.content.revision;
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.state.lock().unwrap();
        state.content.kinds.get(kind)?.get(name).cloned()
    }

    /// Writes an object; a write that changes nothing is no event.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        let content = &mut state.content;
        let objects = content.kinds.entry(kind.to_owned()).or_default();
        if objects.get(name).is_some_and(|object| object.spec == spec) {
            return;
        }
        content.revision += 1;
        let created = objects
            .get(name)
            .map_or(content.revision, |object| object.created);
        let object = Object {
            revision: content.revision,
            created,
            spec: spec.to_owned(),
        };
        let json = format!(
            "{{\"object\":{},\"removed\":false}}",
            object_json(name, &object)
        );
        objects.insert(name.to_owned(), object);
        content.history.push(Change {
            revision: content.revision,
            kind: kind.to_owned(),
            json,
        });
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let content = &mut state.content;
        let objects = content.kinds.entry(kind.to_owned()).or_default();
        if let Some(mut object) = objects.remove(name) {
            content.revision += 1;
            object.revision = content.revision;
            let json = format!(
                "{{\"object\":{},\"removed\":true}}",
                object_json(name, &object)
            );
            content.history.push(Change {
                revision: content.revision,
                kind: kind.to_owned(),
                json,
            });
        }
        drop(state);
        self.changed.notify_all();
    }

    /// A copy of all that the store holds.
    pub fn copy(&self) -> Content {
        self.state.lock().unwrap().content.clone()
    }

    /// The store is away from now on.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// The store comes back from a copy.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.state.lock().unwrap();
        state.content = copy;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }
}

/// Name and spec of an object as the system writes it.
fn parse_object(body: &str) -> Option<(String, String)> {
    let (_, rest) = body.split_once("\"name\":\"")?;
    let (name, _) = rest.split_once('"')?;
    let (_, spec) = body.split_once("\"spec\":")?;
    let spec = spec.trim_end().strip_suffix('}')?;
    Some((name.to_owned(), spec.to_owned()))
}
