//! Reference of all settings as Markdown, generated from the definitions that the parser uses.

use {
    crate::settings::{
        deployment, process,
        schema::{KeyDef, KeyDefault, SectionDef},
        service,
    },
    std::fmt::Write,
};

/// Line of a page after which the generated text starts.
pub const START_MARK: &str = "<!-- generated: start -->";
/// Line of a page at which the generated text ends.
pub const END_MARK: &str = "<!-- generated: end -->";

/// Tables of all sections and keys.
pub fn settings_reference() -> String {
    let files = [
        ("Process settings", process::SECTIONS),
        ("Service files", service::SECTIONS),
        ("Deployment files", deployment::SECTIONS),
    ];
    let mut text = String::new();
    for (title, sections) in files {
        let _ = writeln!(text, "## {title}\n");
        for section in sections {
            push_section(&mut text, section);
        }
    }
    text.trim_end().to_owned()
}

/// The part of `page` between [`START_MARK`] and [`END_MARK`], or `None` if either is missing.
pub fn generated_part(page: &str) -> Option<&str> {
    let (_, rest) = page.split_once(START_MARK)?;
    let (part, _) = rest.split_once(END_MARK)?;
    Some(part.trim())
}

fn push_section(text: &mut String, section: &SectionDef) {
    let label = section.label.map_or_else(String::new, |label| format!(" {label}"));
    let _ = writeln!(text, "### `[{}{label}]`\n\n{}\n", section.name, section.help);
    text.push_str("| key | form | when left out | sets |\n|---|---|---|---|\n");
    for key in section.keys {
        push_key(text, key);
    }
    text.push('\n');
}

fn push_key(text: &mut String, key: &KeyDef) {
    let default = match key.default {
        KeyDefault::Required => "a fault".to_owned(),
        KeyDefault::Value(value) => format!("`{value}`"),
        KeyDefault::Note(note) => note.to_owned(),
    };
    let _ = writeln!(text, "| `{}` | {} | {default} | {} |", key.name, key.form, key.help);
}
