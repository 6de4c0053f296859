//! Offline checks of service files.

mod support;

use {
    bronzespool_cli::Exit,
    std::{fs, path::Path},
    support::{Run, examples},
    tempfile::TempDir,
};

const SERVICE: &str = "[service]\nname = desk\n[kind look]\nmode = job\n";
const DEPLOYMENT: &str = "[deployment]\nname = small\n[worker]\ncores = 8\nmemory = 16GiB\n\
                          accelerators = 4\n[center one]\nregion = here\nracks = 2, 1\n";

fn write_file(dir: &Path, name: &str, text: &str) {
    let path = dir.join(name);
    fs::create_dir_all(path.parent().unwrap()).unwrap();
    fs::write(path, text).unwrap();
}

/// Creates a folder with a deployment file and one service file.
fn deployment_dir(service: &str) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    write_file(dir.path(), "deployment.ini", DEPLOYMENT);
    write_file(dir.path(), "desk/service.ini", service);
    dir
}

fn check(dir: &TempDir, options: &str) -> Run {
    Run::new(&format!("check {} {options}", dir.path().display()), None)
}

/// Keys of the faults in the JSON output.
fn fault_keys(run: &Run) -> Vec<String> {
    let faults = run.json()["faults"].as_array().unwrap().clone();
    faults.iter().map(|fault| fault["key"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn check_examples_fit_their_own_deployments() {
    let run = Run::new(&format!("check {}", examples()), None);
    assert_eq!(run.exit, Exit::Done, "{run:?}");
    assert!(run.out.contains("fits the 10 workers of registry"), "{}", run.out);
    assert!(run.out.contains("fits the 10 workers of cooperative"), "{}", run.out);
}

#[test]
fn check_faults_exit_one_with_file_line_and_key() {
    let dir = deployment_dir("[service]\nname = desk\n[kind look]\nmode = job\nslot = 1\n");
    let run = check(&dir, "");
    assert_eq!(run.exit, Exit::Refused);
    assert!(run.err.contains("desk/service.ini:5: [kind look] slot: "), "{}", run.err);
    assert!(run.err.contains("did you mean 'slots'?"), "{}", run.err);
}

#[test]
fn check_faults_of_service_and_deployment_are_listed_together() {
    let dir = deployment_dir("[service]\nname = desk\n");
    write_file(dir.path(), "deployment.ini", &DEPLOYMENT.replace("cores = 8\n", ""));
    assert_eq!(fault_keys(&check(&dir, "--json")), ["[kind NAME]", "[worker] cores"]);
}

#[test]
fn check_kind_larger_than_worker_names_each_key() {
    let too_large = "slots = 9\ncores = 8.001\nmemory = 17GiB\naccelerators = 8\n";
    let run = check(&deployment_dir(&format!("{SERVICE}{too_large}")), "--json");
    let expected =
        ["slots", "cores", "memory", "accelerators"].map(|key| format!("[kind look] {key}"));
    assert_eq!(fault_keys(&run), expected);
    assert_eq!(run.json()["faults"][0]["line"], 5);
}

#[test]
fn check_kind_as_large_as_worker_fits() {
    let full = "slots = 8\ncores = 8\nmemory = 16GiB\naccelerators = 4\ngang = 3\n";
    assert_eq!(check(&deployment_dir(&format!("{SERVICE}{full}")), "").exit, Exit::Done);
}

#[test]
fn check_gang_wider_than_its_domain_is_fault() {
    for (level, fits) in [("block-4", 1), ("worker", 1), ("rack", 2), ("center", 3), ("region", 3)]
    {
        for (gang, exit) in [(fits, Exit::Done), (fits + 1, Exit::Refused)] {
            let need = format!("accelerators = 4\ngang = {gang}\nadjacent = {level}\n");
            let run = check(&deployment_dir(&format!("{SERVICE}{need}")), "");
            assert_eq!(run.exit, exit, "{level} {gang}: {run:?}");
        }
    }
}

#[test]
fn check_guarantees_leave_the_reserve_free() {
    let teams =
        |shape: &str| format!("{SERVICE}[team a]\nguarantee = 1 x worker\n[team b]\n{shape}\n");
    assert_eq!(check(&deployment_dir(&teams("guarantee = 2 x block-2")), "").exit, Exit::Done);
    let run = check(&deployment_dir(&teams("guarantee = 3 x block-2")), "--json");
    assert_eq!(fault_keys(&run), ["[team b] guarantee"]);
    assert_eq!(run.json()["faults"][0]["line"], 8);
    let text = run.json()["faults"][0]["message"].as_str().unwrap().to_owned();
    assert!(text.contains("lacks 1 x block-2 on small less 1 x worker"), "{text}");
}

#[test]
fn check_guarantees_of_all_services_are_added() {
    let dir = deployment_dir(&format!("{SERVICE}[team a]\nguarantee = 2 x worker\n"));
    assert_eq!(check(&dir, "").exit, Exit::Done);
    let other = SERVICE.replace("desk", "yard");
    write_file(
        dir.path(),
        "yard/service.ini",
        &format!("{other}[team b]\nguarantee = 1 x worker\n"),
    );
    assert_eq!(fault_keys(&check(&dir, "--json")).len(), 2);
}

#[test]
fn check_named_deployment_replaces_the_one_found() {
    let dir = deployment_dir(&format!("{SERVICE}accelerators = 8\n"));
    write_file(
        dir.path(),
        "large.ini",
        &DEPLOYMENT.replace("accelerators = 4", "accelerators = 8"),
    );
    let large = dir.path().join("large.ini");
    assert_eq!(check(&dir, "").exit, Exit::Refused);
    assert_eq!(check(&dir, &format!("--deployment {}", large.display())).exit, Exit::Done);
}

#[test]
fn check_folder_that_is_not_there_is_fault() {
    let run = Run::new("check /no/such/folder", None);
    assert_eq!(run.exit, Exit::Refused);
    assert!(run.err.contains("/no/such/folder:0: file: cannot be read"), "{}", run.err);
}
