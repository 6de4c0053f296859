//! Pages of results in Markdown, and the same figures in JSON files beside them.

mod host;
mod page;
mod table;

pub use {
    host::HostLoad,
    page::{Page, Verdict},
    table::Table,
};
