//! The page of events is made from the types, and processes tell nothing else.

use {
    bronzespool_core::settings::reference::generated_part,
    bronzespool_telemetry::{event::all, table},
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
    },
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn table_is_as_in_the_page() {
    let page = fs::read_to_string(root().join("docs/EVENTS.md")).unwrap();
    let hint = "run `cargo run -p bronzespool-telemetry --example events`";
    assert_eq!(generated_part(&page), Some(table().as_str()), "{hint}");
}

#[test]
fn all_texts_are_different() {
    let texts: BTreeSet<_> = all().map(|info| info.text).collect();
    assert_eq!(texts.len(), all().count());
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Lines above `debug` have a type; only `debug` lines, which are off, may be written freely.
#[test]
fn log_calls_stand_in_no_other_module() {
    let mut found = Vec::new();
    sources(&root().join("crates/bronzespoold/src"), &mut found);
    sources(&root().join("platform/src"), &mut found);
    assert!(found.len() > 60, "the sources are found");
    let free = |path: &PathBuf| {
        let text = fs::read_to_string(path).unwrap();
        ["log::info!", "log::warn!", "log::error!"].iter().any(|call| text.contains(call))
    };
    let free: Vec<_> = found.into_iter().filter(free).collect();
    assert!(free.is_empty(), "{free:?}");
}
