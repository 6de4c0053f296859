//! Output of a command as text and as JSON, and the rendering of JSON values as text.

use {
    crate::error::Exit,
    serde_json::{Map, Value},
    std::collections::BTreeSet,
};

/// Columns that come first in a table, in this order; the others follow alphabetically.
const LEADING_COLUMNS: &[&str] = &[
    "name", "job", "id", "instance", "member", "role", "presence", "center", "rack", "service",
    "kind", "team", "phase", "state", "code", "revision",
];

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Text to print without `--json`.
    pub text: String,
    /// Value to print with `--json`.
    pub json: Value,
    /// Exit code of the process.
    pub exit: Exit,
}

impl Output {
    /// Output of a text; the JSON value is the same text as a string.
    pub fn text(text: String) -> Self {
        Self { json: Value::String(text.clone()), text, exit: Exit::Done }
    }

    /// Output of a JSON value; the text shows it as lines and tables.
    pub fn value(json: Value) -> Self {
        Self { text: render(&json), json, exit: Exit::Done }
    }

    /// The JSON value as indented text.
    pub fn json_text(&self) -> String {
        format!("{:#}", self.json)
    }
}

/// Renders a JSON value as text: fields as lines, arrays of objects as tables.
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    match value {
        Value::Object(map) => render_object("", map, &mut text),
        Value::Array(items) => text.push_str(&render_list(items)),
        _ => text.push_str(&cell_text(value)),
    }
    text
}

fn render_object(prefix: &str, map: &Map<String, Value>, text: &mut String) {
    let (tables, fields): (Vec<_>, Vec<_>) = map.iter().partition(|(_, v)| is_table(v));
    for (key, value) in fields {
        match value {
            Value::Object(inner) => render_object(&format!("{prefix}{key}."), inner, text),
            _ => text.push_str(&format!("{prefix}{key}: {}\n", cell_text(value))),
        }
    }
    for (key, value) in tables {
        let items = value.as_array().map_or(&[][..], Vec::as_slice);
        text.push_str(&format!("\n{prefix}{key}:\n{}", render_list(items)));
    }
}

fn is_table(value: &Value) -> bool {
    value.as_array().is_some_and(|items| items.is_empty() || items.iter().any(Value::is_object))
}

fn render_list(items: &[Value]) -> String {
    if items.is_empty() {
        return "none\n".to_owned();
    }
    let names: BTreeSet<&str> = items
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|m| m.keys().map(String::as_str))
        .collect();
    if names.is_empty() {
        return items.iter().map(|item| cell_text(item) + "\n").collect();
    }
    let first = LEADING_COLUMNS.iter().copied().filter(|name| names.contains(name));
    let rest = names.iter().copied().filter(|name| !LEADING_COLUMNS.contains(name));
    let columns: Vec<&str> = first.chain(rest).collect();
    let row = |item: &Value| {
        columns.iter().map(|&name| item.get(name).map_or_else(String::new, cell_text)).collect()
    };
    table(&columns, &items.iter().map(row).collect::<Vec<_>>())
}

/// Text of one value in a line or table cell. Control characters become spaces, so that a response
/// cannot move the cursor of the terminal.
fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect(),
        Value::Array(items) => items.iter().map(cell_text).collect::<Vec<_>>().join(", "),
        _ => value.to_string(),
    }
}

/// Renders rows under their headers, each column as wide as its widest text.
pub fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let headers: Vec<String> = headers.iter().map(|header| (*header).to_owned()).collect();
    let lines = || std::iter::once(&headers).chain(rows);
    let width = |i: usize| lines().filter_map(|line| line.get(i)).map(|t| t.chars().count()).max();
    let widths: Vec<usize> = (0..headers.len()).map(|i| width(i).unwrap_or(0)).collect();
    let line = |line: &Vec<String>| {
        let cells = line.iter().zip(&widths).map(|(text, &width)| format!("{text:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    lines().map(line).collect()
}
