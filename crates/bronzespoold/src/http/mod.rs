//! HTTP/1.1 server and client for callers, operators, endpoints and the platform.

mod body;
mod budget;
mod client;
mod connection;
mod fetch;
mod pool;
mod presence;
mod refuse;
mod response;
mod server;
mod stream;

pub use {
    body::{ReadError, RequestBody, RequestError, RequestRoom, read_body, read_request_body},
    budget::{BodyBudget, BodyRoom},
    client::{JsonClient, PeerAnswer},
    connection::Connection,
    fetch::{Error, FetchedResponse, Result, fetch},
    pool::ConnectionPool,
    presence::CallerPresence,
    response::{
        FailureBody, FullResponse, body_response, headers, json_response, refusal_response,
        set_code_headers, text_response,
    },
    server::{Handler, serve, serve_bounded},
};
