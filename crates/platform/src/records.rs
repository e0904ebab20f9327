//! Carries a request out by calls to a platform that holds objects by kind and name.
//!
//! Names and formats of the calls are an adapter's, behind [`RecordCodec`]. What a request needs of
//! them is decided here: a write in any case is a creation or, where the object is there, a
//! replacement; and a watch on one object starts at the platform's revision, which grows
//! with every change of any object, so the object's own version can't be used for it.

use bytes::Bytes;
use core::{fmt, time::Duration};
use http::{Method, StatusCode};
use poplarswitch_store::{
    Key, ListedObject, Precondition, Reply, Request, Version, Versioned, VmRecord,
};
use snafu::{ResultExt as _, Snafu};
use std::collections::HashMap;

/// Attempts at a write in any case while others create and remove the object.
const ATTEMPTS: u32 = 3;

/// A call in the platform's own form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordCall<'a> {
    /// Read an object.
    Read(&'a Key),
    /// Read an object and the platform's revision.
    ReadWithRevision(&'a Key),
    /// Wait for changes after a revision, and see whether an object is among them.
    Watch {
        /// The object.
        key: &'a Key,
        /// The revision.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// Create an object.
    Create {
        /// Its key.
        key: &'a Key,
        /// Its value.
        value: &'a [u8],
    },
    /// Replace an object, if it has a version.
    Replace {
        /// Its key.
        key: &'a Key,
        /// Its value.
        value: &'a [u8],
        /// The version, unless any will do.
        version: Option<Version>,
    },
    /// Remove an object, if it has a version.
    Remove {
        /// Its key.
        key: &'a Key,
        /// The version, unless any will do.
        version: Option<Version>,
    },
    /// List the objects below a path.
    List {
        /// The start of their keys.
        prefix: Key,
        /// The last name of the page before.
        after: Option<&'a str>,
    },
    /// List the VMs.
    Vms {
        /// The last name of the page before.
        after: Option<&'a str>,
    },
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordReply {
    /// An object, or that there is none.
    Object(Option<Versioned>),
    /// What a watch or a survey found, as of a revision.
    Snapshot {
        /// The object, if it changed or was surveyed, and is there.
        object: Option<Versioned>,
        /// The platform's revision.
        revision: u64,
    },
    /// A page of a listing.
    Page(Page),
    /// The write was done.
    Done(Version),
    /// The condition didn't hold; nothing was done.
    Conflict(Option<Versioned>),
    /// There is no such object; nothing was done.
    Missing,
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// Nothing was done.
    Refused,
}

/// A page of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The objects, if objects were listed.
    pub listed: Vec<ListedObject>,
    /// The VMs, if VMs were listed.
    pub vms: Vec<VmRecord>,
    /// The name after which the next page begins.
    pub more: Option<String>,
}

/// Names and formats of calls for objects.
pub trait RecordCodec: fmt::Debug + Send {
    /// Writes a call.
    fn encode(&self, call: &RecordCall<'_>) -> WireRequest;

    /// Reads an answer.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn decode(
        &self,
        call: &RecordCall<'_>,
        status: StatusCode,
        body: &[u8],
    ) -> Result<RecordReply, String>;
}

/// What a watch on an object knows.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    version: Version,
    revision: u64,
}

/// Why a request was not carried out.
#[derive(Debug, Snafu)]
pub enum ExecuteError<E: std::error::Error + 'static> {
    /// A call got no answer; it may have been done all the same.
    #[snafu(display("{source}"))]
    Send {
        /// Why.
        source: E,
    },
    /// An answer can't be read.
    #[snafu(display("{reason}"))]
    Unreadable {
        /// What can't be read.
        reason: String,
    },
}

/// Carries out requests one by one.
#[derive(Debug)]
pub struct Executor {
    codec: Box<dyn RecordCodec>,
    cursors: HashMap<Key, Cursor>,
}

impl Executor {
    /// Speaks as an adapter does.
    pub fn new(codec: Box<dyn RecordCodec>) -> Self {
        Self {
            codec,
            cursors: HashMap::new(),
        }
    }

    /// Carries out a request by calls that `send` exchanges for answers; a refusal is told with
    /// a time to wait.
    ///
    /// # Errors
    ///
    /// Fails if a call got no answer, or one that can't be read.
    pub fn execute<E: std::error::Error + 'static>(
        &mut self,
        request: &Request,
        refused: Duration,
        send: impl FnMut(&WireRequest) -> Result<(StatusCode, Vec<u8>), E>,
    ) -> Result<Reply, ExecuteError<E>> {
        let Self { codec, cursors } = self;
        let mut exchange = Exchange {
            codec: &**codec,
            send,
        };
        let found = match request {
            Request::Get { key } => exchange.call(&RecordCall::Read(key))?,
            Request::Put {
                key,
                value,
                precondition,
            } => exchange.put(key, value, *precondition)?,
            Request::Delete { key, precondition } => exchange.remove(key, *precondition)?,
            Request::Watch { key, after, wait } => exchange.watch(cursors, key, *after, *wait)?,
            Request::List { prefix } => exchange.pages(|after| RecordCall::List {
                prefix: prefix.clone(),
                after,
            })?,
            Request::Vms => exchange.pages(|after| RecordCall::Vms { after })?,
        };
        Ok(reply(request, found, refused))
    }
}

