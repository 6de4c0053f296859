//! Parsed INI text: sections and keys with their line numbers.

use {
    crate::settings::{fault::Fault, nearest::nearest, schema::SectionDef},
    ini_core::{Item, Parser},
    std::sync::Arc,
};

/// Maximum size of a settings file in bytes.
pub const TEXT_MAX_BYTES: usize = 1 << 20;

/// A parsed file whose values are not validated yet.
#[derive(Clone, Debug)]
pub struct Document {
    /// Path of the file, as reported in faults.
    pub file: Arc<str>,
    /// Sections in file order.
    pub sections: Vec<Section>,
    /// Faults found while parsing, such as malformed lines and duplicates.
    pub faults: Vec<Fault>,
}

/// A section of a document.
#[derive(Clone, Debug)]
pub struct Section {
    /// First word of the header.
    pub name: String,
    /// Second word of the header; empty if there is none.
    pub label: String,
    /// Line number of the header.
    pub line: u32,
    /// Keys in file order.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name of the key.
    pub key: String,
    /// Text of the value, trimmed.
    pub value: String,
    /// Line number of the key.
    pub line: u32,
}

impl Section {
    /// The header as written in the file.
    pub fn header(&self) -> String {
        if self.label.is_empty() {
            return format!("[{}]", self.name);
        }
        format!("[{} {}]", self.name, self.label)
    }

    /// The first entry for `key`.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

impl Document {
    /// Parses `text` into sections and keys; `file` is the path that faults report.
    pub fn parse(file: &str, text: &str) -> Self {
        let mut document = Self { file: file.into(), sections: Vec::new(), faults: Vec::new() };
        if text.len() > TEXT_MAX_BYTES {
            document.push_fault(0, "file", format!("has over {TEXT_MAX_BYTES} bytes: split it"));
            return document;
        }
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut parser = Parser::new(text).auto_trim(true);
        loop {
            let line = parser.line() + 1;
            let Some(item) = parser.next() else { return document };
            document.push_item(line, item);
        }
    }

    /// The first section named `name`.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// One fault for each of `names` that has no section.
    pub(super) fn missing_sections(&self, names: &[&str]) -> Vec<Fault> {
        let absent = names.iter().filter(|name| self.section(name).is_none());
        let message = "is missing: add this section".to_owned();
        absent.map(|name| self.fault_at(0, format!("[{name}]"), message.clone())).collect()
    }

    fn push_item(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Section(header) => self.open_section(line, header),
            Item::Property(key, _) if key.starts_with(';') => {}
            Item::Property(key, None) => {
                let message = "is no key: write 'key = value', and comments after ';'";
                self.push_fault(line, key, message.to_owned());
            }
            Item::Property(key, Some(value)) => self.add_entry(line, key, value),
            Item::Error(text) => {
                let message = "is no section header: end the line with ']'";
                self.push_fault(line, text, message.to_owned());
            }
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }

    fn open_section(&mut self, line: u32, header: &str) {
        let (name, label) = header.split_once(char::is_whitespace).unwrap_or((header, ""));
        let (name, label) = (name.to_owned(), label.trim().to_owned());
        let section = Section { name, label, line, entries: Vec::new() };
        let known = self.sections.iter();
        let first = known
            .filter(|s| s.name == section.name && s.label == section.label)
            .min_by_key(|s| s.line);
        if let Some(first) = first {
            let message = format!("stands twice: first on line {}, keep one", first.line);
            self.push_fault(line, &section.header(), message);
        }
        self.sections.push(section);
    }

    fn add_entry(&mut self, line: u32, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            let message = "stands before any section: put it under its '[section]'";
            return self.push_fault(line, key, message.to_owned());
        };
        if let Some(first) = section.entry(key) {
            let message = format!("stands twice: first on line {}, keep one", first.line);
            let key = format!("{} {key}", section.header());
            return self.push_fault(line, &key, message);
        }
        section.entries.push(Entry { key: key.to_owned(), value: value.to_owned(), line });
    }

    fn push_fault(&mut self, line: u32, key: &str, message: String) {
        let key = key.chars().take(QUOTED_CHARS_MAX).collect();
        self.faults.push(Fault { file: self.file.clone(), line, key, message });
    }

    /// Faults of parsing, and of sections and keys that `sections` does not define.
    pub(super) fn check(&self, sections: &[SectionDef]) -> Vec<Fault> {
        let mut faults = self.faults.clone();
        for section in &self.sections {
            match sections.iter().find(|def| def.name == section.name) {
                Some(def) => self.check_section(section, def, &mut faults),
                None => faults.push(self.unknown_section(section, sections)),
            }
        }
        faults
    }

    fn check_section(&self, section: &Section, def: &SectionDef, faults: &mut Vec<Fault>) {
        let message = match def.label {
            Some(label) if section.label.is_empty() => {
                Some(format!("lacks a name: write '[{} {label}]'", def.name))
            }
            None if !section.label.is_empty() => {
                Some(format!("takes no name: write '[{}]'", def.name))
            }
            _ => None,
        };
        faults
            .extend(message.map(|message| self.fault_at(section.line, section.header(), message)));
        for entry in section.entries.iter().filter(|entry| def.key(&entry.key).is_none()) {
            let known = def.keys.iter().map(|key| key.name);
            let message = describe_unknown("key", &entry.key, known);
            let key = format!("{} {}", section.header(), entry.key);
            faults.push(self.fault_at(entry.line, key, message));
        }
    }

    fn unknown_section(&self, section: &Section, sections: &[SectionDef]) -> Fault {
        let known = sections.iter().map(|def| def.name);
        self.fault_at(
            section.line,
            section.header(),
            describe_unknown("section", &section.name, known),
        )
    }

    /// Creates a fault of this file.
    pub(super) fn fault_at(&self, line: u32, key: String, message: String) -> Fault {
        Fault { file: self.file.clone(), line, key, message }
    }
}

/// Maximum number of characters of an invalid line that its fault quotes.
const QUOTED_CHARS_MAX: usize = 80;

fn describe_unknown<'a>(
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> String {
    match nearest(name, known.clone()) {
        Some(near) => format!("is no known {what}: did you mean '{near}'?"),
        None => {
            let known: Vec<_> = known.collect();
            format!("is no known {what}: use one of {}", known.join(", "))
        }
    }
}
