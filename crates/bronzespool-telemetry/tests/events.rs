//! The page of events matches the event types, and processes log nothing else above `debug`.

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

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

/// Lines above `debug` must be typed events. Only `debug` lines, which are off by default, may be
/// written with the log macros.
#[test]
fn log_macros_above_debug_are_not_used() {
    let mut files = Vec::new();
    collect_sources(&root().join("crates/bronzespoold/src"), &mut files);
    collect_sources(&root().join("platform/src"), &mut files);
    assert!(files.len() > 60, "the sources are found");
    let logs_directly = |path: &PathBuf| {
        let text = fs::read_to_string(path).unwrap();
        ["log::info!", "log::warn!", "log::error!"].iter().any(|call| text.contains(call))
    };
    let offenders: Vec<_> = files.into_iter().filter(logs_directly).collect();
    assert!(offenders.is_empty(), "{offenders:?}");
}
