//! Definitions of sections and keys: the reader and the reference table share them.

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct KeyDef {
    /// Name of the key.
    pub name: &'static str,
    /// Form of the value, such as `duration`.
    pub form: &'static str,
    /// What holds when the key is left out.
    pub default: KeyDefault,
    /// What it sets.
    pub help: &'static str,
}

/// What holds when a key is left out.
#[derive(Clone, Copy, Debug)]
pub enum KeyDefault {
    /// The key must be there.
    Required,
    /// This text is read in its place.
    Value(&'static str),
    /// What the text says.
    Note(&'static str),
}

/// A section: its name and its keys.
#[derive(Clone, Copy, Debug)]
pub struct SectionDef {
    /// First word of the header.
    pub name: &'static str,
    /// What the second word of the header names, if it has one.
    pub label: Option<&'static str>,
    /// What it describes.
    pub help: &'static str,
    /// Its keys.
    pub keys: &'static [KeyDef],
}

impl SectionDef {
    /// The definition of the key `name`.
    pub fn key(&self, name: &str) -> Option<&'static KeyDef> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// A key that must be there.
pub(super) const fn required(name: &'static str, form: &'static str, help: &'static str) -> KeyDef {
    KeyDef { name, form, default: KeyDefault::Required, help }
}

/// A key with a default, written as in a file.
pub(super) const fn defaulted(
    name: &'static str,
    form: &'static str,
    value: &'static str,
    help: &'static str,
) -> KeyDef {
    KeyDef { name, form, default: KeyDefault::Value(value), help }
}

/// A key that may be left out; `note` says what holds then.
pub(super) const fn optional(
    name: &'static str,
    form: &'static str,
    note: &'static str,
    help: &'static str,
) -> KeyDef {
    KeyDef { name, form, default: KeyDefault::Note(note), help }
}
