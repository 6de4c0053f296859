//! Pages of results in Markdown, with the same figures in JSON beside them.

mod machine;
mod page;
mod table;

pub use {
    machine::Machine,
    page::{Page, Verdict},
    table::Table,
};
