//! Execution of requests by calls to a platform that stores objects by kind and name.
//!
//! An adapter defines the names and formats of the calls by [`RecordCodec`]. This module decides
//! which calls a request takes. A write without a precondition is a creation or, if the object
//! exists, a replacement. A watch of an object starts at the platform's revision, which grows
//! with every change of any object, so the object's own version can't be used for it.

use bytes::Bytes;
use core::{fmt, time::Duration};
use http::{Method, StatusCode};
use poplarswitch_store::{
    Key, ListedObject, Precondition, Reply, Request, Version, Versioned, VmRecord,
};
use snafu::{ResultExt as _, Snafu};
use std::collections::HashMap;

/// Maximum attempts at a write without a precondition; an attempt fails if others create or
/// remove the object between its calls.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// HTTP request of a call, in the platform's format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Bytes,
}

/// Call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordCall<'a> {
    /// Reads an object.
    Read(&'a Key),
    /// Reads an object and the platform's revision.
    ReadWithRevision(&'a Key),
    /// Waits for changes after a revision, and returns the object if it is among them.
    Watch {
        /// Path of the object.
        key: &'a Key,
        /// Revision after which changes are returned.
        after: u64,
        /// Maximum wait.
        wait: Duration,
    },
    /// Creates an object.
    Create {
        /// Path of the object.
        key: &'a Key,
        /// Value of the object.
        value: &'a [u8],
    },
    /// Replaces an existing object.
    Replace {
        /// Path of the object.
        key: &'a Key,
        /// New value of the object.
        value: &'a [u8],
        /// Version that the object must have; `None` for any.
        version: Option<Version>,
    },
    /// Removes an existing object.
    Remove {
        /// Path of the object.
        key: &'a Key,
        /// Version that the object must have; `None` for any.
        version: Option<Version>,
    },
    /// Lists the objects whose paths have a prefix.
    List {
        /// Prefix of the paths.
        prefix: Key,
        /// Last name of the previous page, if any.
        after: Option<&'a str>,
    },
    /// Lists the VMs.
    Vms {
        /// Last name of the previous page, if any.
        after: Option<&'a str>,
    },
}

/// Answer of the platform to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordReply {
    /// The object, or `None` if it does not exist.
    Object(Option<Versioned>),
    /// Result of a watch or of a read with the revision.
    Snapshot {
        /// The object; `None` if it does not exist or, for a watch, if it didn't change.
        object: Option<Versioned>,
        /// Revision of the platform to which the result belongs.
        revision: u64,
    },
    /// Page of a listing.
    Page(Page),
    /// The write was done and assigned this version.
    Done(Version),
    /// The precondition was not met and nothing was done; the current object, or `None` if it does
    /// not exist.
    Conflict(Option<Versioned>),
    /// The object does not exist; nothing was done.
    Missing,
    /// The platform no longer has the changes after the revision of the watch.
    HistoryGone,
    /// The call was refused; nothing was done.
    Refused,
}

/// Page of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Objects of a listing of objects.
    pub listed: Vec<ListedObject>,
    /// Entries of a listing of VMs.
    pub vms: Vec<VmRecord>,
    /// Name after which the next page starts; `None` on the last page.
    pub more: Option<String>,
}

/// Encoding of calls and decoding of answers in the platform's format.
pub trait RecordCodec: fmt::Debug + Send {
    /// Encodes a call.
    fn encode(&self, call: &RecordCall<'_>) -> WireRequest;

    /// Decodes the answer to a call.
    ///
    /// # Errors
    ///
    /// Returns a description of what can't be parsed.
    fn decode(
        &self,
        call: &RecordCall<'_>,
        status: StatusCode,
        body: &[u8],
    ) -> Result<RecordReply, String>;
}

/// State of the watch of an object.
#[derive(Clone, Copy, Debug)]
struct WatchCursor {
    version: Version,
    revision: u64,
}

/// Reason why the execution of a request failed.
#[derive(Debug, Snafu)]
pub enum ExecuteError<E: std::error::Error + 'static> {
    /// A call got no answer; it may have been done all the same.
    #[snafu(display("{source}"))]
    Send {
        /// Error of the transport.
        source: E,
    },
    /// An answer can't be parsed.
    #[snafu(display("{reason}"))]
    Unreadable {
        /// Description of what can't be parsed.
        reason: String,
    },
}

/// Executes requests one at a time.
#[derive(Debug)]
pub struct Executor {
    codec: Box<dyn RecordCodec>,
    cursors: HashMap<Key, WatchCursor>,
}

impl Executor {
    /// Creates an executor that uses an adapter's format.
    pub fn new(codec: Box<dyn RecordCodec>) -> Self {
        Self {
            codec,
            cursors: HashMap::new(),
        }
    }

    /// Executes a request by calls; `send` sends a call and returns the status and body of the
    /// answer. The reply to a refused request carries `retry_delay` as its retry time.
    ///
    /// # Errors
    ///
    /// Returns an error if a call got no answer, or one that can't be parsed.
    pub fn execute<E: std::error::Error + 'static>(
        &mut self,
        request: &Request,
        retry_delay: Duration,
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
        Ok(to_reply(request, found, retry_delay))
    }
}

/// Converts the platform's last answer to the reply to a request.
fn to_reply(request: &Request, found: RecordReply, retry_delay: Duration) -> Reply {
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
            retry_after: retry_delay,
        },
    }
}

/// Calls of one request.
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
        let decoded = self.codec.decode(call, status, &body);
        decoded.map_err(|reason| ExecuteError::Unreadable { reason })
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
                for _ in 0..MAX_WRITE_ATTEMPTS {
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
            // The object is already absent, so an unconditional delete has succeeded.
            RecordReply::Missing => RecordReply::Done(Version::default()),
            other => other,
        })
    }

    fn watch(
        &mut self,
        cursors: &mut HashMap<Key, WatchCursor>,
        key: &Key,
        after: Version,
        wait: Duration,
    ) -> Result<RecordReply, ExecuteError<E>> {
        let watch = |after| RecordCall::Watch { key, after, wait };
        let found = match cursors.get(key) {
            Some(cursor) if cursor.version == after => self.call(&watch(cursor.revision))?,
            _ => match self.call(&RecordCall::ReadWithRevision(key))? {
                // No newer version exists yet, so the watch starts at the revision of this read.
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
                cursors.insert(key.clone(), WatchCursor { version, revision });
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
