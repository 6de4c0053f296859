//! HTML page with the table and the plot.

use crate::{
    error::Result,
    report::{BurnRow, HEADERS, cell_texts, svg_plot},
};

const STYLE: &str = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
                     td,th{border:1px solid #999;padding:.3em .6em;text-align:left}";

/// Renders table and plot as one HTML page that loads no other resources.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn html_page(rows: &[BurnRow]) -> Result<String> {
    let headers: String = HEADERS.iter().map(|header| format!("<th>{header}</th>")).collect();
    let body: String = rows.iter().map(html_row).collect();
    let svg = svg_plot(rows)?;
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>bronzespool: service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<table>\n<tr>{headers}</tr>\n{body}</table>\n{svg}\n\
         <p>A burn rate of 1 spends the error budget exactly; above 1 it runs out early.</p>\n\
         </body></html>\n"
    ))
}

fn html_row(row: &BurnRow) -> String {
    let cells: String =
        cell_texts(row).iter().map(|text| format!("<td>{}</td>", escape_html(text))).collect();
    format!("<tr>{cells}</tr>\n")
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
