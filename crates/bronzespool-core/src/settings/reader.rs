//! Reads validated values from one section and collects faults.

use {
    crate::settings::{
        document::{Document, Section},
        fault::Fault,
        schema::{KeyDefault, SectionDef},
    },
    std::fmt::Display,
};

/// Reads the keys of one section; faults are appended to `faults`.
pub(super) struct SectionReader<'a> {
    document: &'a Document,
    section: &'a Section,
    def: &'static SectionDef,
    faults: &'a mut Vec<Fault>,
}

impl<'a> SectionReader<'a> {
    pub(super) const fn new(
        document: &'a Document,
        section: &'a Section,
        def: &'static SectionDef,
        faults: &'a mut Vec<Fault>,
    ) -> Self {
        Self { document, section, def, faults }
    }

    /// The value of `key` or its default, or `None` after a fault.
    pub(super) fn get<T>(&mut self, key: &str) -> Option<T>
    where
        T: for<'t> TryFrom<&'t str, Error: Display>,
    {
        if self.has(key) {
            return self.optional(key).flatten();
        }
        match self.def.key(key).map(|def| def.default) {
            Some(KeyDefault::Value(text)) => self.parse(key, text),
            _ => {
                self.push_fault(key, "is missing: add it to this section".to_owned());
                None
            }
        }
    }

    /// The value of `key`; the inner option is `None` if the key is absent, the outer one after a
    /// fault.
    pub(super) fn optional<T>(&mut self, key: &str) -> Option<Option<T>>
    where
        T: for<'t> TryFrom<&'t str, Error: Display>,
    {
        match self.section.entry(key) {
            Some(entry) => self.parse(key, &entry.value).map(Some),
            None => Some(None),
        }
    }

    /// The name in the section header, or `None` if it is missing or invalid.
    pub(super) fn label<T>(&mut self) -> Option<T>
    where
        T: for<'t> TryFrom<&'t str, Error: Display>,
    {
        if self.section.label.is_empty() {
            return None;
        }
        match T::try_from(&self.section.label) {
            Ok(value) => Some(value),
            Err(error) => {
                self.push_fault("", error.to_string());
                None
            }
        }
    }

    pub(super) fn has(&self, key: &str) -> bool {
        self.section.entry(key).is_some()
    }

    /// Adds a fault at `key`, or at the header if the section does not contain the key.
    pub(super) fn push_fault(&mut self, key: &str, message: String) {
        let line = self.section.entry(key).map_or(self.section.line, |entry| entry.line);
        let key = format!("{} {key}", self.section.header());
        self.faults.push(self.document.fault_at(line, key.trim_end().to_owned(), message));
    }

    fn parse<T>(&mut self, key: &str, text: &str) -> Option<T>
    where
        T: for<'t> TryFrom<&'t str, Error: Display>,
    {
        match T::try_from(text) {
            Ok(value) => Some(value),
            Err(error) => {
                let comment = text.contains(';');
                let hint = if comment { "; a comment stands on a line of its own" } else { "" };
                self.push_fault(key, format!("{error}{hint}"));
                None
            }
        }
    }
}
