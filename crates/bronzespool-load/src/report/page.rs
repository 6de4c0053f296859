//! Page of results with headings, paragraphs and tables.

use {
    crate::{Result, report::Table},
    serde::Serialize,
    std::{fmt::Write, fs, path::Path},
};

/// Whether a target was met.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The target.
    pub target: String,
    /// The measured value.
    pub measured: String,
    /// Whether it was met.
    pub met: bool,
}

/// A page under construction.
#[derive(Clone, Debug, Default)]
pub struct Page {
    text: String,
}

impl Page {
    /// Creates a page with a title.
    pub fn new(title: &str) -> Self {
        Self { text: format!("# {title}\n") }
    }

    /// Adds a heading.
    pub fn heading(&mut self, text: &str) {
        let _ = write!(self.text, "\n## {text}\n");
    }

    /// Adds a paragraph.
    pub fn paragraph(&mut self, text: &str) {
        let _ = write!(self.text, "\n{text}\n");
    }

    /// Adds a table.
    pub fn table(&mut self, table: &Table) {
        let _ = write!(self.text, "\n{}", table.render());
    }

    /// Adds the verdicts as a table.
    pub fn verdicts(&mut self, verdicts: &[Verdict]) {
        let mut table = Table::new(&["target", "measured", "result"]);
        for verdict in verdicts {
            let result = if verdict.met { "met" } else { "**missed**" };
            table.row(vec![verdict.target.clone(), verdict.measured.clone(), result.to_owned()]);
        }
        self.table(&table);
    }

    /// Writes `name.md` and, from `data`, `name.json` into `folder`, and prints the page.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn write<T: Serialize>(&self, folder: &Path, name: &str, data: &T) -> Result<()> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join(format!("{name}.md")), &self.text)?;
        let json = serde_json::to_string_pretty(data)?;
        fs::write(folder.join(format!("{name}.json")), json + "\n")?;
        println!("{}", self.text);
        Ok(())
    }
}
