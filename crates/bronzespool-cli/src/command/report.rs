//! `report`: shows the burn rates of the service-level targets as a table, a page or a plot.

use {
    crate::{
        args::ReportFile,
        client::Client,
        error::{Error, Result},
        output::Output,
        report::{BurnRow, html_page, svg_plot, table_text},
    },
    serde::Deserialize,
    std::{fs, path::Path},
};

/// Fetches the rows and prints them, or writes them to `file`.
pub(super) async fn run(client: Client, file: Option<&ReportFile>) -> Result<Output> {
    let json = client.get("/v1/report").await?;
    let rows = Vec::<BurnRow>::deserialize(&json)
        .map_err(|error| Error::UnexpectedResponse(error.to_string()))?;
    let text = match file {
        None => table_text(&rows),
        Some(ReportFile::Html(path)) => write_file(path, &html_page(&rows)?)?,
        Some(ReportFile::Svg(path)) => write_file(path, &svg_plot(&rows)?)?,
    };
    Ok(Output { json, ..Output::text(text) })
}

fn write_file(path: &Path, text: &str) -> Result<String> {
    match fs::write(path, text) {
        Ok(()) => Ok(format!("wrote {}", path.display())),
        Err(error) => Err(Error::Write { path: path.to_owned(), error }),
    }
}
