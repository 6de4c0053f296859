//! Tables in Markdown.

use std::fmt::Write;

/// A table with a header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table with these columns.
    pub fn new(header: &[&str]) -> Self {
        Self { header: header.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table's text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut line = |cells: &[String]| {
            let _ = writeln!(text, "| {} |", cells.join(" | "));
        };
        line(&self.header);
        line(&vec!["---".to_owned(); self.header.len()]);
        self.rows.iter().for_each(|row| line(row));
        text
    }
}
