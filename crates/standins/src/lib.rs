//! Stand-ins for the model engine and the plain service, with injectable faults.
//!
//! Each stand-in implements the published HTTP protocol of the real server and listens on
//! loopback, so that tests can run the whole path of a call on one machine. The stand-ins use
//! `hyper` instead of `astra`, because a stand-in must be able to simulate a crash, that is, to
//! close its listener and all of its connections at any moment, which `astra` can't do. The
//! process of the VM doesn't depend on this package.

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
pub use server::{ConnectionCut, Handler, HandlerResult, RawResponse, Server, ServerError};
pub use service::{Service, ServiceFaults, ServiceStats};
