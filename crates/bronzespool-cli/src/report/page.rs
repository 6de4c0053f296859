//! Page with the table and the plot.

use crate::{
    error::Result,
    report::{HEADS, Row, cells, plot},
};

const STYLE: &str = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
                     td,th{border:1px solid #999;padding:.3em .6em;text-align:left}";

/// Table and plot as one HTML page with nothing outside it.
///
/// # Errors
///
/// The plot cannot be drawn.
pub fn page(rows: &[Row]) -> Result<String> {
    let heads: String = HEADS.iter().map(|head| format!("<th>{head}</th>")).collect();
    let body: String = rows.iter().map(line).collect();
    let svg = plot(rows)?;
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>bronzespool: service-level burn</title><style>{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<table>\n<tr>{heads}</tr>\n{body}</table>\n{svg}\n\
         <p>A burn rate of 1 spends the error budget exactly; above 1 it runs out early.</p>\n\
         </body></html>\n"
    ))
}

fn line(row: &Row) -> String {
    let cells: String =
        cells(row).iter().map(|text| format!("<td>{}</td>", escape(text))).collect();
    format!("<tr>{cells}</tr>\n")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
