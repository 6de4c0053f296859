//! HTTP towards callers, operators, endpoints and the platform.

mod answer;
mod body;
mod connection;
mod fetch;
mod pool;
mod server;

pub use {
    answer::{Answer, Failure, headers, json, mark, refusal, text, with_body},
    body::{ReadError, read_whole},
    connection::Connection,
    fetch::{Error, Fetched, Result, fetch},
    pool::Pool,
    server::{Handle, serve},
};
