//! The callers' port.
//!
//! Every limit stands before the work that it guards: connections before a task is started,
//! the head's and the body's time and size before parsing, the key before the class, the
//! class and model before anything reaches the decision thread. A caller that leaves drops
//! the future or the body that serves it, and that cancels its call at once.

mod admission;
mod auth;
mod body;
mod chat;
mod receiver;
mod reply;
mod resolve;
mod routes;
mod server;
mod service;
mod submit;

pub(crate) use auth::bearer;
pub(crate) use server::{PortState, serve};
pub(crate) use submit::leaving_error;
