//! A small JSON reader and writer.

use std::{collections::BTreeMap, fmt};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a whole text.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, word: &str) -> Option<()> {
    let end = *at + word.len();
    (bytes.get(*at..end)? == word.as_bytes()).then(|| *at = end)
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'n' => expect(bytes, at, "null").map(|()| Json::Null),
        b't' => expect(bytes, at, "true").map(|()| Json::Bool(true)),
        b'f' => expect(bytes, at, "false").map(|()| Json::Bool(false)),
        b'"' => parse_text(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let name = parse_text(bytes, at)?;
                skip_space(bytes, at);
                expect(bytes, at, ":")?;
                table.insert(name, parse_value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, "\"")?;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        text.extend(code.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

/// Writes a text with quotation marks.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(value) => write!(f, "{value}"),
            Self::Text(text) => f.write_str(&quote(text)),
            Self::List(list) => {
                let all: Vec<String> = list.iter().map(ToString::to_string).collect();
                write!(f, "[{}]", all.join(","))
            }
            Self::Table(table) => {
                let all: Vec<String> =
                    table.iter().map(|(k, v)| format!("{}:{v}", quote(k))).collect();
                write!(f, "{{{}}}", all.join(","))
            }
        }
    }
}