/// What a reply of the platform means for a request.
fn reply(request: &Request, found: RecordReply, refused: Duration) -> Reply {
    match (found, request) {
        (RecordReply::Object(object), Request::Watch { .. }) if object.is_none() => {
            Reply::Unchanged
        }
        (RecordReply::Object(object), _) => Reply::Object(object),
        (RecordReply::Missing, _) => Reply::Object(None),
        (RecordReply::Done(version), _) => Reply::Done { version },
        (RecordReply::Conflict(current), _) => Reply::Conflict { current },
        (RecordReply::Page(page), Request::Vms) => Reply::Vms(page.vms),
        (RecordReply::Page(page), _) => Reply::Listing(page.listed),
        (RecordReply::Snapshot { .. } | RecordReply::HistoryGone, _) => Reply::Unchanged,
        (RecordReply::Refused, _) => Reply::Unavailable {
            retry_after: refused,
        },
    }
}

/// The calls of one request.
struct Exchange<'a, S> {
    codec: &'a dyn RecordCodec,
    send: S,
}

impl<E, S> Exchange<'_, S>
where
    E: std::error::Error + 'static,
    S: FnMut(&WireRequest) -> Result<(StatusCode, Vec<u8>), E>,
{
    fn call(&mut self, call: &RecordCall<'_>) -> Result<RecordReply, ExecuteError<E>> {
        let (status, body) = (self.send)(&self.codec.encode(call)).context(SendSnafu)?;
        let read = self.codec.decode(call, status, &body);
        read.map_err(|reason| ExecuteError::Unreadable { reason })
    }

    fn put(
        &mut self,
        key: &Key,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<RecordReply, ExecuteError<E>> {
        let replace = |version| RecordCall::Replace {
            key,
            value,
            version,
        };
        let create = RecordCall::Create { key, value };
        match precondition {
            Precondition::Absent => self.call(&create),
            Precondition::Matches(version) => match self.call(&replace(Some(version)))? {
                RecordReply::Missing => Ok(RecordReply::Conflict(None)),
                other => Ok(other),
            },
            Precondition::Always => {
                for _ in 0..ATTEMPTS {
                    match self.call(&create)? {
                        RecordReply::Conflict(_) => {}
                        other => return Ok(other),
                    }
                    match self.call(&replace(None))? {
                        RecordReply::Missing => {}
                        other => return Ok(other),
                    }
                }
                Ok(RecordReply::Refused)
            }
        }
    }

    fn remove(
        &mut self,
        key: &Key,
        precondition: Precondition,
    ) -> Result<RecordReply, ExecuteError<E>> {
        let version = match precondition {
            Precondition::Matches(version) => Some(version),
            Precondition::Absent | Precondition::Always => None,
        };
        Ok(match self.call(&RecordCall::Remove { key, version })? {
            RecordReply::Missing if version.is_some() => RecordReply::Conflict(None),
            // What isn't there needn't be removed.
            RecordReply::Missing => RecordReply::Done(Version::default()),
            other => other,
        })
    }

    fn watch(
        &mut self,
        cursors: &mut HashMap<Key, Cursor>,
        key: &Key,
        after: Version,
        wait: Duration,
    ) -> Result<RecordReply, ExecuteError<E>> {
        let watch = |after| RecordCall::Watch { key, after, wait };
        let found = match cursors.get(key) {
            Some(cursor) if cursor.version == after => self.call(&watch(cursor.revision))?,
            _ => match self.call(&RecordCall::ReadWithRevision(key))? {
                // Nothing is newer yet, and the watch goes on from what was surveyed.
                RecordReply::Snapshot { object, revision }
                    if object.as_ref().is_none_or(|object| object.version <= after) =>
                {
                    self.call(&watch(revision))?
                }
                other => other,
            },
        };
        match found {
            RecordReply::Snapshot { object, revision } => {
                let newer = object.filter(|object| object.version > after);
                let version = newer.as_ref().map_or(after, |object| object.version);
                cursors.insert(key.clone(), Cursor { version, revision });
                Ok(RecordReply::Object(newer))
            }
            RecordReply::HistoryGone => {
                cursors.remove(key);
                Ok(RecordReply::HistoryGone)
            }
            other => Ok(other),
        }
    }

    fn pages(
        &mut self,
        call: impl for<'n> Fn(Option<&'n str>) -> RecordCall<'n>,
    ) -> Result<RecordReply, ExecuteError<E>> {
        let mut all = Page::default();
        loop {
            match self.call(&call(all.more.as_deref()))? {
                RecordReply::Page(page) => {
                    all.listed.extend(page.listed);
                    all.vms.extend(page.vms);
                    all.more = page.more;
                }
                other => return Ok(other),
            }
            if all.more.is_none() {
                return Ok(RecordReply::Page(all));
            }
        }
    }
}
