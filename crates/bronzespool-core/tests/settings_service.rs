//! Parsing, validation and merging of service files.

use {
    bronzespool_core::{
        Kind, Level, Mode, Service, Shape, Team,
        settings::{Fault, ServiceFile, merge_services, parse_service, read_services},
    },
    std::{fs, path::PathBuf, time::Duration},
};

fn examples() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"))
}

fn faults(text: &str) -> Vec<Fault> {
    parse_service("a/service.ini", text).unwrap_err().0
}

/// Asserts that there is exactly one fault and returns its text.
fn only_fault(text: &str) -> String {
    let faults = faults(text);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults[0].to_string()
}

const HEAD: &str = "[service]\nname = desk\n[kind look]\nmode = request\n";

#[test]
fn read_services_examples_have_every_kind() {
    let (config, sources) = read_services(&[examples()]).unwrap();
    assert_eq!(sources.len(), 2);
    let kinds = [
        ("permit-desk", "quota-check", Mode::Request, false),
        ("permit-desk", "seasonal-approval", Mode::Request, false),
        ("permit-desk", "depot-reconciliation", Mode::Request, false),
        ("permit-desk", "permit-issue", Mode::Request, true),
        ("flight-desk", "log-upload", Mode::Request, false),
        ("flight-desk", "airworthiness-check", Mode::Request, false),
        ("flight-desk", "logbook-entry", Mode::Request, true),
        ("flight-desk", "crash-reconstruction", Mode::Job, false),
        ("flight-desk", "logbook-rebuild", Mode::Job, false),
    ];
    for (service, kind, mode, protected) in kinds {
        let service = Service::try_from(service).unwrap();
        let spec = config.kind(&service, &Kind::try_from(kind).unwrap()).unwrap();
        assert_eq!((spec.mode, spec.protected), (mode, protected), "{kind}");
    }
    assert!(config.services.values().all(|service| service.teams.len() == 4));
}

#[test]
fn parse_service_short_file_takes_defaults() {
    let spec = parse_service("service.ini", HEAD).unwrap();
    let kind = &spec.kinds[&Kind::try_from("look").unwrap()];
    assert_eq!(kind.deadline, Duration::from_secs(10));
    assert_eq!(kind.body, 1 << 20);
    assert_eq!((kind.need.slots, kind.need.cores, kind.need.memory), (1, 1_000, 256));
    assert_eq!((kind.gang, kind.adjacent), (1, Level::Region));
    assert!(kind.restart && !kind.protected);
}

#[test]
fn parse_service_team_reads_shapes() {
    let text = format!("{HEAD}[team arima]\nguarantee = 2 x worker, 1 x block-4\nrate = 7\n");
    let spec = parse_service("service.ini", &text).unwrap();
    let team = &spec.teams[&Team::try_from("arima").unwrap()];
    let shapes = [Shape::new(Level::Worker, 2), Shape::new(Level::Block(2), 1)];
    assert_eq!((team.guarantees.as_slice(), team.rate), (shapes.as_slice(), 7));
}

#[test]
fn parse_service_protected_kind_never_restarts() {
    let text = format!("{HEAD}protected = yes\n");
    let spec = parse_service("service.ini", &text).unwrap();
    assert!(!spec.kinds.values().next().unwrap().restart);
}

#[test]
fn parse_service_many_faults_lists_all_with_lines() {
    let text = "[service]\nname = Desk\n[kind look]\nmode = maybe\ndeadline = 5\nbodi = 1KiB\n\
                [teem arima]\n[team couva]\nrate = 0\n";
    let lines: Vec<u32> = faults(text).iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [2, 4, 5, 6, 7, 9]);
}

#[test]
fn parse_service_unknown_key_suggests_near_name() {
    let fault = only_fault(&format!("{HEAD}accelerator = 8\n"));
    let wanted = "a/service.ini:5: [kind look] accelerator: is no known key: \
                  did you mean 'accelerators'?";
    assert_eq!(fault, wanted);
}

#[test]
fn parse_service_unknown_key_without_near_name_lists_keys() {
    let fault = only_fault("[service]\nname = desk\nzzzzzz = 1\n[kind look]\nmode = request\n");
    assert!(fault.ends_with("use one of name, completion, fragmentation"), "{fault}");
}

#[test]
fn parse_service_unknown_section_suggests_near_name() {
    assert!(only_fault(&format!("{HEAD}[teams]\n")).contains("did you mean 'team'?"));
}

#[test]
fn parse_service_key_twice_names_both_lines() {
    let fault = only_fault(&format!("{HEAD}body = 1KiB\nbody = 2KiB\n"));
    assert!(fault.starts_with("a/service.ini:6:") && fault.contains("line 5"), "{fault}");
}

#[test]
fn parse_service_section_twice_names_both_lines() {
    let fault = only_fault(&format!("{HEAD}[kind look]\nmode = job\n"));
    assert!(fault.starts_with("a/service.ini:5:") && fault.contains("line 3"), "{fault}");
}

