//! Checks the pages of proofs: the tests that they name exist, and no failure is left out.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Failures of which each section of the page has a row.
const FAILURES: [&str; 13] = [
    "kill",
    "lost disk",
    "cut",
    "freeze",
    "silent connection",
    "race of operators",
    "late or crossed answers",
    "second loss after a repair",
    "restart after hundreds of changes",
    "bad worker",
    "wrong sizes",
    "wave of cancellations",
    "two at once",
];
/// Number of properties, each with a section of its own.
const PROPERTY_COUNT: usize = 8;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn proofs_page() -> String {
    fs::read_to_string(repository_root().join("docs/PROOFS.md")).unwrap()
}

/// Names of the tests in a page, in the form `package/file::function` between backticks.
fn test_names(page: &str) -> Vec<&str> {
    page.split('`').skip(1).step_by(2).filter(|n| n.contains("::")).collect()
}

/// Whether `name`, in the form `package/file::function`, is a test in that file.
fn test_exists(name: &str) -> bool {
    let Some((file, function)) = name.split_once("::") else {
        return false;
    };
    let Some((package, file)) = file.split_once('/') else {
        return false;
    };
    let path =
        repository_root().join("crates").join(package).join("tests").join(format!("{file}.rs"));
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines: Vec<_> = text.lines().map(str::trim).collect();
    let signature = format!("fn {function}(");
    let is_test = |pair: &[&str]| pair[0].contains("test]") && pair[1].contains(&signature);
    lines.windows(2).any(is_test)
}

#[test]
fn proofs_named_tests_exist() {
    let page = proofs_page();
    let names = test_names(&page);
    assert!(names.len() > 40, "only {} names were found", names.len());
    let is_test_name = |n: &&&str| **n != "package/file::function";
    let missing: Vec<_> = names.iter().filter(is_test_name).filter(|n| !test_exists(n)).collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}

#[test]
fn proofs_platform_named_tests_exist() {
    let page = fs::read_to_string(repository_root().join("docs/PROOFS-PLATFORM.md")).unwrap();
    let names = test_names(&page);
    assert!(names.len() > 10, "only {} names were found", names.len());
    let missing: Vec<_> = names.iter().filter(|n| !test_exists(n)).collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}

#[test]
fn proofs_every_property_has_every_failure() {
    let page = proofs_page();
    let sections: Vec<_> = page.split("\n## ").skip(1).collect();
    assert_eq!(sections.len(), PROPERTY_COUNT);
    for section in sections {
        for failure in FAILURES {
            let row = section.lines().find(|l| l.starts_with(&format!("| {failure} |")));
            let cells = row.map(|r| r.split('|').map(str::trim).collect::<Vec<_>>());
            let proof = cells.as_ref().and_then(|c| c.get(2)).copied().unwrap_or_default();
            let is_stated = proof.contains("::")
                || proof.starts_with("not proved")
                || proof.contains("partial");
            assert!(is_stated, "{failure} in {}", section.lines().next().unwrap_or_default());
        }
    }
}
