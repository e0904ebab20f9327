//! The callers' port.
//!
//! Each limit is checked before the work that it bounds: the number of connections before a
//! task is spawned, the time and size of head and body before they are parsed, the bearer key
//! before the class is looked up, and class and model before the event loop receives the call.
//! When a caller disconnects, the future or body that serves it is dropped, which cancels its
//! call immediately.

mod admission;
mod auth;
mod body;
mod chat;
mod connection;
mod receiver;
mod reply;
mod resolve;
mod routes;
mod server;
mod service;
mod submit;

#[cfg(test)]
mod server_tests;

pub(crate) use auth::bearer;
pub(crate) use server::{PortState, serve};
pub(crate) use submit::leaving_error;
