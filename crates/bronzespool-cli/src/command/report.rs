//! The report of service-level burn as a table, a page or a plot.

use {
    crate::{
        args::Page,
        client::Client,
        error::{Error, Result},
        output::Output,
        report::{Row, page, plot, show},
    },
    serde::Deserialize,
    std::{fs, path::Path},
};

/// Reads the rows and prints them, or writes them to a file.
pub(super) async fn run(client: Client, target: Option<&Page>) -> Result<Output> {
    let json = client.get("/v1/report").await?;
    let rows = Vec::<Row>::deserialize(&json).map_err(|error| Error::Answer(error.to_string()))?;
    let text = match target {
        None => show(&rows),
        Some(Page::Html(path)) => save(path, &page(&rows)?)?,
        Some(Page::Svg(path)) => save(path, &plot(&rows)?)?,
    };
    Ok(Output { json, ..Output::text(text) })
}

fn save(path: &Path, text: &str) -> Result<String> {
    match fs::write(path, text) {
        Ok(()) => Ok(format!("wrote {}", path.display())),
        Err(error) => Err(Error::Write { path: path.to_owned(), error }),
    }
}
