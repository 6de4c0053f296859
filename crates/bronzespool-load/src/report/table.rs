//! Tables in Markdown.

use std::fmt::Write;

/// A table with a header row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table with these column headers.
    pub fn new(header: &[&str]) -> Self {
        Self { header: header.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Renders the table as Markdown.
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