#[test]
fn parse_service_malformed_lines_are_faults() {
    assert!(only_fault(&format!("key = 1\n{HEAD}")).contains("before any section"));
    assert!(only_fault(&format!("{HEAD}protected\n")).contains("write 'key = value'"));
    assert!(only_fault(&format!("{HEAD}[team arima\n")).contains("end the line with ']'"));
    assert!(only_fault(&format!("{HEAD}[kind]\nmode = job\n")).contains("write '[kind NAME]'"));
    assert!(
        only_fault("[service main]\nname = desk\n[kind a]\nmode = job\n").contains("takes no name")
    );
}

#[test]
fn parse_service_comment_after_value_is_explained() {
    let fault = only_fault(&format!("{HEAD}deadline = 2s ; people wait\n"));
    assert!(fault.contains("a comment stands on a line of its own"), "{fault}");
}

#[test]
fn parse_service_missing_sections_are_faults() {
    let keys: Vec<String> = faults("").into_iter().map(|fault| fault.key).collect();
    assert_eq!(keys, ["[service]", "[kind NAME]"]);
}

#[test]
fn parse_service_job_key_of_request_is_fault() {
    assert!(only_fault(&format!("{HEAD}gang = 2\n")).contains("mode = job"));
}

#[test]
fn parse_service_protected_restart_is_fault() {
    let fault = only_fault(&format!(
        "{HEAD}protected = yes\n[kind b]\nmode = job\nprotected = yes\nrestart = yes\n"
    ));
    assert!(fault.contains("would run it twice"), "{fault}");
}

#[test]
fn parse_service_gang_wider_than_block_is_fault() {
    let text = "mode = job\naccelerators = 4\ngang = 2\nadjacent = block-4\n";
    let fault = only_fault(&format!("{HEAD}[kind b]\n{text}"));
    assert!(fault.starts_with("a/service.ini:9:") && fault.contains("8 accelerators"), "{fault}");
}

#[test]
fn parse_service_sizes_over_their_limits_are_faults() {
    assert!(only_fault(&format!("{HEAD}body = 33MiB\n")).contains("over 32 MiB"));
    assert!(
        only_fault(&format!("{HEAD}[kind b]\nmode = job\ngang = 4097\n")).contains("over 4096")
    );
    let teams = "[team a]\n[team b]\nguarantee = 60000 x worker\n\
                 [team c]\nguarantee = 40000 x block-1, 1 x rack\n";
    let fault = only_fault(&format!("{HEAD}{teams}"));
    assert!(fault.starts_with("a/service.ini:7: [team b] guarantee"), "{fault}");
    assert!(fault.contains("100001 cells"), "{fault}");
}

#[test]
fn merge_services_same_service_names_both_files() {
    let source = |path: &str| ServiceFile { path: path.to_owned(), text: HEAD.to_owned() };
    let faults = merge_services(&[source("a/service.ini"), source("b/service.ini")]).unwrap_err();
    let text = faults.to_string();
    assert!(text.starts_with("b/service.ini:2:") && text.contains("a/service.ini"), "{text}");
}

#[test]
fn read_services_lists_faults_of_all_files() {
    let dir = tempfile::tempdir().unwrap();
    for name in ["a", "b"] {
        fs::create_dir(dir.path().join(name)).unwrap();
        fs::write(dir.path().join(name).join("service.ini"), "[service]\nnam = x\n").unwrap();
    }
    fs::write(dir.path().join("a/other.ini"), "nonsense").unwrap();
    let gone = dir.path().join("gone");
    let faults = read_services(&[dir.path().to_owned(), gone]).unwrap_err();
    let files: std::collections::BTreeSet<_> = faults.iter().map(|f| f.file.clone()).collect();
    assert_eq!(files.len(), 3, "{faults}");
}

#[test]
fn read_services_empty_folder_is_fault() {
    let dir = tempfile::tempdir().unwrap();
    let faults = read_services(&[dir.path().to_owned()]).unwrap_err();
    assert!(faults.to_string().contains("holds no service.ini"), "{faults}");
}

#[test]
fn read_services_text_of_other_encoding_is_fault() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("service.ini"), [0xff, 0xfe, 0x00]).unwrap();
    assert!(read_services(&[dir.path().to_owned()]).is_err());
}

#[test]
fn read_services_hidden_folders_are_left_out() {
    let dir = tempfile::tempdir().unwrap();
    for (name, text) in [("a", HEAD), (".cache", "nonsense")] {
        fs::create_dir(dir.path().join(name)).unwrap();
        fs::write(dir.path().join(name).join("service.ini"), text).unwrap();
    }
    assert_eq!(read_services(&[dir.path().to_owned()]).unwrap().1.len(), 1);
}

#[test]
fn read_services_same_folder_twice_is_read_once() {
    let (_, sources) = read_services(&[examples(), examples().join("registry")]).unwrap();
    assert_eq!(sources.len(), 2);
}
