//! Definitions of sections and keys, shared by the parser and the generated reference.

/// Definition of one key of a section.
#[derive(Clone, Copy, Debug)]
pub struct KeyDef {
    /// Name of the key.
    pub name: &'static str,
    /// Format of the value, such as `duration`.
    pub form: &'static str,
    /// What applies when the key is absent.
    pub default: KeyDefault,
    /// What the key sets.
    pub help: &'static str,
}

/// What applies when a key is absent.
#[derive(Clone, Copy, Debug)]
pub enum KeyDefault {
    /// The key is required.
    Required,
    /// This text is parsed in place of the value.
    Value(&'static str),
    /// The key is optional; the text says what applies without it.
    Note(&'static str),
}

/// Definition of a section: its name and its keys.
#[derive(Clone, Copy, Debug)]
pub struct SectionDef {
    /// First word of the section header.
    pub name: &'static str,
    /// Placeholder of the second word of the header, if the section takes one.
    pub label: Option<&'static str>,
    /// What the section describes.
    pub help: &'static str,
    /// Keys of the section.
    pub keys: &'static [KeyDef],
}

impl SectionDef {
    /// The definition of the key `name`.
    pub fn key(&self, name: &str) -> Option<&'static KeyDef> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// Defines a required key.
pub(super) const fn required(name: &'static str, form: &'static str, help: &'static str) -> KeyDef {
    KeyDef { name, form, default: KeyDefault::Required, help }
}

/// Defines a key with a default, written as in a file.
pub(super) const fn defaulted(
    name: &'static str,
    form: &'static str,
    value: &'static str,
    help: &'static str,
) -> KeyDef {
    KeyDef { name, form, default: KeyDefault::Value(value), help }
}

/// Defines an optional key; `note` says what applies without it.
pub(super) const fn optional(
    name: &'static str,
    form: &'static str,
    note: &'static str,
    help: &'static str,
) -> KeyDef {
    KeyDef { name, form, default: KeyDefault::Note(note), help }
}
