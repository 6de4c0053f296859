//! The generated parts of the documentation match the code.

use {
    bronzespool_core::{
        code,
        settings::reference::{generated_part, settings_reference},
    },
    std::{fs, path::Path},
};

fn page(path: &str) -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(docs.join(path)).unwrap()
}

#[test]
fn settings_reference_is_as_in_the_page() {
    let page = page("operations/settings.md");
    let hint = "run `cargo run -p bronzespool-core --example reference settings`";
    assert_eq!(generated_part(&page), Some(settings_reference().as_str()), "{hint}");
}

#[test]
fn table_is_as_in_the_page() {
    let page = page("RESULT_CODES.md");
    let hint = "run `cargo run -p bronzespool-core --example reference codes`";
    assert_eq!(generated_part(&page), Some(code::table().as_str()), "{hint}");
}

#[test]
fn generated_part_without_marks_is_none() {
    assert_eq!(generated_part("no marks"), None);
}
