//! Stand-ins for the model engine and the plain service, with injectable faults.
//!
//! Each one speaks its published protocol over HTTP on loopback, so that the whole path runs on
//! one machine. They run on `hyper` instead of `astra`, because a stand-in must be able to
//! crash: closing its listener and all of its connections at any moment, which `astra` can't.
//! The entry VM's process never depends on this package.

mod answer;
mod body;
mod engine;
mod server;
mod service;

#[cfg(test)]
mod engine_tests;
#[cfg(test)]
mod service_tests;

pub use answer::{answer_text, answer_tokens, token_text};
pub use body::{Body, json_response, stream_body, text_response};
pub use engine::{Engine, EngineFaults, EngineSpec, EngineStats, LoadSpan};
pub use server::{ConnectionCut, Handler, HandlerResult, Server, ServerError};
pub use service::{Service, ServiceFaults, ServiceStats};
