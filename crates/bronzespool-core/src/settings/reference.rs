//! Reference of all settings as Markdown, from the definitions that the readers use.

use {
    crate::settings::{
        define::{Absent, Key, Section},
        deployment, process, service,
    },
    std::fmt::Write,
};

/// Line after which a page holds the generated text.
pub const START: &str = "<!-- generated: start -->";
/// Line at which the generated text of a page ends.
pub const END: &str = "<!-- generated: end -->";

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

/// The part of `page` between the lines of [`START`] and [`END`].
pub fn generated_part(page: &str) -> Option<&str> {
    let (_, rest) = page.split_once(START)?;
    let (part, _) = rest.split_once(END)?;
    Some(part.trim())
}

fn push_section(text: &mut String, section: &Section) {
    let label = section.label.map_or_else(String::new, |label| format!(" {label}"));
    let _ = writeln!(text, "### `[{}{label}]`\n\n{}\n", section.name, section.help);
    text.push_str("| key | form | when left out | sets |\n|---|---|---|---|\n");
    for key in section.keys {
        push_key(text, key);
    }
    text.push('\n');
}

fn push_key(text: &mut String, key: &Key) {
    let absent = match key.absent {
        Absent::Fault => "a fault".to_owned(),
        Absent::Value(value) => format!("`{value}`"),
        Absent::Note(note) => note.to_owned(),
    };
    let _ = writeln!(text, "| `{}` | {} | {absent} | {} |", key.name, key.form, key.help);
}
