//! HTTP towards callers, operators, endpoints and the platform.

mod answer;
mod body;
mod fetch;
mod server;

pub use {
    answer::{Answer, Failure, headers, json, mark, refusal, text, with_body},
    body::{ReadError, read_whole},
    fetch::{Error, Fetched, Result, fetch},
    server::{Handle, serve},
};
