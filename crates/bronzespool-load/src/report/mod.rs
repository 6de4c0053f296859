//! Pages of results in Markdown, with the same figures in JSON beside them.

mod host;
mod page;
mod table;

pub use {
    host::HostLoad,
    page::{Page, Verdict},
    table::Table,
};
